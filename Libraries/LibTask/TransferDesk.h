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

/// Hands tasks whose TransferOut record was read back to their new failure domains: repeats the
/// Submitted record until it is known to have landed there.
class TransferDesk
{
public:
    explicit TransferDesk(const PlacerSettings &settings);

    void add(const Core::TaskId &task, Core::Instant now);
    void remove(const Core::TaskId &task);
    std::size_t size() const { return m_transfers.size(); }

    /// The tasks whose record is to be sent now.
    std::vector<Core::TaskId> takeDue(Core::Instant now);
    /// Returns true if the transfer is done by this answer.
    bool onOutcome(const Core::TaskId &task, AppendOutcome outcome, Core::Instant now);
    std::optional<Core::Instant> nextWakeUp() const;

    /// The record that \p entry, which is transferred, gives to its new failure domain.
    static TaskRecord submission(const TaskEntry &entry);

private:
    enum class State {
        Due,
        Sent,
        Landed,
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
