#include <LibJob/CapacityIndex.h>

#include <algorithm>
#include <tuple>

namespace Jobs {

std::strong_ordering CapacityIndex::Entry::operator<=>(const Entry &other) const
{
    return std::tie(baseCost, position) <=> std::tie(other.baseCost, other.position);
}

CapacityIndex::Place CapacityIndex::placeOf(WorkerState &worker)
{
    const Core::Resources free = worker.unreservedResources();
    const Entry byFree { free.milliCores, worker.listPosition(), free.mebibytes, free.accelerators,
                         &worker };
    Entry byIdle = byFree;
    byIdle.baseCost = -worker.idleMilliCores();
    return { worker.info().service, byFree, byIdle };
}

void CapacityIndex::insert(Order &order, const Entry &entry)
{
    order.insert(std::upper_bound(order.begin(), order.end(), entry), entry);
}

void CapacityIndex::remove(Order &order, const Entry &entry)
{
    // Two workers have the same position while a new list is being applied.
    auto it = std::lower_bound(order.begin(), order.end(), entry);
    while (it->worker != entry.worker)
        ++it;
    order.erase(it);
}

void CapacityIndex::move(Order &order, const Entry &from, const Entry &to)
{
    auto place = std::lower_bound(order.begin(), order.end(), from);
    while (place->worker != from.worker)
        ++place;
    if (from < to) {
        const auto end = std::lower_bound(place, order.end(), to);
        std::move(place + 1, end, place);
        *(end - 1) = to;
        return;
    }
    const auto begin = std::upper_bound(order.begin(), place, to);
    std::move_backward(begin, place, place + 1);
    *begin = to;
}

void CapacityIndex::onWorkerChanged(WorkerState &worker)
{
    const auto known = m_places.find(&worker);
    if (!worker.isListed()) {
        if (known == m_places.end())
            return;
        ServiceOrders &orders = m_orders[known->second.service];
        remove(orders.byFree, known->second.byFree);
        remove(orders.byIdle, known->second.byIdle);
        m_places.erase(known);
        return;
    }
    const Place place = placeOf(worker);
    ServiceOrders &orders = m_orders[place.service];
    if (known == m_places.end()) {
        insert(orders.byFree, place.byFree);
        insert(orders.byIdle, place.byIdle);
        m_places.emplace(&worker, place);
        return;
    }
    if (known->second == place)
        return;
    if (known->second.service == place.service) {
        move(orders.byFree, known->second.byFree, place.byFree);
        move(orders.byIdle, known->second.byIdle, place.byIdle);
    } else {
        ServiceOrders &former = m_orders[known->second.service];
        remove(former.byFree, known->second.byFree);
        remove(former.byIdle, known->second.byIdle);
        insert(orders.byFree, place.byFree);
        insert(orders.byIdle, place.byIdle);
    }
    known->second = place;
}

const CapacityIndex::Order &CapacityIndex::order(const ServiceId &service, bool isBestEffort) const
{
    static const Order none;
    const auto found = m_orders.find(service);
    if (found == m_orders.end())
        return none;
    return isBestEffort ? found->second.byIdle : found->second.byFree;
}

std::int64_t CapacityIndex::mostFreeMilliCores(const ServiceId &service) const
{
    const Order &byFree = order(service, false);
    return byFree.empty() ? 0 : byFree.back().baseCost;
}

} // namespace Jobs
