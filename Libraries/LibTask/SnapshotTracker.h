#pragma once

#include <LibTask/TaskRecord.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Task {

/// Detects complete snapshots in a stream without storing their contents.
class SnapshotTracker
{
public:
    /// Returns `coversUntil` of the snapshot that \p record completes. Returns nothing if the
    /// record completes none or the snapshot is older than the newest one.
    std::optional<std::uint64_t> onRecord(const TaskRecord &record);

private:
    struct PartialSnapshot
    {
        std::uint64_t coversUntil = 0;
        std::set<std::uint32_t> received;
    };

    std::map<std::string, PartialSnapshot> m_partial;
    std::uint64_t m_newestCoversUntil = 0;
};

} // namespace Task
