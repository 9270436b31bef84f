#pragma once

#include "ModelWorker.h"

#include <LibJob/JobScheduler.h>
#include <LibJob/JobTable.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

/// How rough a world is. Probabilities are per message, or per second for faults.
struct WorldFaults
{
    double lostAnswer = 0;
    /// An order gets no answer and is carried out 2 to 12 s later.
    double lateOrder = 0;
    /// A worker answers that it did nothing.
    double refusedStart = 0;
    double workerCrash = 0;
    double workerCut = 0;
    double storeCut = 0;
    double freeze = 0;
    double claim = 0;
    double failedRun = 0;
    double hangingRun = 0;
    std::int64_t longestFaultMs = 6000;
};

/// A guard of the design that a world leaves out.
enum class MissingGuard {
    None,
    /// Workers obey owners that have been replaced.
    Fence,
    /// A new owner doesn't wait for workers that it can't reach.
    FormerLeases,
    /// An owner gives orders however long ago it could write.
    Proof,
};

/// Nodes, workers and the store in virtual time, and the promises that must hold meanwhile.
class JobWorld
{
public:
    JobWorld(std::uint32_t seed, const WorldFaults &faults, MissingGuard missing = {});
    ~JobWorld();

    Jobs::JobId submit(const Jobs::JobSpec &spec, int mostAttempts = 3);
    /// How many times its longest chain a job may take until it is late.
    void setStretch(double stretch) { m_stretch = stretch; }
    void cancel(const Jobs::JobId &id);
    void run(std::int64_t milliseconds);
    /// No further faults, and those that last end.
    void calm();

    /// Makes a node the owner, whoever was it.
    void claim(std::size_t node);
    void kill(std::size_t node);
    void cutStore(std::size_t node, std::int64_t forMs);
    void cutWorker(std::size_t node, std::size_t worker, std::int64_t forMs);
    void freeze(std::size_t node, std::int64_t forMs);
    ModelWorker &worker(std::size_t index) { return *m_workers[index]; }
    void crashWorker(std::size_t index);
    void reviveWorker(std::size_t index);

    Jobs::JobState state(const Jobs::JobId &id) const;
    bool areAllOver() const;
    int startsOf(const Jobs::TaskName &task) const;
    std::size_t runningCount() const;
    std::int64_t nowMs() const { return m_nowMs; }
    /// What was broken; empty if nothing was.
    const std::string &violation() const { return m_violation; }

    /// Tasks of a job with this payload never end by themselves.
    static constexpr const char *lastingPayload = "lasts";
    static constexpr std::size_t nodeCount = 3;
    static constexpr std::size_t workerCount = 4;

private:
    struct Node;
    struct TaskHistory;
    using Action = std::function<void()>;

    /// A commit on its way to the store.
    struct PendingCommit
    {
        std::size_t node = 0;
        std::int64_t generation = 0;
        std::int64_t sentAtMs = 0;
        Jobs::Commit commit;
    };

    void step();
    void makeFaults();
    void actAsOwner(std::size_t node);
    void commit(std::size_t node);
    void append(const PendingCommit &pending);
    void send(std::size_t node, const Jobs::StartCommand &command);
    void send(std::size_t node, const Jobs::StopCommand &command);
    void send(std::size_t node, const Jobs::RenewCommand &command);
    bool reaches(std::size_t node, std::size_t worker) const;
    std::size_t indexOf(const Jobs::Command &command) const;
    void later(std::int64_t delayMs, Action action);
    void noteStart(const Jobs::TaskName &task);
    /// An end counts as an attempt if it is acknowledged before or after the start in question.
    void checkAttempts(const Jobs::TaskName &task);
    void checkRuns();
    void checkRecords(const Jobs::JobRecord &record);
    /// A job is recorded as begun only if it may have, and never as waiting after that.
    void checkBegun(const Jobs::ProgressRecord &record);
    void fail(const std::string &what);
    bool chance(double probability);
    std::int64_t between(std::int64_t least, std::int64_t most);
    Jobs::Moment moment() const;
    std::vector<Jobs::WorkerInfo> listedWorkers() const;

    std::mt19937 m_random;
    WorldFaults m_faults;
    MissingGuard m_missing;
    Jobs::SchedulerSettings m_settings;
    std::int64_t m_nowMs = 1'000'000;
    std::multimap<std::int64_t, Action> m_agenda;
    std::vector<std::unique_ptr<ModelWorker>> m_workers;
    std::vector<std::unique_ptr<Node>> m_nodes;
    Jobs::JobTable m_table;
    Jobs::FencingToken m_epoch = 0;
    std::int64_t m_term = -1;
    std::int64_t m_lastSignMs = 0;
    std::map<Jobs::TaskName, TaskHistory> m_history;
    /// Those of which a worker has begun a task, and those with a start that wasn't answered.
    std::set<Jobs::JobId> m_mayHaveBegun;
    int m_submitted = 0;
    double m_stretch = Jobs::Queue().stretch;
    std::string m_violation;
};
