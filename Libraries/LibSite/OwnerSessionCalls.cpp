#include <LibSite/OwnerSession.h>

#include <LibCore/SteadyClock.h>
#include <LibLog/Logging.h>

namespace Site {

namespace asio = boost::asio;

/// Time for a worker's answer, on top of the time that the renewal allows the worker to wait.
static constexpr Core::Duration renewalTimeout = std::chrono::milliseconds(1000);

static const auto partLogger = Log::essentialLogger("owner");
/// For lines that are logged for each task or worker.
static const auto detailLogger = Log::logger("owner");

asio::awaitable<void> OwnerSession::send(Jobs::StartCommand command, Core::Instant deadline)
{
    Jobs::StartOutcome outcome = Jobs::StartOutcome::Withheld;
    const Core::Instant began = Core::steadyNow();
    const bool isInTime = command.isOfGang || began < deadline - WorkerGateway::minStartTime;
    if (isOwnershipProven() && !m_isOver && isInTime) {
        m_loadLog.loop().noteStart();
        outcome = co_await m_workers.start(command, deadline);
    }
    const std::chrono::duration<double> took = Core::steadyNow() - began;
    m_state.metrics.countStart(Jobs::startOutcomeText(outcome), took.count());
    if (isIssuingCommands())
        m_scheduler.onStartOutcome(command, outcome, now());
}

asio::awaitable<void> OwnerSession::send(Jobs::StopCommand command, Core::Instant deadline)
{
    if (m_isOver)
        co_return;
    try {
        co_await m_workers.stop(command, deadline);
        m_scheduler.onStopAnswered(command, now());
    } catch (const FencedError &error) {
        applyRejectedToken(command.worker, command.token, error);
    } catch (const OtherIncarnationError &) {
        applyOtherIncarnation(command.worker, command.address);
    } catch (const Core::Error &error) {
        LOG4CXX_DEBUG(partLogger, "event=stop-failed reason=\"" << error.what() << '"');
    }
}

asio::awaitable<void> OwnerSession::send(Jobs::ThrottleCommand command, Core::Instant deadline)
{
    if (m_isOver)
        co_return;
    try {
        co_await m_workers.throttle(command, deadline);
    } catch (const FencedError &error) {
        applyRejectedToken(command.worker, command.token, error);
    } catch (const Core::Error &error) {
        LOG4CXX_DEBUG(partLogger, "event=throttle-failed reason=\"" << error.what() << '"');
        m_scheduler.onThrottleFailed(command);
    }
}

asio::awaitable<void> OwnerSession::renew(Jobs::RenewCommand command)
{
    const Core::Instant sentAt = Core::suspendAwareNow();
    const Core::Duration allowed = std::chrono::milliseconds(command.waitMs) + renewalTimeout;
    const Core::Instant deadline = Core::steadyNow() + allowed;
    try {
        const Jobs::WorkerReport report = co_await m_workers.renew(command, deadline);
        if (isIssuingCommands())
            applyReport(command.worker, report, sentAt);
        co_return;
    } catch (const FencedError &error) {
        applyRejectedToken(command.worker, command.token, error);
    } catch (const OtherIncarnationError &) {
        applyOtherIncarnation(command.worker, command.address);
    } catch (const Core::Error &error) {
        LOG4CXX_INFO(detailLogger,
                     "event=renewal-failed worker=" << command.worker << " reason=\""
                                                    << error.what() << '"');
    }
    const bool isTimedOut = Core::steadyNow() >= deadline;
    if (isIssuingCommands())
        m_scheduler.onRenewalFailed(
            command.worker,
            isTimedOut ? Jobs::RenewalFailure::TimedOut : Jobs::RenewalFailure::BrokenOff, now());
}

void OwnerSession::applyReport(const Core::VmId &worker, const Jobs::WorkerReport &report,
                               Core::Instant sentAt)
{
    const LoopMeter::Work work(m_loadLog.loop(), "report");
    m_loadLog.loop().noteReport();
    m_scheduler.onReport(worker, report, sentAt, now());
}

void OwnerSession::applyRejectedToken(const Core::VmId &worker, Jobs::FencingToken token,
                                      const FencedError &error)
{
    if (m_scheduler.isDeposedBy(worker, token))
        depose(error.what());
}

void OwnerSession::applyOtherIncarnation(const Core::VmId &worker, const std::string &address)
{
    if (!isIssuingCommands())
        return;
    m_scheduler.onOtherIncarnation(worker, address, now());
    m_wakeup.wake();
}

} // namespace Site
