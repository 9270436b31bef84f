#pragma once

#include <LibJob/CapacityIndex.h>
#include <LibJob/CapacityReservations.h>
#include <LibJob/Catalogue.h>
#include <LibJob/Commands.h>
#include <LibJob/Commit.h>
#include <LibJob/CustomerLedger.h>
#include <LibJob/CustomerShares.h>
#include <LibJob/DecisionLog.h>
#include <LibJob/ImageTable.h>
#include <LibJob/JobTable.h>
#include <LibJob/LeaseSuspensions.h>
#include <LibJob/OverloadPolicy.h>
#include <LibJob/OwnedJob.h>
#include <LibJob/Ownership.h>
#include <LibJob/PlanningPass.h>
#include <LibJob/RenewalQueue.h>
#include <LibJob/SchedulerSettings.h>
#include <LibJob/SilentWorkers.h>
#include <LibJob/StartOrder.h>
#include <LibJob/ThrottleController.h>
#include <LibJob/WaitReason.h>
#include <LibJob/WorkerChooser.h>
#include <LibJob/WorkerReport.h>
#include <LibJob/WorkerState.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Jobs {

/// Schedules a site's jobs on the node that owns them: which task starts where and when, what must
/// be durable before, and which runs may exist after a lost answer.
///
/// Deterministic: does no I/O, reads no clock and starts no thread. The caller sends the commands,
/// reports their outcomes, and appends the commits to the store in order.
///
/// A task has at most one run that isn't known to be gone. A run is known to be gone when
/// - its start wasn't sent or was rejected,
/// - its end, or the completion of its gang, was reported,
/// - every lease that could keep it alive has expired, or
/// - a complete report of its worker doesn't list it. This counts only if the report was requested
///   after the run was known to be running, after its stop was confirmed, or after the deadline of
///   its unanswered start. Runs that ended because their worker restarted are recognized like this.
class JobScheduler
{
public:
    JobScheduler(const SchedulerSettings &settings, const Ownership &ownership,
                 DecisionLog &decisionLog);

    // Input from the store.
    void setCatalogue(const Catalogue &catalogue);
    /// Replaces the list of workers. A worker that is no longer listed gets no further task.
    /// Long-running tasks on a worker that begins to drain are stopped.
    void setWorkers(const std::vector<WorkerInfo> &workers, const TimePoint &now);
    void setOutOfService(const std::set<Core::FailureDomainId> &domains);
    /// Does nothing if the job is known already, also if it has ended.
    void addJob(const JobEntry &entry, const TimePoint &now);
    void cancelJob(const JobId &id, const TimePoint &now);
    /// Fails a job whose progress record is too large for the store, unless the job has ended.
    /// Returns the record to write instead, without the progress of tasks. The job must exist.
    ProgressRecord failOversizedJob(const JobId &id, const TimePoint &now);
    /// While the store is unreachable, tasks start only on workers that are durably recorded for
    /// their job.
    void setStoreReachable(bool isReachable);
    /// While \p areHeld is true no task is started; running tasks continue.
    void setStartsHeld(bool areHeld);

    // Commits. The next one is taken only after onCommitted() for the one before. The caller also
    // takes one, which may be empty, for each heartbeat.
    bool needsCommit() const
    {
        return !m_dirty.empty() || !m_pastRetention.empty() || m_needsProof
            || m_suspensions.needsCommit();
    }
    Commit takeCommit();
    /// \p provenAt is when the successful append was sent: at that time no newer owner had claimed
    /// the jobs.
    void onCommitted(std::int64_t number, Core::Instant provenAt, const TimePoint &now);

    /// An append that was sent at \p provenAt has succeeded. Leases end at the latest
    /// SchedulerSettings::maxLeaseAfterProof later.
    void noteProven(Core::Instant provenAt) { m_provenAt = std::max(m_provenAt, provenAt); }

    /// Commands may carry \p token from now on: it is lower than that of any claim after this
    /// owner's. A worker's next process needs a higher one than its former process.
    void offerToken(FencingToken token) { m_newestToken = std::max(m_newestToken, token); }

    // Workers.
    std::vector<RenewCommand> takeRenewals(const TimePoint &now);
    /// \p sentAt is when the renewal was sent that the report answers.
    void onReport(const Core::VmId &worker, const WorkerReport &report, Core::Instant sentAt,
                  const TimePoint &now);
    void onRenewalFailed(const Core::VmId &worker, RenewalFailure failure, const TimePoint &now);
    /// Another incarnation answered a command that was sent to \p address for \p worker, which
    /// therefore has ended with all its runs. Says nothing if the worker has another address by
    /// now, or if its process has answered this owner at another one.
    void onOtherIncarnation(const Core::VmId &worker, const std::string &address,
                            const TimePoint &now);
    void onStartOutcome(const StartCommand &command, StartOutcome outcome, const TimePoint &now);
    void onStopAnswered(const StopCommand &command, const TimePoint &now);
    /// The throttle command may have taken effect, or may still do so.
    void onThrottleFailed(const ThrottleCommand &command);
    /// The worker has rejected a command with \p token for its token. Returns true if it has seen
    /// that of a newer owner, and false if it has seen a higher one of this owner.
    bool isDeposedBy(const Core::VmId &worker, FencingToken token) const;

