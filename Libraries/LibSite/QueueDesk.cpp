#include <LibSite/QueueDesk.h>

#include <LibCore/SteadyClock.h>
#include <LibLog/Logging.h>

#include <algorithm>

namespace Site {

namespace asio = boost::asio;

/// How long a request waits for a look at the operators' records: as long as a call may take.
static constexpr Core::Duration longestLook = std::chrono::milliseconds(1000);
/// What an answer needs on its way to the caller.
static constexpr Core::Duration answerMargin = std::chrono::milliseconds(200);
static const auto partLogger = Log::logger("desk");

QueueDesk::QueueDesk(SiteState &state, OperatorFollower &follower)
    : m_state(state)
    , m_follower(follower)
{
}

QueueFinding QueueDesk::lookUp(const std::string &host, const std::string &path) const
{
    QueueFinding finding;
    finding.isCurrent = m_state.catalogueFreshness.isCurrent(Core::suspendAwareNow());
    const Jobs::Queue *queue
        = m_state.catalogue ? m_state.catalogue->findQueue(host, path) : nullptr;
    if (queue)
        finding.queue = *queue;
    return finding;
}

asio::awaitable<QueueFinding> QueueDesk::find(std::string host, std::string path,
                                              Core::Instant deadline)
{
    QueueFinding finding = lookUp(host, path);
    if (!finding.isCurrent && m_state.health.isReachable()) {
        const Core::Instant latest
            = std::min(deadline - answerMargin, Core::steadyNow() + longestLook);
        co_await m_follower.refresh(latest);
        finding = lookUp(host, path);
    }
    co_return finding;
}

void QueueDesk::noteAnswer(const std::string &path, const QueueFinding &finding) const
{
    const char *outcome = finding.isCurrent ? "no-such-queue" : "unavailable";
    const std::optional<Core::Instant> asOf = m_state.catalogueFreshness.completeAsOf();
    LOG4CXX_INFO(partLogger,
                 "event=queue path=" << path << " outcome=" << outcome << " catalogue_age_ms="
                                     << ageText(asOf, Core::suspendAwareNow()) << " version="
                                     << (m_state.catalogue ? m_state.catalogue->version : 0));
}

} // namespace Site
