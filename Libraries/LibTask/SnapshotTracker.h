#pragma once

#include <LibTask/TaskRecord.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Task {

/// Notices complete snapshots in a stream without keeping their contents.
class SnapshotTracker
{
public:
    /// Returns `coversUntil` of the snapshot that \p record completes, if it is the newest.
    std::optional<std::uint64_t> onRecord(const TaskRecord &record);

private:
    struct Parts
    {
        std::uint64_t coversUntil = 0;
        std::set<std::uint32_t> received;
    };

    std::map<std::string, Parts> m_open;
    std::uint64_t m_newest = 0;
};

} // namespace Task
