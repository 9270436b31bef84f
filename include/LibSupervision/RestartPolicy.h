#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <deque>
#include <optional>

namespace Supervision {

/// Limits on the restarts of a failed part, with exponential back-off between them.
struct RestartLimits
{
    /// One failure more than this within `window` makes the supervisor itself fail.
    std::size_t maxFailures = 5;
    Core::Duration window = std::chrono::seconds(30);
    Core::Duration initialBackOff = std::chrono::milliseconds(50);
    Core::Duration maxBackOff = std::chrono::seconds(5);

    auto operator<=>(const RestartLimits &) const = default;
};

/// Decides when a failed part is restarted, or that its supervisor has to fail in turn.
class RestartPolicy
{
public:
    explicit RestartPolicy(const RestartLimits &limits)
        : m_limits(limits)
    {
    }

    /// Returns when to restart the part; empty if it has failed more often than the limits allow.
    std::optional<Core::Instant> onFailure(Core::Instant now);

private:
    RestartLimits m_limits;
    std::deque<Core::Instant> m_failures;
};

} // namespace Supervision
