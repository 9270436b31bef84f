#include <LibSite/RecordWriter.h>

#include <LibCore/SteadyClock.h>
#include <LibLog/Logging.h>
#include <LibSite/AppendBatches.h>
#include <LibSite/GroupCommit.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace Site {

namespace asio = boost::asio;

/// How long one append may take before it is retried.
static constexpr Core::Duration appendTimeout = std::chrono::milliseconds(900);
static constexpr Core::Duration retryDelay = std::chrono::milliseconds(100);
/// How long the owner may take for forwarded records: two appends of a slow store, and its commit.
static constexpr Core::Duration forwardTimeout = std::chrono::milliseconds(1500);
static constexpr Core::Duration probeTimeout = std::chrono::milliseconds(300);
/// Time that a probe leaves for forwarding. The owner has reported a latency below 50 ms.
static constexpr Core::Duration forwardReserve = std::chrono::milliseconds(500);
/// A write that is tried although it isn't expected to be durable in time gets this long at least:
/// a shorter attempt would tell nothing of the store.
static constexpr Core::Duration minTrialTime = std::chrono::milliseconds(300);
static const auto partLogger = Log::essentialLogger("writer");

static std::int64_t inMilliseconds(Core::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

RecordWriter::RecordWriter(SiteState &state, KeyedLog &log, const asio::any_io_executor &executor,
                           RecordForwarder *forwarder)
    : m_state(state)
    , m_log(log)
    , m_executor(executor)
    , m_forwarder(forwarder)
{
}

bool RecordWriter::isAnyTooLarge(const std::vector<Jobs::StoredRecord> &records)
{
    const auto tooLarge = std::find_if(records.begin(), records.end(), isTooLarge);
    if (tooLarge == records.end())
        return false;
    LOG4CXX_WARN(partLogger,
                 "event=record-too-large key=" << tooLarge->key
                                               << " bytes=" << sizeInBytes(*tooLarge));
    return true;
}

asio::awaitable<WriteOutcome> RecordWriter::write(std::vector<Jobs::StoredRecord> records,
                                                  Core::Instant deadline)
{
    if (isAnyTooLarge(records) || !isAdmitted(deadline))
        co_return WriteOutcome::NotWritten;
    const auto pending = std::make_shared<PendingWrite>(
        PendingWrite { std::move(records), deadline, Supervision::Wakeup(m_executor) });
    m_pending.push_back(pending);
    if (!m_isWriting) {
        m_isWriting = true;
        asio::co_spawn(m_executor, writePending(), asio::detached);
    }
    while (!pending->isDecided)
        co_await pending->wakeup.sleepUntil(Core::Instant::max());
    co_return pending->outcome;
}

void RecordWriter::decide(PendingWrite &pending, WriteOutcome outcome)
{
    pending.outcome = outcome;
    pending.isDecided = true;
    pending.wakeup.wake();
}

void RecordWriter::decideAll(Batch &batch, WriteOutcome outcome)
{
    for (const auto &pending : batch)
        decide(*pending, outcome);
    batch.clear();
}

void RecordWriter::giveUp(PendingWrite &pending)
{
    decide(pending, pending.isInDoubt ? WriteOutcome::Unknown : WriteOutcome::NotWritten);
}

std::vector<Jobs::StoredRecord> RecordWriter::recordsOf(const Batch &batch)
{
    std::vector<Jobs::StoredRecord> records;
    for (const auto &pending : batch)
        records.insert(records.end(), pending->records.begin(), pending->records.end());
    return records;
}

void RecordWriter::markInDoubt(const Batch &batch)
{
    for (const auto &pending : batch)
        pending->isInDoubt = true;
}

RecordWriter::Batch RecordWriter::takeBatch()
{
    Batch batch;
    std::size_t bytes = 0;
    std::size_t count = 0;
    while (!m_pending.empty()) {
        for (const Jobs::StoredRecord &record : m_pending.front()->records)
            bytes += sizeInBytes(record);
        count += m_pending.front()->records.size();
        const bool isFull = bytes > maxBytesPerAppend || count > maxRecordsPerAppend;
        if (isFull && !batch.empty())
            break;
        batch.splice(batch.end(), m_pending, m_pending.begin());
    }
    return batch;
}

std::string RecordWriter::findOwner() const
{
    if (m_state.groupCommit != nullptr)
        return m_state.settings.nodeName;
    const std::optional<Jobs::OwnerClaim> &claim = m_state.ownerMonitor.claim();
    if (m_forwarder == nullptr || !claim || claim->isReleased || m_state.ownerMonitor.isOwner())
        return {};
    return claim->address;
}

WriteRoute::Choice RecordWriter::chooseRoute(Core::Instant now) const
{
    return m_route.choose(findOwner(), now);
}

bool RecordWriter::canWrite() const
{
    return m_state.health.isReachable() || m_route.isOwnerReachable(findOwner(), Core::steadyNow());
}

AppendQueue RecordWriter::queueAhead(Core::Instant now) const
{
    const WriteRoute::Choice choice = chooseRoute(now);
    std::size_t records = 0;
    std::size_t bytes = 0;
    for (const auto &pending : m_pending) {
        records += pending->records.size();
        for (const Jobs::StoredRecord &record : pending->records)
            bytes += sizeInBytes(record);
    }
    AppendQueue queue;
    queue.latency = m_route.estimate(choice.path).latency;
    if (m_beganAt)
        queue.inFlightFor = now - *m_beganAt;
    queue.fullAppends = std::max(records / maxRecordsPerAppend, bytes / maxBytesPerAppend);
    queue.pause = choice.notBefore - now;
    return queue;
}

bool RecordWriter::isAdmitted(Core::Instant deadline)
{
    const Core::Instant now = Core::steadyNow();
    const AppendQueue queue = queueAhead(now);
    const bool isExpectedInTime = isDurableWithin(queue, deadline - now);
    if (!isExpectedInTime && !isTrialDue(deadline, now)) {
        logRefusal(queue, deadline, now);
        return false;
    }
    if (!isExpectedInTime)
        LOG4CXX_INFO(partLogger, "event=write-tried latency_ms=" << inMilliseconds(queue.latency));
    ++m_admittedWrites;
    return true;
}

bool RecordWriter::isTrialDue(Core::Instant deadline, Core::Instant now) const
{
    const WriteRoute::Choice choice = chooseRoute(now);
    const bool canBeginNow = !m_isWriting && choice.notBefore <= now;
    return canBeginNow && now + minTrialTime <= deadline
        && !m_route.estimate(choice.path).isCurrent(now);
}

void RecordWriter::logRefusal(const AppendQueue &queue, Core::Instant deadline, Core::Instant now)
{
    const LatencyEstimate estimate = m_route.estimate(chooseRoute(now).path);
    m_state.metrics.countRefusedWrite(latencySourceText(estimate.source));
    const bool isMeasured = estimate.source != LatencySource::None;
    const std::string age
        = isMeasured ? std::to_string(inMilliseconds(now - estimate.measuredAt)) : "never";
    LOG4CXX_INFO(partLogger,
                 "event=write-refused reason=deadline latency_ms="
                     << inMilliseconds(queue.latency) << " source="
                     << latencySourceText(estimate.source) << " age_ms=" << age << " in_flight_ms="
                     << inMilliseconds(queue.inFlightFor.value_or(Core::Duration())) << " admitted="
                     << m_admittedWrites << " ahead_ms=" << inMilliseconds(drainTime(queue))
                     << " left_ms=" << inMilliseconds(deadline - now));
}

std::int64_t RecordWriter::retryAfterSeconds() const
{
    const Core::Instant now = Core::steadyNow();
    return Site::retryAfterSeconds(std::max(drainTime(queueAhead(now)), m_ownerDrainedAt - now));
}

asio::awaitable<void> RecordWriter::writeBatch(Batch &batch, WriteRoute::Path path)
{
    const Core::Instant now = Core::steadyNow();
    Core::Instant latestDeadline = {};
    Core::Instant earliestDeadline = Core::Instant::max();
    for (const auto &pending : batch) {
        latestDeadline = std::max(latestDeadline, pending->deadline);
        earliestDeadline = std::min(earliestDeadline, pending->deadline);
    }
    const bool hasTimeForProbe = now + probeTimeout + forwardReserve < earliestDeadline;
    m_beganAt = now;
    if (path == WriteRoute::Path::Direct) {
        co_await appendBatch(batch, std::min(latestDeadline, now + appendTimeout));
    } else if (path == WriteRoute::Path::Probe && hasTimeForProbe) {
        m_route.noteProbe(now);
        co_await appendBatch(batch, now + probeTimeout);
    } else {
        co_await forwardBatch(batch, std::min(latestDeadline, now + forwardTimeout));
    }
    m_beganAt.reset();
    logRoute();
}

void RecordWriter::noteAppendFailure(Core::Instant beganAt, Core::Instant deadline)
{
    const Core::Instant now = Core::steadyNow();
    const std::optional<Core::Duration> waited = measureLatency(beganAt, deadline, now);
    if (waited)
        m_route.noteDirectFailure(*waited, now);
    else
        m_route.noteStoreLost();
    if (m_state.health.noteFailure(now))
        LOG4CXX_WARN(partLogger, "event=lost dependency=store");
}

asio::awaitable<void> RecordWriter::appendBatch(Batch &batch, Core::Instant deadline)
{
    const Core::Instant beganAt = Core::steadyNow();
    try {
        co_await m_log.append(recordsOf(batch), deadline);
        decideAll(batch, WriteOutcome::Written);
        const Core::Instant now = Core::steadyNow();
        const std::optional<Core::Duration> latency = measureLatency(beganAt, deadline, now);
        if (latency)
            m_route.noteDirect(*latency, now);
        if (m_state.health.noteSuccess(now))
            LOG4CXX_INFO(partLogger, "event=regained dependency=store");
        co_return;
    } catch (const Core::OutcomeUnknownError &error) {
        LOG4CXX_WARN(partLogger,
                     "event=append-unknown records=" << batch.size() << " reason=\"" << error.what()
                                                     << '"');
        m_state.metrics.countFailedAppend("unanswered");
        markInDoubt(batch);
    } catch (const Core::Error &error) {
        LOG4CXX_WARN(partLogger,
                     "event=append-refused records=" << batch.size() << " reason=\"" << error.what()
                                                     << '"');
        m_state.metrics.countFailedAppend("refused");
    }
    noteAppendFailure(beganAt, deadline);
}

asio::awaitable<void> RecordWriter::forwardBatch(Batch &batch, Core::Instant deadline)
{
    const std::string owner = findOwner();
    std::vector<Jobs::StoredRecord> records = recordsOf(batch);
    const std::size_t recordCount = records.size();
    ForwardResult result;
    if (m_state.groupCommit != nullptr)
        result = co_await m_state.groupCommit->write(std::move(records), deadline);
    else
        result = co_await m_forwarder->forward(owner, std::move(records), deadline);
    m_state.metrics.countForwarded(forwardOutcomeText(result.outcome), recordCount);
    if (result.outcome != ForwardOutcome::Written)
        LOG4CXX_WARN(partLogger,
                     "event=forward-failed records="
                         << recordCount << " owner=" << owner
                         << " outcome=" << forwardOutcomeText(result.outcome)
                         << " latency_ms=" << inMilliseconds(result.latency));
    applyForwardResult(batch, owner, result);
}

void RecordWriter::applyForwardResult(Batch &batch, const std::string &owner,
                                      const ForwardResult &result)
{
    const Core::Instant now = Core::steadyNow();
    switch (result.outcome) {
    case ForwardOutcome::Written:
        m_route.noteOwnerAnswer(result.latency, now);
        decideAll(batch, WriteOutcome::Written);
        break;
    case ForwardOutcome::Refused:
        m_route.noteOwnerAnswer(result.latency, now);
        m_ownerDrainedAt = now + result.drainTime;
        for (const auto &pending : batch)
            giveUp(*pending);
        batch.clear();
        break;
    case ForwardOutcome::Unknown:
        m_route.noteOwnerAnswer(result.latency, now);
        markInDoubt(batch);
        break;
    case ForwardOutcome::NoAnswer:
        markInDoubt(batch);
        m_route.noteOwnerUnreachable(owner, now);
        break;
    case ForwardOutcome::NotOwner:
    case ForwardOutcome::NotSent:
        m_route.noteOwnerUnreachable(owner, now);
        break;
    }
}

static const char *routeReason(const WriteRoute &route)
{
    if (route.isDirect())
        return "fast";
    return route.hasFailed() ? "failed" : "slow";
}

void RecordWriter::logRoute()
{
    const std::string owner = findOwner();
    // Without an owner to forward to, the node goes on appending by itself.
    const bool isDirect = m_route.isDirect() || owner.empty();
    if (m_wasDirect == isDirect)
        return;
    m_wasDirect = isDirect;
    LOG4CXX_INFO(partLogger,
                 "event=" << (m_wasDirect ? "writes-direct" : "writes-forwarded")
                          << " reason=" << routeReason(m_route) << " latency_ms="
                          << inMilliseconds(m_route.estimate(WriteRoute::Path::Direct).latency)
                          << " owner_latency_ms="
                          << inMilliseconds(m_route.estimate(WriteRoute::Path::Forward).latency)
                          << " owner=" << (owner.empty() ? "none" : owner));
}

void RecordWriter::refuseLate(Core::Instant notBefore)
{
    const Core::Duration latency = m_route.estimate(WriteRoute::Path::Direct).latency;
    Batch kept;
    while (!m_pending.empty()) {
        const std::shared_ptr<PendingWrite> pending = m_pending.front();
        if (notBefore + latency > pending->deadline) {
            giveUp(*pending);
            m_pending.pop_front();
        } else {
            kept.splice(kept.end(), m_pending, m_pending.begin());
        }
    }
    m_pending = std::move(kept);
}

void RecordWriter::retryOrDecide(const Batch &batch, Core::Instant now)
{
    // A retry has no effect on a record that was written, even if it arrives late, so records with
    // time left are retried.
    for (const auto &pending : batch) {
        if (now + retryDelay < pending->deadline)
            m_pending.push_back(pending);
        else
            giveUp(*pending);
    }
}

asio::awaitable<void> RecordWriter::writePending()
{
    Supervision::Wakeup pause(m_executor);
    while (!m_pending.empty()) {
        if (!m_state.health.isReachable())
            m_route.noteStoreLost();
        const Core::Instant now = Core::steadyNow();
        const WriteRoute::Choice choice = chooseRoute(now);
        if (choice.notBefore > now) {
            refuseLate(choice.notBefore);
            // The owner may be reachable again before that.
            co_await pause.sleepUntil(std::min(choice.notBefore, now + retryDelay));
            continue;
        }
        Batch batch = takeBatch();
        co_await writeBatch(batch, choice.path);
        if (batch.empty())
            continue;
        const Core::Instant failedAt = Core::steadyNow();
        retryOrDecide(batch, failedAt);
        co_await pause.sleepUntil(failedAt + retryDelay);
    }
    m_isWriting = false;
}

} // namespace Site
