#pragma once

#include <json/value.h>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace StandIn {

/// Stores the streams of the log in memory.
class LogStore
{
public:
    /// Maximum size of a page in bytes of record bodies; a page has at least one record.
    static constexpr std::size_t maximumPageBytes = 1024 * 1024;

    /// Retains at most \p retainedRecords records of each stream.
    explicit LogStore(std::size_t retainedRecords);

    /// Appends all records and returns the offset of the first.
    std::uint64_t append(const std::string &stream, const std::vector<std::string> &bodies);

    /// Returns a page in the wire format. A stream without appends is empty.
    Json::Value read(const std::string &stream, std::uint64_t from, std::size_t maximum) const;

    /// Returns the number of appends by stream.
    Json::Value report() const;

    void setRetention(std::size_t retainedRecords) { m_retainedRecords = retainedRecords; }

private:
    struct Stream
    {
        std::deque<std::string> records;
        std::uint64_t firstRetained = 0;
        std::int64_t appends = 0;
    };

    std::size_t m_retainedRecords;
    std::map<std::string, Stream> m_streams;
};

} // namespace StandIn