    /// Sets how late the calls of the owner's process to workers run. A process that falls behind
    /// requests reports less often and plans fewer starts at once, so that urgent work
    /// (cancellations, lease renewals, stops) isn't queued behind reports and starts.
    void setLag(Core::Duration lag) { m_overload.noteLag(lag); }
    /// The delay from a worker's report to its next renewal; grows with the lag, less for a worker
    /// that runs tasks of the most urgent queues.
    Core::Duration renewalInterval(const WorkerState &worker) const;

    /// Decides on starts, stops and throttles, and returns the commands to send. A long pass over
    /// the waiting steps takes several calls; until it is over, nextWakeup() returns now.
    std::vector<Command> takeCommands(const TimePoint &now);
    /// Bound of planningWork(), except that the search for one task's worker, or for those of a
    /// gang, isn't interrupted.
    static constexpr std::int64_t maxPlanningWork = 100'000;
    /// The work that the last takeCommands() spent on choosing workers, as a number of looks at a
    /// worker; a placed task and a waiting step count as several.
    std::int64_t planningWork() const { return m_planningWork + m_chooser.looks() - m_looksBefore; }
    /// Returns when takeCommands() and takeRenewals() must be called again at the latest.
    Core::Instant nextWakeup(const TimePoint &now) const;

    /// True once a worker has shown that a newer owner exists.
    bool isDeposed() const { return m_isDeposed; }
    /// Number of runs that aren't known to be gone, planned ones included.
    std::size_t runningCount() const { return m_runs; }
    /// Number of runs that are planned, or whose start wasn't answered yet.
    std::size_t pendingStartCount() const { return m_pendingStarts; }
    /// Number of tasks of ready steps that are neither done nor have a run.
    std::size_t waitingCount() const;
    /// Processors that aren't requested, in thousandths of a core over all listed workers.
    /// Best-effort tasks don't count.
    std::int64_t freeMilliCores() const;
    /// Estimate of the unused processors, in thousandths of a core over all listed workers.
    /// Negative if best-effort tasks compete with each other.
    std::int64_t idleMilliCores() const;
    /// True if a customer has a limit: then the age of the catalogue bounds starts more tightly.
    bool hasCustomerLimits() const { return m_customerLedger.hasLimits(); }
    /// What the customers use, and their limits.
    const CustomerLedger &customerLedger() const { return m_customerLedger; }
    /// Returns null if the worker is unknown.
    const WorkerState *findWorker(const Core::VmId &id) const;

private:
    /// Number range of a task's runs in one term. Run numbers increase from owner to owner,
    /// although starts aren't recorded.
    static constexpr std::int64_t runsPerTerm = 1000;
    /// The parts of planningWork() for a placed task and for a waiting step.
    static constexpr std::int64_t workPerTask = 100;
    static constexpr std::int64_t workPerStep = 10;

    using JobPtr = std::unique_ptr<OwnedJob>;
    /// The running tasks on a worker, and the run and the step of each, by index.
    struct ColocatedRuns
    {
        std::vector<ColocatedTask> tasks;
        std::vector<TaskRun *> runs;
        std::vector<const StepSpec *> specs;
    };

    OwnedJob *findJob(const JobId &id);
    WorkerState *findWorkerState(const Core::VmId &id);
    const Queue *queueOf(const OwnedJob &job) const;
    /// True for jobs of the queues with the most urgent priority, unless all queues have the same.
    bool isUrgent(const OwnedJob &job) const;
    /// Adds the records of \p job that must be written.
    void addToCommit(OwnedJob &job, Commit &commit);
    /// Adds what is left of the records of \p job, which has ended.
    void addEndToCommit(OwnedJob &job, Commit &commit);
    void markDirty(OwnedJob &job);
    /// Ends the job in \p state, unless it has ended.
    void endEarly(OwnedJob &job, JobState state, const TimePoint &now);
    Core::Instant dueAt(const OwnedJob &job, int occurrence, const TimePoint &now) const;
    /// Notes which steps of an occurrence have become ready, and adds them to a pass that has
    /// begun.
    void noteReadySteps(OwnedJob &job, int occurrence, const TimePoint &now);
    /// Called when it is known that a worker has carried out the start of the run.
    void noteRunStarted(OwnedJob &job, const TaskName &name, const TaskRun &run,
                        const TimePoint &now);
    /// Called when a commit has become durable: the ends that it records may be acknowledged.
    void acknowledgeEnds(const TimePoint &now);
    /// Called when all that the job's last commit recorded is durable.
    void noteEndDurable(OwnedJob &job, const TimePoint &now);

