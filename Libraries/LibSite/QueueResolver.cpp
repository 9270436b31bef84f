#include <LibSite/QueueResolver.h>

#include <LibCore/SteadyClock.h>
#include <LibLog/Logging.h>

#include <algorithm>

namespace Site {

namespace asio = boost::asio;

/// How long a request waits for a read of the operators' records: as long as one call may take.
static constexpr Core::Duration maxRefreshWait = std::chrono::milliseconds(1000);
/// Time reserved before a caller's deadline for the answer to reach the caller.
static constexpr Core::Duration responseMargin = std::chrono::milliseconds(200);
static const auto partLogger = Log::logger("requests");

QueueResolver::QueueResolver(SiteState &state, OperatorFollower &follower)
    : m_state(state)
    , m_follower(follower)
{
}

QueueLookup QueueResolver::findInCatalogue(const std::string &host, const std::string &path) const
{
    QueueLookup lookup;
    lookup.isCurrent = m_state.catalogueFreshness.isCurrent(Core::suspendAwareNow());
    const Jobs::Queue *queue
        = m_state.catalogue ? m_state.catalogue->findQueue(host, path) : nullptr;
    if (queue)
        lookup.queue = *queue;
    return lookup;
}

asio::awaitable<QueueLookup> QueueResolver::resolve(std::string host, std::string path,
                                                    Core::Instant deadline)
{
    QueueLookup lookup = findInCatalogue(host, path);
    if (!lookup.isCurrent && m_state.health.isReachable()) {
        const Core::Instant refreshDeadline
            = std::min(deadline - responseMargin, Core::steadyNow() + maxRefreshWait);
        co_await m_follower.refresh(refreshDeadline);
        lookup = findInCatalogue(host, path);
    }
    co_return lookup;
}

void QueueResolver::logRejection(const std::string &path, const QueueLookup &lookup) const
{
    const char *outcome = lookup.isCurrent ? "no-such-queue" : "unavailable";
    const std::optional<Core::Instant> asOf = m_state.catalogueFreshness.completeAsOf();
    LOG4CXX_INFO(partLogger,
                 "event=queue path=" << path << " outcome=" << outcome << " catalogue_age_ms="
                                     << formatAgeMs(asOf, Core::suspendAwareNow()) << " version="
                                     << (m_state.catalogue ? m_state.catalogue->version : 0));
}

} // namespace Site
