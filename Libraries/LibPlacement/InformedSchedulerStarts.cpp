#include <LibPlacement/InformedScheduler.h>

#include <algorithm>
#include <utility>

namespace Placement {

namespace {

/// The number of tasks at the head of a team queue that may fail to be placed before the pass skips
/// to the position at which the last pass ended.
constexpr int headTries = 2;
/// How long a task waits for the evicted attempts to free capacity before it is queued again.
constexpr Core::Duration preemptionLifetime = std::chrono::seconds(60);

} // namespace

void InformedScheduler::expireClaims(Pass &pass)
{
    for (const Core::TaskId &task : m_fleet.claims().expiredTasks(pass.now))
        requeueClaim(task);
}

void InformedScheduler::startClaimed(Pass &pass)
{
    m_workersWithClaimsToCheck.merge(m_fleet.takeWorkersWithClaimsToCheck());
    while (!m_workersWithClaimsToCheck.empty() && mayStart(pass)) {
        const WorkerSlot worker = *m_workersWithClaimsToCheck.begin();
        startClaimedOn(pass, worker);
        if (mayStart(pass))
            m_workersWithClaimsToCheck.erase(worker);
    }
    // Discards the changes made by these starts, as their workers have just been checked.
    m_fleet.takeWorkersWithClaimsToCheck();
}

void InformedScheduler::startClaimedOn(Pass &pass, WorkerSlot worker)
{
    for (const Core::TaskId &task : m_fleet.claims().onWorker(worker)) {
        if (!mayStart(pass))
            return;
        const Claim claim = *m_fleet.claims().find(task);
        if (!claim.task.spec.declared.fitsIn(m_fleet.available(worker)))
            continue;
        m_fleet.releaseClaim(task);
        const bool isPreemption = claim.kind == ClaimKind::Preemption;
        start(pass, claim.task, worker,
              isPreemption ? "room was made for it by evictions" : "room was kept for it");
    }
}

void InformedScheduler::startWaiting(Pass &pass)
{
    if (m_isOutOfService || m_queue.size() == 0)
        return;
    std::vector<QueueCursor> cursors = queueCursors();
    while (!cursors.empty() && mayStart(pass) && pass.budgetLeft > 0) {
        const auto chosen = std::min_element(cursors.begin(), cursors.end(), hasPrecedence);
        placeNext(pass, cursors, chosen - cursors.begin());
    }
    savePositions(cursors);
}

std::vector<InformedScheduler::QueueCursor> InformedScheduler::queueCursors() const
{
    std::vector<QueueCursor> cursors;
    cursors.reserve(m_queue.teamQueues().size());
    for (const auto &[id, queue] : m_queue.teamQueues()) {
        QueueCursor &cursor = cursors.emplace_back();
        cursor.id = id;
        cursor.queue = &queue;
        cursor.next = queue.begin();
        rank(cursor);
    }
    return cursors;
}

void InformedScheduler::rank(QueueCursor &cursor) const
{
    const Core::Resources &need = (*cursor.next)->task.spec.declared;
    cursor.isBorrowing = m_fleet.quotas().wouldBorrow(cursor.id.team, cursor.id.kind, need);
    cursor.share = m_fleet.quotas().weightedDominantShare(cursor.id.team);
}

bool InformedScheduler::hasPrecedence(const QueueCursor &left, const QueueCursor &right)
{
    if (left.id.kind != right.id.kind)
        return left.id.kind == Rules::TaskKind::LatencyCritical;
    if (left.isBorrowing != right.isBorrowing)
        return right.isBorrowing;
    // Capacity within quota goes by priority and age, borrowed capacity by weighted dominant share.
    if (left.isBorrowing && left.share != right.share)
        return left.share < right.share;
    const WaitingQueue::ItemOrder isEarlier;
    return isEarlier(*left.next, *right.next);
}

void InformedScheduler::placeNext(Pass &pass, std::vector<QueueCursor> &cursors, std::size_t chosen)
{
    QueueCursor &cursor = cursors[chosen];
    const WaitingQueue::Item &item = **cursor.next;
    const Core::TeamId team = cursor.id.team;
    // Checked before tryPlace(), because the team queue is deleted with its last task.
    const bool isOnlyTask = cursor.queue->size() == 1;
    ++cursor.next;
    const Outcome outcome = tryPlace(pass, item);
    const bool isGone = outcome != Outcome::Failed;
    if ((isGone && isOnlyTask) || cursor.next == cursor.queue->end()) {
        m_resumeAt.erase(cursor.id);
        cursors.erase(cursors.begin() + static_cast<std::ptrdiff_t>(chosen));
    } else if (!isGone && ++cursor.failures == headTries) {
        skipToSavedPosition(cursor);
    }
    for (QueueCursor &other : cursors) {
        if (other.id.team == team)
            rank(other);
    }
}

void InformedScheduler::skipToSavedPosition(QueueCursor &cursor) const
{
    const auto position = m_resumeAt.find(cursor.id);
    if (position == m_resumeAt.end())
        return;
    const WaitingQueue::Item *item = m_queue.find(position->second);
    if (!item || item->queueId != cursor.id)
        return;
    const WaitingQueue::ItemOrder isEarlier;
    if (isEarlier(*cursor.next, item))
        cursor.next = cursor.queue->find(item);
}

void InformedScheduler::savePositions(const std::vector<QueueCursor> &cursors)
{
    for (const QueueCursor &cursor : cursors) {
        if (cursor.failures >= headTries)
            m_resumeAt[cursor.id] = (*cursor.next)->task.spec.id;
    }
}

InformedScheduler::Outcome InformedScheduler::tryPlace(Pass &pass, const WaitingQueue::Item &item)
{
    --pass.budgetLeft;
    if (!isAllowedHere(item.task.spec.taskClass))
        return Outcome::Failed;
    PlacementRequest request = requestFor(item);
    const std::optional<WorkerSlot> worker = findFree(pass, item, request);
    if (worker && start(pass, item.task, *worker, "room is free"))
        return Outcome::Started;
    if (tryPreempt(pass, item, request) || tryDrain(pass, item, request))
        return Outcome::Claimed;
    return Outcome::Failed;
}

PlacementRequest InformedScheduler::requestFor(const WaitingQueue::Item &item)
{
    const bool isLatencyCritical = item.queueId.kind == Rules::TaskKind::LatencyCritical;
    const ClassIndex classIndex = m_classes.indexOf(item.task.spec.taskClass);
    const bool toleratesInterference
        = m_now - item.waitingSince >= m_settings.interferenceAvoidanceTime;
    return { item.task.spec.id, classIndex, isLatencyCritical, item.task.spec.declared,
             toleratesInterference };
}

std::optional<WorkerSlot> InformedScheduler::findFree(Pass &pass, const WaitingQueue::Item &item,
                                                      PlacementRequest request)
{
    const Core::Resources excess = m_usage.expectedExcess(item.task.spec);
    if (isKnownToFail(pass, request))
        return std::nullopt;
    const Core::Resources declared = request.need;
    request.need = declared + excess;
    pass.budgetLeft -= searchCost;
    SearchResult result = m_search.findFree(request, pass.now);
    const bool isExpectedToExceed = excess != Core::Resources {};
    // For a latency-critical task, a worker that may become overloaded is better than an eviction.
    if (!result.worker && isExpectedToExceed && request.isLatencyCritical) {
        request.need = declared;
        result = m_search.findFree(request, pass.now);
    }
    if (!result.worker && result.hasFit && !request.isLatencyCritical)
        pass.requestsNotAllowed.push_back(request);
    // The search may have ended early because its visits were used up, but even then a larger task
    // is unlikely to fit in this pass.
    if (!result.hasFit && request.need == declared)
        pass.requestsWithoutFit.push_back(request);
    return result.worker;
}

bool InformedScheduler::isKnownToFail(const Pass &pass, const PlacementRequest &request)
{
    const auto isNoLarger
        = [&request](const PlacementRequest &failed) { return failed.need.fitsIn(request.need); };
    if (std::any_of(pass.requestsWithoutFit.begin(), pass.requestsWithoutFit.end(), isNoLarger))
        return true;
    const auto isSameClass = [&](const PlacementRequest &failed) {
        return failed.classIndex == request.classIndex
            && failed.toleratesInterference == request.toleratesInterference && isNoLarger(failed);
    };
    return std::any_of(pass.requestsNotAllowed.begin(), pass.requestsNotAllowed.end(), isSameClass);
}

bool InformedScheduler::start(Pass &pass, const WaitingTask &task, WorkerSlot worker,
                              std::string reason)
{
    RunningAttempt attempt;
    attempt.spec = task.spec;
    attempt.attempt = { task.spec.id, 0 };
    attempt.worker = worker;
    attempt.classIndex = m_classes.indexOf(task.spec.taskClass);
    attempt.isLatencyCritical = kindOf(task.spec.taskClass) == Rules::TaskKind::LatencyCritical;
    attempt.progressSavedAt = pass.now;
    attempt.submittedAt = task.submittedAt;
    attempt.endedAttempts = task.endedAttempts;
    // Until the first report, the attempt's usage is assumed to be its declared size plus the
    // excess that is usual for its team and class.
    attempt.used = task.spec.declared + m_usage.expectedExcess(task.spec);
    const RunningAttempt *reserved = m_fleet.reserve(attempt);
    if (!reserved)
        return false;
    m_fleet.setUsed(*reserved, reserved->used);
    if (!reserved->isLatencyCritical)
        m_interference.recordPlacement(worker, reserved->classIndex,
                                       m_fleet.cpuFractionOf(worker, reserved->used));
    m_queue.remove(reserved->spec.id);
    m_failedBefore.erase(reserved->spec.id);
    --pass.startsLeft;
    if (m_rampUntil)
        m_returnStartLimiter.tryAcquire(pass.now);
    pass.decisions.emplace_back(
        StartDecision { reserved->spec.id, m_fleet.idOf(worker), std::move(reason) });
    return true;
}

bool InformedScheduler::tryPreempt(Pass &pass, const WaitingQueue::Item &item,
                                   const PlacementRequest &request)
{
    const bool wouldBorrow
        = m_fleet.quotas().wouldBorrow(item.queueId.team, item.queueId.kind, request.need);
    const bool hasWaitedToReclaim = pass.now - item.waitingSince >= m_settings.reclaimAfter;
    const bool mayReclaim
        = !wouldBorrow && hasWaitedToReclaim && m_reclaimLimiter.isReady(pass.now);
    if (!request.isLatencyCritical && !mayReclaim)
        return false;
    const bool mayTakeAll = request.isLatencyCritical && !wouldBorrow;
    const auto scope = mayTakeAll ? Preemptor::Scope::AllBatch : Preemptor::Scope::BorrowedCapacity;
    const Preemptor preemptor(scope, m_fleet.quotas().usedAboveQuota());
    pass.budgetLeft -= searchCost;
    const std::optional<PreemptionChoice> choice
        = m_search.findPreemption(request, preemptor, pass.now);
    if (!choice)
        return false;
    if (!request.isLatencyCritical)
        m_reclaimLimiter.tryAcquire(pass.now);
    const Core::TaskId task = item.task.spec.id;
    m_fleet.claim({ item.task, choice->worker, ClaimKind::Preemption, item.queueId.kind,
                    item.waitingSince, pass.now + preemptionLifetime });
    m_queue.remove(task);
    const std::string reason = "gives way to " + task.text();
    for (const PreemptionVictim &victim : choice->plan.victims)
        evict(pass, *m_fleet.attempts().find(victim.attempt), reason);
    return true;
}

bool InformedScheduler::tryDrain(Pass &pass, const WaitingQueue::Item &item,
                                 const PlacementRequest &request)
{
    if (pass.now - item.waitingSince < m_settings.drainAfter)
        return false;
    const std::size_t limit
        = std::max<std::size_t>(1, m_fleet.listedWorkers() / m_settings.workersPerDrain);
    const ClaimTable &claims = m_fleet.claims();
    if (claims.drainCount() >= limit || claims.hasDrainFor(item.queueId.team))
        return false;
    if (!m_drainSearchLimiter.tryAcquire(pass.now))
        return false;
    const std::optional<WorkerSlot> worker = m_search.findDrainWorker(request);
    if (!worker)
        return false;
    const Core::TaskId task = item.task.spec.id;
    m_fleet.claim({ item.task, *worker, ClaimKind::Drain, item.queueId.kind, item.waitingSince,
                    pass.now + m_settings.claimLifetime });
    m_queue.remove(task);
    return true;
}

bool InformedScheduler::mayStart(const Pass &pass) const
{
    if (m_isOutOfService || pass.startsLeft == 0)
        return false;
    const bool isRamping = m_rampUntil && pass.now < *m_rampUntil;
    return !isRamping || m_returnStartLimiter.isReady(pass.now);
}

} // namespace Placement
