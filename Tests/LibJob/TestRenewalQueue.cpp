#include <LibJob/RenewalQueue.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <memory>

using namespace Jobs;
using std::chrono::milliseconds;

namespace {

using Workers = std::vector<std::unique_ptr<WorkerState>>;

Workers listedWorkers(int count, RenewalQueue &queue)
{
    Workers workers;
    for (int i = 0; i < count; ++i) {
        WorkerInfo info;
        info.id = Core::VmId("worker-" + std::to_string(i));
        workers.push_back(std::make_unique<WorkerState>(info, SchedulerSettings(), 0));
        workers.back()->observeRenewals(queue);
        workers.back()->setListed(static_cast<std::size_t>(i));
    }
    return workers;
}

void changeSomething(WorkerState &worker)
{
    const TaskName task { JobId("job"), 0, 0, *rc::gen::inRange(0, 2) };
    const Core::Instant now { milliseconds(*rc::gen::inRange(0, 20)) };
    const bool isSet = *rc::gen::arbitrary<bool>();
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
        return worker.addRun(task, StepSpec(), 0);
    case 1:
        return worker.removeRun(task, StepSpec(), 0);
    case 2:
        return worker.setNextRenewalAt(now);
    case 3:
        return worker.renewBy(now);
    case 4:
        return worker.setRenewing(isSet);
    case 5:
        return isSet ? worker.setListed(0) : worker.setUnlisted();
    case 6:
        return worker.setReconciled(isSet);
    default:
        return isSet ? worker.noteAnswer(now) : worker.markUnresponsive(now);
    }
}

/// The workers whose renewal is due, found by looking at each.
std::vector<WorkerState *> dueByFullScan(const Workers &workers, Core::Instant now)
{
    std::vector<WorkerState *> due;
    for (const auto &worker : workers) {
        if (worker->wantsRenewal() && worker->nextRenewalAt() <= now)
            due.push_back(worker.get());
    }
    return due;
}

} // namespace

TEST_CASE("No worker misses its renewal, and none is renewed too early, whatever has changed")
{
    rc::prop("the queue equals a full scan", [] {
        RenewalQueue queue;
        const Workers workers = listedWorkers(*rc::gen::inRange(1, 8), queue);
        const int changes = *rc::gen::inRange(0, 60);
        for (int i = 0; i < changes; ++i) {
            changeSomething(*workers[*rc::gen::inRange<std::size_t>(0, workers.size())]);
            const Core::Instant now { milliseconds(*rc::gen::inRange(0, 20)) };
            RC_ASSERT(queue.due(now) == dueByFullScan(workers, now));
            RC_ASSERT((queue.nextDueAt(Core::Instant::max()) <= now) == !queue.due(now).empty());
        }
    });
}
