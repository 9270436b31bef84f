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

bool shouldSnapshot(const SnapshotProgress &progress, Core::Duration interval,
                    std::uint64_t everyRecords, Core::Instant now)
{
    if (!progress.readAt)
        return true;
    if (now >= *progress.readAt + interval)
        return true;
    if (progress.end >= progress.coversUntil + everyRecords)
        return true;
    // Records expire by age, so the newest snapshot is renewed while half of what was written
    // before it is still retained.
    const std::uint64_t retained = progress.end - progress.firstRetained;
    return progress.firstRetained > 0
        && progress.coversUntil < progress.firstRetained + retained / 2;
}

void SnapshotScan::onRecord(const TaskRecord &record)
{
    const auto *part = std::get_if<SnapshotPart>(&record.body);
    if (!part)
        return;
    if (m_newest && part->coversUntil <= m_newest->coversUntil)
        return;
    Parts &open = m_open[part->snapshotId];
    open.count = part->parts;
    open.received.insert_or_assign(part->part, *part);
    if (open.received.size() < open.count)
        return;

    Snapshot snapshot { part->coversUntil, part->tableEpoch, {} };
    for (auto &[number, received] : open.received) {
        for (TaskEntry &entry : received.entries)
            snapshot.entries.push_back(std::move(entry));
    }
    m_newest = std::move(snapshot);
    std::erase_if(m_open, [this](const auto &item) {
        const Parts &parts = item.second;
        return parts.received.begin()->second.coversUntil <= m_newest->coversUntil;
    });
}

std::optional<Snapshot> SnapshotScan::newest(std::uint64_t firstRetained) const
{
    if (!m_newest || m_newest->coversUntil < firstRetained)
        return std::nullopt;
    return m_newest;
}

} // namespace Task
