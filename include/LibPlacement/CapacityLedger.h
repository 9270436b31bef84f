#pragma once

#include <LibCore/Resources.h>
#include <LibPlacement/AttemptHash.h>
#include <LibPlacement/WorkerSlot.h>

#include <unordered_map>
#include <vector>

namespace Placement {

/// The room that one attempt holds on its worker.
struct Reservation
{
    WorkerSlot worker = 0;
    Core::Resources size;
    /// What the attempt is seen or expected to use.
    Core::Resources used;

    bool operator==(const Reservation &) const = default;
};

/// Counts what is reserved on each worker. A worker's reservations never exceed its capacity,
/// except by adopting what already runs or by a capacity that shrinks; such a worker then has no
/// room until it fits again. Where the attempts of a worker together use more than they reserved,
/// what they use counts; what they leave unused is never given to others.
class CapacityLedger
{
public:
    void setCapacity(WorkerSlot worker, const Core::Resources &capacity);

    /// Reserves \p size for \p attempt; false, and nothing changes, if there is no room for it or
    /// the attempt has a reservation already.
    bool reserve(const Task::AttemptId &attempt, WorkerSlot worker, const Core::Resources &size);
    /// Reserves even if it doesn't fit; false if the attempt has a reservation already.
    bool adopt(const Task::AttemptId &attempt, WorkerSlot worker, const Core::Resources &size);
    /// Until it is set, an attempt counts as using its size.
    void setUsed(const Task::AttemptId &attempt, const Core::Resources &used);
    /// Hands the reservation of \p from to \p to.
    void rename(const Task::AttemptId &from, const Task::AttemptId &to);
    /// False if there was no reservation, so that it is freed only once.
    bool release(const Task::AttemptId &attempt);

    const Reservation *find(const Task::AttemptId &attempt) const;
    std::size_t size() const { return m_reservations.size(); }

    Core::Resources capacity(WorkerSlot worker) const { return m_workers.at(worker).capacity; }
    Core::Resources reserved(WorkerSlot worker) const { return m_workers.at(worker).reserved; }
    /// What can still be reserved; negative in a dimension that is overcommitted.
    Core::Resources room(WorkerSlot worker) const;

private:
    struct WorkerTotals
    {
        Core::Resources capacity;
        Core::Resources reserved;
        Core::Resources used;
    };

    std::vector<WorkerTotals> m_workers;
    std::unordered_map<Task::AttemptId, Reservation, AttemptHash> m_reservations;
};

} // namespace Placement