    void discardAllPlannedRuns();
    void rememberEndedJob(const JobId &id, std::int64_t endedUnixMs);
    /// How long the worker may delay its answer to a renewal while no run ends.
    Core::Duration renewalWait(const WorkerState &worker) const;
    /// \p wasReconciled is false if the worker hadn't been reconciled before its last report.
    Core::Duration delayToNextRenewal(const WorkerState &worker, bool wasReconciled) const;
    /// When the leases that are granted now must have ended; see noteProven().
    Core::Instant latestLeaseEnd() const
    {
        return m_provenAt + m_settings.longestOnOwnersClock(m_settings.maxLeaseAfterProof);
    }
    /// The process that has reported was followed by another one: nothing starts on the worker
    /// before that one's report.
    void awaitReport(WorkerState &worker, const TimePoint &now);
    void beginContact(WorkerState &worker, std::int64_t processStartUnixMs, const TimePoint &now);
    /// Logs that another process of the worker has reported under its ID.
    void noteRestart(const WorkerState &worker, const WorkerReport &report);
    /// Requests reports from workers whose next process must answer with a higher token.
    void renewWithHigherTokens(const TimePoint &now);

    // Starts.
    /// Begins the occurrences that are due, in the order of their due times, while the job may have
    /// further ones at a time.
    void beginDueOccurrences(OwnedJob &job, const TimePoint &now);
    void beginOccurrence(OwnedJob &job, int occurrence, const TimePoint &now);
    /// Returns the task that a worker's report names, or null if the job has no such task or has
    /// ended. A run shows that a former owner has begun the occurrence, so it begins here too.
    TaskState *findReportedTask(OwnedJob &job, const TaskName &name, const TimePoint &now);
    std::vector<WaitingStep> waitingSteps(const TimePoint &now) const;
    void addWaitingSteps(OwnedJob &job, const TimePoint &now,
                         std::vector<WaitingStep> &waiting) const;
    WaitingStep waitingStep(OwnedJob &job, int occurrence, int step, const TimePoint &now) const;
    /// Begins a pass that chooses workers for the waiting steps.
    void beginPass(const TimePoint &now);
    /// Continues the pass until it is over or this call's planning work has reached its bound.
    void continuePass(const TimePoint &now);
    void planWaitingStep(const WaitingStep &waiting, const TimePoint &now);
    bool isPlanningWorkUsedUp() const { return planningWork() >= maxPlanningWork; }
    /// True if no further run may be planned before the start of another one is answered.
    bool isStartWindowFull() const { return m_pendingStarts >= m_overload.startWindow(); }
    /// Drops a pass that waits for the start window and whose order is outdated; another one begins
    /// when it is due.
    void dropOutdatedPass(const TimePoint &now);
    Demand demandOf(const WaitingStep &waiting, const TimePoint &now) const;
    /// True if less than half of the site's processors are requested.
    bool isUnderused() const;
    /// True if the job may run best-effort tasks beside serving tasks whose targets they violate:
    /// none of its tasks runs and it has waited a long time, although the site is underused.
    bool mayExceedTargets(const WaitingStep &waiting, const TimePoint &now) const;
    /// Returns false if a task of the step could not be placed, or if a gang isn't ready to start.
    bool planStep(const WaitingStep &waiting, const TimePoint &now);
    bool planGang(const WaitingStep &waiting, const TimePoint &now);
    enum class TaskPlan {
        Planned,
        /// No worker accepts the task now.
        NoWorker,
        /// The worker that would take the task is asked first whether it is still there.
        WorkerAsked,
    };
    TaskPlan planTask(const WaitingStep &waiting, int index, std::int64_t run,
                      const TimePoint &now);
    /// Asks the worker for a report, and returns true, if WorkerChooser::isUnheard().
    static bool askIfUnheard(const PlacementRequest &request, WorkerState &worker);
    PlacementRequest placementRequest(const WaitingStep &waiting, int index, const TimePoint &now);
    /// True if the step has waited for so long that the reason is logged now, which is noted.
    static bool isWaitLoggedNow(const WaitingStep &waiting, const TimePoint &now);
    /// Logs why no worker accepts a task that has waited a long time.
    void logWaitReason(const WaitingStep &waiting, const PlacementRequest &request,
                       const TimePoint &now);

