#pragma once

#include "SimulatedWorker.h"

#include <LibJob/JobScheduler.h>
#include <LibJob/JobTable.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Frequency of faults. Probabilities are per message for lost, delayed and rejected messages, per
/// run for `failedRun` and `hangingRun`, and per second for the others.
struct FaultRates
{
    double lostAnswer = 0;
    /// A start command isn't answered and is executed 2 to 12 s later.
    double delayedCommand = 0;
    /// A renewal isn't answered and is executed 2 to 12 s later by the process that received it.
    double delayedRenewal = 0;
    /// A worker rejects a start command without executing it.
    double refusedStart = 0;
    double workerCrash = 0;
    double workerPartition = 0;
    double storePartition = 0;
    double freeze = 0;
    double claim = 0;
    double failedRun = 0;
    double hangingRun = 0;
    /// A worker's capacity for tasks changes.
    double capacityChange = 0;
    std::int64_t maxFaultMs = 6000;
};

/// A safety mechanism that a simulation disables, to show that the tests detect its absence.
enum class DisabledGuard {
    None,
    /// Workers execute commands of owners that have been replaced.
    Fence,
    /// A new owner doesn't wait for the leases on workers that it can't reach.
    FormerLeases,
    /// An owner sends commands and grants leases without a recent proof of ownership.
    Proof,
    /// An owner grants leases for longer after its last proof than the next one waits.
    LeaseAfterProof,
    /// The end of a suspension isn't read by the next owner.
    SuspensionEnd,
    /// Starts and leases reach whichever process of a worker is there.
    BoundCommands,
    /// The same, and acknowledgements do so, too.
    AcknowledgedProcess,
    /// Starts and leases do so, and a worker's next process gets the same token as its former one.
    ProcessToken,
    /// The record of an ended job doesn't tell what its runs still request.
    RemainingUse,
};

/// Returns a job whose steps have the given numbers of tasks and run one after the other. The
/// payload determines what its tasks do; see JobWorld.
Jobs::JobSpec simulatedJob(const std::vector<int> &widths, const std::string &payload = "");

/// How the workers of a simulation crash and return.
struct WorkerLife
{
    std::size_t workerCount = 4;
    /// A crashed worker returns under another ID at the same address.
    bool returnsUnderNewId = false;
    /// Calls to a crashed worker are refused at once; otherwise they get no answer.
    bool refusesCallsWhileDown = false;
    /// A call to a crashed worker reaches its next process if that starts within the call's time
    /// limit, as with a connection request that the network repeats.
    bool getsCallsOfFormerProcess = false;
    /// Time from the start of a process to its first entry in the list of workers.
    std::int64_t listedAfterMs = 0;
    /// The longest lease that a worker grants.
    std::int64_t maxLeaseMs = 6000;
    /// Minimum time that a task takes.
    std::int64_t minTaskMs = 100;
    /// Maximum time that a task takes.
    std::int64_t maxTaskMs = 1500;
    /// How long a worker that a task or crashWorkers() has crashed is away.
    std::int64_t returnsAfterMs = 3400;
    /// Time from the start of a crashing task to the crash of its worker.
    std::int64_t crashDelayMs = 10;
    /// Workers reject starts for which they lack the capacity.
    bool guardsCapacity = false;
    /// Time from a stop command to the end of the run.
    std::int64_t stopTakesMs = 0;

    bool operator==(const WorkerLife &) const = default;
};

/// Simulates nodes, workers and the store in virtual time, and checks the safety invariants at each
/// step and with each start, acknowledged failure and record. run() stops at the first violation.
class JobWorld
{
public:
    JobWorld(std::uint32_t seed, const FaultRates &faults, DisabledGuard disabledGuard = {},
             const WorkerLife &life = {});
    ~JobWorld();

    Jobs::JobId submit(const Jobs::JobSpec &spec, int attemptLimit = 3,
                       const Core::CustomerId &customer = {});
    /// Sets the customers of the catalogue, for the present owner and the next ones. From then on
    /// each start is checked against the limit of its customer.
    void setCustomers(const std::vector<Jobs::Customer> &customers);
    /// Sets Jobs::Queue::stretch for jobs that are submitted from now on.
    void setStretch(double stretch) { m_stretch = stretch; }
    void cancel(const Jobs::JobId &id);
    void run(std::int64_t milliseconds);
    /// Sets the faults that are injected from now on; those in progress go on.
    void setFaults(const FaultRates &faults) { m_faults = faults; }
    /// Stops injecting faults and ends those in progress.
    void stopFaults();

