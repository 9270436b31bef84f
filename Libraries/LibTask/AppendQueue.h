#pragma once

#include <LibCore/Time.h>
#include <LibTask/PlacerAction.h>
#include <LibTask/PlacerSettings.h>
#include <LibTask/TaskRecord.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Task {

/// Group commit: collects records and appends them in batches, one batch at a time and in order. A
/// batch that failed or whose outcome is unknown is retried until it is known to be appended; no
/// later record is sent before that.
class AppendQueue
{
public:
    explicit AppendQueue(const PlacerSettings &settings);

    void push(TaskRecord record);
    /// Adds the parts of a snapshot; each batch contains at most one of them.
    void pushSnapshot(std::vector<SnapshotPart> parts, std::uint64_t epoch);
    bool isSnapshotPending() const { return !m_snapshotParts.empty(); }

    /// False while a batch that failed or whose outcome is unknown waits for its retry.
    bool isLogAvailable() const { return m_state != State::Retry; }

    /// Returns the batch to send now, if any. Increments \p lastRequestNumber to number the batch.
    std::optional<AppendRecords> poll(Core::Instant now, std::uint64_t &lastRequestNumber);

    /// Returns the records that are known to be appended because of this answer.
    std::vector<TaskRecord> onOutcome(std::uint64_t batchId, AppendOutcome outcome,
                                      Core::Instant now);
    /// Handles that a record with \p recordId was read from the stream. If it was the last unread
    /// one of the batch, returns the records of the batch; returns none otherwise.
    std::vector<TaskRecord> onRecordRead(const std::string &recordId);

    std::optional<Core::Instant> nextWakeUp(Core::Instant now) const;

private:
    enum class State {
        Idle,
        Sent,
        Retry,
    };

    void fillBatch();
    std::vector<TaskRecord> takeBatch();

    Core::Duration m_retryInterval;
    std::size_t m_maximumRecords;
    std::deque<TaskRecord> m_pendingRecords;
    std::deque<TaskRecord> m_snapshotParts;
    State m_state = State::Idle;
    std::uint64_t m_batchId = 0;
    std::vector<TaskRecord> m_batch;
    /// The ids of the batch's records that weren't read from the stream since it was first sent.
    std::set<std::string> m_unreadIds;
    Core::Instant m_retryAt;
};

} // namespace Task
