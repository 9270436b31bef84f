#pragma once

#include <LibCore/Time.h>

#include <optional>
#include <string>

namespace Site {

/// Tracks up to which instant a node's copy of a topic's records is complete. Instants are on the
/// suspend-aware clock (Core::suspendAwareNow()), so that a copy ages while its VM is suspended,
/// too.
class CopyFreshness
{
public:
    /// A copy counts as current until it is older than \p maxAge.
    explicit CopyFreshness(Core::Duration maxAge)
        : m_maxAge(maxAge)
    {
    }

    /// To be called when a read that was sent at \p sentAt has reached the end of the log. An
    /// earlier instant than that of a previous call has no effect.
    void markCompleteAsOf(Core::Instant sentAt);

    /// The copy contains every record that the log contained at this instant. Empty until the log
    /// has been read to its end once.
    std::optional<Core::Instant> completeAsOf() const { return m_completeAsOf; }
    bool wasEverComplete() const { return m_completeAsOf.has_value(); }
    /// True if the copy was complete at most the maximum age before \p now.
    bool isCurrent(Core::Instant now) const;

private:
    Core::Duration m_maxAge;
    std::optional<Core::Instant> m_completeAsOf;
};

/// Formats for the log how many milliseconds before \p now a copy was complete; `never` if
/// \p completeAsOf is empty.
std::string formatAgeMs(std::optional<Core::Instant> completeAsOf, Core::Instant now);

} // namespace Site
