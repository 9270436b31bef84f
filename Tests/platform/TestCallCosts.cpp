#include "LoopbackWorkers.h"
#include "PlatformWorkerClient.h"

#include <LibCore/SteadyClock.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <cstdlib>
#include <new>
#include <thread>

namespace asio = boost::asio;

namespace {

thread_local std::size_t allocations = 0;

} // namespace

void *operator new(std::size_t size)
{
    ++allocations;
    if (void *memory = std::malloc(size == 0 ? 1 : size))
        return memory;
    throw std::bad_alloc();
}

// The sanitizers have one of their own, which doesn't fit the operators below.
void *operator new(std::size_t size, const std::nothrow_t &) noexcept
{
    ++allocations;
    return std::malloc(size == 0 ? 1 : size);
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}

namespace {

/// Workers that answer on a thread of their own, so that only the owner's side is counted.
class WorkersOnThread
{
public:
    WorkersOnThread()
        : m_thread([this] { m_context.run(); })
    {
    }
    ~WorkersOnThread()
    {
        m_context.stop();
        m_thread.join();
    }
    WorkersOnThread(const WorkersOnThread &) = delete;
    WorkersOnThread &operator=(const WorkersOnThread &) = delete;

    std::string address(std::size_t worker) const { return m_workers.address(worker); }

private:
    asio::io_context m_context { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> m_work { m_context.get_executor() };
    LoopbackWorkers m_workers { m_context };
    std::thread m_thread;
};

/// What one call costs the owner's loop on the average.
struct CallCosts
{
    double allocations = 0;
    double handlers = 0;
};

class CountedClient
{
public:
    CallCosts costsOfStarts()
    {
        return costsOf([this](std::size_t worker) {
            Jobs::StartCommand command;
            command.worker = Core::VmId("i-0123456789");
            command.address = m_workers.address(worker);
            command.task = { Jobs::JobId("0123456789abcdef"), 0, 0, 17 };
            command.payload = std::string(64, 'a');
            asio::co_spawn(m_context,
                           m_client.start(std::move(command), Core::steadyNow() + callTime),
                           [this](const std::exception_ptr &, Jobs::StartOutcome outcome) {
                               m_started += outcome == Jobs::StartOutcome::Started ? 1 : 0;
                               m_isDone = true;
                           });
        });
    }
    std::size_t started() const { return m_started; }

private:
    static constexpr std::size_t workers = 10;
    static constexpr std::size_t rounds = 20;
    static constexpr Core::Duration callTime = std::chrono::seconds(5);

    template<typename Call>
    CallCosts costsOf(Call call)
    {
        // The first calls open the connections.
        for (std::size_t worker = 0; worker < workers; ++worker)
            finish(call, worker);
        const std::size_t allocationsBefore = allocations;
        std::size_t handlers = 0;
        for (std::size_t i = 0; i < rounds * workers; ++i)
            handlers += finish(call, i % workers);
        constexpr double calls = rounds * workers;
        return { static_cast<double>(allocations - allocationsBefore) / calls,
                 static_cast<double>(handlers) / calls };
    }
    template<typename Call>
    std::size_t finish(Call call, std::size_t worker)
    {
        m_isDone = false;
        call(worker);
        std::size_t handlers = 0;
        while (!m_isDone)
            handlers += m_context.run_one();
        return handlers + m_context.poll();
    }

    WorkersOnThread m_workers;
    asio::io_context m_context { 1 };
    Site::SiteMetrics m_metrics;
    Adapter::PlatformWorkerClient m_client { m_context.get_executor(), 100, m_metrics };
    std::size_t m_started = 0;
    bool m_isDone = false;
};

} // namespace

TEST_CASE("The start of a task costs the owner's loop no more than a tenth above what its reserve "
          "was measured with")
{
    // The third handler is only needed if the answer isn't there yet at the first reading.
    constexpr CallCosts measured { 23.1, 3.0 };
    CountedClient client;
    const CallCosts costs = client.costsOfStarts();
    REQUIRE(client.started() == 210);
    CHECK(costs.allocations <= 1.1 * measured.allocations);
    CHECK(costs.handlers <= 1.1 * measured.handlers);
}
