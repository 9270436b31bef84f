#pragma once

#include <LibCore/Resources.h>
#include <LibCore/Time.h>
#include <LibJob/Commands.h>
#include <LibJob/SchedulerSettings.h>
#include <LibJob/SlowdownModel.h>
#include <LibJob/TaskNames.h>
#include <LibJob/WorkerInfo.h>
#include <LibJob/WorkerObserver.h>
#include <LibJob/WorkerReport.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Jobs {

/// Cached input for placements beside the serving tasks of a worker.
struct ServingForecast
{
    struct Entry
    {
        ImageIndex image = 0;
        /// Load without best-effort tasks, as a fraction of the utilization at which the target is
        /// just met.
        double load = 0;

        bool operator==(const Entry &) const = default;
    };

    /// `WorkerState::revision` for which the forecast was made; -1 before the first one.
    std::int64_t revision = -1;
    std::vector<Entry> entries;
    /// All best-effort tasks that are planned or run there, unthrottled.
    std::vector<BestEffortUse> bestEffort;

    bool operator==(const ServingForecast &) const = default;
};

/// What a run requests of its customer's limit; best-effort tasks count with their processors.
struct CustomerUse
{
    Core::CustomerId customer;
    Core::Resources need;

    bool operator==(const CustomerUse &) const = default;
};

/// The capacity that unwanted runs use on a worker until they have ended.
struct UnwantedUse
{
    int runs = 0;
    /// What those of known jobs request; best-effort tasks count without processors.
    Core::Resources requested;
    /// Those of customers, also while their job is forgotten.
    std::map<TaskName, CustomerUse> ofCustomers;
    /// There are runs of jobs that this owner doesn't know, so their requests aren't known either.
    bool isPartlyUnknown = false;

    bool operator==(const UnwantedUse &) const = default;
};

/// The owner's view of one worker: its capacity, its clock, the lease granted to it, and how far
/// its ended runs have been processed.
class WorkerState
{
public:
    /// \p token is used in commands to the worker until raiseToken().
    WorkerState(const WorkerInfo &info, const SchedulerSettings &settings, FencingToken token)
        : m_info(info)
        , m_settings(settings)
        , m_token(token)
    {
    }

    const WorkerInfo &info() const { return m_info; }
    void update(const WorkerInfo &info);

    // Capacity. Every run counts from its planning until it is known to be gone.
    /// \p observer is told of all changes of unreservedResources(), idleMilliCores() and the
    /// listing.
    void observeCapacity(WorkerObserver &observer) { m_capacityObserver = &observer; }
    void addRun(const TaskName &task, const StepSpec &step, ImageIndex image);
    void removeRun(const TaskName &task, const StepSpec &step, ImageIndex image);
    /// Called when a best-effort task that ran at \p percent of its processors has ended.
    void noteBestEffortEnded(const StepSpec &step, ImageIndex image, int percent,
                             Core::Instant now);
    /// Called when the throttle of a best-effort task changes.
    void noteThrottle(const StepSpec &step, int formerPercent, int percent);
    const TaskNames &runs() const { return m_runs; }
    /// Replaces what the last report listed beside runs(): runs that aren't wanted there and are
    /// being stopped.
    void setUnwantedUse(const UnwantedUse &use);
    const UnwantedUse &unwantedUse() const { return m_unwantedUse; }

