#include <LibRules/RuleReplica.h>

#include <LibCore/Error.h>

#include <algorithm>

namespace Rules {

static constexpr std::size_t maxOutcomes = 1'024;
static constexpr std::size_t maxDeferredChanges = 256;

void RuleReplica::startReadingAt(std::uint64_t offset)
{
    if (offset == m_nextOffset)
        return;
    if (offset < m_nextOffset)
        throw Core::Error("read rules", "rules",
                          "the stream restarts at an earlier offset; a different log answers");
    m_nextOffset = offset;
    m_gapEnd = offset;
    m_logVersion.reset();
    m_deferred.clear();
}

void RuleReplica::requireNext(std::uint64_t offset) const
{
    if (offset != m_nextOffset)
        throw Core::Error("read rules", "rules", "a record arrived out of order");
}

void RuleReplica::apply(std::uint64_t offset, const RuleRecord &record, Core::Instant now)
{
    requireNext(offset);
    m_nextOffset = offset + 1;
    if (record.kind == RuleRecordKind::Snapshot)
        applySnapshot(record, now);
    else if (isReady())
        applyChange(record);
    else
        deferUntilBridged(offset, record);
}

void RuleReplica::skip(std::uint64_t offset)
{
    requireNext(offset);
    m_nextOffset = offset + 1;
}

void RuleReplica::applyChange(const RuleRecord &record)
{
    if (outcome(record.id) != PublishOutcome::Pending)
        return;
    if (record.baseVersion != m_logVersion->number) {
        recordOutcome(record.id, PublishOutcome::Rejected);
        return;
    }
    // Every reader rejects a text that doesn't parse, so that none fails on it again and again.
    RuleVersion version;
    try {
        version = RuleVersion::create(record.baseVersion + 1, record.text, record.publishedBy);
    } catch (const Core::FormatError &) {
        recordOutcome(record.id, PublishOutcome::Rejected);
        return;
    }
    m_logVersion = version;
    recordOutcome(record.id, PublishOutcome::Accepted);
    learn(version);
}

void RuleReplica::applySnapshot(const RuleRecord &record, Core::Instant now)
{
    m_newestSnapshotReadThrough = std::max(m_newestSnapshotReadThrough, record.readThrough);
    m_newestSnapshotAt = now;
    if (!isReady())
        bridge(RuleVersion::create(record.baseVersion, record.text, record.publishedBy),
               record.readThrough);
}

void RuleReplica::learn(const RuleVersion &version)
{
    if (version.number > m_current.number)
        m_current = version;
}

void RuleReplica::deferUntilBridged(std::uint64_t offset, const RuleRecord &record)
{
    m_deferred.push_back({ offset, record });
    if (m_deferred.size() <= maxDeferredChanges)
        return;
    // Dropping the oldest change only widens the gap, so a later snapshot is needed to bridge it.
    m_gapEnd = m_deferred.front().offset + 1;
    m_deferred.pop_front();
}

void RuleReplica::bridge(const RuleVersion &version, std::uint64_t readThrough)
{
    learn(version);
    if (isReady() || readThrough < m_gapEnd)
        return;
    m_logVersion = version;
    const std::deque<DeferredChange> deferred = std::move(m_deferred);
    m_deferred.clear();
    for (const DeferredChange &change : deferred) {
        // The snapshot's version already includes the changes that its writer had read.
        if (change.offset >= readThrough)
            applyChange(change.record);
    }
}

void RuleReplica::recordOutcome(const std::string &recordId, PublishOutcome outcome)
{
    m_outcomes.push_back({ recordId, outcome });
    if (m_outcomes.size() > maxOutcomes)
        m_outcomes.pop_front();
}

PublishOutcome RuleReplica::outcome(const std::string &recordId) const
{
    const auto found
        = std::find_if(m_outcomes.begin(), m_outcomes.end(),
                       [&](const RecordedOutcome &entry) { return entry.recordId == recordId; });
    return found == m_outcomes.end() ? PublishOutcome::Pending : found->outcome;
}

bool RuleReplica::isSnapshotDue(std::uint64_t firstRetained, Core::Duration maximumAge,
                                Core::Instant now) const
{
    if (!isReady() || m_nextOffset == 0)
        return false;
    if (!m_newestSnapshotAt || now - *m_newestSnapshotAt > maximumAge)
        return true;
    const std::uint64_t middle = firstRetained + (m_nextOffset - firstRetained) / 2;
    return m_newestSnapshotReadThrough < middle;
}

RuleRecord RuleReplica::makeSnapshot(const std::string &id) const
{
    RuleRecord record;
    record.kind = RuleRecordKind::Snapshot;
    record.id = id;
    record.baseVersion = m_logVersion->number;
    record.readThrough = m_nextOffset;
    record.text = m_logVersion->text;
    record.publishedBy = m_logVersion->publishedBy;
    return record;
}

} // namespace Rules
