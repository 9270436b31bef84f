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

/// The scheduler that is in use: quotas with borrowing, priorities with aging, preemption, learned
/// interference, quarantine and holds. It only composes the parts; each rule lives in its own.
class InformedScheduler final : public Scheduler
{
public:
    /// \throws Core::Error if a setting is out of its range.
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

    /// For tests, measurements and operators' views.
    const Fleet &fleet() const { return m_fleet; }
    const WorkerHealth &health() const { return m_health; }
    const InterferenceModel &interference() const { return m_interference; }
    std::size_t waitingTasks() const { return m_queue.size() + m_fleet.claims().size(); }

private:
    /// A search costs this many times as much as passing over a task.
    static constexpr int effortOfSearch = 8;

    /// The state of one call of decide().
    struct Pass
    {
        Core::Instant now;
        std::size_t startsLeft = 0;
        /// A bound on the work spent on tasks that don't fit.
        int effortLeft = 0;
        std::vector<Decision> decisions;
        /// Needs that fit nowhere now; a larger one needn't be tried.
        std::vector<PlacementRequest> misfits;
        /// Needs that fit only where their class would disturb, or where the task failed.
        std::vector<PlacementRequest> refusals;
    };

    /// A position in one lane, with what decides between lanes.
    struct LaneCursor
    {
        LaneId id;
        const WaitingQueue::Lane *lane = nullptr;
        WaitingQueue::Lane::const_iterator next;
        int failures = 0;
        bool isBorrowing = false;
        double share = 0.0;
    };

    enum class Outcome {
        Started,
        /// The task left the lane without a start.
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
    void holdBadJobs(Pass &pass);
    void evacuate(Pass &pass);
    void relieveInterference(Pass &pass);
    void relieve(Pass &pass, WorkerSlot worker);
    void throttleNoisiest(Pass &pass, WorkerSlot worker);
    void evictNoisiest(Pass &pass, WorkerSlot worker);
    void relaxQuietest(Pass &pass, WorkerSlot worker);
    void evict(Pass &pass, RunningAttempt &attempt, std::string reason);
    void throttle(Pass &pass, RunningAttempt &attempt, int percent, std::string reason);
    double disturbance(const RunningAttempt &attempt) const;

    void expireClaims(Pass &pass);
    void startClaimed(Pass &pass);
    void startClaimedOn(Pass &pass, WorkerSlot worker);
    void startWaiting(Pass &pass);
    std::vector<LaneCursor> laneCursors() const;
    void rank(LaneCursor &cursor) const;
    static bool goesFirst(const LaneCursor &left, const LaneCursor &right);
    void visit(Pass &pass, std::vector<LaneCursor> &cursors, std::size_t chosen);
    void resume(LaneCursor &cursor) const;
    void rememberPositions(const std::vector<LaneCursor> &cursors);
    Outcome tryPlace(Pass &pass, const WaitingQueue::Item &item);
    static bool isMisfit(const Pass &pass, const PlacementRequest &request);
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
    std::string explainRoom(const WaitingQueue::Item &item) const;

    SchedulerSettings m_settings;
    Rules::RuleSet m_rules;
    bool m_isOut = false;
    bool m_isReturning = false;
    std::optional<Core::Instant> m_rampUntil;
    RateLimiter m_returnStarts;
    RateLimiter m_evacuations;
    RateLimiter m_drainSearches;
    RateLimiter m_reclaims;
    std::deque<Task::AttemptId> m_toEvacuate;
    ClassTable m_classes;
    Fleet m_fleet;
    WaitingQueue m_queue;
    WorkerHealth m_health;
    InterferenceModel m_interference;
    UsageEstimator m_usage;
    CandidateSearch m_search;
    std::vector<Core::Resources> m_capacities;
    std::set<WorkerSlot> m_claimsToCheck;
    /// The latest time that any call has named.
    Core::Instant m_now = Core::Instant::min();
    /// Where the next call goes on in a lane whose head doesn't fit.
    std::map<LaneId, Core::TaskId> m_resumeAt;
    /// Waiting tasks that have failed before.
    std::set<Core::TaskId> m_failedBefore;
    std::map<Core::TaskId, std::string> m_held;
};

} // namespace Placement
