#include <LibSite/SentProgressCache.h>

#include <utility>

namespace Site {

void SentProgressCache::insert(const Jobs::StoredRecord &stored, Jobs::ProgressRecord record)
{
    const auto former = m_entries.find(stored.key);
    if (former != m_entries.end()) {
        m_bytes -= former->first.size() + former->second.value.size();
        m_entries.erase(former);
    }
    const std::size_t bytes = stored.key.size() + stored.value.size();
    if (m_bytes + bytes > maxBytes)
        return;
    m_bytes += bytes;
    m_entries.emplace(stored.key, Entry { stored.value, std::move(record) });
}

std::optional<Jobs::ProgressRecord> SentProgressCache::take(const Jobs::StoredRecord &stored)
{
    const auto found = m_entries.find(stored.key);
    if (found == m_entries.end() || found->second.value != stored.value)
        return std::nullopt;
    Jobs::ProgressRecord record = std::move(found->second.record);
    m_bytes -= stored.key.size() + stored.value.size();
    m_entries.erase(found);
    return record;
}

void SentProgressCache::clear()
{
    m_entries.clear();
    m_bytes = 0;
}

} // namespace Site
