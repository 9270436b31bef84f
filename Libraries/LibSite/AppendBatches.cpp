#include <LibSite/AppendBatches.h>

#include <algorithm>
#include <iterator>

namespace Site {

std::size_t sizeInBytes(const Jobs::StoredRecord &record)
{
    return record.key.size() + record.value.size();
}

bool isTooLarge(const Jobs::StoredRecord &record)
{
    return sizeInBytes(record) > maxBytesPerRecord;
}

void AppendBatches::add(std::vector<Jobs::StoredRecord> group)
{
    std::size_t bytes = 0;
    for (const Jobs::StoredRecord &record : group)
        bytes += sizeInBytes(record);
    const bool hasRoom = !m_batches.empty() && m_lastBatchBytes + bytes <= maxBytesPerAppend
        && m_batches.back().size() + group.size() <= maxRecordsPerAppend;
    if (!hasRoom) {
        m_batches.emplace_back();
        m_lastBatchBytes = 0;
    }
    m_lastBatchBytes += bytes;
    std::move(group.begin(), group.end(), std::back_inserter(m_batches.back()));
}

} // namespace Site
