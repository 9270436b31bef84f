#include <LibSite/OwnerSession.h>

#include <LibCore/SteadyClock.h>
#include <LibCore/WallClock.h>
#include <LibLog/Logging.h>
#include <LibSite/BackgroundExecutor.h>
#include <LibSite/FencedAppend.h>
#include <LibSite/StartHold.h>

#include <boost/asio/co_spawn.hpp>

#include <algorithm>
#include <iterator>

namespace Site {

namespace asio = boost::asio;

static constexpr Core::Duration appendRetryDelay = std::chrono::milliseconds(100);
/// Changes that become due within this time share an append.
static constexpr Core::Duration commitInterval = std::chrono::milliseconds(20);
static constexpr Core::Duration timerLagInterval = std::chrono::milliseconds(100);
static constexpr Core::Duration heartbeatInterval = std::chrono::milliseconds(500);
/// A heartbeat that precedes a turn has this long to be sent.
static constexpr Core::Duration heartbeatSendTime = std::chrono::milliseconds(5);
/// Counts from the decision, so that commands of an owner that falls behind don't pile up.
static constexpr Core::Duration commandTimeout = std::chrono::milliseconds(1000);
static constexpr std::int64_t workersReadWaitMs = 500;
static constexpr Core::Duration workersReadPause = std::chrono::milliseconds(50);
static constexpr Core::Duration retryDelay = std::chrono::milliseconds(250);
using Priority = BackgroundQueue::Priority;

static const auto partLogger = Log::essentialLogger("owner");

OwnerSession::OwnerSession(SiteState &state, KeyedLog &log, WorkerGateway &workers,
                           const SiteDecoder &decoder, JobFollower &follower,
                           const asio::any_io_executor &executor, const Jobs::Ownership &ownership)
    : m_state(state)
    , m_log(log)
    , m_workers(workers)
    , m_follower(follower)
    , m_executor(executor)
    , m_background(std::make_shared<BackgroundQueue>(executor))
    , m_ownership(ownership)
    , m_decisionLog(state.metrics)
    , m_scheduler(state.settings.scheduler, ownership, m_decisionLog)
    , m_workerFollower(log, decoder)
    , m_wakeup(executor)
    , m_workersWakeup(executor)
    , m_turnPause(executor)
    , m_provenAt(ownership.provenAt)
    , m_nextHeartbeatAt(ownership.provenAt + heartbeatInterval)
    , m_loadLog(state.metrics, Core::steadyNow())
    , m_groupCommit(executor, m_appendPace, [this] { m_wakeup.wake(); })
{
    loadState();
    m_state.owner = this;
    m_state.groupCommit = &m_groupCommit;
    m_follower.wake();
}

OwnerSession::~OwnerSession()
{
    m_follower.forgetSent();
    if (m_state.owner == this)
        m_state.owner = nullptr;
    closeGroupCommit();
    m_background->close();
}

void OwnerSession::closeGroupCommit()
{
    m_groupCommit.close();
    if (m_state.groupCommit == &m_groupCommit)
        m_state.groupCommit = nullptr;
}

Jobs::TimePoint OwnerSession::now() const
{
    return { Core::suspendAwareNow(), Core::unixMillisecondsNow() };
}

bool OwnerSession::isIssuingCommands() const
{
    return !m_isOver && !m_isReleasing;
}

bool OwnerSession::isOwnershipProven() const
{
    return Core::suspendAwareNow() - m_provenAt < m_state.settings.scheduler.ownershipProofTimeout;
}

void OwnerSession::loadState()
{
    const LoopMeter::Work work(m_loadLog.loop(), "load-state");
    onOperatorChange();
    const Jobs::TimePoint moment = now();
    for (const Jobs::JobEntry *entry : m_state.table.jobsInOrderOfSubmission())
        m_scheduler.addJob(*entry, moment);
    LOG4CXX_INFO(partLogger,
                 "event=own term=" << m_ownership.term << " token=" << m_ownership.token
                                   << " jobs=" << m_state.table.jobs().size());
}

void OwnerSession::onJob(const Jobs::JobEntry &entry)
{
    m_scheduler.addJob(entry, now());
    m_wakeup.wake();
}

void OwnerSession::onCancellation(const Jobs::JobId &id)
{
    m_scheduler.cancelJob(id, now());
    m_wakeup.wake();
}

void OwnerSession::onClaim()
{
    if (m_state.ownerMonitor.claimOffset() + 1 > m_ownership.token && !m_isReleasing)
        depose("the log contains a newer claim");
}

void OwnerSession::onOperatorChange()
{
    if (m_state.catalogue)
        m_scheduler.setCatalogue(*m_state.catalogue);
    m_scheduler.setOutOfService(m_state.outOfService);
    m_wakeup.wake();
}

void OwnerSession::depose(const std::string &reason)
{
    if (m_isOver)
        return;
    m_isOver = true;
    m_decisionLog.close();
    closeGroupCommit();
    if (m_state.owner == this)
        m_state.owner = nullptr;
    LOG4CXX_WARN(partLogger,
                 "event=deposed term=" << m_ownership.term << " reason=\"" << reason << '"');
    m_loadLog.close(Core::steadyNow());
    m_wakeup.wake();
    m_workersWakeup.wake();
}

void OwnerSession::release()
{
    m_isReleasing = true;
    m_decisionLog.close();
    closeGroupCommit();
    m_wakeup.wake();
}

void OwnerSession::spawn(asio::awaitable<void> work)
{
    spawnOn(m_executor, std::move(work));
}

void OwnerSession::spawnInBackground(Priority priority, asio::awaitable<void> work)
{
    spawnOn(BackgroundExecutor(m_background, priority), std::move(work));
}

void OwnerSession::spawnOn(const asio::any_io_executor &executor, asio::awaitable<void> work)
{
    ++m_activeCoroutines;
    asio::co_spawn(executor, std::move(work), [this](const std::exception_ptr &failure) {
        --m_activeCoroutines;
        if (failure) {
            try {
                std::rethrow_exception(failure);
            } catch (const std::exception &error) {
                LOG4CXX_ERROR(partLogger, "event=failure reason=\"" << error.what() << '"');
            }
        }
        m_wakeup.wake();
    });
}

asio::awaitable<void> OwnerSession::run()
{
    m_state.metrics.setOwner(true);
    spawn(followWorkers());
    spawnInBackground(Priority::Ordinary, probeOrdinaryWork());
    spawnInBackground(Priority::Urgent, measureTimerLag());
    while (!m_isOver) {
        if (m_scheduler.isDeposed())
            depose("a worker has seen a higher fencing token");
        if (m_isReleasing && !m_isCommitting && !m_isOver) {
            co_await writeRelease();
            depose("released");
        }
        if (m_isOver)
            break;
        co_await sendHeartbeatBeforeTurn();
        takeTurn();
        co_await m_wakeup.sleepUntil(nextWakeup());
        co_await m_turnPause.sleepUntil(turnPauseEndsAt());
    }
    m_state.metrics.setOwner(false);
    m_state.metrics.setOwnerLag(0);
    while (m_activeCoroutines > 0 || m_waitingCommands > 0)
        co_await m_wakeup.sleepUntil(Core::steadyNow() + retryDelay);
}

Core::Instant OwnerSession::heartbeatDueAt() const
{
    return Core::steadyNow() + (m_nextHeartbeatAt - Core::suspendAwareNow());
}

Core::Instant OwnerSession::nextWakeup() const
{
    const Jobs::TimePoint moment = now();
    Core::Instant next
        = isOwnershipProven() ? m_scheduler.nextWakeup(moment) : moment.instant + retryDelay;
    next = std::min(next, std::max(m_nextHeartbeatAt, moment.instant + commitInterval));
    return Core::steadyNow() + (next - moment.instant);
}

asio::awaitable<void> OwnerSession::sendHeartbeatBeforeTurn()
{
    const bool isDue = m_turnPacer.isHeartbeatFirst(Core::steadyNow(), heartbeatDueAt());
    if (m_isCommitting || !isDue)
        co_return;
    beginCommit();
    co_await m_turnPause.sleepUntil(Core::steadyNow() + heartbeatSendTime);
}

Core::Instant OwnerSession::turnPauseEndsAt() const
{
    const Core::Instant nextTurnAt = m_turnPacer.nextTurnAt();
    return m_isCommitting ? nextTurnAt : std::min(nextTurnAt, heartbeatDueAt());
}

void OwnerSession::takeTurn()
{
    if (m_isOver)
        return;
    const Core::Instant beganAt = Core::steadyNow();
    if (isIssuingCommands())
        spawnCommands();
    spawnCommit();
    m_loadLog.writeIfDue(m_scheduler, Core::steadyNow());
    m_turnPacer.noteTurn(beganAt, Core::steadyNow());
}

void OwnerSession::spawnCommands()
{
    if (!isOwnershipProven())
        return;
    updateStartHold();
    spawnRenewals();
    spawnPlannedCommands();
}

void OwnerSession::spawnRenewals()
{
    const LoopMeter::Work work(m_loadLog.loop(), "renewals");
    for (Jobs::RenewCommand &command : m_scheduler.takeRenewals(now()))
        spawnInBackground(Priority::Urgent, renew(std::move(command)));
}

/// An overloaded owner must delay what begins rather than what runs: only throttles and the starts
/// of less urgent queues wait for renewals and stops. The start window bounds the others.
static Priority priorityOf(const Jobs::StopCommand &)
{
    return Priority::Urgent;
}

static Priority priorityOf(const Jobs::StartCommand &command)
{
    // The members of a gang start together or not at all, so none of them may be withheld alone.
    return command.isOfGang || command.isUrgent ? Priority::Urgent : Priority::Ordinary;
}

static Priority priorityOf(const Jobs::ThrottleCommand &)
{
    return Priority::Ordinary;
}

template<typename Command>
void OwnerSession::spawnSending(Command command, Core::Instant deadline)
{
    const Priority priority = priorityOf(command);
    if (priority == Priority::Urgent) {
        spawnInBackground(Priority::Urgent, send(std::move(command), deadline));
        return;
    }
    ++m_waitingCommands;
    m_background->execute(priority, [this, waiting = std::move(command), deadline]() mutable {
        --m_waitingCommands;
        spawnInBackground(Priority::Urgent, send(std::move(waiting), deadline));
    });
}

void OwnerSession::spawnPlannedCommands()
{
    const LoopMeter::Work work(m_loadLog.loop(), "planning");
    const Core::Instant deadline = Core::steadyNow() + commandTimeout;
    for (Jobs::Command &command : m_scheduler.takeCommands(now())) {
        std::visit([this, deadline](
                       auto &typedCommand) { spawnSending(std::move(typedCommand), deadline); },
                   command);
    }
}

void OwnerSession::updateStartHold()
{
    const CopyTimes copies { m_state.catalogueFreshness.completeAsOf(),
                             m_state.tableFreshness.completeAsOf(),
                             m_workerFollower.completeAsOf() };
    const bool areHeld = areCopiesTooOldForStarts(copies, m_provenAt, m_state.settings.drainTime,
                                                  m_scheduler.hasCustomerLimits());
    if (areHeld != m_areStartsHeld) {
        const Core::Instant now = Core::suspendAwareNow();
        LOG4CXX_WARN(partLogger,
                     "event=" << (areHeld ? "starts-held" : "starts-resumed")
                              << " catalogue_age_ms=" << formatAgeMs(copies.operators, now)
                              << " table_age_ms=" << formatAgeMs(copies.jobs, now)
                              << " workers_age_ms=" << formatAgeMs(copies.workers, now));
    }
    m_areStartsHeld = areHeld;
    m_scheduler.setStartsHeld(areHeld);
}

void OwnerSession::spawnCommit()
{
    const bool isDue = m_scheduler.needsCommit() || m_groupCommit.isWaiting()
        || Core::suspendAwareNow() >= m_nextHeartbeatAt;
    if (!m_isCommitting && isDue)
        beginCommit();
}

void OwnerSession::beginCommit()
{
    m_isCommitting = true;
    spawn(commit());
}

Jobs::StoredRecord OwnerSession::encodeProgress(Jobs::ProgressRecord progress)
{
    Jobs::StoredRecord stored = Jobs::encodeRecord(progress).front();
    if (isTooLarge(stored)) {
        // Once the job is over, its progress may be encoded again, which isn't logged again.
        if (!progress.progress.isFinal())
            LOG4CXX_ERROR(partLogger,
                          "event=job-given-up job="
                              << progress.id << " bytes=" << sizeInBytes(stored)
                              << " most_bytes=" << maxBytesPerRecord
                              << " reason=\"its progress exceeds the maximum record size\"");
        progress = m_scheduler.failOversizedJob(progress.id, now());
        stored = Jobs::encodeRecord(progress).front();
    }
    m_follower.rememberSent(stored, std::move(progress));
    return stored;
}

AppendBatches OwnerSession::encodeCommit(std::vector<Jobs::JobRecord> records)
{
    const LoopMeter::Work work(m_loadLog.loop(), "commit");
    AppendBatches batches;
    for (Jobs::JobRecord &record : records) {
        if (auto *progress = std::get_if<Jobs::ProgressRecord>(&record))
            batches.add({ encodeProgress(std::move(*progress)) });
        else
            batches.add(Jobs::encodeRecord(record));
    }
    if (batches.isEmpty())
        batches.add(Jobs::encodeRecord(Jobs::Heartbeat { m_ownership.term }));
    return batches;
}

asio::awaitable<void> OwnerSession::commit()
{
    const bool isWritten = co_await writeCommit(m_scheduler.takeCommit());
    m_groupCommit.finish(isWritten);
    if (isWritten) {
        Supervision::Wakeup pause(m_executor);
        co_await pause.sleepUntil(Core::steadyNow() + commitInterval);
    }
    m_isCommitting = false;
}

asio::awaitable<bool> OwnerSession::writeCommit(Jobs::Commit commit)
{
    AppendBatches batches = encodeCommit(std::move(commit.records));
    const std::size_t ownBatches = batches.batches().size();
    for (std::vector<Jobs::StoredRecord> &group : m_groupCommit.take())
        batches.add(std::move(group));
    std::size_t writtenBatches = 0;
    for (const std::vector<Jobs::StoredRecord> &batch : batches.batches()) {
        const bool isWritten = co_await appendUntilWritten(batch);
        if (!isWritten)
            co_return false;
        ++writtenBatches;
        if (writtenBatches == ownBatches)
            confirm(commit.number);
    }
    co_return true;
}

void OwnerSession::confirm(std::int64_t commitNumber)
{
    const LoopMeter::Work work(m_loadLog.loop(), "committed");
    m_scheduler.onCommitted(commitNumber, m_provenAt, now());
    m_wakeup.wake();
}

asio::awaitable<bool>
OwnerSession::appendUntilWritten(const std::vector<Jobs::StoredRecord> &records)
{
    Supervision::Wakeup pause(m_executor);
    const Core::Instant firstSentAt = Core::suspendAwareNow();
    while (!m_isOver) {
        const bool isWritten = co_await appendOnce(records);
        if (isWritten) {
            // The first call may have been the one that wrote the records.
            m_nextHeartbeatAt = firstSentAt + heartbeatInterval;
            m_scheduler.setStoreReachable(true);
            co_return true;
        }
        if (!m_state.health.isReachable())
            m_scheduler.setStoreReachable(false);
        co_await pause.sleepUntil(Core::steadyNow() + appendRetryDelay);
    }
    co_return false;
}

asio::awaitable<bool> OwnerSession::appendOnce(const std::vector<Jobs::StoredRecord> &records)
{
    const FencedWriter writer { m_ownership.token, m_nextSequence };
    const auto append = std::make_shared<FencedAppend>(m_log, m_executor, records, writer);
    const FencedAppend::Spawn spawnCall
        = [this](asio::awaitable<void> call) { spawn(std::move(call)); };
    const Core::Instant beganAt = Core::steadyNow();
    m_appendPace.begin(beganAt);
    try {
        const FencedAppend::Receipt receipt = co_await append->send(
            spawnCall, m_appendPace.repetitionDelay(), beganAt + m_appendPace.timeLimit());
        noteCommitted();
        m_provenAt = receipt.sentAt;
        m_scheduler.noteProven(receipt.sentAt);
        // A claim takes the offset of its own record, and so a higher token than these records'.
        m_scheduler.offerToken(receipt.offset + 1);
        ++m_nextSequence;
        m_loadLog.loop().noteAppendAnswered(Core::steadyNow());
        if (m_state.health.noteSuccess(Core::steadyNow()))
            LOG4CXX_INFO(partLogger, "event=regained dependency=store");
        co_return true;
    } catch (const FencedError &error) {
        depose(error.what());
    } catch (const ConflictError &error) {
        LOG4CXX_WARN(partLogger,
                     "event=sequence sent=" << m_nextSequence << " expected=" << error.expected());
        m_nextSequence = error.expected();
    } catch (const Core::Error &error) {
        LOG4CXX_WARN(partLogger, "event=commit-failed reason=\"" << error.what() << '"');
        m_state.metrics.countFailedCommit();
        if (m_state.health.noteFailure(Core::steadyNow()))
            LOG4CXX_WARN(partLogger, "event=lost dependency=store");
    }
    m_appendPace.fail(Core::steadyNow());
    co_return false;
}

void OwnerSession::noteCommitted()
{
    const Core::Instant now = Core::steadyNow();
    m_appendPace.end(now);
    if (m_lastCommittedAt)
        m_longestCommitGap = std::max(m_longestCommitGap, now - *m_lastCommittedAt);
    m_lastCommittedAt = now;
    const std::chrono::duration<double> gap = m_longestCommitGap;
    m_state.metrics.setLongestCommitGap(gap.count());
}

asio::awaitable<void> OwnerSession::writeRelease()
{
    Jobs::OwnerClaim claim = m_state.settings.claim(m_ownership.term, true);
    // The claim may count on leases of an owner before this one.
    const std::optional<Jobs::OwnerClaim> &last = m_state.ownerMonitor.claim();
    if (last && last->term == claim.term)
        claim.maxLeaseAfterProofMs
            = std::max(claim.maxLeaseAfterProofMs, last->maxLeaseAfterProofMs);
    const std::vector<Jobs::StoredRecord> records = Jobs::encodeRecord(claim);
    const bool isWritten = co_await appendOnce(records);
    LOG4CXX_INFO(partLogger, "event=release term=" << m_ownership.term << " written=" << isWritten);
}

asio::awaitable<void> OwnerSession::probeOrdinaryWork()
{
    Supervision::Wakeup pause(m_executor);
    while (!m_isOver) {
        m_ordinaryProbeDueAt = Core::steadyNow() + timerLagInterval;
        co_await pause.sleepUntil(m_ordinaryProbeDueAt);
        const Core::Duration lag = Core::steadyNow() - m_ordinaryProbeDueAt;
        m_ordinaryLag = std::min(lag, m_lastOrdinaryLag);
        m_lastOrdinaryLag = lag;
    }
}

asio::awaitable<void> OwnerSession::measureTimerLag()
{
    Supervision::Wakeup pause(m_executor);
    while (!m_isOver) {
        const Core::Instant due = Core::steadyNow() + timerLagInterval;
        co_await pause.sleepUntil(due);
        const Core::Instant now = Core::steadyNow();
        // Urgent work may keep the ordinary probe from running for as long as it likes.
        const Core::Duration lag
            = std::max({ now - due, now - m_ordinaryProbeDueAt, m_ordinaryLag });
        m_scheduler.setLag(lag);
        m_loadLog.loop().noteTimerLag(lag);
    }
}

void OwnerSession::applyWorkers()
{
    const LoopMeter::Work work(m_loadLog.loop(), "workers");
    m_scheduler.setWorkers(m_workerFollower.workers(), now());
    m_wakeup.wake();
}

asio::awaitable<void> OwnerSession::followWorkers()
{
    while (!m_isOver) {
        // No task starts before the first copy is complete, so nothing is waited for until then.
        const bool isComplete = m_workerFollower.completeAsOf().has_value();
        Core::Duration pause = isComplete ? workersReadPause : Core::Duration();
        try {
            const bool isChanged
                = co_await m_workerFollower.read(isComplete ? workersReadWaitMs : 0);
            if (isChanged && !m_isOver)
                applyWorkers();
        } catch (const Core::Error &error) {
            LOG4CXX_WARN(partLogger,
                         "event=read-failed topic=workers workers_age_ms=" << formatAgeMs(
                             m_workerFollower.completeAsOf(), Core::suspendAwareNow())
                                                                           << " reason=\""
                                                                           << error.what() << '"');
            pause = retryDelay;
        }
        co_await m_workersWakeup.sleepUntil(Core::steadyNow() + pause);
    }
}

} // namespace Site