    /// Makes a node the owner, whether or not there is another one. Has no effect, and returns
    /// false, while the node is frozen or can't reach the store.
    bool claim(std::size_t node);
    void kill(std::size_t node);
    void partitionStore(std::size_t node, std::int64_t forMs);
    void partitionWorker(std::size_t node, std::size_t worker, std::int64_t forMs);
    void freeze(std::size_t node, std::int64_t forMs);
    /// The worker gets calls and carries them out, but its answers are lost.
    void mute(std::size_t worker, std::int64_t forMs);
    /// The time of day of a node differs from the true one by this much from now on.
    void setClockError(std::size_t node, std::int64_t milliseconds);
    /// The same for a worker; it shows in when its next processes claim to have started.
    void setWorkerClockError(std::size_t worker, std::int64_t milliseconds);
    SimulatedWorker &worker(std::size_t index) { return *m_workers[index]; }
    void crashWorker(std::size_t index);
    void restartWorker(std::size_t index);
    /// The worker announces that it will leave; it leaves with removeWorker().
    void drainWorker(std::size_t index);
    /// The worker leaves for good, with all that runs on it, and the list no longer names it.
    void removeWorker(std::size_t index);
    /// Gives up the jobs of the owner in good order, as when its VM is taken away.
    void release(std::size_t node);
    /// Crashes a worker, which returns after WorkerLife::returnsAfterMs.
    void crashUntilReturn(std::size_t worker);
    /// Crashes each worker with the given probability; they return after
    /// WorkerLife::returnsAfterMs.
    void crashWorkers(double share);

    Jobs::JobState state(const Jobs::JobId &id) const;
    bool areAllOver() const;
    /// Changes the processors that a worker has for tasks. The list shows it up to 1.5 s later.
    void setCapacity(std::size_t worker, std::int64_t milliCores);
    /// Starts that a worker rejected for lack of capacity.
    int rejectedForCapacity() const { return m_rejectedForCapacity; }
    int startsOf(const Jobs::TaskName &task) const;
    /// When a run of the task was started first; -1 if none was.
    std::int64_t firstStartOf(const Jobs::TaskName &task) const;
    /// The size of the largest progress record that an owner has written, in bytes.
    std::size_t largestProgressBytes() const { return m_largestProgressBytes; }
    /// The most work that an owner has spent on planning in one call; see
    /// Jobs::JobScheduler::planningWork().
    std::int64_t mostPlanningWork() const { return m_mostPlanningWork; }
    /// Waiting tasks at the present owner, which must exist.
    std::size_t waitingCount() const;
    /// How many workers the task has crashed.
    int crashesOf(const Jobs::TaskName &task) const;
    std::size_t runningCount() const;
    /// How long the task hasn't run: since its last run, or since its submission if it never ran; 0
    /// while it runs.
    std::int64_t awayMs(const Jobs::TaskName &task) const;
    std::int64_t nowMs() const { return m_nowMs; }
    /// The first violated invariant; empty if there is none.
    const std::string &violation() const { return m_violation; }

    /// Tasks of a job with this payload don't end by themselves.
    static constexpr const char *longRunningPayload = "lasts";
    /// The first task of each step of a job with this payload crashes each worker that starts it.
    static constexpr const char *crashingPayload = "crashes";
    /// The same for a job whose other tasks don't end by themselves.
    static constexpr const char *longRunningCrashingPayload = "lasts, crashes";
    static bool isLongRunning(const std::string &payload);
    static bool isCrashing(const std::string &payload);
    static constexpr std::size_t nodeCount = 3;

private:
    struct Node;
    struct TaskHistory;
    using Action = std::function<void()>;

    /// A commit that was sent to the store.
    struct PendingCommit
    {
        std::size_t node = 0;
        std::int64_t generation = 0;
        std::int64_t sentAtMs = 0;
        Jobs::Commit commit;
    };

