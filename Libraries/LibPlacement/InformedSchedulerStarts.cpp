#include <LibPlacement/InformedScheduler.h>

#include <algorithm>
#include <utility>

namespace Placement {

namespace {

/// How many tasks at the head of a lane are tried before the lane's remembered position.
constexpr int headTries = 2;
/// How long evicted attempts may take to make room before the task looks elsewhere.
constexpr Core::Duration preemptionLifetime = std::chrono::seconds(60);

} // namespace

void InformedScheduler::expireClaims(Pass &pass)
{
    for (const Core::TaskId &task : m_fleet.claims().tasksPast(pass.now))
        requeueClaim(task);
}

void InformedScheduler::startClaimed(Pass &pass)
{
    m_claimsToCheck.merge(m_fleet.takeChangedClaims());
    while (!m_claimsToCheck.empty() && mayStart(pass)) {
        const WorkerSlot worker = *m_claimsToCheck.begin();
        startClaimedOn(pass, worker);
        if (mayStart(pass))
            m_claimsToCheck.erase(worker);
    }
    // What the starts changed on these workers has been looked at.
    m_fleet.takeChangedClaims();
}

void InformedScheduler::startClaimedOn(Pass &pass, WorkerSlot worker)
{
    for (const Core::TaskId &task : m_fleet.claims().onWorker(worker)) {
        if (!mayStart(pass))
            return;
        const Claim claim = *m_fleet.claims().find(task);
        if (!claim.task.spec.declared.fitsIn(m_fleet.room(worker)))
            continue;
        m_fleet.unclaim(task);
        const bool isPreemption = claim.kind == ClaimKind::Preemption;
        start(pass, claim.task, worker,
              isPreemption ? "room was made for it by evictions" : "room was kept for it");
    }
}

void InformedScheduler::startWaiting(Pass &pass)
{
    if (m_isOut || m_queue.size() == 0)
        return;
    std::vector<LaneCursor> cursors = laneCursors();
    while (!cursors.empty() && mayStart(pass) && pass.effortLeft > 0) {
        const auto chosen = std::min_element(cursors.begin(), cursors.end(), goesFirst);
        visit(pass, cursors, chosen - cursors.begin());
    }
    rememberPositions(cursors);
}

std::vector<InformedScheduler::LaneCursor> InformedScheduler::laneCursors() const
{
    std::vector<LaneCursor> cursors;
    cursors.reserve(m_queue.lanes().size());
    for (const auto &[id, lane] : m_queue.lanes()) {
        LaneCursor &cursor = cursors.emplace_back();
        cursor.id = id;
        cursor.lane = &lane;
        cursor.next = lane.begin();
        rank(cursor);
    }
    return cursors;
}

void InformedScheduler::rank(LaneCursor &cursor) const
{
    const Core::Resources &need = (*cursor.next)->task.spec.declared;
    cursor.isBorrowing = m_fleet.quotas().wouldBorrow(cursor.id.team, cursor.id.kind, need);
    cursor.share = m_fleet.quotas().weightedShare(cursor.id.team);
}

bool InformedScheduler::goesFirst(const LaneCursor &left, const LaneCursor &right)
{
    if (left.id.kind != right.id.kind)
        return left.id.kind == Rules::TaskKind::LatencyCritical;
    if (left.isBorrowing != right.isBorrowing)
        return right.isBorrowing;
    // Within the quotas priority and age decide; borrowed room goes by fair share.
    if (left.isBorrowing && left.share != right.share)
        return left.share < right.share;
    const WaitingQueue::ItemOrder isEarlier;
    return isEarlier(*left.next, *right.next);
}

void InformedScheduler::visit(Pass &pass, std::vector<LaneCursor> &cursors, std::size_t chosen)
{
    LaneCursor &cursor = cursors[chosen];
    const WaitingQueue::Item &item = **cursor.next;
    const Core::TeamId team = cursor.id.team;
    // The lane itself vanishes with its last task, so this is asked before.
    const bool isOnlyTask = cursor.lane->size() == 1;
    ++cursor.next;
    const Outcome outcome = tryPlace(pass, item);
    const bool isGone = outcome != Outcome::Failed;
    if ((isGone && isOnlyTask) || cursor.next == cursor.lane->end()) {
        m_resumeAt.erase(cursor.id);
        cursors.erase(cursors.begin() + static_cast<std::ptrdiff_t>(chosen));
    } else if (!isGone && ++cursor.failures == headTries) {
        resume(cursor);
    }
    for (LaneCursor &other : cursors) {
        if (other.id.team == team)
            rank(other);
    }
}

void InformedScheduler::resume(LaneCursor &cursor) const
{
    const auto position = m_resumeAt.find(cursor.id);
    if (position == m_resumeAt.end())
        return;
    const WaitingQueue::Item *item = m_queue.find(position->second);
    if (!item || item->lane != cursor.id)
        return;
    const WaitingQueue::ItemOrder isEarlier;
    if (isEarlier(*cursor.next, item))
        cursor.next = cursor.lane->find(item);
}

void InformedScheduler::rememberPositions(const std::vector<LaneCursor> &cursors)
{
    for (const LaneCursor &cursor : cursors) {
        if (cursor.failures >= headTries)
            m_resumeAt[cursor.id] = (*cursor.next)->task.spec.id;
    }
}

InformedScheduler::Outcome InformedScheduler::tryPlace(Pass &pass, const WaitingQueue::Item &item)
{
    --pass.effortLeft;
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
    const bool isLatencyCritical = item.lane.kind == Rules::TaskKind::LatencyCritical;
    const ClassIndex classIndex = m_classes.indexOf(item.task.spec.taskClass);
    const bool hasWaited = m_now - item.waitingSince >= m_settings.noisePatience;
    return { item.task.spec.id, classIndex, isLatencyCritical, item.task.spec.declared, hasWaited };
}

std::optional<WorkerSlot> InformedScheduler::findFree(Pass &pass, const WaitingQueue::Item &item,
                                                      PlacementRequest request)
{
    const Core::Resources excess = m_usage.expectedExcess(item.task.spec);
    if (isMisfit(pass, request))
        return std::nullopt;
    const Core::Resources declared = request.need;
    request.need = declared + excess;
    pass.effortLeft -= effortOfSearch;
    SearchResult result = m_search.findFree(request, pass.now);
    const bool isExpectedToExceed = excess != Core::Resources {};
    // Urgent work rather takes room that may prove tight than evict anyone.
    if (!result.worker && isExpectedToExceed && request.isLatencyCritical) {
        request.need = declared;
        result = m_search.findFree(request, pass.now);
    }
    if (!result.worker && result.hasFit && !request.isLatencyCritical)
        pass.refusals.push_back(request);
    // Even if the search was cut short, a larger task would hardly fare better in this call.
    if (!result.hasFit && request.need == declared)
        pass.misfits.push_back(request);
    return result.worker;
}

bool InformedScheduler::isMisfit(const Pass &pass, const PlacementRequest &request)
{
    const auto isNoLarger
        = [&request](const PlacementRequest &misfit) { return misfit.need.fitsIn(request.need); };
    if (std::any_of(pass.misfits.begin(), pass.misfits.end(), isNoLarger))
        return true;
    const auto isSameClass = [&](const PlacementRequest &refusal) {
        return refusal.classIndex == request.classIndex && refusal.hasWaited == request.hasWaited
            && isNoLarger(refusal);
    };
    return std::any_of(pass.refusals.begin(), pass.refusals.end(), isSameClass);
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
    // Without a report yet, it counts as using its declared size or what its class exceeds it by.
    attempt.used = task.spec.declared + m_usage.expectedExcess(task.spec);
    const RunningAttempt *reserved = m_fleet.reserve(attempt);
    if (!reserved)
        return false;
    m_fleet.setUsed(*reserved, reserved->used);
    if (!reserved->isLatencyCritical)
        m_interference.expect(worker, reserved->classIndex, m_fleet.partOf(worker, reserved->used));
    m_queue.remove(reserved->spec.id);
    m_failedBefore.erase(reserved->spec.id);
    --pass.startsLeft;
    if (m_rampUntil)
        m_returnStarts.tryTake(pass.now);
    pass.decisions.emplace_back(
        StartDecision { reserved->spec.id, m_fleet.idOf(worker), std::move(reason) });
    return true;
}

bool InformedScheduler::tryPreempt(Pass &pass, const WaitingQueue::Item &item,
                                   const PlacementRequest &request)
{
    const bool wouldBorrow
        = m_fleet.quotas().wouldBorrow(item.lane.team, item.lane.kind, request.need);
    const bool hasWaited = pass.now - item.waitingSince >= m_settings.reclaimAfter;
    const bool mayReclaim = !wouldBorrow && hasWaited && m_reclaims.isReady(pass.now);
    if (!request.isLatencyCritical && !mayReclaim)
        return false;
    const bool mayTakeAll = request.isLatencyCritical && !wouldBorrow;
    const auto scope = mayTakeAll ? Preemptor::Scope::AllBatch : Preemptor::Scope::BorrowedRoom;
    const Preemptor preemptor(scope, m_fleet.quotas().usedAboveQuota());
    pass.effortLeft -= effortOfSearch;
    const std::optional<PreemptionChoice> choice
        = m_search.findPreemption(request, preemptor, pass.now);
    if (!choice)
        return false;
    if (!request.isLatencyCritical)
        m_reclaims.tryTake(pass.now);
    const Core::TaskId task = item.task.spec.id;
    m_fleet.claim({ item.task, choice->worker, ClaimKind::Preemption, item.lane.kind,
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
    if (claims.drains() >= limit || claims.hasDrainOf(item.lane.team))
        return false;
    if (!m_drainSearches.tryTake(pass.now))
        return false;
    const std::optional<WorkerSlot> worker = m_search.findDrain(request);
    if (!worker)
        return false;
    const Core::TaskId task = item.task.spec.id;
    m_fleet.claim({ item.task, *worker, ClaimKind::Drain, item.lane.kind, item.waitingSince,
                    pass.now + m_settings.claimLifetime });
    m_queue.remove(task);
    return true;
}

bool InformedScheduler::mayStart(const Pass &pass) const
{
    if (m_isOut || pass.startsLeft == 0)
        return false;
    const bool isRamping = m_rampUntil && pass.now < *m_rampUntil;
    return !isRamping || m_returnStarts.isReady(pass.now);
}

} // namespace Placement
