#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibTask/PlacerAction.h>
#include <LibTask/PlacerSettings.h>
#include <LibTask/TaskEntry.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Task {

/// Delivers transferred tasks to their new failure domains. A task is added when its TransferOut
/// record is read back or adopted from an earlier holder. Its Submitted record is sent again until
/// it is known to be appended there.
class TransferQueue
{
public:
    explicit TransferQueue(const PlacerSettings &settings);

    void add(const Core::TaskId &task, Core::Instant now);
    void remove(const Core::TaskId &task);
    std::size_t size() const { return m_transfers.size(); }

    /// Returns the tasks whose record must be sent now and marks them as sent.
    std::vector<Core::TaskId> takeDue(Core::Instant now);
    /// Returns true if this answer shows that the record is appended; the caller must then record
    /// TransferDone.
    bool onOutcome(const Core::TaskId &task, AppendOutcome outcome, Core::Instant now);
    std::optional<Core::Instant> nextWakeUp() const;

    /// Creates the record for the new failure domain of \p entry, which must be transferred.
    static TaskRecord makeSubmitted(const TaskEntry &entry);

private:
    enum class State {
        Due,
        Sent,
        Appended,
    };
    struct Transfer
    {
        State state = State::Due;
        Core::Instant dueAt;
    };

    Core::Duration m_retryInterval;
    std::map<Core::TaskId, Transfer> m_transfers;
};

} // namespace Task