    void step();
    void injectFaults();
    void runOwner(std::size_t node);
    void commit(std::size_t node);
    void append(const PendingCommit &pending);
    void send(std::size_t node, const Jobs::StartCommand &command);
    void send(std::size_t node, const Jobs::StopCommand &command);
    void send(std::size_t node, const Jobs::RenewCommand &command);
    /// Calls \p arrive when a call that is sent now reaches the worker's machine; see
    /// WorkerLife::getsCallsOfFormerProcess.
    void deliver(std::size_t worker, std::int64_t maxDelayMs, const Action &arrive);
    void deliverUntil(std::size_t worker, std::int64_t untilMs, const Action &arrive);
    /// The command as the worker gets it: its connection ends with the process, so another one
    /// gets neither acknowledgement nor lease.
    Jobs::RenewCommand asReceived(const Jobs::RenewCommand &command, std::size_t worker) const;
    /// False if the start is meant for another process of the worker.
    bool isReceived(const Jobs::StartCommand &command, std::size_t worker) const;
    /// True if commands reach only the process that they name.
    bool areCommandsBound() const;
    /// The token with which a command of the node is sent.
    Jobs::FencingToken sentToken(std::size_t node, Jobs::FencingToken token) const;
    bool reaches(std::size_t node, std::size_t worker) const;
    /// The worker's process delays a command, which is lost if the process ends.
    void executeLater(std::size_t worker, const Action &execute);
    /// True if a call to the worker fails at once since its process is down.
    bool isRefusedBy(std::size_t worker) const;
    std::size_t indexOf(const std::string &address) const;
    /// The start of a crashing task: its worker crashes shortly after, and returns later.
    void crashUnder(const Jobs::TaskName &task, std::size_t worker);
    void schedule(std::int64_t delayMs, Action action);
    void noteStart(const Jobs::TaskName &task);
    /// Checks that the task wasn't started after its last attempt. A failed end counts as an
    /// attempt once it is acknowledged, even if that happens after the start in question.
    void checkAttempts(const Jobs::TaskName &task);
    /// Checks that the task wasn't started after a run of it that has ended as done, which counts
    /// like a failed one.
    void checkDone(const Jobs::TaskName &task);
    void noteAcknowledged(const Jobs::EndedEntry &end);
    void checkRuns();
    /// Ends the node's ownership.
    void depose(std::size_t node);
    /// Checks that no long-running task has been away from 6 s after its last run on for 3 s in
    /// which two workers had room for it all the time, and before which nothing was disturbed for
    /// 4 s.
    void checkLongRunningTasks();
    /// Checks one task; see checkLongRunningTasks().
    void checkIsBack(const Jobs::TaskName &task, const Jobs::StepSpec &step);
    /// False if the owner should have logged by now why the task is away, and hasn't.
    bool isExplained(const Jobs::TaskName &task) const;
    int workersWithRoom(const Jobs::TaskName &task, const Jobs::StepSpec &step) const;
    bool isDisturbed() const;
    /// Checks that the runs on a worker, with those that are being stopped, don't request more than
    /// the capacity that it has or had shortly before.
    void checkCapacity(std::size_t worker, const Jobs::TaskName &started);
    std::int64_t requestedMilliCores(std::size_t worker) const;
    /// Checks that what really runs of the customer's tasks on the workers that are up doesn't
    /// request more than 1.1 times its limit and one task.
    void checkLimit(const Jobs::TaskName &started);
    std::int64_t capacityOf(std::size_t worker) const;
    std::int64_t needOf(const Jobs::TaskName &task) const;
    void publishCapacity(std::size_t worker);
    /// Gives the list of workers to a node that hasn't read its latest version.
    void deliverList(Node &node);
    void checkRecords(const Jobs::JobRecord &record);
    /// Checks that all tasks of a job that is recorded as completed have ended as done.
    void checkCompleted(const Jobs::JobId &id);
    /// Checks that a job is recorded as begun only if a worker has started a task, and never
    /// as queued afterwards.
    void checkBegun(const Jobs::ProgressRecord &record);
    /// Checks that a job is given up only if one of its tasks has failed as often as allowed, has
    /// crashed two workers, or ran on five workers that crashed for whatever cause.
    void checkCauseOfFailure(const Jobs::JobId &id);
    /// Checks that a task isn't started for the third time after it has crashed three workers.
    void checkCrashes(const TaskHistory &history, const Jobs::TaskName &task);
    void fail(const std::string &what);
    bool chance(double probability);
    std::int64_t randomBetween(std::int64_t min, std::int64_t max);
    Jobs::TimePoint now() const;
    /// The same with the node's own time of day.
    Jobs::TimePoint now(const Node &node) const;
    bool isMute(std::size_t worker) const;
    std::vector<Jobs::WorkerInfo> listedWorkers() const;

    std::mt19937 m_random;
    FaultRates m_faults;
    DisabledGuard m_disabledGuard;
    WorkerLife m_life;
    Jobs::SchedulerSettings m_settings;
    std::int64_t m_nowMs = 1'000'000;
    std::multimap<std::int64_t, Action> m_events;
    std::vector<std::unique_ptr<SimulatedWorker>> m_workers;
    /// Workers that have left for good.
    std::set<std::size_t> m_removed;
    std::vector<std::unique_ptr<Node>> m_nodes;
    Jobs::JobTable m_table;
    Jobs::RecordedSuspensions m_suspensions;
    /// The offset of the next record in the log.
    std::int64_t m_logEnd = 0;
    Jobs::FencingToken m_epoch = 0;
    std::int64_t m_term = -1;
    std::int64_t m_lastOwnerWriteMs = 0;
    std::int64_t m_claimedAtMs = 0;
    std::map<Jobs::TaskName, TaskHistory> m_history;
    /// Until when something was disturbed last.
    std::int64_t m_disturbedUntilMs = 0;
    /// By worker, until when its answers are lost.
    std::map<std::size_t, std::int64_t> m_muteUntilMs;
    /// By worker, by how much its time of day differs from the true one.
    std::map<std::size_t, std::int64_t> m_workerClockErrorMs;
    /// Jobs of which a worker has started a task.
    std::set<Jobs::JobId> m_begun;
    /// By worker, the capacities in thousandths of a core by the time at which they came into
    /// force.
    std::map<std::size_t, std::map<std::int64_t, std::int64_t>> m_capacities;
    int m_rejectedForCapacity = 0;
    std::size_t m_largestProgressBytes = 0;
    std::int64_t m_mostPlanningWork = 0;
    /// Counts the changes of the list of workers.
    std::int64_t m_listVersion = 0;
    int m_submitted = 0;
    /// The store keeps no submission of a job that has ended.
    std::map<Jobs::JobId, Jobs::Submission> m_submissions;
    Jobs::Catalogue m_catalogue;
    double m_stretch = Jobs::Queue().stretch;
    std::string m_violation;
};
