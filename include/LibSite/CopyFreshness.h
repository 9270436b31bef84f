#pragma once

#include <LibCore/Time.h>

#include <optional>
#include <string>

namespace Site {

/// Knows up to which moment a node's copy of a topic's records is complete. Instants are on the
/// clock that also counts suspension: a copy grows old while its VM stands still.
class CopyFreshness
{
public:
    /// A copy that is older than \p longestAge isn't current.
    explicit CopyFreshness(Core::Duration longestAge)
        : m_longestAge(longestAge)
    {
    }

    /// A read that was sent at \p sentAt has reached the end of the log.
    void noteComplete(Core::Instant sentAt);

    /// All records that were in the store at this moment are in the copy. Nothing if the log has
    /// never been read to its end.
    std::optional<Core::Instant> completeAsOf() const { return m_completeAsOf; }
    bool wasEverComplete() const { return m_completeAsOf.has_value(); }
    /// The copy lacks nothing that is older than the longest age.
    bool isCurrent(Core::Instant now) const;

private:
    Core::Duration m_longestAge;
    std::optional<Core::Instant> m_completeAsOf;
};

/// The age of a copy that is complete as of \p completeAsOf in milliseconds, or `never`.
std::string ageText(std::optional<Core::Instant> completeAsOf, Core::Instant now);

} // namespace Site
