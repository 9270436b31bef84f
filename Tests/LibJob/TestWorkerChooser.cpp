#include <LibJob/WorkerChooser.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <limits>
#include <memory>

using namespace Jobs;
using std::chrono::milliseconds;

namespace {

constexpr ImageIndex imageCount = 3;
constexpr Core::Instant now { milliseconds(5000) };

int below(int count)
{
    return *rc::gen::inRange(0, count);
}

/// A step from a small range, so that many workers have the same cost.
StepSpec anyStep()
{
    StepSpec step;
    step.need = { 500 * (1 + below(4)), 1000 * below(4), below(2) };
    step.isBestEffort = below(2) == 0;
    step.isLongRunning = !step.isBestEffort;
    step.tailTargetMs = step.isLongRunning ? 20 * below(2) : 0;
    step.maxPerWorker = below(3);
    step.requiredLabel = below(4) == 0 ? "label" : "";
    step.dataRack = below(3) == 0 ? "rack" : "";
    return step;
}

/// Workers in a random state, and the task that a worker is chosen for.
class RandomSite
{
public:
    explicit RandomSite(int workerCount)
    {
        for (int i = 0; i < workerCount; ++i)
            m_workers.push_back(worker(i));
        for (std::size_t i = 0; i < m_workers.size(); ++i)
            m_workers[i]->setListed(i);
        JobEntry entry;
        entry.submission.id = JobId("job");
        m_job = std::make_unique<OwnedJob>(entry);
        m_job->setDurableWorkers({ m_job->id(), { Core::VmId("0"), Core::VmId("2") } });
    }

    void changeSomething()
    {
        WorkerState &worker = *m_workers[*rc::gen::inRange<std::size_t>(0, m_workers.size())];
        switch (below(8)) {
        case 0:
            return worker.setServingUtilization(0.25 * below(5));
        case 1:
            return worker.setUnlisted();
        case 2:
            return worker.setListed(worker.listPosition());
        case 3:
            return worker.update(info(static_cast<int>(worker.listPosition())));
        case 4:
            if (!m_runs.empty())
                removeRun();
            return;
        default:
            addRun(worker);
        }
    }

    PlacementRequest anyRequest(const StepSpec &step) const
    {
        PlacementRequest request;
        request.job = m_job.get();
        request.step = &step;
        request.image = static_cast<ImageIndex>(below(imageCount));
        request.task = { m_job->id(), 0, below(2), 1000 };
        request.service = service(below(2));
        request.failedOn = Core::VmId(std::to_string(below(4)));
        request.requiresDurableWorker = below(8) == 0;
        request.mayExceedTargets = below(2) == 0;
        request.provenAt = now;
        request.outOfService = &m_outOfService;
        request.now = now;
        return request;
    }

    WorkerState *choose(const PlacementRequest &request) { return m_chooser.choose(request); }

    /// True if the index equals one that is made anew.
    bool isIndexCurrent() const
    {
        CapacityIndex fresh;
        for (WorkerState *worker : listed())
            fresh.onWorkerChanged(*worker);
        for (const int number : { 0, 1 }) {
            for (const bool isBestEffort : { false, true }) {
                if (m_index.order(service(number), isBestEffort)
                    != fresh.order(service(number), isBestEffort))
                    return false;
            }
        }
        return true;
    }

    WorkerState *chooseByFullScan(const PlacementRequest &request) const
    {
        WorkerState *best = nullptr;
        double leastCost = std::numeric_limits<double>::max();
        for (WorkerState *worker : listed()) {
            if (m_chooser.unsuitability(*worker, request) != Unsuitability::None)
                continue;
            const double cost = m_chooser.cost(*worker, request);
            if (cost < leastCost) {
                leastCost = cost;
                best = worker;
            }
        }
        return best;
    }

private:
    struct Run
    {
        WorkerState *worker = nullptr;
        TaskName task;
        StepSpec step;
        ImageIndex image = 0;
    };

    static ServiceId service(int number) { return ServiceId("service-" + std::to_string(number)); }

    static WorkerInfo info(int number)
    {
        WorkerInfo info;
        info.id = Core::VmId(std::to_string(number));
        info.service = service(below(4) == 0 ? 1 : 0);
        info.failureDomain = Core::FailureDomainId(std::to_string(below(4)));
        info.isDraining = below(8) == 0;
        info.capacity = { 3000, 4000 * (1 + below(3)), below(3) };
        if (below(2) == 0)
            info.labels = { "label", "rack" };
        return info;
    }