    // Customers: limits, and the order of waiting steps under contention.
    void setCustomers(const Catalogue &catalogue);
    /// Takes a token of the customer's bucket for the job. True if there was none.
    bool isBeyondRate(const Submission &submission, const TimePoint &now);
    /// Decides whether the new job is in excess. \p hasProgress says that a former owner has
    /// decided it, too.
    void noteExcess(OwnedJob &job, bool hasProgress, const TimePoint &now);
    /// Computes anew, for a pass, what the customers may use beside the known runs, and which of
    /// them share the capacity.
    void refreshCustomers(const TimePoint &now);
    /// What the customers may use beside the known runs: runs that a former owner may have started
    /// and nobody has reported, unwanted runs, and those of ended jobs.
    CustomerLedger::Amounts otherUse(const TimePoint &now);
    /// What the tasks request that a former owner may have started and that have no run here.
    static Core::Resources unseenUse(const OwnedJob &job, std::int64_t unixMs);
    static Core::Resources unseenUseOfOccurrence(const OwnedJob &job, int occurrence);
    /// The same for the occurrences that were due at \p unixMs and haven't begun here: the former
    /// owner may have begun more of them.
    static Core::Resources unseenUseAhead(const OwnedJob &job, std::int64_t unixMs);
    /// What a job that is over may still use.
    Core::Resources remainingUse(const OwnedJob &job) const;
    /// Computes anew what counts beside the known runs if a report or a job has changed it since
    /// the pass began.
    void refreshOtherUse(const TimePoint &now);
    /// Counts \p use until the leases of the former owner have ended.
    void noteRemainingUse(const Core::CustomerId &customer, const Core::Resources &use);
    bool isAboveShare(const OwnedJob &job) const;
    /// True if the step comes before those of other customers in the pass, and its customer has
    /// risen above its share since.
    bool hasRisenAboveShare(const WaitingStep &waiting) const;
    /// Logs that a step without room comes after those of others, if it does; one step of each
    /// customer at a time.
    void logPlaceInOrder(const WaitingStep &waiting, const TimePoint &now);
    /// True if the customer's use includes what the task requests: it has a run, or may run unseen.
    static bool countsAlready(const OwnedJob &job, const TaskState &task);
    /// True if the customer's limit lets the task start, or if the task counts already.
    bool isWithinLimit(OwnedJob &job, const TaskName &name) const;
    /// What starts together with a task of the step: the task, or its whole gang.
    static Core::Resources neededAtOnce(const OwnedJob &job, int step);
    /// True if the customer's limit lets a task of the step start, or the gang.
    bool fitsInLimit(const OwnedJob &job, int step) const;
    /// The same for a further task of the step, beside others that request \p toBeUsed.
    bool fitsInLimitWith(const OwnedJob &job, int step, const Core::Resources &toBeUsed) const;
    /// Whether the customer's limit lets the task start, or the gang; logs it if not.
    bool mayCustomerStart(const WaitingStep &waiting, int index, const TimePoint &now);
    /// The customer with its use and limit, as `key=value` pairs.
    std::string explainLimit(const OwnedJob &job) const;
    /// Why the step comes after those of other customers, as `key=value` pairs that end with a
    /// space; empty if it doesn't.
    static std::string explainOrder(const WaitingStep &waiting);

    // Takeovers: what a former owner has left on workers that don't answer.
    /// When the former owner's last lease on the worker ends at the latest.
    Core::Instant formerLeaseEnd(const Core::VmId &worker) const;
    /// When the last lease on the worker ends at the latest, whichever owner granted it.
    Core::Instant lastLeaseEnd(const Core::VmId &id) const;
    /// Does nothing while the store may be away: the worker couldn't be given leases again.
    void suspendLeases(WorkerState &worker, const TimePoint &now);
    /// Suspends the workers that should have answered a renewal by now.
    void suspendOverdueWorkers(const TimePoint &now);
    void liftForgottenSuspensions(const TimePoint &now);
    void addSuspensions(Commit &commit);
    /// Called when a commit has become durable: workers that answer again may get leases.
    void noteSuspensionsDurable(const TimePoint &now);
    /// True while runs that a former owner started may exist on workers that haven't answered yet.
    bool awaitsReconciliation(OwnedJob &job, Core::Instant now);
    /// True while such a run of the task may exist.
    bool awaitsFormerRun(OwnedJob &job, const TaskState &task, Core::Instant now);
    /// When such runs of the job have ended at the latest.
    Core::Instant formerRunsEndAt(const OwnedJob &job) const;
    /// Once the leases of the former owner have ended, its jobs wait for no worker any more.
    void settleFormerLeases(const TimePoint &now);
    /// Nothing runs any more on a worker that has left, so no job's record needs to name it: a job
    /// waits after each takeover for the workers that its record names.
    void forgetWorker(const WorkerState &worker);

