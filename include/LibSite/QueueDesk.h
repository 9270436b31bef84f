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

    /// Looks at the store first if the catalogue isn't current.
    boost::asio::awaitable<QueueFinding> find(std::string host, std::string path,
                                              Core::Instant deadline);
    /// The log says that a caller was sent away, and from how old a catalogue.
    void noteAnswer(const std::string &path, const QueueFinding &finding) const;

private:
    QueueFinding lookUp(const std::string &host, const std::string &path) const;

    SiteState &m_state;
    OperatorFollower &m_follower;
};

} // namespace Site
