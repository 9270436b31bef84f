#include <LibSite/CopyFreshness.h>

#include <algorithm>

namespace Site {

void CopyFreshness::markCompleteAsOf(Core::Instant sentAt)
{
    m_completeAsOf = m_completeAsOf ? std::max(*m_completeAsOf, sentAt) : sentAt;
}

bool CopyFreshness::isCurrent(Core::Instant now) const
{
    return m_completeAsOf && now - *m_completeAsOf <= m_maxAge;
}

std::string formatAgeMs(std::optional<Core::Instant> completeAsOf, Core::Instant now)
{
    if (!completeAsOf)
        return "never";
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - *completeAsOf);
    return std::to_string(age.count());
}

} // namespace Site
