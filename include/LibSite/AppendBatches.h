#pragma once

#include <LibJob/JobRecord.h>

#include <cstddef>
#include <vector>

namespace Site {

/// Limits of one append, so that the store answers it in time over a slow link, too.
static constexpr std::size_t maxBytesPerAppend = 128 * 1024;
static constexpr std::size_t maxRecordsPerAppend = 256;
/// Largest record, key and value together, that is sent to the store. The store rejects records of
/// more than 256 KiB, framing included; 256 bytes are reserved for the framing.
static constexpr std::size_t maxBytesPerRecord = 256 * 1024 - 256;

/// Size of a record's key and value together.
std::size_t sizeInBytes(const Jobs::StoredRecord &record);
/// True if the record is larger than `maxBytesPerRecord`, so that the store may reject any append
/// that contains it.
bool isTooLarge(const Jobs::StoredRecord &record);

/// Splits records into batches, one for each append, in the order in which they were added. A batch
/// exceeds the limits above only if it holds a single group that does so by itself.
class AppendBatches
{
public:
    /// Adds records that must be written by the same append.
    void add(std::vector<Jobs::StoredRecord> group);
    bool isEmpty() const { return m_batches.empty(); }
    const std::vector<std::vector<Jobs::StoredRecord>> &batches() const { return m_batches; }

private:
    std::vector<std::vector<Jobs::StoredRecord>> m_batches;
    std::size_t m_lastBatchBytes = 0;
};

} // namespace Site
