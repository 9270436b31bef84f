#pragma once

#include <LibJob/Catalogue.h>
#include <LibSite/OperatorFollower.h>
#include <LibSite/SiteState.h>

#include <optional>
#include <string>

namespace Site {

struct QueueFinding
{
    /// Nothing if this node's catalogue names no queue for the request.
    std::optional<Jobs::Queue> queue;
    /// The catalogue that says so is current; else a newer one may say otherwise.
    bool isCurrent = false;
};

/// Finds the queue of a caller's request in the operators' catalogue.
class QueueDesk
{
public:
    QueueDesk(SiteState &state, OperatorFollower &follower);

    /// Looks at the store before a queue is denied from a catalogue that isn't current.
    boost::asio::awaitable<QueueFinding> find(std::string host, std::string path,
                                              Core::Instant deadline);

private:
    QueueFinding lookUp(const std::string &host, const std::string &path) const;
    /// Says what was answered, and from how old a catalogue.
    void note(const std::string &path, const char *outcome) const;

    SiteState &m_state;
    OperatorFollower &m_follower;
};

} // namespace Site
