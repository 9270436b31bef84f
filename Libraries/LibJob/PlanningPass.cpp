#include <LibJob/PlanningPass.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace Jobs {

/// Number of large jobs that are started before the others of their priority.
static constexpr std::size_t maxLargeJobsFirst = 2;

static bool isBefore(const WaitingStep &left, const WaitingStep &right)
{
    if (left.rank != right.rank)
        return left.rank < right.rank;
    return std::tie(left.job->id(), left.occurrence, left.step)
        < std::tie(right.job->id(), right.occurrence, right.step);
}

/// Two large jobs of each group are put first. Whether a job has any value left doesn't matter:
/// large ones have one.
static std::tuple<bool, int, bool> largeJobGroup(const StartRank &rank)
{
    return { rank.isInExcess, rank.priority, rank.isAboveShare };
}

/// The part of the order that comes before the places of large jobs.
static auto orderClass(const StartRank &rank)
{
    return std::tuple(rank.isInExcess, rank.isTooLate, rank.priority, rank.isAboveShare);
}

bool WaitingStep::isStillWaiting() const
{
    if (!job || job->isOver())
        return false;
    const auto &occurrences = job->occurrences();
    const auto found = occurrences.find(occurrence);
    if (found == occurrences.end())
        return false;
    const OwnedStep &owned = found->second[static_cast<std::size_t>(step)];
    return owned.isReady && owned.waitingCount > 0;
}

bool Demand::isCoveredBy(const Demand &other) const
{
    return other.isBestEffort == isBestEffort && other.image == image && other.need.fitsIn(need)
        && other.service == service && (other.mayExceedTargets || !mayExceedTargets);
}

PlanningPass::PlanningPass(std::vector<WaitingStep> steps, Core::Instant now)
    : m_steps(std::move(steps))
{
    std::sort(m_steps.begin(), m_steps.end(), isBefore);
    putLargeJobsFirst();
    putOverdueFirst(now);
}

void PlanningPass::putLargeJobsFirst()
{
    std::vector<const WaitingStep *> large;
    for (const WaitingStep &waiting : m_steps) {
        if (waiting.isLarge)
            large.push_back(&waiting);
    }
    std::sort(large.begin(), large.end(), [](const WaitingStep *left, const WaitingStep *right) {
        return std::tie(left->rank.dueAt, left->job->id())
            < std::tie(right->rank.dueAt, right->job->id());
    });
    // Large jobs in excess, or of customers above their share, don't take the places of others.
    std::map<std::tuple<bool, int, bool>, std::set<JobId>> first;
    for (const WaitingStep *waiting : large) {
        std::set<JobId> &ofGroup = first[largeJobGroup(waiting->rank)];
        if (ofGroup.size() < maxLargeJobsFirst)
            ofGroup.insert(waiting->job->id());
    }
    for (WaitingStep &waiting : m_steps)
        waiting.isPutFirst = first[largeJobGroup(waiting.rank)].contains(waiting.job->id());
    std::stable_sort(m_steps.begin(), m_steps.end(),
                     [](const WaitingStep &left, const WaitingStep &right) {
                         const auto key = [](const WaitingStep &waiting) {
                             return std::pair(orderClass(waiting.rank), !waiting.isPutFirst);
                         };
                         return key(left) < key(right);
                     });
}

/// Notes whether a task of the step is overdue, and since when it has been away.
static void noteOverdue(WaitingStep &waiting, Core::Instant now)
{
    if (!waiting.job->spec(waiting.step).isLongRunning)
        return;
    const OwnedStep &step
        = waiting.job->occurrences().at(waiting.occurrence)[static_cast<std::size_t>(waiting.step)];
    for (const TaskState &task : step.tasks) {
        if (!task.isOverdue(now))
            continue;
        const bool isFirst = !waiting.isOverdue || task.awaySince < waiting.awaySince;
        waiting.awaySince = isFirst ? task.awaySince : waiting.awaySince;
        waiting.isOverdue = true;
    }
}

void PlanningPass::putOverdueFirst(Core::Instant now)
{
    std::vector<WaitingStep> overdue;
    for (WaitingStep waiting : m_steps) {
        noteOverdue(waiting, now);
        if (waiting.isOverdue)
            overdue.push_back(waiting);
    }
    std::stable_sort(overdue.begin(), overdue.end(),
                     [](const WaitingStep &left, const WaitingStep &right) {
                         return left.awaySince < right.awaySince;
                     });
    m_overdueCount = overdue.size();
    m_steps.insert(m_steps.begin(), overdue.begin(), overdue.end());
}

std::vector<WaitingStep> PlanningPass::passedOverdue() const
{
    std::vector<WaitingStep> passed;
    for (std::size_t i = 0; i < std::min(m_next, m_overdueCount); ++i) {
        if (m_steps[i].isStillWaiting())
            passed.push_back(m_steps[i]);
    }
    return passed;
}

bool PlanningPass::isPostponedNext() const
{
    if (m_nextPostponed >= m_postponed.size())
        return false;
    if (m_next >= m_steps.size())
        return true;
    const WaitingStep &other = m_steps[m_next];
    const WaitingStep &postponed = m_postponed[m_nextPostponed];
    // A deleted job has no place in the order; its step is passed at once.
    if (!other.job || !postponed.job)
        return other.job != nullptr;
    if (other.isOverdue)
        return false;
    if (other.isPutFirst)
        return orderClass(postponed.rank) < orderClass(other.rank);
    return isBefore(postponed, other);
}

const WaitingStep &PlanningPass::next() const
{
    return isPostponedNext() ? m_postponed[m_nextPostponed] : m_steps[m_next];
}

void PlanningPass::advance()
{
    ++(isPostponedNext() ? m_nextPostponed : m_next);
}

void PlanningPass::postponeAboveShare()
{
    WaitingStep postponed = next();
    advance();
    postponed.rank.isAboveShare = true;
    postponed.isPutFirst = false;
    // Steps are postponed nearly in their order, so the place is near the end.
    auto place = m_postponed.end();
    const auto first = m_postponed.begin() + static_cast<std::ptrdiff_t>(m_nextPostponed);
    const auto isBehind = [&postponed](const WaitingStep &other) {
        return !other.job || isBefore(postponed, other);
    };
    while (place != first && isBehind(*std::prev(place)))
        --place;
    m_postponed.insert(place, postponed);
}

void PlanningPass::join(const WaitingStep &joining)
{
    const auto isPlace = [&joining](const WaitingStep &other) {
        const bool mayOvertake = !other.isOverdue
            && (!other.isPutFirst || largeJobGroup(joining.rank) < largeJobGroup(other.rank));
        return mayOvertake && other.job && isBefore(joining, other);
    };
    const auto rest = m_steps.begin() + static_cast<std::ptrdiff_t>(m_next);
    m_steps.insert(std::find_if(rest, m_steps.end(), isPlace), joining);
}

void PlanningPass::leave(const OwnedJob &job)
{
    // Steps that were planned already may be planned again; see passedOverdue().
    for (std::vector<WaitingStep> *steps : { &m_steps, &m_postponed }) {
        for (WaitingStep &waiting : *steps) {
            if (waiting.job == &job)
                waiting.job = nullptr;
        }
    }
}

bool PlanningPass::isRejected(const Demand &demand) const
{
    return std::any_of(m_rejected.begin(), m_rejected.end(),
                       [&demand](const Demand &other) { return demand.isCoveredBy(other); });
}

} // namespace Jobs
