#include <LibPlacement/AttemptTable.h>

#include <algorithm>
#include <utility>

namespace Placement {

RunningAttempt &AttemptTable::add(const RunningAttempt &attempt)
{
    const Task::AttemptId &id = attempt.attempt;
    const WorkerSlot worker = attempt.worker;
    RunningAttempt &added = m_attempts.try_emplace(id, attempt).first->second;
    if (worker >= m_byWorker.size())
        m_byWorker.resize(worker + 1);
    m_byWorker[worker].push_back(&added);
    return added;
}

void AttemptTable::remove(const Task::AttemptId &attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end())
        return;
    std::erase(m_byWorker[found->second.worker], &found->second);
    m_attempts.erase(found);
}

void AttemptTable::changeId(RunningAttempt &attempt, const Task::AttemptId &newId)
{
    auto node = m_attempts.extract(attempt.attempt);
    node.key() = newId;
    node.mapped().attempt = newId;
    m_attempts.insert(std::move(node));
}

RunningAttempt *AttemptTable::find(const Task::AttemptId &attempt)
{
    const auto found = m_attempts.find(attempt);
    return found == m_attempts.end() ? nullptr : &found->second;
}

const RunningAttempt *AttemptTable::find(const Task::AttemptId &attempt) const
{
    const auto found = m_attempts.find(attempt);
    return found == m_attempts.end() ? nullptr : &found->second;
}

const RunningAttempt *AttemptTable::findTask(const Core::TaskId &task) const
{
    const RunningAttempt *newest = nullptr;
    for (const auto &[id, attempt] : m_attempts) {
        const bool isNewer = !newest || newest->attempt.number < id.number;
        if (id.task == task && isNewer)
            newest = &attempt;
    }
    return newest;
}

const std::vector<RunningAttempt *> &AttemptTable::onWorker(WorkerSlot worker) const
{
    static const std::vector<RunningAttempt *> none;
    return worker < m_byWorker.size() ? m_byWorker[worker] : none;
}

} // namespace Placement
