#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <deque>
#include <optional>

namespace Supervision {

/// How often a part may be restarted, and how long to wait before.
struct RestartLimits
{
    /// More failures than this within `window` are escalated.
    std::size_t mostFailures = 5;
    Core::Duration window = std::chrono::seconds(30);
    Core::Duration firstBackOff = std::chrono::milliseconds(50);
    Core::Duration longestBackOff = std::chrono::seconds(5);

    auto operator<=>(const RestartLimits &) const = default;
};

/// Decides when a failed part is started again, or that its supervisor has to give up.
class RestartPolicy
{
public:
    explicit RestartPolicy(const RestartLimits &limits)
        : m_limits(limits)
    {
    }

    /// When to start the part again; nothing if it failed too often, so that the failure must be
    /// escalated.
    std::optional<Core::Instant> onFailure(Core::Instant now);

private:
    RestartLimits m_limits;
    std::deque<Core::Instant> m_failures;
};

} // namespace Supervision
