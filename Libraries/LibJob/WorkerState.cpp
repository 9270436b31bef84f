#include <LibJob/WorkerState.h>

#include <algorithm>

namespace Jobs {

/// A worker with this many failures without a success in between is quarantined.
static constexpr int quarantineAfterFailures = 2;

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Workers report loads as means over this time.
static constexpr Core::Duration reportWindow = milliseconds(500);

void WorkerState::update(const WorkerInfo &info)
{
    const bool isListedAnew
        = info.address != m_info.address || info.processStartUnixMs != m_info.processStartUnixMs;
    if (isListedAnew)
        m_replacedAt = {};
    m_info = info;
    notifyCapacityObserver();
}

void WorkerState::setServingUtilization(double fraction)
{
    m_servingUtilization = fraction;
    notifyCapacityObserver();
}

void WorkerState::addRun(const TaskName &task, const StepSpec &step, ImageIndex image)
{
    if (!m_runs.insert(task).second)
        return;
    m_startingRuns.insert(task);
    count(step, image, 1);
    notifyRenewalObserver();
    notifyCapacityObserver();
}

void WorkerState::removeRun(const TaskName &task, const StepSpec &step, ImageIndex image)
{
    if (m_runs.erase(task) == 0)
        return;
    noteSurvivedStart(task);
    count(step, image, -1);
    notifyRenewalObserver();
    notifyCapacityObserver();
}

void WorkerState::setWitness(bool isWitness)
{
    if (m_isWitness == isWitness)
        return;
    m_isWitness = isWitness;
    notifyRenewalObserver();
}

void WorkerState::ask(Core::Instant now)
{
    m_isAsked = true;
    renewBy(now);
}

void WorkerState::isolate(const TaskName &task, bool mayBeShared)
{
    m_isIsolationShared = mayBeShared && (!hasIsolatedRun() || m_isIsolationShared);
    m_isolatedRuns.insert(task);
}

void WorkerState::noteSurvivedStart(const TaskName &task)
{
    m_startingRuns.erase(task);
    m_isolatedRuns.erase(task);
}

void WorkerState::noteThrottle(const StepSpec &step, int formerPercent, int percent)
{
    m_bestEffortMilliCores
        += step.need.milliCores * percent / 100 - step.need.milliCores * formerPercent / 100;
    notifyCapacityObserver();
}

void WorkerState::noteBestEffortEnded(const StepSpec &step, ImageIndex image, int percent,
                                      Core::Instant now)
{
    const double share = shareOf(step.need.milliCores) * percent / 100;
    m_endedBestEffort.push_back({ { image, share }, now });
}

std::vector<BestEffortUse> WorkerState::endedBestEffort(Core::Instant now)
{
    std::erase_if(m_endedBestEffort, [now](const EndedBestEffort &ended) {
        return now >= ended.endedAt + reportWindow;
    });
    std::vector<BestEffortUse> uses;
    for (const EndedBestEffort &ended : m_endedBestEffort) {
        const std::chrono::duration<double> remaining = ended.endedAt + reportWindow - now;
        const std::chrono::duration<double> window = reportWindow;
        uses.push_back({ ended.use.image, ended.use.share * (remaining / window) });
    }
    return uses;
}

/// Adds to the count of an image, and removes the entry when the count becomes 0.
template<typename Number>
static void addTo(std::map<ImageIndex, Number> &counts, ImageIndex image, Number number)
{
    const auto entry = counts.try_emplace(image, 0).first;
    entry->second += number;
    if (entry->second == 0)
        counts.erase(entry);
}

void WorkerState::count(const StepSpec &step, ImageIndex image, int sign)
{
    ++revision;
    m_used.mebibytes += sign * step.need.mebibytes;
    m_used.accelerators += sign * step.need.accelerators;
    if (step.isBestEffort) {
        m_bestEffortCount += sign;
        m_bestEffortMilliCores += sign * step.need.milliCores;
        addTo(m_bestEffortImages, image, sign * step.need.milliCores);
        return;
    }
    m_used.milliCores += sign * step.need.milliCores;
    if (step.isLongRunning)
        m_usedByLongRunning
            = sign > 0 ? m_usedByLongRunning + step.need : m_usedByLongRunning - step.need;
    if (step.tailTargetMs > 0) {
        m_servingCount += sign;
        m_servingMilliCores += sign * step.need.milliCores;
        addTo(m_servingImages, image, sign);
    }
}

double WorkerState::shareOf(std::int64_t milliCores) const
{
    const std::int64_t capacity = std::max<std::int64_t>(m_info.capacity.milliCores, 1);
    return static_cast<double>(milliCores) / static_cast<double>(capacity);
}

std::vector<BestEffortUse> WorkerState::plannedBestEffort() const
{
    std::vector<BestEffortUse> uses;
    for (const auto &[image, milliCores] : m_bestEffortImages)
        uses.push_back({ image, shareOf(milliCores) });
    return uses;
}

bool WorkerState::hasRoomForCounted(const StepSpec &step) const
{
    const Core::Resources free = freeResources();
    const bool hasProcessors = step.isBestEffort || free.milliCores >= 0;
    return hasProcessors && free.mebibytes >= 0 && free.accelerators >= 0;
}

void WorkerState::setReserved(const Core::Resources &reserved)
{
    m_reserved = reserved;
    notifyCapacityObserver();
}

void WorkerState::setUnwantedUse(const UnwantedUse &use)
{
    if (m_unwantedUse == use)
        return;
    m_unwantedUse = use;
    notifyRenewalObserver();
    notifyCapacityObserver();
}

int WorkerState::runsOfStep(const TaskName &task) const
{
    TaskName first = task;
    first.index = 0;
    int count = 0;
    for (auto it = m_runs.lower_bound(first); it != m_runs.end(); ++it) {
        if (it->job != task.job || it->occurrence != task.occurrence || it->step != task.step)
            break;
        ++count;
    }
    return count;
}

void WorkerState::readClock(std::int64_t clockMs, Core::Instant now)
{
    m_clockMs = clockMs;
    m_clockReadAt = now;
}

std::int64_t WorkerState::grantLease(Core::Instant now, Core::Instant latestEnd)
{
    const double slowestRate = 1.0 - m_settings.clockDrift;
    const Core::Duration untilLatestEnd = latestEnd - m_settings.clockSlack - m_clockReadAt;
    const auto mostMs = static_cast<std::int64_t>(
        static_cast<double>(duration_cast<milliseconds>(untilLatestEnd).count()) * slowestRate);
    const std::int64_t wantedMs
        = duration_cast<milliseconds>(now - m_clockReadAt + m_settings.lease).count();
    const std::int64_t deadlineMs = m_clockMs + std::min(wantedMs, mostMs);
    const auto longestMs
        = static_cast<std::int64_t>(static_cast<double>(deadlineMs - m_clockMs) / slowestRate);
    extendLatestLeaseEnd(m_clockReadAt + milliseconds(longestMs) + m_settings.clockSlack);
    return deadlineMs;
}

void WorkerState::extendLatestLeaseEnd(Core::Instant bound)
{
    m_latestLeaseEnd = std::max(m_latestLeaseEnd, bound);
}

void WorkerState::noteAnswer(Core::Instant now)
{
    m_lastAnswerAt = now;
    m_answeredAddress = m_renewalAddress;
    m_isAsked = false;
    m_isUnresponsive = false;
    m_unresponsiveSince = {};
    m_replacedAt = {};
    notifyRenewalObserver();
}

void WorkerState::markUnresponsive(Core::Instant now)
{
    if (!m_isUnresponsive)
        m_unresponsiveSince = now;
    m_isUnresponsive = true;
    notifyRenewalObserver();
}

void WorkerState::markReplaced(Core::Instant now)
{
    m_replacedAt = now;
    markUnresponsive(now);
}

void WorkerState::setReconciled(bool isReconciled)
{
    m_isReconciled = isReconciled;
    notifyRenewalObserver();
}

void WorkerState::setListed(std::size_t position)
{
    m_isListed = true;
    m_listPosition = position;
    notifyRenewalObserver();
    notifyCapacityObserver();
}

void WorkerState::setUnlisted()
{
    m_isListed = false;
    notifyRenewalObserver();
    notifyCapacityObserver();
}

void WorkerState::setRenewing(bool isRenewing)
{
    m_isRenewing = isRenewing;
    notifyRenewalObserver();
}

void WorkerState::noteRenewalSent()
{
    m_renewalAddress = m_info.address;
    setRenewing(true);
}

void WorkerState::setNextRenewalAt(Core::Instant at)
{
    m_nextRenewalAt = at;
    notifyRenewalObserver();
}

bool WorkerState::wantsRenewal() const
{
    if (m_isRenewing)
        return false;
    // An unresponsive worker without runs is asked until it answers; otherwise it would never be
    // given a task again.
    return !m_runs.empty() || m_unwantedUse.runs > 0
        || (m_isListed && (!m_isReconciled || m_isUnresponsive || m_isWitness || m_isAsked));
}

void WorkerState::notifyCapacityObserver()
{
    if (m_capacityObserver)
        m_capacityObserver->onWorkerChanged(*this);
}

void WorkerState::notifyRenewalObserver()
{
    if (m_renewalObserver)
        m_renewalObserver->onWorkerChanged(*this);
}

void WorkerState::beginIncarnation(std::int64_t processStartUnixMs, Core::Instant now)
{
    m_contactBeganAt = now;
    if (m_firstReportAt == Core::Instant())
        m_firstReportAt = now;
    if (m_processStartUnixMs == processStartUnixMs)
        return;
    m_needsHigherToken = m_processStartUnixMs != 0;
    m_firstReportAt = now;
    m_processStartUnixMs = processStartUnixMs;
    m_processedEnd = 0;
    m_acknowledgedEnd = 0;
    m_heardAcknowledgement = 0;
    m_uncommittedEnds.clear();
    m_clockReadAt = {};
    m_consecutiveFailures = 0;
    m_avoidedUntil = {};
    m_quarantinedUntil = {};
    m_refusingUntil = {};
    setUnwantedUse({});
}

void WorkerState::noteProcessedEnd(std::int64_t number, std::int64_t commit)
{
    m_processedEnd = std::max(m_processedEnd, number);
    m_uncommittedEnds[commit] = m_processedEnd;
}

void WorkerState::noteCommitted(std::int64_t commit)
{
    const auto end = m_uncommittedEnds.upper_bound(commit);
    for (auto it = m_uncommittedEnds.begin(); it != end; ++it)
        m_acknowledgedEnd = std::max(m_acknowledgedEnd, it->second);
    m_uncommittedEnds.erase(m_uncommittedEnds.begin(), end);
}

std::int64_t WorkerState::acknowledgementToSend() const
{
    const bool mayBeOtherProcess
        = m_isUnresponsive || m_info.processStartUnixMs > m_processStartUnixMs;
    return !mayBeOtherProcess && m_acknowledgedEnd > m_heardAcknowledgement ? m_acknowledgedEnd : 0;
}

void WorkerState::noteAcknowledgementHeard(std::int64_t number)
{
    m_heardAcknowledgement = std::max(m_heardAcknowledgement, number);
}

void WorkerState::raiseToken(FencingToken token, Core::Instant now)
{
    m_token = token;
    m_tokenRaisedAt = now;
    m_needsHigherToken = false;
}

void WorkerState::noteTaskDone()
{
    m_consecutiveFailures = 0;
}

void WorkerState::noteTaskFailed(Core::Instant now)
{
    ++m_consecutiveFailures;
    if (m_consecutiveFailures >= quarantineAfterFailures)
        m_quarantinedUntil = now + m_settings.quarantine;
    m_avoidedUntil
        = std::max({ m_avoidedUntil, now + m_settings.failureBackoff, m_quarantinedUntil });
}

void WorkerState::noteRefusal(Core::Instant now)
{
    m_refusingUntil = std::max(m_refusingUntil, now + m_settings.failureBackoff);
}

void WorkerState::noteUnhealthy(Core::Instant now)
{
    noteTaskFailed(now);
    m_refusingUntil = std::max(m_refusingUntil, m_avoidedUntil);
}

} // namespace Jobs
