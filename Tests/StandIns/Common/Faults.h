#pragma once

#include <json/value.h>

#include <chrono>
#include <map>
#include <string>

namespace StandIn {

/// The faults that a server injects.
struct Faults
{
    /// Refuses connections and closes the open ones; for a single path, closes the connection
    /// without a response.
    bool isDown = false;
    /// Accepts connections and requests, but neither executes them nor responds.
    bool isFrozen = false;
    /// Executes the request, then closes the connection without a response.
    bool losesAnswers = false;
    /// Announces the complete body, sends half of it and closes the connection.
    bool truncatesBodies = false;
    /// Responds with status 500 immediately without executing the request.
    bool failsFast = false;
    /// Delay before a request is executed.
    std::chrono::milliseconds delay {};

    bool operator==(const Faults &) const = default;

    /// Decodes the members `down`, `freeze`, `loseAnswers`, `truncate`, `fail` and `slowMs`, all
    /// optional.
    static Faults fromJson(const Json::Value &value);
};

/// Faults by path; those of the longest path that is a prefix of the request's path apply.
class FaultTable
{
public:
    /// Sets the faults of \p path; `/` applies to all requests.
    void set(const std::string &path, const Faults &faults);
    Faults find(const std::string &path) const;

private:
    std::map<std::string, Faults> m_faults;
};

} // namespace StandIn