    // Isolation of tasks that are suspected of crashing their workers.
    /// Runs that are planned, or that no report has shown to have survived their start.
    const TaskNames &startingRuns() const { return m_startingRuns; }
    void noteSurvivedStart(const TaskName &task);
    /// Until the run has survived its start, the worker gets no other one but those of suspects of
    /// the same job, and of other jobs if \p mayBeShared is true for all of its isolated runs.
    void isolate(const TaskName &task, bool mayBeShared);
    bool isIsolationShared() const { return hasIsolatedRun() && m_isIsolationShared; }
    bool hasIsolatedRun() const { return !m_isolatedRuns.empty(); }
    bool isIsolated(const TaskName &task) const { return m_isolatedRuns.contains(task); }
    /// Until \p until, the worker gets no run but that of a suspect.
    void keepForSuspect(Core::Instant until) { m_keptForSuspectUntil = until; }
    bool isKeptForSuspect(Core::Instant now) const { return now < m_keptForSuspectUntil; }
    /// A witness is asked although it has no runs: if it crashes together with a worker that has an
    /// isolated run, that run isn't the cause.
    void setWitness(bool isWitness);
    bool isWitness() const { return m_isWitness; }
    /// Requests a report, although the worker may have no runs: an idle worker that has crashed
    /// wouldn't be noticed otherwise before a start that it doesn't answer.
    void ask(Core::Instant now);
    bool isAsked() const { return m_isAsked; }
    int bestEffortCount() const { return m_bestEffortCount; }
    int servingCount() const { return m_servingCount; }
    /// Capacity that isn't requested; negative where the capacity has shrunk below what is.
    /// Best-effort tasks count with memory and accelerators but not with processors.
    Core::Resources freeResources() const
    {
        const Core::Resources free = m_info.capacity - m_used;
        return m_unwantedUse.runs == 0 ? free : free - m_unwantedUse.requested;
    }
    /// True if a run of the step that counts already has room beside the others.
    bool hasRoomForCounted(const StepSpec &step) const;
    /// What is kept on the worker for tasks that have no run there yet; see CapacityReservations.
    const Core::Resources &reserved() const { return m_reserved; }
    void setReserved(const Core::Resources &reserved);
    /// The part of freeResources() that isn't reserved; negative while what is reserved isn't free.
    Core::Resources unreservedResources() const { return freeResources() - m_reserved; }
    /// Free capacity if all tasks except long-running ones had ended.
    Core::Resources capacityBesideLongRunning() const
    {
        return m_info.capacity - m_usedByLongRunning;
    }
    /// Estimate of the unused processors in thousandths of a core. Serving tasks leave part of what
    /// they request. Negative if best-effort tasks compete with each other.
    std::int64_t idleMilliCores() const
    {
        const double servingIdle = 1 - m_servingUtilization;
        const auto leftByServing
            = static_cast<std::int64_t>(static_cast<double>(m_servingMilliCores) * servingIdle);
        return freeResources().milliCores + leftByServing - m_bestEffortMilliCores;
    }
    /// Sets the fraction of their requested processors that the serving tasks are expected to use,
    /// from 0 to 1.
    void setServingUtilization(double fraction);
    int runsOfStep(const TaskName &task) const;
    /// Images of the serving tasks on the worker, with the number of tasks.
    const std::map<ImageIndex, int> &servingImages() const { return m_servingImages; }
    /// What the best-effort tasks that are planned or run on the worker would use unthrottled, by
    /// image: the requested processors as a share of the worker's.
    std::vector<BestEffortUse> plannedBestEffort() const;
    /// Returns \p milliCores as a fraction of the worker's processors.
    double shareOf(std::int64_t milliCores) const;
    /// Highest predicted load of the serving tasks of each image, without the effect of best-effort
    /// tasks.
    std::map<ImageIndex, double> servingLoads;
    /// Incremented whenever the runs or the loads change.
    std::int64_t revision = 0;
    /// Cached by WorkerChooser; valid while its `revision` equals that of this worker.
    ServingForecast forecast;
    /// Returns the use of recently ended best-effort tasks that is still part of the averages in a
    /// report received at \p now. Forgets tasks that no longer influence them.
    std::vector<BestEffortUse> endedBestEffort(Core::Instant now);

    // Clock and lease.
    bool isClockKnown() const { return m_clockReadAt != Core::Instant(); }
    void readClock(std::int64_t clockMs, Core::Instant now);
    /// Grants a lease from \p now that has ended by \p latestEnd on any clock within the drift.
    /// Returns its deadline in milliseconds on the worker's clock, which must be known.
    std::int64_t grantLease(Core::Instant now, Core::Instant latestEnd);
    /// The latest time at which a task that was granted a lease can still run.
    Core::Instant latestLeaseEnd() const { return m_latestLeaseEnd; }
    void extendLatestLeaseEnd(Core::Instant bound);

