#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <cstddef>
#include <vector>

namespace Jobs {

/// What is known of the cause when a worker stops answering.
enum class Suspicion {
    /// The worker had no runs and wasn't asked, so it may have crashed some time before.
    NoRuns,
    /// The worker was asked, and it had no runs or all of them had been at work.
    None,
    /// One of its runs, or several, had only been started.
    StartingRuns,
    /// A task that was suspected before had been started there in isolation.
    IsolatedRun,
};

/// Remembers which workers have recently stopped answering, so that a crash with a cause beyond the
/// worker, such as the loss of a rack or a partition, isn't blamed on a task.
class SilentWorkers
{
public:
    /// \p worker stopped answering at \p at.
    void note(const Core::VmId &worker, Core::Instant at, Suspicion suspicion);
    /// True if another worker than \p worker stopped answering at about \p at.
    bool hasOther(const Core::VmId &worker, Core::Instant at) const;
    /// True if another worker, which was asked and had no run under suspicion, stopped answering at
    /// about \p at: both probably have a common cause.
    bool hasOtherAboveSuspicion(const Core::VmId &worker, Core::Instant at) const;
    /// True if many others without isolated runs stopped answering at nearly the same time.
    /// Crashing tasks rarely do that: only the first crash of each happens outside of isolation. \p
    /// workerCount is the number of workers of the site.
    bool isOneOfMany(const Core::VmId &worker, Core::Instant at, std::size_t workerCount) const;

private:
    struct Silence
    {
        Core::VmId worker;
        Core::Instant beganAt = {};
        Suspicion suspicion = Suspicion::NoRuns;

        bool isOther(const Core::VmId &other, Core::Instant at, Core::Duration maxApart) const;
    };
    std::vector<Silence> m_silences;
};

} // namespace Jobs
