#pragma once

#include <LibCore/Resources.h>
#include <LibPlacement/AttemptHash.h>
#include <LibPlacement/WorkerSlot.h>

#include <unordered_map>
#include <vector>

namespace Placement {

/// The capacity that one attempt holds on its worker.
struct Reservation
{
    WorkerSlot worker = 0;
    Core::Resources size;
    /// The attempt's measured or expected usage.
    Core::Resources used;

    bool operator==(const Reservation &) const = default;
};

/// Keeps the reservations on each worker. Their sum exceeds the worker's capacity only if a running
/// attempt was adopted or the capacity shrank; such a worker accepts no reservation until enough
/// has been released. In each dimension the larger of the worker's total reservations and total
/// usage counts: usage beyond the reservations reduces what is available, and reserved but unused
/// capacity is never given to other attempts.
class CapacityLedger
{
public:
    /// Adds the worker if it is unknown.
    void setCapacity(WorkerSlot worker, const Core::Resources &capacity);

    /// Reserves \p size for \p attempt. Returns false and changes nothing if \p size exceeds the
    /// available capacity or the attempt already has a reservation.
    bool reserve(const Task::AttemptId &attempt, WorkerSlot worker, const Core::Resources &size);
    /// Reserves \p size even if it exceeds the available capacity. Returns false and changes
    /// nothing if the attempt already has a reservation.
    bool adopt(const Task::AttemptId &attempt, WorkerSlot worker, const Core::Resources &size);
    /// Sets the usage of an attempt, which equals its reservation until then. Does nothing if the
    /// attempt has no reservation.
    void setUsed(const Task::AttemptId &attempt, const Core::Resources &used);
    /// Transfers the reservation of \p from to \p to. Does nothing if \p from has none or \p to
    /// already has one.
    void changeId(const Task::AttemptId &from, const Task::AttemptId &to);
    /// Frees the attempt's reservation; false if there is none, so a repeated call is harmless.
    bool release(const Task::AttemptId &attempt);

    /// Null if the attempt has no reservation.
    const Reservation *find(const Task::AttemptId &attempt) const;
    std::size_t size() const { return m_reservations.size(); }

    Core::Resources capacity(WorkerSlot worker) const { return m_workers.at(worker).capacity; }
    Core::Resources reserved(WorkerSlot worker) const { return m_workers.at(worker).reserved; }
    /// The capacity that can still be reserved; negative in a dimension in which the reservations
    /// or the usage exceed the worker's capacity.
    Core::Resources available(WorkerSlot worker) const;

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
