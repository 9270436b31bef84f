#pragma once

#include <LibPlatform/StopMode.h>
#include <LibPlatform/VmEntry.h>
#include <LibTask/AttemptReport.h>
#include <LibTask/PlacerAction.h>

#include <map>
#include <vector>

namespace Task::Testing {

/// The platform's agent on one worker, as the brief describes it: attempts run under leases, an
/// ended one is reported until it is acknowledged. It trusts its commands and checks nothing.
class FakeWorker
{
public:
    struct Attempt
    {
        TaskSpec spec;
        AttemptPhase phase = AttemptPhase::Running;
        Core::Instant leaseEnd;
        Core::Instant resumedAt;
        /// The work done before `resumedAt`.
        Core::Duration workDone {};
        Core::Duration workNeeded {};
    };

    explicit FakeWorker(Platform::VmEntry entry);

    /// Times in \p command count from \p sentAt; \p drift is how much longer this worker's clock
    /// takes for the length of a lease.
    void start(const StartAttempt &command, Core::Instant sentAt, Core::Duration drift,
               Core::Instant now);
    void stop(const AttemptId &attempt, Platform::StopMode mode, Core::Instant now);
    std::vector<AttemptReport> renew(const RenewWorker &command, Core::Instant sentAt,
                                     Core::Duration drift, Core::Instant now);
    /// Ends what has finished or lost its lease.
    void advance(Core::Instant now);
    /// The VM is replaced: everything on it is gone.
    void restart() { attempts.clear(); }

    Core::Resources used() const;

    Platform::VmEntry entry;
    std::map<AttemptId, Attempt> attempts;
    bool failsNextAttempt = false;

private:
    static std::string checkpointOf(const Attempt &attempt);
};

/// A checkpoint is the work done, in microseconds.
Core::Duration workOf(const std::string &checkpoint);

} // namespace Task::Testing
