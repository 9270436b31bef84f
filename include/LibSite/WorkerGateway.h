#pragma once

#include <LibCore/Error.h>
#include <LibCore/Time.h>
#include <LibJob/Commands.h>
#include <LibJob/WorkerReport.h>

#include <chrono>
#include <utility>

#include <boost/asio/awaitable.hpp>

namespace Site {

/// The command reached the worker's address, but another worker or another incarnation answers
/// there. The one that the command was meant for has ended, with all that ran on it.
class OtherIncarnationError : public Core::NotDoneError
{
public:
    using Core::NotDoneError::NotDoneError;
};

/// Sends commands to workers. Deadlines are on the steady clock.
class WorkerGateway
{
public:
    /// A start with less time left isn't sent: without an answer the task would have to wait until
    /// it is known that it doesn't run.
    static constexpr Core::Duration minStartTime = std::chrono::milliseconds(500);

    WorkerGateway() = default;
    WorkerGateway(const WorkerGateway &) = delete;
    WorkerGateway &operator=(const WorkerGateway &) = delete;
    virtual ~WorkerGateway() = default;

    /// The command is carried out by the process that it names, or not at all, however late it
    /// arrives.
    /// Never throws Core::Error: every failure is an outcome.
    virtual boost::asio::awaitable<Jobs::StartOutcome> start(Jobs::StartCommand command,
                                                             Core::Instant deadline)
        = 0;
    /// \throws OtherIncarnationError if another incarnation answered.
    /// \throws Core::Error unless the worker confirmed the command.
    virtual boost::asio::awaitable<void> stop(Jobs::StopCommand command, Core::Instant deadline)
        = 0;
    /// \throws Core::Error unless the worker confirmed the command.
    virtual boost::asio::awaitable<void> throttle(Jobs::ThrottleCommand command,
                                                  Core::Instant deadline)
        = 0;
    /// Passes RenewCommand::leaseDeadlineMs and acknowledgedEnd on only to the process that the
    /// command names, and otherwise requests the report without them; WorkerReport::acknowledgedEnd
    /// tells.
    /// \throws FencedError if the worker has seen a newer owner's token.
    /// \throws OtherIncarnationError if another incarnation answered.
    /// \throws Core::Error if no complete answer arrived.
    virtual boost::asio::awaitable<Jobs::WorkerReport> renew(Jobs::RenewCommand command,
                                                             Core::Instant deadline)
        = 0;
};

} // namespace Site
