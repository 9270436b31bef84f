#pragma once

#include "StoppablePart.h"

#include <LibTask/PlacerAction.h>

namespace Daemon {

/// Runs the placer, and carries out its actions while this VM holds the lease.
class PlacerPart final : public StoppablePart
{
public:
    explicit PlacerPart(Node &node);

protected:
    boost::asio::awaitable<Core::Instant> step(Core::Instant now) override;
    boost::asio::awaitable<void> finish() override;

private:
    void followLease(Core::Instant now);
    boost::asio::awaitable<void> append(Task::AppendRecords action);
    boost::asio::awaitable<void> start(Task::StartAttempt action);
    boost::asio::awaitable<void> stop(Task::StopAttempt action);
    boost::asio::awaitable<void> throttle(Task::ThrottleAttempt action);
    boost::asio::awaitable<void> renew(Task::RenewWorker action);
    boost::asio::awaitable<void> transfer(Task::AppendTransfer action);
    boost::asio::awaitable<Task::AppendOutcome> appendTo(std::string stream,
                                                         std::vector<std::string> bodies);
    /// Spawns the coroutine that carries out \p action.
    void perform(const Task::PlacerAction &action);
    /// Checks the lease again directly before a command is sent.
    bool mayCommand(Core::Instant notAfter) const;
    void changed();

    Node &m_vm;
};

} // namespace Daemon
