#include "SnapshotTracker.h"

#include <variant>

namespace Task {

std::optional<std::uint64_t> SnapshotTracker::onRecord(const TaskRecord &record)
{
    const auto *part = std::get_if<SnapshotPart>(&record.body);
    if (!part || part->coversUntil < m_newest)
        return std::nullopt;
    Parts &open = m_open[part->snapshotId];
    open.coversUntil = part->coversUntil;
    open.received.insert(part->part);
    if (open.received.size() < part->parts)
        return std::nullopt;
    m_newest = part->coversUntil;
    std::erase_if(m_open, [this](const auto &item) { return item.second.coversUntil <= m_newest; });
    return m_newest;
}

} // namespace Task
