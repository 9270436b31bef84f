#include "SnapshotTracker.h"

#include <variant>

namespace Task {

std::optional<std::uint64_t> SnapshotTracker::onRecord(const TaskRecord &record)
{
    const auto *part = std::get_if<SnapshotPart>(&record.body);
    if (!part || part->coversUntil < m_newestCoversUntil)
        return std::nullopt;
    PartialSnapshot &partial = m_partial[part->snapshotId];
    partial.coversUntil = part->coversUntil;
    partial.received.insert(part->part);
    if (partial.received.size() < part->parts)
        return std::nullopt;
    m_newestCoversUntil = part->coversUntil;
    std::erase_if(m_partial, [this](const auto &item) {
        return item.second.coversUntil <= m_newestCoversUntil;
    });
    return m_newestCoversUntil;
}

} // namespace Task