    std::unique_ptr<WorkerState> worker(int number)
    {
        auto worker = std::make_unique<WorkerState>(info(number), SchedulerSettings(), 0);
        worker->observeCapacity(m_index);
        worker->setReconciled(below(8) != 0);
        worker->readClock(1, now);
        if (below(8) == 0)
            worker->noteRefusal(now);
        return worker;
    }

    void addRun(WorkerState &worker)
    {
        const TaskName task { m_job->id(), 0, below(2), static_cast<int>(m_runs.size()) };
        const Run run { &worker, task, anyStep(), static_cast<ImageIndex>(below(imageCount)) };
        if (!run.step.need.fitsIn(worker.freeResources()))
            return;
        worker.addRun(run.task, run.step, run.image);
        if (run.step.isBestEffort && below(2) == 0)
            worker.noteThrottle(run.step, 100, 50);
        m_runs.push_back(run);
    }

    void removeRun()
    {
        const Run run = m_runs.back();
        m_runs.pop_back();
        run.worker->removeRun(run.task, run.step, run.image);
    }

    std::vector<WorkerState *> listed() const
    {
        std::vector<WorkerState *> listed;
        for (const auto &worker : m_workers) {
            if (worker->isListed())
                listed.push_back(worker.get());
        }
        return listed;
    }

    SlowdownModel m_slowdownModel;
    CapacityReservations m_reservations;
    CapacityIndex m_index;
    WorkerChooser m_chooser { m_slowdownModel, m_reservations, m_index };
    std::vector<std::unique_ptr<WorkerState>> m_workers;
    std::vector<Run> m_runs;
    std::unique_ptr<OwnedJob> m_job;
    std::set<Core::FailureDomainId> m_outOfService { Core::FailureDomainId("3") };
};

} // namespace

TEST_CASE("No task goes to another worker than a look at all workers would choose, ties included")
{
    rc::prop("the choice equals that of a full scan", [] {
        RandomSite site(1 + below(24));
        const int changes = below(200);
        for (int i = 0; i < changes; ++i) {
            site.changeSomething();
            RC_ASSERT(site.isIndexCurrent());
            const StepSpec step = anyStep();
            const PlacementRequest request = site.anyRequest(step);
            RC_ASSERT(site.choose(request) == site.chooseByFullScan(request));
        }
    });
}

namespace {

/// One worker with 4,000 thousandths of a core, and the request of an interrupted long-running task
/// that needs 2,500.
class OneWorker
{
public:
    OneWorker()
        : m_worker(workerInfo(), SchedulerSettings(), 0)
        , m_job(JobEntry())
    {
        m_worker.setReconciled(true);
        m_worker.readClock(1, now);
        m_worker.observeCapacity(m_index);
        m_worker.setListed(0);
        longRunning.need = { 2500, 100, 0 };
        longRunning.isLongRunning = true;
        request.job = &m_job;
        request.step = &longRunning;
        request.task = { JobId("job"), 0, 0, 1 };
        request.service = ServiceId("service");
        request.outOfService = &m_outOfService;
        request.now = now;
        request.provenAt = now;
        request.isOverdue = true;
    }

    WorkerState &worker() { return m_worker; }
    CapacityReservations &reservations() { return m_reservations; }
    const WorkerChooser &chooser() const { return m_chooser; }
    bool isChosen() const { return m_chooser.choose(request) != nullptr; }
    /// True if a short task of 1,000 thousandths of a core gets the worker.
    bool isChosenForShort() const
    {
        StepSpec step;
        step.need = { 1000, 100, 0 };
        PlacementRequest other = request;
        other.step = &step;
        other.task = { JobId("short"), 0, 0, 0 };
        other.isOverdue = false;
        return m_chooser.choose(other) != nullptr;
    }
    void addShortRun(std::int64_t milliCores)
    {
        StepSpec step;
        step.need = { milliCores, 100, 0 };
        m_worker.addRun({ JobId("running"), 0, 0, 0 }, step, 0);
    }

    StepSpec longRunning;
    PlacementRequest request;

private:
    static WorkerInfo workerInfo()
    {
        WorkerInfo info;
        info.id = Core::VmId("worker");
        info.service = ServiceId("service");
        info.capacity = { 4000, 8000, 0 };
        return info;
    }

