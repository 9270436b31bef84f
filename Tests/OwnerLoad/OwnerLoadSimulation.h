#pragma once

#include <LibJob/JobScheduler.h>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

/// The jobs of one queue in a simulated load.
struct QueueLoad
{
    std::string name;
    int priority = 0;
    double jobsPerSecond = 0;
    /// Every second job has one step more.
    int minSteps = 1;
    int maxSteps = 1;
    int tasksPerStep = 1;
    std::int64_t taskMs = 1000;
    std::int64_t milliCores = 1000;
    bool isLongRunning = false;
    double stretch = 1.5;
    std::int64_t objectiveBaseMs = 250;
};

/// What the work of an owner costs its event loop.
struct LoopCosts
{
    Core::Duration start = std::chrono::microseconds(90);
    Core::Duration startAnswer = std::chrono::microseconds(90);
    Core::Duration renewal = std::chrono::microseconds(80);
    Core::Duration report = std::chrono::microseconds(100);
    Core::Duration job = std::chrono::microseconds(100);
    Core::Duration turn = std::chrono::microseconds(300);
    /// Once for taking the records, once for noting that they are durable.
    Core::Duration commit = std::chrono::microseconds(1500);

    /// The costs of a processor that takes \p factor times as long.
    LoopCosts scaledBy(double factor) const;
    /// The costs of a smaller site at the same load: those of its fewer calls are \p factor times
    /// as high.
    LoopCosts withCallsScaledBy(double factor) const;
};

/// What the callers of one queue got.
struct QueueResult
{
    int owed = 0;
    int onTime = 0;
    int late = 0;
    int startedTasks = 0;

    double onTimeShare() const { return owed == 0 ? 1 : static_cast<double>(onTime) / owed; }
};

/// An owner whose event loop takes time for each call, with the workers of a site, in virtual time.
///
/// The loop runs its own work first, then urgent and then ordinary calls to workers, as
/// OwnerSession does: starts are ordinary unless their queue is urgent, renewals, stops and all
/// answers are urgent.
class OwnerLoadSimulation
{
public:
    OwnerLoadSimulation(int workers, std::vector<QueueLoad> queues, const LoopCosts &costs);
    OwnerLoadSimulation(const OwnerLoadSimulation &) = delete;
    OwnerLoadSimulation &operator=(const OwnerLoadSimulation &) = delete;

    void run(Core::Duration duration);
    /// The loop does nothing for this long, as if there were no owner.
    void pause(Core::Duration duration);
    /// Jobs that are submitted from now on count in the results.
    void beginCounting();
    /// The results of jobs whose time to be late has passed.
    QueueResult result(const std::string &queue) const;

    const Jobs::JobScheduler &scheduler() const { return m_scheduler; }
    /// The inputs of all lines on jobs that were shown as completed after their objective.
    const std::vector<std::string> &lateJobs() const { return m_log.lateJobs; }
    /// The longest time from when a task of the queue's steps could start until it did.
    Core::Duration longestWait(const std::string &queue, int step) const;
    /// The longest time without an open renewal before an end was learned.
    Core::Duration longestUnwatched() const { return m_log.longestUnwatched; }
    /// The mean of that time over the ends of the queue's tasks.
    Core::Duration meanUnwatched(const std::string &queue) const;
    /// The longest time from when the end of a job was learned until it was durable.
    Core::Duration longestToDurable() const { return m_log.longestToDurable; }
    int starts() const { return m_starts; }
    int lapsedRuns() const { return m_lapsedRuns; }
    /// The share of the time in which the loop was busy, since beginCounting().
    double utilization() const;
    /// The mean of how late the loop's urgent and ordinary work ran, since beginCounting().
    Core::Duration meanLag() const;

private:
    using Work = std::function<Core::Duration()>;
    enum Lane {
        Loop,
        Urgent,
        Ordinary,
    };
    struct Event
    {
        Core::Instant at;
        std::int64_t order = 0;
        std::function<void()> happen;

