#pragma once

#include "LoopbackWorkers.h"
#include "PlatformWorkerClient.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <thread>

/// Calls of an owner to workers over loopback, one after the other. The workers answer on a thread
/// of their own, so that the instructions of this one are the owner's.
class CountedCalls
{
public:
    CountedCalls();
    ~CountedCalls();
    CountedCalls(const CountedCalls &) = delete;
    CountedCalls &operator=(const CountedCalls &) = delete;

    void start(std::size_t worker);
    /// A renewal that acknowledges an end; the report lists some runs and an end.
    void renew(std::size_t worker);

    static constexpr std::size_t workers = 10;

private:
    /// Runs the owner's loop until the call has been answered.
    void finishCall();

    boost::asio::io_context m_workersContext { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_workersWork {
        m_workersContext.get_executor()
    };
    LoopbackWorkers m_workers { m_workersContext };
    std::thread m_workersThread;
    boost::asio::io_context m_context { 1 };
    Site::SiteMetrics m_metrics;
    Adapter::PlatformWorkerClient m_client { m_context.get_executor(), 100, m_metrics };
    bool m_isDone = false;
};
