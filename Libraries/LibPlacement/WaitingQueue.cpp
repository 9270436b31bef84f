#include <LibPlacement/WaitingQueue.h>

namespace Placement {

bool WaitingQueue::ItemOrder::operator()(const Item *left, const Item *right) const
{
    if (left->effectiveSubmittedAt != right->effectiveSubmittedAt)
        return left->effectiveSubmittedAt < right->effectiveSubmittedAt;
    return left->task.spec.id < right->task.spec.id;
}

WaitingQueue::WaitingQueue(Core::Duration agingPerPriority)
    : m_agingPerPriority(agingPerPriority)
{
}

bool WaitingQueue::add(const WaitingTask &task, Rules::TaskKind kind, int priority,
                       Core::Instant waitingSince)
{
    const Core::Instant effectiveSubmittedAt = task.submittedAt - priority * m_agingPerPriority;
    Item item { task, { kind, task.spec.team }, effectiveSubmittedAt, waitingSince };
    const auto [position, isNew] = m_items.try_emplace(task.spec.id, std::move(item));
    if (!isNew)
        return false;
    m_teamQueues[position->second.queueId].insert(&position->second);
    return true;
}

bool WaitingQueue::remove(const Core::TaskId &task)
{
    const auto found = m_items.find(task);
    if (found == m_items.end())
        return false;
    const auto queue = m_teamQueues.find(found->second.queueId);
    queue->second.erase(&found->second);
    if (queue->second.empty())
        m_teamQueues.erase(queue);
    m_items.erase(found);
    return true;
}

const WaitingQueue::Item *WaitingQueue::find(const Core::TaskId &task) const
{
    const auto found = m_items.find(task);
    return found == m_items.end() ? nullptr : &found->second;
}

std::vector<WaitingQueue::Item> WaitingQueue::items() const
{
    std::vector<Item> items;
    items.reserve(m_items.size());
    for (const auto &[id, queue] : m_teamQueues) {
        for (const Item *item : queue)
            items.push_back(*item);
    }
    return items;
}

} // namespace Placement