    // Reports.
    Core::Instant lastAnswerAt() const { return m_lastAnswerAt; }
    bool isUnresponsive() const { return m_isUnresponsive; }
    void noteAnswer(Core::Instant now);
    /// True unless the process that answered last did so at another address; who answers at
    /// \p address then shows nothing about that process.
    bool mayBeAt(const std::string &address) const
    {
        return m_answeredAddress.empty() || m_answeredAddress == address;
    }
    void markUnresponsive(Core::Instant now);
    /// When the first call failed after the last answer; the epoch if the worker answers.
    Core::Instant unresponsiveSince() const { return m_unresponsiveSince; }
    /// True once the worker has answered a renewal with token() and reported all ended runs:
    /// neither a former owner's commands nor those for a former process can start tasks there.
    bool isReconciled() const { return m_isReconciled; }
    void setReconciled(bool isReconciled);
    /// True if the process that a start would reach is the one that answered last, as far as known.
    bool isAnswering() const { return m_isReconciled && !m_isUnresponsive && !m_isLeaseSuspended; }
    /// True while a record may tell that the worker gets neither leases nor starts; see
    /// LeaseSuspensions.
    bool isLeaseSuspended() const { return m_isLeaseSuspended; }
    void setLeaseSuspended(bool isSuspended) { m_isLeaseSuspended = isSuspended; }
    std::int64_t processStartUnixMs() const { return m_processStartUnixMs; }
    /// Notes contact with the worker. If it has restarted, discards the state of ended runs, the
    /// clock and the failures.
    void beginIncarnation(std::int64_t processStartUnixMs, Core::Instant now);
    /// Another incarnation has answered at the worker's address at \p now.
    void markReplaced(Core::Instant now);
    /// True from markReplaced() until the worker answers again or is listed anew.
    bool isReplaced() const { return m_replacedAt != Core::Instant(); }
    /// The epoch unless isReplaced().
    Core::Instant replacedAt() const { return m_replacedAt; }
    /// When this owner made contact with this incarnation; moves on until the worker is reconciled.
    Core::Instant contactBeganAt() const { return m_contactBeganAt; }
    /// When this owner received the first report of this incarnation.
    Core::Instant firstReportAt() const { return m_firstReportAt; }

    /// The fencing token of commands to the worker.
    FencingToken token() const { return m_token; }
    /// True if commands with token() may still be on their way to a former incarnation and reach
    /// this one. The worker isn't reconciled until it has answered with a higher token.
    bool needsHigherToken() const { return m_needsHigherToken; }
    void raiseToken(FencingToken token, Core::Instant now);
    /// True if this owner has had contact with a former incarnation of the worker.
    bool hasRestarted() const { return m_needsHigherToken || m_tokenRaisedAt != Core::Instant(); }
    /// When the token was raised last; the epoch if it never was.
    Core::Instant tokenRaisedAt() const { return m_tokenRaisedAt; }

    /// Number of the last ended run that was processed.
    std::int64_t processedEnd() const { return m_processedEnd; }
    /// Notes that the ended runs up to \p number were processed; \p commit makes the consequences
    /// durable.
    void noteProcessedEnd(std::int64_t number, std::int64_t commit);
    /// Number of the last ended run whose consequences are durable; the worker may delete its
    /// records up to this one.
    std::int64_t acknowledgedEnd() const { return m_acknowledgedEnd; }
    /// What the next renewal is to acknowledge: acknowledgedEnd(), or 0 if the worker has heard it
    /// or may not be the process that reported the ends.
    std::int64_t acknowledgementToSend() const;
    /// Notes that the worker has answered a renewal that acknowledged the ends up to \p number.
    void noteAcknowledgementHeard(std::int64_t number);
    /// True while the consequences of processed ends aren't durable.
    bool hasUncommittedEnds() const { return !m_uncommittedEnds.empty(); }
    void noteCommitted(std::int64_t commit);

    // Health.
    void noteTaskDone();
    void noteTaskFailed(Core::Instant now);
    void noteRefusal(Core::Instant now);
    /// The worker has refused a start because of its own state; as if it had failed the task.
    void noteUnhealthy(Core::Instant now);
    /// No task should be started there before this time, unless it is overdue.
    Core::Instant avoidedUntil() const { return std::max(m_avoidedUntil, m_refusingUntil); }
    /// The worker has refused a start, or hasn't answered one, and may do so again before this
    /// time.
    Core::Instant refusingUntil() const { return m_refusingUntil; }
    /// Several runs in a row have failed there.
    bool isQuarantined(Core::Instant now) const { return now < m_quarantinedUntil; }

