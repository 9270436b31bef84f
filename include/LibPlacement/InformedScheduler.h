#pragma once

#include <LibPlacement/CandidateSearch.h>
#include <LibPlacement/Fleet.h>
#include <LibPlacement/InterferenceModel.h>
#include <LibPlacement/RateLimiter.h>
#include <LibPlacement/Scheduler.h>
#include <LibPlacement/SchedulerSettings.h>
#include <LibPlacement/UsageEstimator.h>
#include <LibPlacement/WaitingQueue.h>
#include <LibPlacement/WorkerHealth.h>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Placement {

/// The scheduler for production. It places tasks by quotas with borrowing and by priorities with
/// aging, preempts batch work, avoids and mitigates learned interference, quarantines failing
/// workers and holds failing jobs. Each policy is implemented by a class of its own; this class
/// combines them.
class InformedScheduler final : public Scheduler
{
public:
    /// \throws Core::Error if a setting is out of range.
    static std::unique_ptr<InformedScheduler> create(const SchedulerSettings &settings);

    void setRules(const Rules::RuleSet &rules) override;
    void setWorkers(const std::vector<Platform::VmEntry> &workers) override;
    void addWaiting(const WaitingTask &task) override;
    void removeWaiting(const Core::TaskId &task) override;
    void adopt(const PlacedAttempt &attempt) override;
    void attemptStarted(const PlacedAttempt &attempt) override;
    void startAbandoned(const Core::TaskId &task) override;
    void attemptEnded(const Task::AttemptId &attempt, Task::AttemptPhase phase,
                      Core::Instant now) override;
    void observe(const Task::AttemptReport &report, Core::Instant now) override;
    std::vector<Decision> decide(Core::Instant now, std::size_t maximumStarts) override;
    std::string reasonNeverFits(const Task::TaskSpec &spec) const override;
    std::string explain(const Core::TaskId &task) const override;

    /// Read access for tests, benchmarks and operators' views.
    const Fleet &fleet() const { return m_fleet; }
    const WorkerHealth &health() const { return m_health; }
    const InterferenceModel &interference() const { return m_interference; }
    /// The number of tasks without a start decision, with and without a claim.
    std::size_t waitingTasks() const { return m_queue.size() + m_fleet.claims().size(); }

private:
    /// The cost of a search relative to skipping a task, in units of Pass::budgetLeft.
    static constexpr int searchCost = 8;

    /// The state of one scheduling pass, which is one call of decide().
    struct Pass
    {
        Core::Instant now;
        std::size_t startsLeft = 0;
        /// The remaining work budget: a task costs 1, a search costs searchCost.
        int budgetLeft = 0;
        std::vector<Decision> decisions;
        /// Requests for which no worker had enough capacity in this pass; the search for a free
        /// worker is skipped for requests that need at least as much.
        std::vector<PlacementRequest> requestsWithoutFit;
        /// Batch requests that fit only on workers where their class would interfere or the task
        /// failed before; the search is skipped for requests of the same class that need at least
        /// as much and tolerate interference alike.
        std::vector<PlacementRequest> requestsNotAllowed;
    };

    /// A position in one team queue, with the values by which team queues are ordered.
    struct QueueCursor
    {
        TeamQueueId id;
        const WaitingQueue::TeamQueue *queue = nullptr;
        WaitingQueue::TeamQueue::const_iterator next;
        /// The number of tasks of the queue that could not be placed in this pass.
        int failures = 0;
        bool isBorrowing = false;
        /// The team's weighted dominant share.
        double share = 0.0;
    };

    enum class Outcome {
        Started,
        /// The task has left the queue for a claim on a worker.
        Claimed,
        Failed,
    };

    explicit InformedScheduler(const SchedulerSettings &settings);

