#pragma once

#include "LoopbackWorkers.h"
#include "PlatformWorkerClient.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <thread>

/// Calls of an owner to workers over loopback, one after the other. The workers answer on a thread
/// of their own, so that what this one does is the owner's part.
class CountedCalls
{
public:
    CountedCalls();
    ~CountedCalls();
    CountedCalls(const CountedCalls &) = delete;
    CountedCalls &operator=(const CountedCalls &) = delete;

    /// Starts a task. Returns how many handlers of the owner's event loop that took.
    std::size_t start(std::size_t worker);
    /// Sends a renewal that acknowledges an end; the report lists some runs and an end. Returns how
    /// many handlers that took.
    std::size_t renew(std::size_t worker);
    /// How many calls had the answer that they should have.
    std::size_t succeeded() const { return m_succeeded; }

    static constexpr std::size_t workers = 10;

private:
    /// Runs the owner's loop until the call has been answered. Returns the number of handlers.
    std::size_t finishCall();
    void noteAnswer(bool isExpected);

    boost::asio::io_context m_workersContext { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_workersWork {
        m_workersContext.get_executor()
    };
    LoopbackWorkers m_workers { m_workersContext };
    std::thread m_workersThread;
    boost::asio::io_context m_context { 1 };
    Site::SiteMetrics m_metrics;
    Adapter::PlatformWorkerClient m_client { m_context.get_executor(), 100, m_metrics };
    std::size_t m_succeeded = 0;
    bool m_isDone = false;
};
