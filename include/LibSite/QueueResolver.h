#pragma once

#include <LibJob/Catalogue.h>
#include <LibSite/OperatorFollower.h>
#include <LibSite/SiteState.h>

#include <optional>
#include <string>

namespace Site {

struct QueueLookup
{
    /// Empty if this node's catalogue has no queue for the request.
    std::optional<Jobs::Queue> queue;
    /// The catalogue was current; otherwise a newer version may lead to another result.
    bool isCurrent = false;
};

/// Finds the queue for a caller's request in the operators' catalogue.
class QueueResolver
{
public:
    QueueResolver(SiteState &state, OperatorFollower &follower);

    /// Reads the operators' records first if the catalogue isn't current and the store is
    /// reachable. Stops waiting for them a short time before \p deadline (steady clock), so that
    /// the response still arrives in time.
    boost::asio::awaitable<QueueLookup> resolve(std::string host, std::string path,
                                                Core::Instant deadline);
    /// Logs that a request was rejected because of \p lookup, and how old the catalogue is.
    void logRejection(const std::string &path, const QueueLookup &lookup) const;

private:
    QueueLookup findInCatalogue(const std::string &host, const std::string &path) const;

    SiteState &m_state;
    OperatorFollower &m_follower;
};

} // namespace Site
