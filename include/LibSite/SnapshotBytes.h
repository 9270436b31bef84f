#pragma once

#include <LibJob/JobRecord.h>

#include <cstddef>
#include <ostream>

namespace Site {

/// The bytes of a snapshot of the jobs' topic by kind of record, keys included, as the store keeps
/// them. On the wire each record takes a third more, and a fixed part.
struct SnapshotBytes
{
    std::size_t submissions = 0;
    std::size_t progress = 0;
    std::size_t workers = 0;
    std::size_t others = 0;

    void add(const Jobs::StoredRecord &record);

    bool operator==(const SnapshotBytes &) const = default;
};

/// Writes log values, such as `submission_bytes=812 progress_bytes=90 worker_bytes=0
/// other_bytes=7`.
std::ostream &operator<<(std::ostream &stream, const SnapshotBytes &bytes);

} // namespace Site
