#include "Common/Http.h"

#include <LibCore/Error.h>
#include <LibCore/Json.h>

#include <charconv>

namespace StandIn {

std::string Request::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

long Request::queryNumber(const std::string &name, long fallback) const
{
    const auto found = query.find(name);
    if (found == query.end())
        return fallback;
    const std::string &text = found->second;
    long number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        throw Core::FormatError("read query", name, "no number: " + text);
    return number;
}

Json::Value Request::json() const
{
    return Core::Json::parse(body, path);
}

Reply Reply::json(const Json::Value &value)
{
    return { 200, Core::Json::write(value), { { "Content-Type", "application/json" } } };
}

Reply Reply::error(unsigned status, const std::string &reason)
{
    Json::Value value;
    value["error"] = reason;
    Reply reply = json(value);
    reply.status = status;
    return reply;
}

} // namespace StandIn