    // Capacity for interrupted long-running tasks; see CapacityReservations.
    /// Plans the overdue steps that the pass has planned already once more, if capacity has become
    /// free since: otherwise the steps behind them would take it.
    void planOverdueAgain(const TimePoint &now);
    /// Reserves capacity for the overdue tasks of the step from index \p first on.
    void reserveForOverdue(const WaitingStep &waiting, int first, const TimePoint &now);
    /// Reserves capacity for the long-running tasks on workers that don't answer and whose last
    /// lease ends soon; until then, only first runs of others are kept from taking it.
    void reserveForRunsInDoubt(const TimePoint &now);
    void reserveForRunsOn(const WorkerState &worker, const TimePoint &now);
    /// Returns false if there is no worker that is worth a reservation. Does nothing if the task
    /// has a reservation, or if there may be no further one.
    bool reserve(const PlacementRequest &request);
    void reserve(WorkerState &worker, const PlacementRequest &request);
    /// True if the task is interrupted and has no reservation.
    bool isWithoutReservation(const TaskName &name);
    /// Reserves capacity of the worker, on which a long-running task would now run for the first
    /// time, for an interrupted task without a reservation. Returns false if none can use it.
    bool reserveBeforeFirstRun(WorkerState &worker, const TimePoint &now);
    /// Reservations, and overdue tasks in a pass that has planned them already, may use half of the
    /// work of a call, so that each call also advances the pass.
    bool isReservationWorkUsedUp() const { return planningWork() >= maxPlanningWork / 2; }
    /// Releases the reservations that lead to no place for their task any more, and forgets the
    /// tasks that need none any more.
    void releaseUselessReservations(const TimePoint &now);
    bool isReservationUseful(const TaskName &name, const TimePoint &now);
    /// Reserves capacity for an overdue task that can start soon, once no former run of it can
    /// exist and that is durable.
    void reserveForWaiting(const WaitingStep &waiting, int index, const TimePoint &now);

    // Interruptions of long-running tasks.
    /// Logs why long-running tasks don't run that have been away for a long time, whatever they
    /// wait for: one line for each step, about the task that has been away for the longest time.
    void logInterruptions(const TimePoint &now);
    /// Returns false if no task of the step has been away for long, or if that was logged recently.
    bool logInterruption(OwnedJob &job, int occurrence, int step, const TimePoint &now);
    WaitReason waitReason(OwnedJob &job, const TaskName &name, const TaskState &task,
                          const TimePoint &now);
    /// The reason and what it is based on, as `key=value` pairs.
    std::string explainWait(const WaitingStep &waiting, const TaskState &task, int index,
                            const TimePoint &now);
    /// How many workers have isolated runs, and how many isolated runs the job has.
    std::string explainIsolation(OwnedJob &job) const;
    /// How many workers have room that the task doesn't get: because they are avoided, or because
    /// starts there haven't been answered yet.
    std::string explainRoom(const PlacementRequest &request);
    /// What the runs on the worker request whose start is planned or hasn't been answered yet.
    Core::Resources pendingUse(const WorkerState &worker);

    void sendStart(OwnedJob &job, const TaskName &task, TaskRun &run, const TimePoint &now);
    /// Starts the planned runs of which all that must be durable is, unless their workers lack the
    /// capacity or have stopped answering by now.
    void startPlannedRuns(OwnedJob &job, const TimePoint &now);
    void startPlannedRuns(OwnedJob &job, int occurrence, int step, const TimePoint &now);
    /// Drops a planned run whose worker, or that of another member of its gang, lacks the capacity
    /// or has stopped answering.
    void dropPlannedRun(OwnedJob &job, const TaskName &name, const TaskRun &run);
    void discardPlannedRuns(OwnedJob &job);
    std::int64_t nextRunNumber(const TaskState &task) const;

