#include <LibSite/AppendParts.h>

#include <algorithm>
#include <iterator>

namespace Site {

std::size_t sizeInBytes(const Jobs::StoredRecord &record)
{
    return record.key.size() + record.value.size();
}

bool isTooLarge(const Jobs::StoredRecord &record)
{
    return sizeInBytes(record) > mostBytesPerRecord;
}

void AppendParts::add(std::vector<Jobs::StoredRecord> group)
{
    std::size_t bytes = 0;
    for (const Jobs::StoredRecord &record : group)
        bytes += sizeInBytes(record);
    const bool hasRoom = !m_parts.empty() && m_bytesOfLast + bytes <= mostBytesPerAppend
        && m_parts.back().size() + group.size() <= mostRecordsPerAppend;
    if (!hasRoom) {
        m_parts.emplace_back();
        m_bytesOfLast = 0;
    }
    m_bytesOfLast += bytes;
    std::move(group.begin(), group.end(), std::back_inserter(m_parts.back()));
}

} // namespace Site