        bool operator>(const Event &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };
    struct Worker
    {
        std::map<Jobs::TaskName, std::int64_t> running;
        std::deque<Jobs::EndedEntry> ended;
        std::int64_t lastEnd = 0;
        Core::Instant leaseEndsAt;
        /// The renewal that waits for an end; 0 if none does.
        std::int64_t openRenewal = 0;
        Core::Instant renewalSentAt;
    };
    struct JobInfo
    {
        std::size_t queue = 0;
        Core::Instant submittedAt;
        Core::Duration objective = {};
        bool isCounted = false;
        /// When the end was durable; the epoch before.
        Core::Instant shownAt;
    };
    /// Keeps what tells of delays.
    class DelayLog final : public Jobs::DecisionLog
    {
    public:
        void note(std::string_view, std::string_view event, std::string_view inputs) override
        {
            if (event == "late-job")
                lateJobs.emplace_back(inputs);
        }
        void noteStarted(const Jobs::QueueId &queue, int step, Core::Duration waited) override
        {
            Core::Duration &longest = longestWaits[{ queue.text(), step }];
            longest = std::max(longest, waited);
        }
        void noteEndKnown(const Jobs::QueueId &queue, int, Core::Duration unwatched) override
        {
            longestUnwatched = std::max(longestUnwatched, unwatched);
            unwatchedSums[queue.text()] += unwatched;
            ++ends[queue.text()];
        }
        void noteEndDurable(Core::Duration after) override
        {
            longestToDurable = std::max(longestToDurable, after);
        }

        std::vector<std::string> lateJobs;
        std::map<std::pair<std::string, int>, Core::Duration> longestWaits;
        Core::Duration longestUnwatched = {};
        std::map<std::string, Core::Duration> unwatchedSums;
        std::map<std::string, int> ends;
        Core::Duration longestToDurable = {};
    };

    Jobs::TimePoint now() const;
    void at(Core::Instant time, std::function<void()> happen);
    void after(Core::Duration delay, std::function<void()> happen);
    void post(Lane lane, Work work);
    void serve();
    void submitJob(std::size_t queue);
    void scheduleSubmission(std::size_t queue);
    void wakeTurn();
    Core::Duration takeTurn();
    void beginCommitIfDue();
    void noteRecord(const Jobs::JobRecord &record);
    void countResult(const Jobs::JobId &id);
    void sendStart(const Jobs::StartCommand &command, Core::Instant decidedAt);
    void startAt(Worker &worker, const Jobs::StartCommand &command);
    void sendRenewal(const Jobs::RenewCommand &command);
    void renewAt(Worker &worker, const Jobs::RenewCommand &command, Core::Instant sentAt);
    void answerRenewal(const Core::VmId &id, Worker &worker);
    void endRun(const Core::VmId &id, const Jobs::TaskName &task, std::int64_t run);
    void probe(Lane lane);

    std::vector<QueueLoad> m_queues;
    LoopCosts m_costs;
    DelayLog m_log;
    Core::Instant m_now { std::chrono::seconds(100) };
    Jobs::JobScheduler m_scheduler;
    std::map<Core::VmId, Worker> m_workers;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::int64_t m_eventOrder = 0;
    std::array<std::deque<Work>, 3> m_lanes;
    Core::Instant m_busyUntil = m_now;
    bool m_isServing = false;
    Core::Instant m_nextTurnAt = m_now;
    bool m_isTurnQueued = false;
    std::int64_t m_turnRequest = 0;
    bool m_isCommitting = false;
    Core::Instant m_nextHeartbeatAt = m_now;
    std::mt19937 m_random { 38 };
    int m_jobCount = 0;
    std::map<Jobs::JobId, JobInfo> m_jobs;
    std::vector<QueueResult> m_results;
    int m_starts = 0;
    int m_lapsedRuns = 0;
    bool m_isCounting = false;
    Core::Instant m_countingSince;
    Core::Duration m_busyTime = {};
    Core::Duration m_lagSum = {};
    int m_lagCount = 0;
    std::array<Core::Instant, 3> m_probeDueAt = {};
    Core::Duration m_ordinaryLag = {};
    Core::Duration m_lastOrdinaryLag = {};
};
