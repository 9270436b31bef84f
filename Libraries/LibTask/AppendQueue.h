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

/// Group commit: collects records and appends them in batches, one at a time and in order. A batch
/// in doubt is repeated until it is known to have landed; nothing overtakes it.
class AppendQueue
{
public:
    explicit AppendQueue(const PlacerSettings &settings);

    void push(TaskRecord record);
    /// Adds the parts of a snapshot, of which each batch takes at most one.
    void pushSnapshot(std::vector<SnapshotPart> parts, std::uint64_t epoch);
    bool isSnapshotPending() const { return !m_snapshotParts.empty(); }

    /// False while the last append failed or its outcome is in doubt.
    bool isLogAnswering() const { return m_state != State::Retry; }

    /// The batch to send now, if any. \p lastNumber is the source of batch numbers.
    std::optional<AppendRecords> poll(Core::Instant now, std::uint64_t &lastNumber);

    /// Returns the records that have landed by this answer.
    std::vector<TaskRecord> onOutcome(std::uint64_t batchId, AppendOutcome outcome,
                                      Core::Instant now);
    /// A record with \p recordId was read from the stream. Returns the records that have landed by
    /// this being the last of their batch.
    std::vector<TaskRecord> onSeen(const std::string &recordId);

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
    std::deque<TaskRecord> m_waiting;
    std::deque<TaskRecord> m_snapshotParts;
    State m_state = State::Idle;
    std::uint64_t m_batchId = 0;
    std::vector<TaskRecord> m_batch;
    /// The ids of the batch that weren't read from the stream since it was sent.
    std::set<std::string> m_unseen;
    Core::Instant m_retryAt;
};

} // namespace Task
