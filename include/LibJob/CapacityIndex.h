#pragma once

#include <LibJob/JobSpec.h>
#include <LibJob/WorkerObserver.h>
#include <LibJob/WorkerState.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace Jobs {

/// The listed workers of each service, ordered by the base cost of a task there.
///
/// The base cost prefers the worker with the least free processors, and for best-effort tasks the
/// one with the most idle processors. A worker that isn't listed isn't referred to and may be
/// deleted.
class CapacityIndex final : public WorkerObserver
{
public:
    struct Entry
    {
        /// In thousandths of a core: the free processors that aren't reserved, or the idle ones
        /// times -1.
        std::int64_t baseCost = 0;
        /// Position of the worker in the store's list; the first of two equal workers is chosen.
        std::size_t position = 0;
        std::int64_t freeMebibytes = 0;
        std::int64_t freeAccelerators = 0;
        WorkerState *worker = nullptr;

        bool operator==(const Entry &) const = default;
        std::strong_ordering operator<=>(const Entry &other) const;
    };
    using Order = std::vector<Entry>;

    void onWorkerChanged(WorkerState &worker) override;
    /// Returns the workers of the service by the base cost of a task; the cheapest come first.
    const Order &order(const ServiceId &service, bool isBestEffort) const;
    /// Returns the most free processors of a worker of the service that aren't reserved, in
    /// thousandths of a core; 0 if the service has no worker.
    std::int64_t mostFreeMilliCores(const ServiceId &service) const;

private:
    struct ServiceOrders
    {
        Order byFree;
        Order byIdle;
    };
    /// Where a worker is found in the orders of its service.
    struct Place
    {
        ServiceId service;
        Entry byFree;
        Entry byIdle;

        bool operator==(const Place &) const = default;
    };

    static Place placeOf(WorkerState &worker);
    static void insert(Order &order, const Entry &entry);
    static void remove(Order &order, const Entry &entry);
    static void move(Order &order, const Entry &from, const Entry &to);

    std::map<ServiceId, ServiceOrders> m_orders;
    std::unordered_map<const WorkerState *, Place> m_places;
};

} // namespace Jobs
