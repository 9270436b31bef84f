#pragma once

#include <LibJob/JobRecord.h>

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace Site {

/// Caches the progress records that this node has sent to the log as the owner, so that they
/// needn't be decoded when they are read back. Only saves work: a record that isn't found here is
/// decoded.
class SentProgressCache
{
public:
    /// Limit of all cached keys and values together; a record that would exceed it isn't cached.
    static constexpr std::size_t maxBytes = 1024 * 1024;

    /// Replaces an entry with the same key.
    void insert(const Jobs::StoredRecord &stored, Jobs::ProgressRecord record);
    /// Removes and returns the record that was sent as \p stored. Empty if the cache has no record
    /// for its key, or one with another value.
    std::optional<Jobs::ProgressRecord> take(const Jobs::StoredRecord &stored);
    void clear();

private:
    struct Entry
    {
        std::string value;
        Jobs::ProgressRecord record;
    };

    std::unordered_map<std::string, Entry> m_entries;
    std::size_t m_bytes = 0;
};

} // namespace Site