    // Runs.
    void addRun(OwnedJob &job, const TaskName &name, WorkerState &worker, std::int64_t number,
                RunPhase phase, const TimePoint &now);
    /// Whether a run that is gone may have crashed its worker.
    enum class DoubtAfterRun {
        Settled,
        Kept,
    };
    /// Removes a run that is known to be gone.
    void removeRun(OwnedJob &job, const TaskName &name,
                   DoubtAfterRun doubt = DoubtAfterRun::Settled);
    void setPhase(TaskRun &run, RunPhase phase, const TimePoint &now);
    void stopAllRuns(OwnedJob &job, const TimePoint &now);
    /// True if it can't be that the run, which a complete report of a renewal sent at \p sentAt
    /// doesn't list, still begins or goes on.
    static bool isGone(const WorkerState &worker, const TaskRun &run, Core::Instant sentAt);
    void requestStop(const TaskName &name, TaskRun &run, const TimePoint &now);
    /// \p unwatched is how long no renewal was open at the worker before the one that was answered
    /// with the end.
    void onRunEnded(WorkerState &worker, const EndedEntry &end, Core::Duration unwatched,
                    const TimePoint &now);
    void onTaskDone(OwnedJob &job, const TaskName &name, const TimePoint &now);
    void onTasksDone(OwnedJob &job, int occurrence, const TimePoint &now);
    void onTaskFailed(OwnedJob &job, const EndedEntry &end, const TimePoint &now);
    /// Returns false if the run isn't wanted on the worker.
    bool onRunning(WorkerState &worker, const RunningEntry &entry, const TimePoint &now);
    void adoptRun(OwnedJob &job, WorkerState &worker, const RunningEntry &entry,
                  const TimePoint &now);
    /// Stops a run that isn't wanted on the worker, and adds it to \p use.
    void stopUnwantedRun(WorkerState &worker, const RunningEntry &entry, UnwantedUse &use);
    void removeMissingRuns(WorkerState &worker, const WorkerReport &report, Core::Instant sentAt);
    void expireLeases(const TimePoint &now);
    void expireRunsOf(WorkerState &worker, const TimePoint &now);
    /// Removes the runs of a worker whose incarnation has ended.
    void removeRunsOf(WorkerState &worker);
    void markBegun(OwnedJob &job);
    /// Records that the outcome of the task's runs up to \p run will never be known.
    void abandon(OwnedJob &job, const TaskName &name, std::int64_t run);
    void abandonUnknownRuns(OwnedJob &job);
    void abandonUnknownRuns(OwnedJob &job, int occurrence);
    void checkProgress(const StepSpec &spec, TaskRun &run, const RunningEntry &entry,
                       const TimePoint &now);
    void resendStops(const TimePoint &now);

