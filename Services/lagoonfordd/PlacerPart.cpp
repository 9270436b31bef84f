#include <utility>

#include "PlacerPart.h"

#include <LibLog/Logging.h>

#include <LibCore/Error.h>
#include <LibCore/Json.h>
#include <LibCore/SteadyClock.h>
#include <LibTask/TaskRecordCodec.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <variant>

namespace Daemon {

namespace asio = boost::asio;

static constexpr Core::Duration appendTimeout = std::chrono::milliseconds(900);
static constexpr Core::Duration longestSleep = std::chrono::milliseconds(200);
static const auto partLogger = Log::logger("placer");

PlacerPart::PlacerPart(Node &node)
    : StoppablePart("placer", node, node.placerWakeup())
    , m_vm(node)
{
}

asio::awaitable<Core::Instant> PlacerPart::step(Core::Instant now)
{
    followLease(now);
    m_vm.placer().setRulesFresh(m_vm.ruleReplica().isReady() && m_vm.freshness().isFresh(now));
    for (const Task::PlacerAction &action : m_vm.placer().poll(now))
        perform(action);
    const Core::Instant latest = now + longestSleep;
    co_return std::min(m_vm.placer().nextWakeUp(now).value_or(latest), latest);
}

asio::awaitable<void> PlacerPart::finish()
{
    m_vm.placer().loseLease();
    co_return;
}

void PlacerPart::followLease(Core::Instant now)
{
    Task::DomainPlacer &placer = m_vm.placer();
    if (!m_vm.lease().isHolder(now)) {
        if (placer.isHolder())
            placer.loseLease();
        return;
    }
    if (placer.isHolder())
        placer.extendLease(m_vm.lease().leaseDeadline());
    else if (placer.table().epoch() == m_vm.lease().epoch())
        placer.becomeHolder(m_vm.lease().epoch(), m_vm.lease().leaseDeadline(), now);
}

bool PlacerPart::mayCommand(Core::Instant notAfter) const
{
    const Core::Instant now = Core::steadyNow();
    return now < notAfter && m_vm.lease().isHolder(now);
}

void PlacerPart::perform(const Task::PlacerAction &action)
{
    const auto spawn = [this](asio::awaitable<void> work) {
        asio::co_spawn(m_vm.executor(), std::move(work), asio::detached);
    };
    if (const auto *records = std::get_if<Task::AppendRecords>(&action))
        spawn(append(*records));
    else if (const auto *startAttempt = std::get_if<Task::StartAttempt>(&action))
        spawn(start(*startAttempt));
    else if (const auto *stopAttempt = std::get_if<Task::StopAttempt>(&action))
        spawn(stop(*stopAttempt));
    else if (const auto *throttleAttempt = std::get_if<Task::ThrottleAttempt>(&action))
        spawn(throttle(*throttleAttempt));
    else if (const auto *renewWorker = std::get_if<Task::RenewWorker>(&action))
        spawn(renew(*renewWorker));
    else
        spawn(transfer(std::get<Task::AppendTransfer>(action)));
}

asio::awaitable<Task::AppendOutcome> PlacerPart::appendTo(std::string stream,
                                                          std::vector<std::string> bodies)
{
    try {
        co_await m_vm.log().append(stream, std::move(bodies), Core::steadyNow() + appendTimeout);
        co_return Task::AppendOutcome::Appended;
    } catch (const Core::NotDoneError &error) {
        LOG4CXX_WARN(partLogger, "not appended: " << error.what());
        co_return Task::AppendOutcome::NotAppended;
    } catch (const Core::Error &error) {
        LOG4CXX_WARN(partLogger, "append in doubt: " << error.what());
        co_return Task::AppendOutcome::Unknown;
    }
}

asio::awaitable<void> PlacerPart::append(Task::AppendRecords action)
{
    std::vector<std::string> bodies;
    for (const Task::TaskRecord &record : action.records)
        bodies.push_back(Core::Json::write(Task::encode(record)));
    const Task::AppendOutcome outcome
        = co_await appendTo(domainStream(m_vm.settings().failureDomain), std::move(bodies));
    m_vm.placer().onAppendOutcome(action.batchId, outcome, Core::steadyNow());
    // The placer acts on its records once they are read back, so they are read at once.
    m_vm.domainWakeup().wake();
    changed();
}

asio::awaitable<void> PlacerPart::start(Task::StartAttempt action)
{
    const std::string name
        = action.attempt.task.text() + '/' + std::to_string(action.attempt.number);
    Task::StartOutcome outcome = Task::StartOutcome::NotStarted;
    if (mayCommand(action.sendDeadline)) {
        const Platform::StartCommand command { action.worker,     action.spec,
                                               action.attempt,    action.epoch,
                                               action.checkpoint, action.leaseDeadline };
        try {
            co_await m_vm.workers().start(command, action.sendDeadline);
            outcome = Task::StartOutcome::Started;
            m_vm.metrics().countPlacement("start");
            LOG4CXX_INFO(partLogger,
                         "started " << name << " on " << action.worker << ", epoch " << action.epoch
                                    << ": " << action.reason);
        } catch (const Core::NotDoneError &error) {
            LOG4CXX_WARN(partLogger, "didn't start " << name << ": " << error.what());
        } catch (const Core::Error &error) {
            outcome = Task::StartOutcome::Unknown;
            LOG4CXX_WARN(partLogger, "start of " << name << " in doubt: " << error.what());
        }
    }
    m_vm.placer().onStartOutcome(action.attempt, action.epoch, outcome, Core::steadyNow());
    changed();
}

asio::awaitable<void> PlacerPart::stop(Task::StopAttempt action)
{
    if (!mayCommand(action.sendDeadline))
        co_return;
    m_vm.metrics().countPlacement("stop");
    LOG4CXX_INFO(partLogger,
                 "stops " << action.attempt.task << '/' << action.attempt.number << " on "
                          << action.worker << ": " << action.reason);
    try {
        co_await m_vm.workers().stop(action.worker, action.attempt, action.mode,
                                     action.sendDeadline);
    } catch (const Core::Error &error) {
        LOG4CXX_WARN(partLogger, "stop in doubt: " << error.what());
    }
    changed();
}

asio::awaitable<void> PlacerPart::throttle(Task::ThrottleAttempt action)
{
    if (!mayCommand(action.sendDeadline))
        co_return;
    m_vm.metrics().countPlacement("throttle");
    LOG4CXX_INFO(partLogger,
                 "limits " << action.attempt.task << " on " << action.worker << " to "
                           << action.percent << "%: " << action.reason);
    try {
        co_await m_vm.workers().throttle(action.worker, action.attempt, action.percent,
                                         action.sendDeadline);
    } catch (const Core::Error &error) {
        LOG4CXX_WARN(partLogger, "limit in doubt: " << error.what());
    }
}

asio::awaitable<void> PlacerPart::renew(Task::RenewWorker action)
{
    if (mayCommand(action.sendDeadline)) {
        try {
            const auto reports = co_await m_vm.workers().renew(
                action.worker, action.attempts, action.leaseDeadline, action.acknowledged,
                action.sendDeadline);
            m_vm.placer().onWorkerReport(action.worker, action.number, reports, Core::steadyNow());
            changed();
            co_return;
        } catch (const Core::Error &error) {
            LOG4CXX_DEBUG(partLogger, error.what());
        }
    }
    m_vm.placer().onWorkerUnreachable(action.worker, action.number, Core::steadyNow());
    changed();
}

asio::awaitable<void> PlacerPart::transfer(Task::AppendTransfer action)
{
    std::vector<std::string> bodies { Core::Json::write(Task::encode(action.record)) };
    const Task::AppendOutcome outcome
        = co_await appendTo(domainStream(action.toDomain), std::move(bodies));
    m_vm.metrics().countPlacement("transfer");
    LOG4CXX_INFO(partLogger, "hands " << action.task << " over to " << action.toDomain);
    m_vm.placer().onTransferOutcome(action.task, action.transferNumber, outcome, Core::steadyNow());
    changed();
}

void PlacerPart::changed()
{
    m_vm.placerWakeup().wake();
}

} // namespace Daemon
