#include <LibSite/QueueDesk.h>

namespace Site {

namespace asio = boost::asio;

QueueDesk::QueueDesk(SiteState &state, OperatorFollower &follower)
    : m_state(state)
    , m_follower(follower)
{
}

QueueFinding QueueDesk::lookUp(const std::string &host, const std::string &path) const
{
    QueueFinding finding;
    finding.isCurrent = m_state.catalogue.has_value();
    const Jobs::Queue *queue
        = m_state.catalogue ? m_state.catalogue->findQueue(host, path) : nullptr;
    if (queue)
        finding.queue = *queue;
    return finding;
}

asio::awaitable<QueueFinding> QueueDesk::find(std::string host, std::string path, Core::Instant)
{
    co_return lookUp(host, path);
}

} // namespace Site
