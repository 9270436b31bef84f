#pragma once

#include <LibCore/Time.h>
#include <LibRules/RuleRecord.h>
#include <LibRules/RuleVersion.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace Rules {

enum class PublishOutcome {
    /// The record hasn't been read back yet.
    Pending,
    Accepted,
    /// The base wasn't the newest version at the record's offset, usually because another change
    /// with the same base came first, or the text doesn't parse.
    Rejected,
};

/// This VM's replica of the rules. It applies the records of the stream `rules` in offset order.
/// The log's order decides between concurrent changes: a change is accepted only if it names the
/// newest version as its base. The version in force never decreases, whether newer versions come
/// from the log or from peers.
class RuleReplica
{
public:
    /// Begins or resumes reading at \p offset. If retention has removed records after the last one
    /// read, only a snapshot or a peer that had read all of them can bridge the gap.
    void startReadingAt(std::uint64_t offset);

    /// Applies the record at \p offset, which must be `nextOffset()`.
    /// \throws RulesError if an accepted text doesn't parse, and Core::Error if \p offset isn't
    /// next.
    void apply(std::uint64_t offset, const RuleRecord &record, Core::Instant now);
    /// Skips the record at \p offset, which is of an unknown kind.
    void skip(std::uint64_t offset);

    /// Adopts a version that a peer has in force. It may be newer than the log's records below
    /// `nextOffset()`.
    void learn(const RuleVersion &version);
    /// Adopts a version that was the newest according to the log's records below \p readThrough,
    /// and so bridges a gap that ends at or before that offset.
    void bridge(const RuleVersion &version, std::uint64_t readThrough);

    /// True unless records are missing, so that the version in force may be outdated.
    bool isReady() const { return m_logVersion.has_value(); }
    /// The newest version according to the log's records below `nextOffset()`; only while ready.
    const RuleVersion &logVersion() const { return *m_logVersion; }
    /// The newest version that is known.
    const RuleVersion &current() const { return m_current; }
    std::uint64_t nextOffset() const { return m_nextOffset; }

    /// The outcome of the change with \p recordId. Only the latest 1,024 outcomes are kept.
    PublishOutcome outcome(const std::string &recordId) const;

    /// True if a snapshot should be appended: the newest one lies in the older half of the records
    /// that the log retains from \p firstRetained on, or is older than \p maximumAge.
    bool isSnapshotDue(std::uint64_t firstRetained, Core::Duration maximumAge,
                       Core::Instant now) const;
    RuleRecord makeSnapshot(const std::string &id) const;

private:
    struct DeferredChange
    {
        std::uint64_t offset = 0;
        RuleRecord record;
    };
    struct RecordedOutcome
    {
        std::string recordId;
        PublishOutcome outcome = PublishOutcome::Pending;
    };

    void requireNext(std::uint64_t offset) const;
    void applyChange(const RuleRecord &record);
    void applySnapshot(const RuleRecord &record, Core::Instant now);
    void deferUntilBridged(std::uint64_t offset, const RuleRecord &record);
    void recordOutcome(const std::string &recordId, PublishOutcome outcome);

    RuleVersion m_current;
    /// The newest version according to the log's records below `m_nextOffset`; empty while there is
    /// a gap.
    std::optional<RuleVersion> m_logVersion = RuleVersion();
    std::uint64_t m_nextOffset = 0;
    /// While there is a gap: every record from here on has been read.
    std::uint64_t m_gapEnd = 0;
    /// While there is a gap: the changes read after it, whose outcome can't be decided yet.
    std::deque<DeferredChange> m_deferred;
    std::deque<RecordedOutcome> m_outcomes;
    std::uint64_t m_newestSnapshotReadThrough = 0;
    std::optional<Core::Instant> m_newestSnapshotAt;
};

} // namespace Rules
