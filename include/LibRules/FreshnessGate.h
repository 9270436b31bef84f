#pragma once

#include <LibCore/Time.h>

#include <optional>

namespace Rules {

/// Tells whether the rules are recent enough to start work under them: this VM, or a peer that sent
/// its version, has read to the end of the stream `rules` within a maximum age. That bounds how
/// long a failure domain that an operator took out can continue to start work, even while it is cut
/// off from the platform.
class FreshnessGate
{
public:
    /// \p maximumAge is the maximum age of the latest read.
    explicit FreshnessGate(Core::Duration maximumAge)
        : m_maximumAge(maximumAge)
    {
    }

    /// A read that began at \p readBegan reached the end of the stream, and all records are
    /// applied.
    void onEndRead(Core::Instant readBegan);

    /// A peer, asked at \p askedAt, answered that its latest read was \p age old, and at least the
    /// version that it had is applied here.
    void onPeerAnswer(Core::Instant askedAt, Core::Duration age);

    /// From this time on nothing may start until the next read; empty before the first read.
    std::optional<Core::Instant> freshUntil() const;
    bool isFresh(Core::Instant now) const;
    /// When the rules were certainly the newest ones; empty before the first read.
    std::optional<Core::Instant> freshAsOf() const { return m_freshAsOf; }

private:
    Core::Duration m_maximumAge;
    std::optional<Core::Instant> m_freshAsOf;
};

} // namespace Rules
