#include "CountedCalls.h"

#include <LibCore/SteadyClock.h>

#include <boost/asio/co_spawn.hpp>

#include <exception>
#include <string>

namespace asio = boost::asio;

static constexpr Core::Duration callTime = std::chrono::seconds(60);

/// A report of eight runs and an end, as workers of a large site send.
static std::string usualReport()
{
    constexpr int runs = 8;
    std::string report = R"({"clockMs":1,"born":1,"running":[)";
    for (int i = 0; i < runs; ++i) {
        report += i == 0 ? "" : ",";
        report += R"(["0123456789abcdef.0.0.)" + std::to_string(i) + R"(",1001,"",50,3500])";
    }
    report += R"(],"ended":[[1,"0123456789abcdef.0.0.9",1001,"done",""]]})";
    return report;
}

CountedCalls::CountedCalls()
{
    m_workers.answerWith(usualReport());
    m_workersThread = std::thread([this] { m_workersContext.run(); });
}

CountedCalls::~CountedCalls()
{
    m_workersContext.stop();
    m_workersThread.join();
}

std::size_t CountedCalls::finishCall()
{
    m_isDone = false;
    std::size_t handlers = 0;
    while (!m_isDone)
        handlers += m_context.run_one();
    return handlers + m_context.poll();
}

void CountedCalls::noteAnswer(bool isExpected)
{
    m_succeeded += isExpected ? 1 : 0;
    m_isDone = true;
}

std::size_t CountedCalls::start(std::size_t worker)
{
    Jobs::StartCommand command;
    command.worker = Core::VmId("i-0123456789");
    command.address = m_workers.address(worker);
    command.processStartUnixMs = 1;
    command.task = { Jobs::JobId("0123456789abcdef"), 0, 0, 17 };
    command.payload = std::string(64, 'a');
    asio::co_spawn(m_context, m_client.start(std::move(command), Core::steadyNow() + callTime),
                   [this](const std::exception_ptr &failure, Jobs::StartOutcome outcome) {
                       noteAnswer(!failure && outcome == Jobs::StartOutcome::Started);
                   });
    return finishCall();
}

std::size_t CountedCalls::renew(std::size_t worker)
{
    Jobs::RenewCommand command;
    command.worker = Core::VmId("i-0123456789");
    command.address = m_workers.address(worker);
    command.processStartUnixMs = 1;
    command.acknowledgedEnd = 1;
    asio::co_spawn(m_context, m_client.renew(std::move(command), Core::steadyNow() + callTime),
                   [this](const std::exception_ptr &failure, const Jobs::WorkerReport &report) {
                       noteAnswer(!failure && report.ended.size() == 1);
                   });
    return finishCall();
}