    // Crashes of workers under tasks; see CrashHistory.
    /// A task that has a run, with the job that it belongs to.
    struct StartedRun
    {
        OwnedJob *job = nullptr;
        TaskName name;
        const TaskRun *run = nullptr;
    };
    /// The runs on the worker whose start was sent.
    std::vector<StartedRun> startedRuns(const WorkerState &worker);
    /// Those that a worker which has restarted meanwhile ran, or may have run, at \p time, and that
    /// its report doesn't list.
    std::vector<StartedRun> runsLostBefore(const WorkerState &worker, Core::Instant time,
                                           const WorkerReport &report);
    /// Those that may be the cause if the worker has crashed.
    static std::vector<StartedRun> suspectsAmong(const std::vector<StartedRun> &runs);
    static Suspicion suspicionOf(const WorkerState &worker, const std::vector<StartedRun> &runs);
    /// True if one run alone, or one gang, is suspected.
    static bool isOnlySuspect(const std::vector<StartedRun> &suspects);
    /// Logs that the worker has stopped answering, with how many of its runs may be the cause.
    void noteSilence(const WorkerState &worker, const TimePoint &now);
    /// Counts the crash of the worker, which had \p lost runs, in the histories of their tasks.
    void noteCrash(const WorkerState &worker, const std::vector<StartedRun> &lost,
                   std::string_view evidence, const TimePoint &now);
    static std::string namesOf(const std::vector<StartedRun> &runs);
    /// Counts the crash in the history of a task that may have caused it, unless other workers show
    /// that it has another cause: then the run only counts as lost.
    void countCrash(OwnedJob &job, const TaskName &name, const SuspectedCrash &crash,
                    std::string_view evidence, const TimePoint &now);
    /// When the worker stopped answering; \p now if it hasn't.
    static Core::Instant silentSince(const WorkerState &worker, const TimePoint &now);
    /// \p hasOtherCause excuses a run that had survived its start.
    void noteLostRun(OwnedJob &job, const TaskName &name, const TaskRun &run, bool hasOtherCause);
    /// Fails the jobs of which a task has crashed too many workers.
    void giveUpCrashing(const std::vector<StartedRun> &lost, const TimePoint &now);
    void giveUpIfCrashing(OwnedJob &job, const TaskName &name, const TimePoint &now);
    void noteSeen(OwnedJob &job, const TaskName &name, const TaskRun &run);
    void setCrashHistory(OwnedJob &job, const TaskName &name, const CrashHistory &history);
    /// Records which runs may have crashed a worker that has stopped answering, so that the next
    /// owner counts the crash if this one doesn't live to do so.
    void recordRunsInDoubt(const WorkerState &worker);
    /// The tasks of the job with a run in doubt.
    static std::vector<TaskName> doubtsOf(const OwnedJob &job);
    /// The tasks with a run in doubt on the worker; forgets those whose doubt is settled.
    std::vector<StartedRun> doubtsAbout(const Core::VmId &worker);
    void withdrawDoubt(OwnedJob &job, const TaskName &name);
    /// Withdraws the doubts about runs on a worker that answers, except isolated ones that have
    /// only been started.
    void withdrawDoubtsAbout(const WorkerState &worker);
    /// Settles the doubts about runs that an earlier incarnation of the worker had.
    void settleDoubtsOfFormer(const WorkerState &worker, std::int64_t processStartUnixMs,
                              const TimePoint &now);
    /// When the newest process at each address of the store's list started, in Unix milliseconds.
    using NewestAtAddress = std::unordered_map<std::string, std::int64_t>;
    NewestAtAddress newestAtAddresses() const;
    /// Asks silent workers at once whose successors are in the store's list: the answer shows that
    /// their runs are gone.
    void askReplacedWorkers(const TimePoint &now);
    /// Settles the doubts about workers whose successor is in the store's list.
    void settleDoubtsByList(const TimePoint &now);
    void settleAsCrash(OwnedJob &job, const TaskName &name, std::string_view evidence,
                       const TimePoint &now);
    void countIsolatingWorkers();
    /// Chooses idle workers that are asked while there are isolated runs; see WorkerState.
    void appointWitnesses(const TimePoint &now);
    /// The worker on which suspects of the job are being started in isolation; null if there is
    /// none.
    WorkerState *isolatedWorkerOf(OwnedJob &job) const;
    /// Where the task, a suspect, may start. All suspects of a job start together, since it doesn't
    /// matter which of them crashes the worker. Long-running ones that have been away for long
    /// start together with those of other jobs, so that the last one isn't away the longer the more
    /// there are; but not if they would be given up for another crash.
    IsolationBounds isolationBounds(OwnedJob &job, const TaskName &name, bool isOverdue) const;
    /// Plans the next run of a task that may crash its worker.
    void planSuspect(const WaitingStep &waiting, int index, std::int64_t run, const TimePoint &now);
    /// Isolates a planned run, which is recorded as in doubt before it is sent.
    void isolateRun(OwnedJob &job, const TaskName &name, bool mayBeShared);
    /// Keeps a worker for a suspect that fits there and waits only for starting runs.
    void keepWorkerForSuspect(const PlacementRequest &request);

    // Best-effort tasks beside serving tasks.
    ColocatedRuns colocatedRuns(const WorkerState &worker);
    static void updateOverTarget(const StepSpec &spec, TaskRun &run, Core::Instant now);
    /// Updates the model and the throttles from the worker's last report.
    void updateColocation(WorkerState &worker, const TimePoint &now);
    void updateSlowdownModel(WorkerState &worker, const ColocatedRuns &colocated,
                             const TimePoint &now);
    /// Predicts the loads of the serving tasks on the worker, for the placement of tasks beside
    /// them.
    void forecastLoads(WorkerState &worker, const std::vector<ColocatedTask> &tasks,
                       const TimePoint &now);
    void updateThrottles(const ColocatedRuns &colocated, const TimePoint &now);
    /// Reviews the throttles of all listed workers from time to time, of some workers in each call.
    void updateAllThrottles(const TimePoint &now);
    void reviewThrottles(WorkerState &worker, const TimePoint &now);
    bool isThrottleSweepUnderWay() const { return m_nextThrottleUpdate < m_listed.size(); }
    static void setThrottle(TaskRun &run, const StepSpec &spec, int percent);
    /// Returns the highest ratio of tail latency to target among \p tasks; 0 without serving tasks.
    static double highestTailRatio(const std::vector<ColocatedTask> &tasks);
    void throttle(const TaskName &name, TaskRun &run, const StepSpec &spec, int percent,
                  double highestTailRatio, const TimePoint &now);
    void deleteOldJobs(const TimePoint &now);

    void note(const TaskName &task, std::string_view event, const std::string &inputs);

