#pragma once

#include <LibPlacement/AttemptHash.h>
#include <LibPlacement/RunningAttempt.h>

#include <unordered_map>
#include <vector>

namespace Placement {

/// The attempts with a reservation, by id and by worker. Pointers stay valid until removal.
class AttemptTable
{
public:
    /// The attempt must not be in the table.
    RunningAttempt &add(const RunningAttempt &attempt);
    void remove(const Task::AttemptId &attempt);
    void rename(RunningAttempt &attempt, const Task::AttemptId &name);

    RunningAttempt *find(const Task::AttemptId &attempt);
    const RunningAttempt *find(const Task::AttemptId &attempt) const;
    /// The newest attempt of the task, for people.
    const RunningAttempt *findTask(const Core::TaskId &task) const;
    const std::vector<RunningAttempt *> &onWorker(WorkerSlot worker) const;
    std::size_t size() const { return m_attempts.size(); }

private:
    std::unordered_map<Task::AttemptId, RunningAttempt, AttemptHash> m_attempts;
    std::vector<std::vector<RunningAttempt *>> m_byWorker;
};

} // namespace Placement
