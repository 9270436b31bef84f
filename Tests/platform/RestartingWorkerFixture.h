#pragma once

#include "PlatformWorkerClient.h"
#include "RestartingWorker.h"

#include <LibCore/Time.h>
#include <LibJob/Commands.h>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <optional>

/// A client and one worker that restarts under its ID. The calls run in the thread of the test.
struct RestartingWorkerFixture
{
    static constexpr std::size_t connections = 16;
    static constexpr Core::Duration callTime = std::chrono::seconds(2);

    boost::asio::io_context context;
    RestartingWorker worker { context };
    Site::SiteMetrics metrics;
    Adapter::PlatformWorkerClient client { context.get_executor(), connections, metrics };
    /// What the last renewal that succeeded has returned.
    std::optional<Jobs::WorkerReport> lastReport;
    int renewalsUnderWay = 0;

    /// Sends the renewal to the address of the worker, without waiting for the answer.
    void beginRenewal(Jobs::RenewCommand command);
    /// Waits until no more renewals than \p except are under way, and requires that so many are.
    void finishRenewals(int except = 0);
    /// Sends the renewal and waits until it is over; returns nothing if it failed.
    std::optional<Jobs::WorkerReport> reportFor(Jobs::RenewCommand command);
};
