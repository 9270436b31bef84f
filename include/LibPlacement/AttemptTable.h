#pragma once

#include <LibPlacement/AttemptHash.h>
#include <LibPlacement/RunningAttempt.h>

#include <unordered_map>
#include <vector>

namespace Placement {

/// The attempts that hold a reservation, indexed by id and by worker. References and pointers to an
/// attempt stay valid until the attempt is removed.
class AttemptTable
{
public:
    /// \p attempt must not be in the table yet.
    RunningAttempt &add(const RunningAttempt &attempt);
    /// Does nothing if the table has no such attempt.
    void remove(const Task::AttemptId &attempt);
    /// Gives \p attempt, which must be in this table, the unused id \p newId.
    void changeId(RunningAttempt &attempt, const Task::AttemptId &newId);

    /// Null if the table has no such attempt.
    RunningAttempt *find(const Task::AttemptId &attempt);
    const RunningAttempt *find(const Task::AttemptId &attempt) const;
    /// The attempt of the task with the highest number; null if there is none. Scans the whole
    /// table, so it is meant for explanations to operators only.
    const RunningAttempt *findTask(const Core::TaskId &task) const;
    const std::vector<RunningAttempt *> &onWorker(WorkerSlot worker) const;
    std::size_t size() const { return m_attempts.size(); }

private:
    std::unordered_map<Task::AttemptId, RunningAttempt, AttemptHash> m_attempts;
    std::vector<std::vector<RunningAttempt *>> m_byWorker;
};

} // namespace Placement
