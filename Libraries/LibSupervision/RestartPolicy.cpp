#include <LibSupervision/RestartPolicy.h>

#include <algorithm>

namespace Supervision {

std::optional<Core::Instant> RestartPolicy::onFailure(Core::Instant now)
{
    while (!m_failures.empty() && now - m_failures.front() > m_limits.window)
        m_failures.pop_front();
    m_failures.push_back(now);
    if (m_failures.size() > m_limits.maxFailures)
        return std::nullopt;
    Core::Duration backOff = m_limits.initialBackOff;
    for (std::size_t failure = 1; failure < m_failures.size(); ++failure)
        backOff = std::min(backOff * 2, m_limits.maxBackOff);
    return now + backOff;
}

} // namespace Supervision
