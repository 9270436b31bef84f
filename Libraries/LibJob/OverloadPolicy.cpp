#include <LibJob/OverloadPolicy.h>

#include <algorithm>
#include <utility>

namespace Jobs {

using std::chrono::milliseconds;

/// Lag below this costs less than it would to learn ends later.
static constexpr Core::Duration toleratedLag = milliseconds(20);
/// Milliseconds by which the renewal interval grows for each millisecond of lag above the tolerated
/// lag.
static constexpr int renewalDelayPerLag = 6;
/// Limits the growth of the renewal interval: leases must be renewed in time whatever the lag.
static constexpr Core::Duration maxRenewalDelay = milliseconds(600);
/// The renewals of workers with urgent tasks are delayed by this fraction.
static constexpr int urgentDelayDivisor = 4;

void OverloadPolicy::noteLag(Core::Duration lag)
{
    m_stayingLag = std::min(lag, m_lastLag);
    m_lastLag = lag;
    m_startWindow.noteLag(m_stayingLag, std::exchange(m_wasStartWindowFull, false));
}

bool OverloadPolicy::isLate() const
{
    return m_stayingLag > toleratedLag;
}

Core::Duration OverloadPolicy::renewalInterval(bool isUrgent) const
{
    const Core::Duration delay = std::clamp(renewalDelayPerLag * (m_stayingLag - toleratedLag),
                                            Core::Duration(), maxRenewalDelay);
    return m_minRenewalInterval + (isUrgent ? delay / urgentDelayDivisor : delay);
}

} // namespace Jobs
