#pragma once

#include <json/value.h>

#include <chrono>
#include <map>
#include <string>

namespace StandIn {

/// How a server misbehaves from now on.
struct Faults
{
    /// Refuses connections and ends the open ones; of one path, ends the connection unanswered.
    bool isDown = false;
    /// Accepts connections and requests and says nothing; doesn't act.
    bool isFrozen = false;
    /// Acts, then ends the connection instead of answering.
    bool losesAnswers = false;
    /// Announces the whole body, sends half of it and ends the connection.
    bool truncatesBodies = false;
    /// Answers 500 at once without acting.
    bool failsFast = false;
    /// Waits before it acts.
    std::chrono::milliseconds delay {};

    bool operator==(const Faults &) const = default;

    /// From the members `down`, `freeze`, `loseAnswers`, `truncate`, `fail` and `slowMs`, all
    /// optional.
    static Faults fromJson(const Json::Value &value);
};

/// Faults by path; the longest path that is the whole or a leading part of a request's wins.
class FaultTable
{
public:
    /// Sets the faults of \p path, `/` for everything.
    void set(const std::string &path, const Faults &faults);
    Faults find(const std::string &path) const;

private:
    std::map<std::string, Faults> m_faults;
};

} // namespace StandIn