    // Renewals.
    /// \p observer is told of all changes of wantsRenewal() and nextRenewalAt().
    void observeRenewals(WorkerObserver &observer) { m_renewalObserver = &observer; }
    /// False while a renewal is in progress, and if nothing would follow from a report.
    bool wantsRenewal() const;
    Core::Instant nextRenewalAt() const { return m_nextRenewalAt; }
    void setNextRenewalAt(Core::Instant at);
    /// Brings the next renewal forward to \p at if it is later.
    void renewBy(Core::Instant at) { setNextRenewalAt(std::min(m_nextRenewalAt, at)); }
    /// A renewal was sent and hasn't been answered yet.
    bool isRenewing() const { return m_isRenewing; }
    void setRenewing(bool isRenewing);
    /// Notes that a renewal was sent to the present address.
    void noteRenewalSent();
    /// True if a renewal should have been answered by now.
    bool isAnswerOverdue(Core::Instant now) const { return m_isRenewing && now > m_answerDueAt; }
    void setAnswerDueAt(Core::Instant at) { m_answerDueAt = at; }
    /// The worker's entry in RenewalQueue; none if it isn't there.
    std::optional<Core::Instant> queuedRenewalAt;

    /// Number of runs of the most urgent queues.
    int urgentRuns = 0;
    /// A serving task on the worker was above its target in the last report.
    bool isOverTarget = false;
    /// True if the store lists the worker.
    bool isListed() const { return m_isListed; }
    /// Position in the store's list; meaningless if the worker isn't listed.
    std::size_t listPosition() const { return m_listPosition; }
    void setListed(std::size_t position);
    void setUnlisted();

private:
    static constexpr double defaultServingUtilization = 0.5;

    void count(const StepSpec &step, ImageIndex image, int sign);
    void notifyRenewalObserver();
    void notifyCapacityObserver();

    WorkerInfo m_info;
    SchedulerSettings m_settings;
    TaskNames m_runs;
    TaskNames m_startingRuns;
    TaskNames m_isolatedRuns;
    bool m_isIsolationShared = false;
    Core::Instant m_keptForSuspectUntil = {};
    bool m_isWitness = false;
    /// Set by ask() until the worker has answered.
    bool m_isAsked = false;
    Core::Resources m_used;
    /// The part of m_used that long-running tasks request.
    Core::Resources m_usedByLongRunning;
    Core::Resources m_reserved;
    UnwantedUse m_unwantedUse;
    std::int64_t m_bestEffortMilliCores = 0;
    std::int64_t m_servingMilliCores = 0;
    std::map<ImageIndex, int> m_servingImages;
    std::map<ImageIndex, std::int64_t> m_bestEffortImages;
    struct EndedBestEffort
    {
        BestEffortUse use;
        Core::Instant endedAt = {};
    };
    std::vector<EndedBestEffort> m_endedBestEffort;
    int m_bestEffortCount = 0;
    int m_servingCount = 0;
    double m_servingUtilization = defaultServingUtilization;

    std::int64_t m_clockMs = 0;
    Core::Instant m_clockReadAt = {};
    Core::Instant m_latestLeaseEnd = {};

    Core::Instant m_lastAnswerAt = {};
    bool m_isUnresponsive = false;
    Core::Instant m_unresponsiveSince = {};
    bool m_isReconciled = false;
    bool m_isLeaseSuspended = false;
    std::int64_t m_processStartUnixMs = 0;
    Core::Instant m_replacedAt = {};
    Core::Instant m_contactBeganAt = {};
    Core::Instant m_firstReportAt = {};
    FencingToken m_token;
    bool m_needsHigherToken = false;
    Core::Instant m_tokenRaisedAt = {};
    std::int64_t m_processedEnd = 0;
    std::int64_t m_acknowledgedEnd = 0;
    std::int64_t m_heardAcknowledgement = 0;
    /// By commit number, the last end whose consequences the commit makes durable.
    std::map<std::int64_t, std::int64_t> m_uncommittedEnds;

    WorkerObserver *m_renewalObserver = nullptr;
    Core::Instant m_nextRenewalAt = {};
    bool m_isRenewing = false;
    /// The address to which the latest renewal was sent.
    std::string m_renewalAddress;
    /// The address at which the process answered last.
    std::string m_answeredAddress;
    Core::Instant m_answerDueAt = {};
    bool m_isListed = false;
    std::size_t m_listPosition = 0;
    WorkerObserver *m_capacityObserver = nullptr;

    int m_consecutiveFailures = 0;
    Core::Instant m_avoidedUntil = {};
    Core::Instant m_quarantinedUntil = {};
    Core::Instant m_refusingUntil = {};
};

} // namespace Jobs
