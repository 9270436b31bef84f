#pragma once

#include <json/value.h>

#include <map>
#include <string>

namespace StandIn {

struct Request
{
    /// The HTTP method in upper case.
    std::string method;
    /// The path without the query.
    std::string path;
    std::map<std::string, std::string> query;
    /// Names are in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string &name) const;
    /// \throws Core::FormatError if the value isn't a number.
    long queryNumber(const std::string &name, long fallback) const;
    Json::Value json() const;
};

struct Reply
{
    unsigned status = 200;
    std::string body;
    std::map<std::string, std::string> headers;

    static Reply json(const Json::Value &value);
    static Reply error(unsigned status, const std::string &reason);
};

} // namespace StandIn