    SchedulerSettings m_settings;
    Ownership m_ownership;
    /// The highest token that commands may carry.
    FencingToken m_newestToken;
    DecisionLog &m_log;
    Catalogue m_catalogue;
    /// The priority of the most urgent queues; none if all queues have the same.
    std::optional<int> m_urgentPriority;
    StartOrder m_order;
    /// The catalogue has, or had, customers.
    bool m_hasCustomers = false;
    CustomerLedger m_customerLedger;
    CustomerShares m_customerShares;
    /// When the place of a step of the customer in the order was logged last.
    std::map<Core::CustomerId, Core::Instant> m_orderLoggedAt;
    /// What runs of ended jobs may still use that a former owner started.
    CustomerLedger::Amounts m_remainingUse;
    /// What counts beside the known runs has grown since it was computed.
    bool m_isOtherUseOutdated = false;
    ImageTable m_images;
    ThrottleController m_throttleController;
    CapacityReservations m_reservations;
    /// The interrupted tasks for which no worker is worth a reservation, as of the last search, or
    /// for which it is too early to keep capacity from short tasks; as of the last pass.
    std::set<TaskName> m_withoutReservation;
    CapacityIndex m_capacityIndex;
    WorkerChooser m_chooser { m_throttleController.slowdownModel(), m_reservations,
                              m_capacityIndex };
    /// The time of the last takeCommands() or onReport(), whichever was called last; dates the ends
    /// of runs.
    Core::Instant m_now = {};
    std::set<Core::FailureDomainId> m_outOfService;
    RenewalQueue m_renewalQueue;
    std::map<Core::VmId, std::unique_ptr<WorkerState>> m_workers;
    /// The workers that the store lists.
    std::vector<WorkerState *> m_listed;
    std::unordered_map<JobId, JobPtr> m_jobs;
    /// The jobs of m_jobs with scheduled occurrences.
    std::set<JobId> m_scheduled;
    /// The jobs with long-running steps.
    std::set<JobId> m_longRunning;
    /// Ended jobs by the Unix milliseconds of their end.
    std::multimap<std::int64_t, JobId> m_endedByTime;
    /// The IDs of the jobs in m_endedByTime: a repeated submission may be read before the record of
    /// the job's end, which follows it in the log.
    std::unordered_set<JobId> m_endedIds;
    std::set<JobId> m_dirty;
    /// Jobs that have begun since the last commit. The next commit includes them, but they don't
    /// cause a commit: nothing depends on them being durable, and an extra append for each job
    /// would delay starts.
    std::set<JobId> m_begun;
    std::vector<JobId> m_pastRetention;
    /// Number of the last commit that was taken, and of the last one that is durable.
    std::int64_t m_lastCommit = 0;
    std::int64_t m_committed = 0;
    /// The jobs in the commit in progress, with their workers if it records these.
    std::map<JobId, std::optional<JobWorkers>> m_committing;
    /// The workers with processed ends whose consequences aren't durable.
    std::set<Core::VmId> m_withUncommittedEnds;
    std::vector<Command> m_commands;
    /// The runs whose stop is wanted, by their workers.
    std::set<std::pair<Core::VmId, TaskName>> m_stopping;
    /// The tasks with a run in doubt.
    std::set<TaskName> m_doubts;
    SilentWorkers m_silentWorkers;
    /// The listed workers with an isolated run; counted at the beginning of a pass, and grows with
    /// the runs that the pass isolates.
    std::size_t m_isolatingWorkers = 0;
    Core::Instant m_needsWitnessesUntil = {};
    /// The ends of the leases on workers of which this owner has no state: those that the former
    /// owner had suspended, and suspended ones that were forgotten.
    LeaseEnds m_formerLeaseEnds;
    LeaseSuspensions m_suspensions;
    std::size_t m_runs = 0;
    std::size_t m_pendingStarts = 0;
    OverloadPolicy m_overload;
    bool m_isStoreReachable = true;
    bool m_areStartsHeld = false;
    bool m_isDeposed = false;
    /// The leases of the former owner have ended, and no job waits for its workers any more.
    bool m_areFormerLeasesSettled = false;
    bool m_isUnderused = false;
    /// A worker was contacted for the first time since the last proof of ownership.
    bool m_needsProof = false;
    Core::Instant m_provenAt = {};
    /// What can start may have changed since the last pass over the waiting steps.
    bool m_needsPass = true;
    PlanningPass m_pass;
    /// Capacity may have become free since all overdue steps were planned last.
    bool m_isCapacityFreed = false;
    Core::Instant m_passBeganAt = {};
    std::int64_t m_planningWork = 0;
    /// The looks of m_chooser at the beginning of the last takeCommands().
    std::int64_t m_looksBefore = 0;
    Core::Instant m_nextPassAt = {};
    Core::Instant m_nextCheckAt = {};
    Core::Instant m_nextInterruptionCheckAt = {};
    Core::Instant m_nextThrottleUpdateAt = {};
    /// Position in m_listed of the worker whose throttles are reviewed next; behind the last one
    /// between two reviews of all.
    std::size_t m_nextThrottleUpdate = 0;
};

} // namespace Jobs
