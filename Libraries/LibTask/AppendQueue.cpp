#include "AppendQueue.h"

#include <algorithm>
#include <utility>

namespace Task {

AppendQueue::AppendQueue(const PlacerSettings &settings)
    : m_retryInterval(settings.appendRetryInterval)
    , m_maximumRecords(settings.maximumBatchRecords)
{
}

void AppendQueue::push(TaskRecord record)
{
    m_waiting.push_back(std::move(record));
}

void AppendQueue::pushSnapshot(std::vector<SnapshotPart> parts, std::uint64_t epoch)
{
    for (SnapshotPart &part : parts)
        m_snapshotParts.push_back(TaskRecord::create(epoch, std::move(part)));
}

std::optional<AppendRecords> AppendQueue::poll(Core::Instant now, std::uint64_t &lastNumber)
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
    m_batchId = ++lastNumber;
    return AppendRecords { m_batchId, m_batch };
}

void AppendQueue::fillBatch()
{
    while (!m_waiting.empty() && m_batch.size() < m_maximumRecords) {
        m_batch.push_back(std::move(m_waiting.front()));
        m_waiting.pop_front();
    }
    if (m_snapshotParts.empty())
        return;
    m_batch.push_back(std::move(m_snapshotParts.front()));
    m_snapshotParts.pop_front();
}

std::vector<TaskRecord> AppendQueue::onOutcome(std::uint64_t batchId, AppendOutcome outcome,
                                               Core::Instant now)
{
    if (m_state != State::Sent || batchId != m_batchId)
        return {};
    if (outcome == AppendOutcome::Landed)
        return takeBatch();
    m_state = State::Retry;
    m_retryAt = now + m_retryInterval;
    return {};
}

std::vector<TaskRecord> AppendQueue::onSeen(const std::string &recordId)
{
    if (m_state == State::Idle)
        return {};
    const bool isOurs = std::ranges::any_of(
        m_batch, [&recordId](const TaskRecord &record) { return record.id == recordId; });
    // A batch lands as a whole, so one record proves all.
    return isOurs ? takeBatch() : std::vector<TaskRecord> {};
}

std::vector<TaskRecord> AppendQueue::takeBatch()
{
    m_state = State::Idle;
    return std::exchange(m_batch, {});
}

std::optional<Core::Instant> AppendQueue::nextWakeUp(Core::Instant now) const
{
    if (m_state == State::Retry)
        return m_retryAt;
    if (m_state == State::Idle && (!m_waiting.empty() || !m_snapshotParts.empty()))
        return now;
    return std::nullopt;
}

} // namespace Task
