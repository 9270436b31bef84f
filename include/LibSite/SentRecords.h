#pragma once

#include <LibJob/JobRecord.h>

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace Site {

/// Remembers the progress of jobs that this node has sent to the log as their owner, so that it
/// needn't decode it when it reads it. Only saves work: what isn't found here is decoded.
class SentRecords
{
public:
    /// What goes beyond this isn't remembered.
    static constexpr std::size_t mostBytes = 1024 * 1024;

    void note(const Jobs::StoredRecord &stored, Jobs::ProgressRecord record);
    /// Finds and forgets the record that was sent as \p stored. Nothing if another value was sent
    /// last under its key.
    std::optional<Jobs::ProgressRecord> take(const Jobs::StoredRecord &stored);
    void clear();

private:
    struct Sent
    {
        std::string value;
        Jobs::ProgressRecord record;
    };

    std::unordered_map<std::string, Sent> m_sent;
    std::size_t m_bytes = 0;
};

} // namespace Site