    Rules::TaskKind kindOf(const Core::TaskClassId &taskClass) const;
    int priorityOf(const Core::TaskClassId &taskClass) const;
    bool isAllowedHere(const Core::TaskClassId &taskClass) const;
    bool isKnown(const Core::TaskId &task) const;
    void enqueue(const WaitingTask &task, Core::Instant waitingSince);
    void requeueClaimsOn(WorkerSlot worker);
    void requeueClaim(const Core::TaskId &task);
    void requeueForbiddenClaims();
    void planEvacuation();
    RunningAttempt runningFrom(const PlacedAttempt &placed);
    void learnInterference(const RunningAttempt &attempt, double slowdown, Core::Instant now);

    void updateHealth(Pass &pass);
    void holdFaultyJobs(Pass &pass);
    void evacuate(Pass &pass);
    void mitigateInterference(Pass &pass);
    void mitigate(Pass &pass, WorkerSlot worker);
    void throttleMostInterfering(Pass &pass, WorkerSlot worker);
    void evictMostInterfering(Pass &pass, WorkerSlot worker);
    void unthrottleLeastInterfering(Pass &pass, WorkerSlot worker);
    void evict(Pass &pass, RunningAttempt &attempt, std::string reason);
    void throttle(Pass &pass, RunningAttempt &attempt, int percent, std::string reason);
    double interferenceOf(const RunningAttempt &attempt) const;

    void expireClaims(Pass &pass);
    void startClaimed(Pass &pass);
    void startClaimedOn(Pass &pass, WorkerSlot worker);
    void startWaiting(Pass &pass);
    std::vector<QueueCursor> queueCursors() const;
    void rank(QueueCursor &cursor) const;
    static bool hasPrecedence(const QueueCursor &left, const QueueCursor &right);
    void placeNext(Pass &pass, std::vector<QueueCursor> &cursors, std::size_t chosen);
    void skipToSavedPosition(QueueCursor &cursor) const;
    void savePositions(const std::vector<QueueCursor> &cursors);
    Outcome tryPlace(Pass &pass, const WaitingQueue::Item &item);
    static bool isKnownToFail(const Pass &pass, const PlacementRequest &request);
    PlacementRequest requestFor(const WaitingQueue::Item &item);
    std::optional<WorkerSlot> findFree(Pass &pass, const WaitingQueue::Item &item,
                                       PlacementRequest request);
    bool start(Pass &pass, const WaitingTask &task, WorkerSlot worker, std::string reason);
    bool tryPreempt(Pass &pass, const WaitingQueue::Item &item, const PlacementRequest &request);
    bool tryDrain(Pass &pass, const WaitingQueue::Item &item, const PlacementRequest &request);
    bool mayStart(const Pass &pass) const;

    std::string explainRunning(const RunningAttempt &attempt) const;
    std::string explainClaim(const Claim &claim) const;
    std::string explainWaiting(const WaitingQueue::Item &item) const;
    std::string explainMissingCapacity(const WaitingQueue::Item &item) const;

    SchedulerSettings m_settings;
    Rules::RuleSet m_rules;
    bool m_isOutOfService = false;
    bool m_isReturning = false;
    std::optional<Core::Instant> m_rampUntil;
    RateLimiter m_returnStartLimiter;
    RateLimiter m_evacuationLimiter;
    RateLimiter m_drainSearchLimiter;
    RateLimiter m_reclaimLimiter;
    std::deque<Task::AttemptId> m_toEvacuate;
    ClassTable m_classes;
    Fleet m_fleet;
    WaitingQueue m_queue;
    WorkerHealth m_health;
    InterferenceModel m_interference;
    UsageEstimator m_usage;
    CandidateSearch m_search;
    std::vector<Core::Resources> m_distinctCapacities;
    std::set<WorkerSlot> m_workersWithClaimsToCheck;
    /// The latest time passed to decide() or attemptEnded().
    Core::Instant m_now = Core::Instant::min();
    /// The task at which the next pass continues in a queue whose first tasks don't fit.
    std::map<TeamQueueId, Core::TaskId> m_resumeAt;
    /// Waiting tasks that had failed on a worker that wasn't suspect when they were added.
    std::set<Core::TaskId> m_failedBefore;
    /// Held tasks with the reason.
    std::map<Core::TaskId, std::string> m_held;
};

} // namespace Placement
