#include <LibTask/Snapshot.h>

#include "EntryCodec.h"

#include <LibCore/Json.h>

#include <utility>

namespace Task {

std::vector<SnapshotPart> makeSnapshot(const TaskTable &table, const std::string &writer,
                                       std::size_t maximumPartBytes)
{
    SnapshotPart empty;
    empty.snapshotId = writer + "/" + std::to_string(table.nextOffset());
    empty.coversUntil = table.nextOffset();
    empty.tableEpoch = table.epoch();

    std::vector<SnapshotPart> parts { empty };
    std::size_t partBytes = 0;
    for (const auto &[task, entry] : table.entries()) {
        const std::size_t entryBytes = Core::Json::write(encodeEntry(entry)).size();
        if (partBytes > 0 && partBytes + entryBytes > maximumPartBytes) {
            parts.push_back(empty);
            partBytes = 0;
        }
        parts.back().entries.push_back(entry);
        partBytes += entryBytes;
    }
    for (std::size_t index = 0; index < parts.size(); ++index) {
        parts[index].part = static_cast<std::uint32_t>(index);
        parts[index].parts = static_cast<std::uint32_t>(parts.size());
    }
    return parts;
}

bool isSnapshotDue(const SnapshotProgress &progress, Core::Duration interval,
                   std::uint64_t intervalRecords, Core::Instant now)
{
    if (!progress.readAt)
        return true;
    if (now >= *progress.readAt + interval)
        return true;
    if (progress.end >= progress.coversUntil + intervalRecords)
        return true;
    // Records expire by age. Once some have expired, a new snapshot is due when the newest one
    // covers less than half of the retained records, so that the new one can be completed before
    // the newest one becomes unusable.
    const std::uint64_t retained = progress.end - progress.firstRetained;
    return progress.firstRetained > 0
        && progress.coversUntil < progress.firstRetained + retained / 2;
}

void SnapshotAssembler::onRecord(const TaskRecord &record)
{
    const auto *part = std::get_if<SnapshotPart>(&record.body);
    if (!part)
        return;
    if (m_newest && part->coversUntil <= m_newest->coversUntil)
        return;
    PartialSnapshot &partial = m_partial[part->snapshotId];
    partial.partCount = part->parts;
    partial.received.insert_or_assign(part->part, *part);
    if (partial.received.size() < partial.partCount)
        return;

    Snapshot snapshot { part->coversUntil, part->tableEpoch, {} };
    for (auto &[number, received] : partial.received) {
        for (TaskEntry &entry : received.entries)
            snapshot.entries.push_back(std::move(entry));
    }
    m_newest = std::move(snapshot);
    std::erase_if(m_partial, [this](const auto &item) {
        const PartialSnapshot &parts = item.second;
        return parts.received.begin()->second.coversUntil <= m_newest->coversUntil;
    });
}

std::optional<Snapshot> SnapshotAssembler::newest(std::uint64_t firstRetained) const
{
    if (!m_newest || m_newest->coversUntil < firstRetained)
        return std::nullopt;
    return m_newest;
}

} // namespace Task
