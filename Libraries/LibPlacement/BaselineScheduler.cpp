#include <LibPlacement/BaselineScheduler.h>

#include <algorithm>
#include <utility>

namespace Placement {

namespace {

bool isAtLeastAsLargeAsAny(const WaitingTask &task,
                           const std::vector<Core::Resources> &sizesWithoutFit)
{
    return std::any_of(
        sizesWithoutFit.begin(), sizesWithoutFit.end(),
        [&](const Core::Resources &size) { return size.fitsIn(task.spec.declared); });
}

} // namespace

BaselineScheduler::BaselineScheduler(Core::FailureDomainId failureDomain)
    : m_failureDomain(std::move(failureDomain))
{
}

void BaselineScheduler::setRules(const Rules::RuleSet &rules)
{
    m_rules = rules;
}

void BaselineScheduler::setWorkers(const std::vector<Platform::VmEntry> &workers)
{
    m_isSchedulable.assign(m_workers.size(), false);
    for (const Platform::VmEntry &entry : workers) {
        if (entry.kind != Platform::VmKind::Worker)
            continue;
        const WorkerSlot worker = findOrAddSlot(entry.id);
        m_workers[worker] = entry;
        m_ledger.setCapacity(worker, entry.capacity);
        m_isSchedulable[worker] = entry.state == Platform::VmState::Live;
    }
}

void BaselineScheduler::addWaiting(const WaitingTask &task)
{
    m_waiting.push_back(task);
}

void BaselineScheduler::removeWaiting(const Core::TaskId &task)
{
    std::erase_if(m_waiting, [&](const WaitingTask &other) { return other.spec.id == task; });
}

void BaselineScheduler::adopt(const PlacedAttempt &attempt)
{
    const WorkerSlot worker = findOrAddSlot(attempt.worker);
    if (m_ledger.adopt(attempt.attempt, worker, attempt.spec.declared))
        m_placed[attempt.attempt] = { { attempt.spec, attempt.startedAt, 0 }, worker };
}

void BaselineScheduler::attemptStarted(const PlacedAttempt &attempt)
{
    auto pending = m_placed.extract(Task::AttemptId { attempt.spec.id, 0 });
    if (pending.empty()) {
        adopt(attempt);
        return;
    }
    m_ledger.changeId(pending.key(), attempt.attempt);
    pending.key() = attempt.attempt;
    m_placed.insert(std::move(pending));
}

void BaselineScheduler::startAbandoned(const Core::TaskId &task)
{
    const auto pending = m_placed.extract(Task::AttemptId { task, 0 });
    if (pending.empty())
        return;
    m_ledger.release(pending.key());
    m_waiting.push_front(pending.mapped().task);
}

void BaselineScheduler::attemptEnded(const Task::AttemptId &attempt, Task::AttemptPhase /*phase*/,
                                     Core::Instant /*now*/)
{
    m_ledger.release(attempt);
    m_placed.erase(attempt);
}

void BaselineScheduler::observe(const Task::AttemptReport & /*report*/, Core::Instant /*now*/) { }

std::vector<Decision> BaselineScheduler::decide(Core::Instant now, std::size_t maximumStarts)
{
    std::vector<Decision> decisions = decideEvictions(now);
    if (m_rules.isOut(m_failureDomain))
        return decisions;
    std::deque<WaitingTask> stillWaiting;
    std::vector<Core::Resources> sizesWithoutFit;
    std::size_t starts = 0;
    for (const WaitingTask &task : std::exchange(m_waiting, {})) {
        const bool isTried
            = starts < maximumStarts && !isAtLeastAsLargeAsAny(task, sizesWithoutFit);
        if (isTried && tryStart(task, decisions)) {
            ++starts;
            continue;
        }
        if (isTried)
            sizesWithoutFit.push_back(task.spec.declared);
        stillWaiting.push_back(task);
    }
    m_waiting = std::move(stillWaiting);
    return decisions;
}

std::string BaselineScheduler::reasonNeverFits(const Task::TaskSpec &spec) const
{
    std::string reason;
    for (const Platform::VmEntry &worker : m_workers) {
        const std::string dimension = spec.declared.firstDimensionAbove(worker.capacity);
        if (dimension.empty())
            return {};
        reason = "no worker has enough " + dimension;
    }
    return reason;
}

std::string BaselineScheduler::explain(const Core::TaskId &task) const
{
    const auto isTask = [&](const WaitingTask &other) { return other.spec.id == task; };
    if (std::any_of(m_waiting.begin(), m_waiting.end(), isTask))
        return "waits: no worker has room";
    return "doesn't wait";
}

bool BaselineScheduler::isLatencyCritical(const Core::TaskClassId &taskClass) const
{
    const auto rule = m_rules.classes.find(taskClass);
    return rule != m_rules.classes.end() && rule->second.kind == Rules::TaskKind::LatencyCritical;
}

std::vector<Decision> BaselineScheduler::decideEvictions(Core::Instant /*now*/)
{
    return {};
}

WorkerSlot BaselineScheduler::findOrAddSlot(const Core::VmId &worker)
{
    const auto [position, isNew] = m_slots.try_emplace(worker, m_workers.size());
    if (isNew) {
        m_workers.emplace_back().id = worker;
        m_isSchedulable.push_back(false);
        m_ledger.setCapacity(position->second, {});
    }
    return position->second;
}

bool BaselineScheduler::tryStart(const WaitingTask &task, std::vector<Decision> &decisions)
{
    if (!m_rules.mayRunIn(task.spec.taskClass, m_failureDomain))
        return false;
    const Task::AttemptId pending { task.spec.id, 0 };
    for (WorkerSlot worker = 0; worker < m_workers.size(); ++worker) {
        if (!m_isSchedulable[worker] || !m_ledger.reserve(pending, worker, task.spec.declared))
            continue;
        m_placed[pending] = { task, worker };
        decisions.emplace_back(
            StartDecision { task.spec.id, m_workers[worker].id, "the first worker with room" });
        return true;
    }
    return false;
}

} // namespace Placement
