#pragma once

#include <LibCore/Time.h>

#include <optional>
#include <string>

namespace Site {

/// Knows up to which moment a node's copy of the job records is complete. Instants are on the
/// clock that also counts suspension: a copy grows old while its VM stands still.
class TableFreshness
{
public:
    /// Callers are told counts that are at most this old.
    static constexpr Core::Duration longestAge = std::chrono::seconds(2);

    /// A read that was sent at \p sentAt has reached the end of the log.
    void noteComplete(Core::Instant sentAt);

    /// All records that were in the store at this moment are in the copy. Nothing if the log has
    /// never been read to its end.
    std::optional<Core::Instant> completeAsOf() const { return m_completeAsOf; }
    bool wasEverComplete() const { return m_completeAsOf.has_value(); }
    /// The copy lacks nothing that is older than `longestAge`.
    bool isCurrent(Core::Instant now) const;

private:
    std::optional<Core::Instant> m_completeAsOf;
};

/// The age of a copy that is complete as of \p completeAsOf in milliseconds, or `never`.
std::string ageText(std::optional<Core::Instant> completeAsOf, Core::Instant now);

} // namespace Site
