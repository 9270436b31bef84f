#include <LibJob/Catalogue.h>

namespace Jobs {

const Queue *Catalogue::findQueue(std::string_view host, std::string_view path) const
{
    const Queue *best = nullptr;
    for (const Queue &queue : queues) {
        if (queue.host != host || !path.starts_with(queue.basePath))
            continue;
        if (!best || queue.basePath.size() > best->basePath.size())
            best = &queue;
    }
    return best;
}

const Queue *Catalogue::findQueue(const QueueId &id) const
{
    for (const Queue &queue : queues) {
        if (queue.id == id)
            return &queue;
    }
    return nullptr;
}

} // namespace Jobs
