#pragma once

#include <LibCore/Time.h>

#include <optional>

namespace Rules {

/// Tells whether the rules are known well enough to start work under them: the end of the stream
/// `rules` was read, by us or by a peer that handed its version on, at a moment not too long ago.
/// That bounds how long a failure domain that an operator took out can go on starting work, also
/// where it is cut off from the platform.
class FreshnessGate
{
public:
    /// \p maximumAge is how old the latest reading may be.
    explicit FreshnessGate(Core::Duration maximumAge)
        : m_maximumAge(maximumAge)
    {
    }

    /// The whole stream, up to its end at a read begun at \p readBegan, is applied.
    void onEndRead(Core::Instant readBegan);

    /// A peer, asked at \p askedAt, answered that its own reading was \p age old, and we have
    /// applied at least the version that it had.
    void onPeerAnswer(Core::Instant askedAt, Core::Duration age);

    /// From this moment on starts are forbidden until another reading; nothing before the first.
    std::optional<Core::Instant> freshUntil() const;
    bool isFresh(Core::Instant now) const;
    /// When the rules were certainly the newest ones; nothing before the first reading.
    std::optional<Core::Instant> freshAsOf() const { return m_freshAsOf; }

private:
    Core::Duration m_maximumAge;
    std::optional<Core::Instant> m_freshAsOf;
};

} // namespace Rules
