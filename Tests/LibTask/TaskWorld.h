#pragma once

#include "FakeScheduler.h"
#include "FakeStream.h"
#include "FakeWorker.h"

#include <LibTask/DomainPlacer.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Task::Testing {

/// One thing that happens to the world; `a` and `b` choose among tasks, VMs and lengths.
struct Command
{
    enum class Kind {
        Submit,
        Cancel,
        Evict,
        Handover,
        PausePlacer,
        RestartPlacer,
        LogOutage,
        LogLosesAnswers,
        CutWorker,
        CutAnswers,
        RestartWorker,
        FailAttempt,
        DomainOut,
        DomainBack,
        WorkerLeaving,
        Wait,
        Last = Wait,
    };

    Kind kind = Kind::Wait;
    unsigned a = 0;
    unsigned b = 0;
};

/// How many entry VMs and workers a failure domain has; the first worker has the accelerator.
struct DomainShape
{
    std::string name;
    std::size_t nodes = 1;
    std::size_t workers = 1;
    Core::Resources capacity { 4000, 8000, 0 };
    /// With the product's scheduler in place of first fit; evictions by command do nothing then.
    bool isInformed = false;
};

/// Failure domains in virtual time, each with its stream, its workers and an oracle that gives the
/// lease to at most one entry VM at a time. An old holder isn't told; it must see by its deadline
/// or in the log that it is deposed. What fails by command fails in the first failure domain.
class TaskWorld
{
public:
    TaskWorld(unsigned seed, const PlacerGuards &guards, const TableGuards &tableGuards = {});
    TaskWorld(unsigned seed, const std::vector<DomainShape> &shapes, const PlacerGuards &guards,
              const TableGuards &tableGuards);
    ~TaskWorld();

    void run(const Command &command);
    void advance(Core::Duration length);
    /// Ends all faults and lets the work go on until all of it has ended or much time has passed.
    void heal();
    /// Adds to the violations what must hold after `heal`.
    void checkOutcome();

    void submit(const std::string &domain, TaskSpec spec);
    void requestCancel(const Core::TaskId &task);
    void evict(const Core::TaskId &task);
    void setDomainOut(const std::string &domain, bool isOut);
    void failLog(Core::Duration length) { m_logDownUntil = m_now + length; }
    void handOver(const std::string &domain);
    void restartHolder(const std::string &domain);
    const TaskEntry *entryOf(const Core::TaskId &task) const;
    std::string explain(const Core::TaskId &task) const;
    Core::Instant now() const { return m_now; }

    std::vector<std::string> violations;
    /// The submissions that were acknowledged to their callers, with their failure domains.
    std::map<Core::TaskId, std::string> acknowledged;
    /// How often attempts of a task began to run.
    std::map<Core::TaskId, int> starts;

private:
    /// One entry VM; a process on it is replaced by `restart`.
    struct Node
    {
        std::unique_ptr<DomainPlacer> placer;
        unsigned incarnation = 0;
        std::uint64_t nextOffset = 0;
        Core::Instant pausedUntil;
        std::deque<std::function<void()>> inbox;
        std::set<Core::VmId> heard;
    };
    struct Domain
    {
        std::string name;
        FakeStream stream;
        TestSchedulerFactory schedulers;
        std::vector<Node> nodes;
        std::vector<FakeWorker> workers;
        std::uint64_t epoch = 0;
        std::size_t holder = 0;
        Core::Instant leaseDeadline;
        bool isHolderSupported = true;
    };
    void addDomain(const DomainShape &shape);
    void bootNode(Domain &domain, Node &node);
    void tick();
    void tickLease(Domain &domain);
    void tickNode(Domain &domain, Node &node);
    void readLog(Domain &domain, Node &node);
    void pollNode(Domain &domain, Node &node);
    void at(Core::Instant when, std::function<void()> event);
    /// Runs \p event in the process \p node, when it isn't paused, if it still is the same process.
    void deliver(Node &node, unsigned incarnation, std::function<void()> event);

    void send(Domain &domain, Node &node, const AppendRecords &action);
    void send(Domain &domain, Node &node, const StartAttempt &action);
    void send(Domain &domain, Node &node, const StopAttempt &action);
    void send(Domain &domain, Node &node, const ThrottleAttempt &action);
    void send(Domain &domain, Node &node, const RenewWorker &action);
    void send(Domain &domain, Node &node, const AppendTransfer &action);
    void append(FakeStream &stream, std::vector<TaskRecord> records,
                const std::function<void(AppendOutcome)> &answer);
    void leaveProcess(Node &node, const std::function<void()> &departure);

    void checkStart(const Domain &domain, const FakeWorker &worker, const StartAttempt &action);
    void checkWorkers();
    void checkOwners();
    void violate(const std::string &what);

    FakeWorker *workerById(Domain &domain, const Core::VmId &id);
    Domain &domainOf(const std::string &name);
    Core::Duration random(Core::Duration most);
    Core::Duration flight();
    bool isCut(const std::map<Core::VmId, Core::Instant> &cuts, const Core::VmId &worker) const;
    Core::TaskId taskBy(unsigned number) const;

    PlacerGuards m_guards;
    TableGuards m_tableGuards;
    std::mt19937_64 m_random;
    Core::Instant m_now { std::chrono::hours(1) };
    std::multimap<Core::Instant, std::function<void()>> m_events;
    std::vector<std::unique_ptr<Domain>> m_domains;
    Rules::RuleSet m_rules;
    std::uint64_t m_rulesVersion = 1;
    std::map<Core::FailureDomainId, Core::Instant> m_outSince;
    std::map<Core::VmId, Core::Instant> m_leavingSince;
    Core::Instant m_logDownUntil;
    Core::Instant m_answersLostUntil;
    std::map<Core::VmId, Core::Instant> m_cutWorkers;
    std::map<Core::VmId, Core::Instant> m_cutAnswers;
    std::set<Core::TaskId> m_cancelRequested;
    /// How many attempts of a task have failed.
    std::map<Core::TaskId, int> m_failures;
    unsigned m_lastTask = 0;
};

} // namespace Task::Testing
