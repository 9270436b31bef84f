#include <LibRules/RuleBook.h>

#include <LibCore/Error.h>

#include <algorithm>

namespace Rules {

static constexpr std::size_t mostVerdicts = 1'024;
static constexpr std::size_t mostWaiting = 256;

void RuleBook::startReadingAt(std::uint64_t offset)
{
    if (offset == m_nextOffset)
        return;
    if (offset < m_nextOffset)
        throw Core::Error("read rules", "rules", "the stream went back; another log answers");
    m_nextOffset = offset;
    m_gapEnd = offset;
    m_logVersion.reset();
    m_waiting.clear();
}

void RuleBook::requireNext(std::uint64_t offset) const
{
    if (offset != m_nextOffset)
        throw Core::Error("read rules", "rules", "a record came out of order");
}

void RuleBook::apply(std::uint64_t offset, const RuleRecord &record, Core::Instant now)
{
    requireNext(offset);
    m_nextOffset = offset + 1;
    if (record.kind == RuleRecordKind::Snapshot)
        applySnapshot(record, now);
    else if (isReady())
        applyChange(record);
    else
        waitForBridge(offset, record);
}

void RuleBook::skip(std::uint64_t offset)
{
    requireNext(offset);
    m_nextOffset = offset + 1;
}

void RuleBook::applyChange(const RuleRecord &record)
{
    if (fate(record.id) != PublishFate::Pending)
        return;
    if (record.baseVersion != m_logVersion->number) {
        remember(record.id, PublishFate::Lost);
        return;
    }
    // A text that doesn't parse is void for every reader alike, so that none gets stuck on it.
    RuleVersion version;
    try {
        version = RuleVersion::create(record.baseVersion + 1, record.text, record.publishedBy);
    } catch (const Core::FormatError &) {
        remember(record.id, PublishFate::Lost);
        return;
    }
    m_logVersion = version;
    remember(record.id, PublishFate::Accepted);
    learn(version);
}

void RuleBook::applySnapshot(const RuleRecord &record, Core::Instant now)
{
    m_newestSnapshotReadThrough = std::max(m_newestSnapshotReadThrough, record.readThrough);
    m_newestSnapshotAt = now;
    if (!isReady())
        bridge(RuleVersion::create(record.baseVersion, record.text, record.publishedBy),
               record.readThrough);
}

void RuleBook::learn(const RuleVersion &version)
{
    if (version.number > m_current.number)
        m_current = version;
}

void RuleBook::waitForBridge(std::uint64_t offset, const RuleRecord &record)
{
    m_waiting.push_back({ offset, record });
    if (m_waiting.size() <= mostWaiting)
        return;
    // Forgetting the oldest only widens the gap, so a later snapshot is needed to bridge it.
    m_gapEnd = m_waiting.front().offset + 1;
    m_waiting.pop_front();
}

void RuleBook::bridge(const RuleVersion &version, std::uint64_t readThrough)
{
    learn(version);
    if (isReady() || readThrough < m_gapEnd)
        return;
    m_logVersion = version;
    const std::deque<Waiting> waiting = std::move(m_waiting);
    m_waiting.clear();
    for (const Waiting &change : waiting) {
        // What the writer of the snapshot knew is part of its version already.
        if (change.offset >= readThrough)
            applyChange(change.record);
    }
}

void RuleBook::remember(const std::string &recordId, PublishFate fate)
{
    m_verdicts.push_back({ recordId, fate });
    if (m_verdicts.size() > mostVerdicts)
        m_verdicts.pop_front();
}

PublishFate RuleBook::fate(const std::string &recordId) const
{
    const auto verdict = std::find_if(m_verdicts.begin(), m_verdicts.end(),
                                      [&](const Verdict &v) { return v.recordId == recordId; });
    return verdict == m_verdicts.end() ? PublishFate::Pending : verdict->fate;
}

bool RuleBook::isSnapshotDue(std::uint64_t firstRetained, Core::Duration maximumAge,
                             Core::Instant now) const
{
    if (!isReady() || m_nextOffset == 0)
        return false;
    if (!m_newestSnapshotAt || now - *m_newestSnapshotAt > maximumAge)
        return true;
    const std::uint64_t middle = firstRetained + (m_nextOffset - firstRetained) / 2;
    return m_newestSnapshotReadThrough < middle;
}

RuleRecord RuleBook::makeSnapshot(const std::string &id) const
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
