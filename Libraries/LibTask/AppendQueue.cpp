#include "AppendQueue.h"

#include <utility>

namespace Task {

AppendQueue::AppendQueue(const PlacerSettings &settings)
    : m_retryInterval(settings.appendRetryInterval)
    , m_maximumRecords(settings.maximumBatchRecords)
{
}

void AppendQueue::push(TaskRecord record)
{
    m_pendingRecords.push_back(std::move(record));
}

void AppendQueue::pushSnapshot(std::vector<SnapshotPart> parts, std::uint64_t epoch)
{
    for (SnapshotPart &part : parts)
        m_snapshotParts.push_back(TaskRecord::create(epoch, std::move(part)));
}

std::optional<AppendRecords> AppendQueue::poll(Core::Instant now, std::uint64_t &lastRequestNumber)
{
    if (m_state == State::Sent)
        return std::nullopt;
    if (m_state == State::Retry && now < m_retryAt)
        return std::nullopt;
    if (m_state == State::Idle)
        fillBatch();
    if (m_batch.empty())
        return std::nullopt;
    m_state = State::Sent;
    m_batchId = ++lastRequestNumber;
    return AppendRecords { m_batchId, m_batch };
}

void AppendQueue::fillBatch()
{
    while (!m_pendingRecords.empty() && m_batch.size() < m_maximumRecords) {
        m_batch.push_back(std::move(m_pendingRecords.front()));
        m_pendingRecords.pop_front();
    }
    if (!m_snapshotParts.empty()) {
        m_batch.push_back(std::move(m_snapshotParts.front()));
        m_snapshotParts.pop_front();
    }
    for (const TaskRecord &record : m_batch)
        m_unreadIds.insert(record.id);
}

std::vector<TaskRecord> AppendQueue::onOutcome(std::uint64_t batchId, AppendOutcome outcome,
                                               Core::Instant now)
{
    if (m_state != State::Sent || batchId != m_batchId)
        return {};
    if (outcome == AppendOutcome::Appended)
        return takeBatch();
    m_state = State::Retry;
    m_retryAt = now + m_retryInterval;
    return {};
}

std::vector<TaskRecord> AppendQueue::onRecordRead(const std::string &recordId)
{
    if (m_state == State::Idle)
        return {};
    // A single record doesn't show that the batch was appended: the record may be a late duplicate
    // from an earlier batch that contained it too.
    m_unreadIds.erase(recordId);
    return m_unreadIds.empty() ? takeBatch() : std::vector<TaskRecord> {};
}

std::vector<TaskRecord> AppendQueue::takeBatch()
{
    m_state = State::Idle;
    m_unreadIds.clear();
    return std::exchange(m_batch, {});
}

std::optional<Core::Instant> AppendQueue::nextWakeUp(Core::Instant now) const
{
    if (m_state == State::Retry)
        return m_retryAt;
    if (m_state == State::Idle && (!m_pendingRecords.empty() || !m_snapshotParts.empty()))
        return now;
    return std::nullopt;
}

} // namespace Task