    SlowdownModel m_slowdownModel;
    CapacityReservations m_reservations;
    CapacityIndex m_index;
    WorkerChooser m_chooser { m_slowdownModel, m_reservations, m_index };
    WorkerState m_worker;
    OwnedJob m_job;
    std::set<Core::FailureDomainId> m_outOfService;
};

} // namespace

TEST_CASE("An overdue task starts on a worker that has failed another task")
{
    OneWorker site;
    site.worker().noteTaskFailed(now);
    CHECK(site.isChosen());
    CHECK_FALSE(site.isChosenForShort());

    SECTION("but not if it isn't overdue")
    {
        site.request.isOverdue = false;
        CHECK_FALSE(site.isChosen());
    }
    SECTION("but not if it has failed there itself")
    {
        site.request.failedOn = site.worker().info().id;
        CHECK_FALSE(site.isChosen());
    }
    SECTION("but not if the worker has refused a start")
    {
        site.worker().noteRefusal(now);
        CHECK_FALSE(site.isChosen());
        site.request.now += SchedulerSettings().failureBackoff;
        CHECK(site.isChosen());
    }
    SECTION("and, on one that has failed several in a row, only one such task at a time")
    {
        site.worker().noteTaskFailed(now);
        CHECK(site.isChosen());
        site.addShortRun(100);
        CHECK_FALSE(site.isChosen());
        site.worker().noteSurvivedStart({ JobId("running"), 0, 0, 0 });
        CHECK(site.isChosen());
    }
}

TEST_CASE("What is reserved for an interrupted task")
{
    OneWorker site;
    site.addShortRun(2000);
    site.reservations().limitFor(1);
    REQUIRE(site.chooser().chooseToReserve({ &site.worker() }, site.request) == &site.worker());
    site.reservations().reserve(site.request.task, site.longRunning.need, site.worker());
    REQUIRE_FALSE(site.isChosen());

    SECTION("goes to no short task, although that would fit")
    {
        CHECK_FALSE(site.isChosenForShort());
        site.reservations().release(site.request.task);
        CHECK(site.isChosenForShort());
    }
    SECTION("goes to another overdue task that can start at once")
    {
        site.longRunning.need.milliCores = 1500;
        site.request.task = { JobId("other"), 0, 0, 0 };
        CHECK(site.isChosen());
        site.request.isOverdue = false;
        CHECK_FALSE(site.isChosen());
    }
    SECTION("is used once the short tasks have left it")
    {
        StepSpec step;
        step.need = { 2000, 100, 0 };
        site.worker().removeRun({ JobId("running"), 0, 0, 0 }, step, 0);
        CHECK(site.isChosen());
        CHECK(site.isChosenForShort());
    }
    SECTION("is useless once long-running tasks take the rest")
    {
        CHECK(site.chooser().isReservationUseful(site.worker(), site.request));
        site.worker().addRun({ JobId("other"), 0, 0, 0 }, site.longRunning, 0);
        CHECK_FALSE(site.chooser().isReservationUseful(site.worker(), site.request));
    }
}

TEST_CASE(
    "A full worker that runs as many tasks of a step as it may isn't reserved for another one")
{
    const SlowdownModel slowdownModel;
    const CapacityReservations reservations;
    const CapacityIndex index;
    const WorkerChooser chooser(slowdownModel, reservations, index);
    WorkerInfo info;
    info.id = Core::VmId("worker");
    info.service = ServiceId("service");
    info.capacity = { 4000, 8000, 0 };
    WorkerState worker(info, SchedulerSettings(), 0);
    worker.setReconciled(true);
    worker.readClock(1, now);
    StepSpec step;
    step.need = { 2500, 100, 0 };
    step.isLongRunning = true;
    step.maxPerWorker = 1;
    worker.addRun({ JobId("job"), 0, 0, 0 }, step, 0);
    const OwnedJob job { JobEntry() };
    const std::set<Core::FailureDomainId> outOfService;
    PlacementRequest request;
    request.job = &job;
    request.step = &step;
    request.task = { JobId("job"), 0, 0, 1 };
    request.service = info.service;
    request.outOfService = &outOfService;
    request.now = now;
    request.provenAt = now;

    CHECK(chooser.chooseToReserve({ &worker }, request) == nullptr);
}
