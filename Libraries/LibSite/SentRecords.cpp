#include <LibSite/SentRecords.h>

#include <utility>

namespace Site {

void SentRecords::note(const Jobs::StoredRecord &stored, Jobs::ProgressRecord record)
{
    const auto former = m_sent.find(stored.key);
    if (former != m_sent.end()) {
        m_bytes -= former->first.size() + former->second.value.size();
        m_sent.erase(former);
    }
    const std::size_t bytes = stored.key.size() + stored.value.size();
    if (m_bytes + bytes > mostBytes)
        return;
    m_bytes += bytes;
    m_sent.emplace(stored.key, Sent { stored.value, std::move(record) });
}

std::optional<Jobs::ProgressRecord> SentRecords::take(const Jobs::StoredRecord &stored)
{
    const auto found = m_sent.find(stored.key);
    if (found == m_sent.end() || found->second.value != stored.value)
        return std::nullopt;
    Jobs::ProgressRecord record = std::move(found->second.record);
    m_bytes -= stored.key.size() + stored.value.size();
    m_sent.erase(found);
    return record;
}

void SentRecords::clear()
{
    m_sent.clear();
    m_bytes = 0;
}

} // namespace Site
