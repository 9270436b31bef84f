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

enum class PublishFate {
    /// The record hasn't been read back yet.
    Pending,
    Accepted,
    /// Another change with the same base came first, or the base was never the newest.
    Lost,
};

/// Applies the stream `rules` in offset order. The log's order decides between racing operators:
/// a change is accepted only if it names the newest version as its base. The version in force never
/// goes down, whether newer ones are learned from the log or from peers.
class RuleBook
{
public:
    /// Begins or resumes reading at \p offset. If records are missing since the last one read,
    /// because retention took them, only a snapshot or a peer that knew all of them can bridge the
    /// gap.
    void startReadingAt(std::uint64_t offset);

    /// Applies the record at \p offset, which must be `nextOffset()`.
    /// \throws RulesError if an accepted text doesn't parse, and Core::Error if \p offset isn't
    /// next.
    void apply(std::uint64_t offset, const RuleRecord &record, Core::Instant now);
    /// Passes over the record at \p offset, which is of a kind that we don't know.
    void skip(std::uint64_t offset);

    /// Takes over a version that a peer has in force. It may be newer than what the log's records
    /// up to our offset say.
    void learn(const RuleVersion &version);
    /// Takes over a version that was the newest by the log's own records below \p readThrough, and
    /// so bridges a gap that ends at or before it.
    void bridge(const RuleVersion &version, std::uint64_t readThrough);

    /// True unless records are missing, so that the version in force may be outdated.
    bool isReady() const { return m_logVersion.has_value(); }
    /// The newest version by the log's own records below `nextOffset()`; only while ready.
    const RuleVersion &logVersion() const { return *m_logVersion; }
    /// The newest version that is known.
    const RuleVersion &current() const { return m_current; }
    std::uint64_t nextOffset() const { return m_nextOffset; }

    /// What became of the change with \p recordId. Only the latest thousand or so are remembered.
    PublishFate fate(const std::string &recordId) const;

    /// True if a snapshot should be appended: the newest one has come into the older half of what
    /// the log retains from \p firstRetained on, or is older than \p maximumAge.
    bool isSnapshotDue(std::uint64_t firstRetained, Core::Duration maximumAge,
                       Core::Instant now) const;
    RuleRecord makeSnapshot(const std::string &id) const;

private:
    struct Waiting
    {
        std::uint64_t offset = 0;
        RuleRecord record;
    };
    struct Verdict
    {
        std::string recordId;
        PublishFate fate = PublishFate::Pending;
    };

    void requireNext(std::uint64_t offset) const;
    void applyChange(const RuleRecord &record);
    void applySnapshot(const RuleRecord &record, Core::Instant now);
    void waitForBridge(std::uint64_t offset, const RuleRecord &record);
    void remember(const std::string &recordId, PublishFate fate);

    RuleVersion m_current;
    /// The newest version by the log's own records up to `m_nextOffset`; nothing while there is a
    /// gap.
    std::optional<RuleVersion> m_logVersion = RuleVersion();
    std::uint64_t m_nextOffset = 0;
    /// While there is a gap: every record from here on has been read.
    std::uint64_t m_gapEnd = 0;
    /// While there is a gap: the changes read since, which can't be judged yet.
    std::deque<Waiting> m_waiting;
    std::deque<Verdict> m_verdicts;
    std::uint64_t m_newestSnapshotReadThrough = 0;
    std::optional<Core::Instant> m_newestSnapshotAt;
};

} // namespace Rules
