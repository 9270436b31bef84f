#include <LibJob/RenewalQueue.h>

#include <algorithm>

namespace Jobs {

void RenewalQueue::onWorkerChanged(WorkerState &worker)
{
    std::optional<Core::Instant> wanted;
    if (worker.wantsRenewal())
        wanted = worker.nextRenewalAt();
    if (worker.queuedRenewalAt == wanted)
        return;
    if (worker.queuedRenewalAt)
        m_queue.erase({ *worker.queuedRenewalAt, &worker });
    if (wanted)
        m_queue.emplace(*wanted, &worker);
    worker.queuedRenewalAt = wanted;
}

std::vector<WorkerState *> RenewalQueue::due(Core::Instant now) const
{
    std::vector<WorkerState *> due;
    for (const auto &[renewalAt, worker] : m_queue) {
        if (renewalAt > now)
            break;
        due.push_back(worker);
    }
    std::sort(due.begin(), due.end(), [](const WorkerState *left, const WorkerState *right) {
        return left->info().id < right->info().id;
    });
    return due;
}

Core::Instant RenewalQueue::nextDueAt(Core::Instant limit) const
{
    return m_queue.empty() ? limit : std::min(limit, m_queue.begin()->first);
}

} // namespace Jobs
