#pragma once

#include <json/value.h>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace StandIn {

/// The streams of the log, in memory.
class LogStore
{
public:
    /// The largest page, in bytes of record bodies; at least one record is returned nevertheless.
    static constexpr std::size_t maximumPageBytes = 1024 * 1024;

    /// Keeps at most \p retainedRecords of each stream.
    explicit LogStore(std::size_t retainedRecords);

    /// Appends all and returns the offset of the first.
    std::uint64_t append(const std::string &stream, const std::vector<std::string> &bodies);

    /// The page in the wire's format. A stream that nobody wrote to is empty.
    Json::Value read(const std::string &stream, std::uint64_t from, std::size_t maximum) const;

    /// How many appends there were of each stream.
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
