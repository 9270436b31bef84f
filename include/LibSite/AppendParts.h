#pragma once

#include <LibJob/JobRecord.h>

#include <cstddef>
#include <vector>

namespace Site {

/// What one append carries at most, so that it is answered in time on a slow link, too.
static constexpr std::size_t mostBytesPerAppend = 128 * 1024;
static constexpr std::size_t mostRecordsPerAppend = 256;
/// The store takes no larger record, its key and what frames it included.
static constexpr std::size_t mostBytesPerRecord = 256 * 1024 - 256;

/// The bytes of a record's key and value.
std::size_t sizeInBytes(const Jobs::StoredRecord &record);
/// No store call takes the record, alone or with others.
bool isTooLarge(const Jobs::StoredRecord &record);

/// Cuts records into appends that keep their order and the bounds above. Only a group that is
/// larger by itself goes beyond them.
class AppendParts
{
public:
    /// The records of a group stay in one append.
    void add(std::vector<Jobs::StoredRecord> group);
    bool isEmpty() const { return m_parts.empty(); }
    const std::vector<std::vector<Jobs::StoredRecord>> &parts() const { return m_parts; }

private:
    std::vector<std::vector<Jobs::StoredRecord>> m_parts;
    std::size_t m_bytesOfLast = 0;
};

} // namespace Site
