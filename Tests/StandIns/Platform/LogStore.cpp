#include "Platform/LogStore.h"

#include <algorithm>

namespace StandIn {

LogStore::LogStore(std::size_t retainedRecords)
    : m_retainedRecords(retainedRecords)
{
}

std::uint64_t LogStore::append(const std::string &name, const std::vector<std::string> &bodies)
{
    Stream &stream = m_streams[name];
    const std::uint64_t first = stream.firstRetained + stream.records.size();
    stream.records.insert(stream.records.end(), bodies.begin(), bodies.end());
    ++stream.appends;
    while (stream.records.size() > m_retainedRecords) {
        stream.records.pop_front();
        ++stream.firstRetained;
    }
    return first;
}

Json::Value LogStore::read(const std::string &name, std::uint64_t from, std::size_t maximum) const
{
    const auto found = m_streams.find(name);
    static const Stream nothing;
    const Stream &stream = found == m_streams.end() ? nothing : found->second;
    const std::uint64_t end = stream.firstRetained + stream.records.size();
    Json::Value page;
    page["firstRetained"] = Json::UInt64(stream.firstRetained);
    page["end"] = Json::UInt64(end);
    page["records"] = Json::Value(Json::arrayValue);
    std::size_t bytes = 0;
    for (std::uint64_t offset = std::max(from, stream.firstRetained); offset < end; ++offset) {
        const std::string &body = stream.records[offset - stream.firstRetained];
        bytes += body.size();
        const bool isFull = page["records"].size() >= maximum || bytes > maximumPageBytes;
        if (isFull && !page["records"].empty())
            break;
        Json::Value record;
        record["offset"] = Json::UInt64(offset);
        record["body"] = body;
        page["records"].append(record);
    }
    return page;
}

Json::Value LogStore::report() const
{
    Json::Value value(Json::objectValue);
    for (const auto &[name, stream] : m_streams) {
        value[name]["appends"] = Json::Int64(stream.appends);
        value[name]["end"] = Json::UInt64(stream.firstRetained + stream.records.size());
    }
    return value;
}

} // namespace StandIn
