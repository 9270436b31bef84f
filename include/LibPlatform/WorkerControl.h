#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibPlatform/StopMode.h>
#include <LibTask/AttemptReport.h>
#include <LibTask/TaskSpec.h>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace Platform {

struct StartCommand
{
    Core::VmId worker;
    Task::TaskSpec spec;
    Task::AttemptId attempt;
    /// The epoch of the placer's lease. A worker that supports fencing refuses an epoch below the
    /// highest one that it has seen.
    std::uint64_t epoch = 0;
    /// The checkpoint to resume from; empty to start from the beginning.
    std::string checkpoint;
    /// When the attempt's lease expires unless renewed; the worker then stops it by itself.
    Core::Instant leaseDeadline;

    bool operator==(const StartCommand &) const = default;
};

/// The platform's agent on each worker. All calls are idempotent by attempt: a second start of the
/// same attempt changes nothing.
class WorkerControl
{
public:
    WorkerControl() = default;
    WorkerControl(const WorkerControl &) = delete;
    WorkerControl &operator=(const WorkerControl &) = delete;
    virtual ~WorkerControl() = default;

    /// \throws Core::NotDoneError if the attempt certainly doesn't run.
    /// \throws Core::OutcomeUnknownError if it may run.
    virtual boost::asio::awaitable<void> start(StartCommand command, Core::Instant deadline) = 0;

    virtual boost::asio::awaitable<void> stop(Core::VmId worker, Task::AttemptId attempt,
                                              StopMode mode, Core::Instant deadline)
        = 0;

    /// Limits an attempt to \p percent of its declared processors; 100 lifts the limit.
    virtual boost::asio::awaitable<void> throttle(Core::VmId worker, Task::AttemptId attempt,
                                                  int percent, Core::Instant deadline)
        = 0;

    /// Renews the leases of \p attempts and returns a report on each attempt that runs on the
    /// worker or has recently ended there. An ended attempt is reported until it is acknowledged.
    virtual boost::asio::awaitable<std::vector<Task::AttemptReport>>
    renew(Core::VmId worker, std::vector<Task::AttemptId> attempts, Core::Instant leaseDeadline,
          std::vector<Task::AttemptId> acknowledged, Core::Instant deadline)
        = 0;
};

} // namespace Platform
