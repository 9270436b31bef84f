#include "PlacerBench.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace Task;
using namespace Task::Testing;

namespace {

const Core::VmId firstWorker("w0");
const Core::TaskId task("t");

/// Has the attempt of "t" decided; its record is on its way to the log.
void plan(PlacerBench &bench)
{
    bench.hold();
    bench.poll();
    bench.answerRenewals();
    bench.settle();
    bench.submit("t");
    bench.poll();
}

AttemptReport reportOf(const AttemptId &attempt, AttemptPhase phase = AttemptPhase::Running,
                       const std::string &checkpoint = {})
{
    return { attempt, phase, {}, checkpoint, 1, {} };
}

struct Variant
{
    PlacerGuards guards;
    bool isNaive = false;
};

Variant variantWithout(bool PlacerGuards::*guard)
{
    const bool isNaive = GENERATE(false, true);
    Variant variant { {}, isNaive };
    variant.guards.*guard = !isNaive;
    return variant;
}

} // namespace

TEST_CASE("What is decided is looked at again before it is sent")
{
    SECTION("the failure domain is taken out while the record is on its way")
    {
        const Variant variant = variantWithout(&PlacerGuards::areRulesCheckedAtStart);
        PlacerBench bench(variant.guards);
        plan(bench);
        bench.rules.domainsOut[bench.domain] = { bench.domain, "the test" };
        bench.placer.setRules(bench.rules, 2);
        bench.answerAppend(AppendOutcome::Landed);
        bench.poll();
        CHECK(bench.take<StartAttempt>().size() == (variant.isNaive ? 1 : 0));
    }
    SECTION("the rules are no longer fresh")
    {
        const Variant variant = variantWithout(&PlacerGuards::areRulesCheckedAtStart);
        PlacerBench bench(variant.guards);
        plan(bench);
        bench.placer.setRulesFresh(false);
        bench.answerAppend(AppendOutcome::Landed);
        bench.poll();
        CHECK(bench.take<StartAttempt>().size() == (variant.isNaive ? 1 : 0));
    }
    SECTION("the worker is leaving")
    {
        const Variant variant = variantWithout(&PlacerGuards::isWorkerCheckedAtStart);
        PlacerBench bench(variant.guards);
        plan(bench);
        bench.workers[0].state = Platform::VmState::Leaving;
        bench.placer.setWorkers(bench.workers, bench.now);
        bench.answerAppend(AppendOutcome::Landed);
        bench.poll();
        const std::vector<StartAttempt> starts = bench.take<StartAttempt>();
        CHECK(starts.size() == (variant.isNaive ? 1 : 0));
        if (!variant.isNaive) {
            THEN("the attempt is given up and another is planned elsewhere")
            {
                const std::vector<TaskRecord> records = bench.answerAppend(AppendOutcome::Landed);
                CHECK(countOf<AttemptAbandoned>(records) == 1);
                bench.settle();
                bench.poll();
                const std::vector<StartAttempt> second = bench.take<StartAttempt>();
                REQUIRE(second.size() == 1);
                CHECK(second[0].worker == Core::VmId("w1"));
                CHECK(second[0].attempt.number == 2);
            }
        }
    }
    SECTION("the lease has lapsed while the process was paused")
    {
        const Variant variant = variantWithout(&PlacerGuards::isLeaseChecked);
        PlacerBench bench(variant.guards);
        plan(bench);
        bench.now += 10s;
        bench.answerAppend(AppendOutcome::Landed);
        bench.poll();
        CHECK(bench.take<StartAttempt>().size() == (variant.isNaive ? 1 : 0));
    }
    SECTION("all is as it was")
    {
        PlacerBench bench;
        plan(bench);
        bench.answerAppend(AppendOutcome::Landed);
        bench.poll();
        const std::vector<StartAttempt> starts = bench.take<StartAttempt>();
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].epoch == 1);
        CHECK(starts[0].notAfter <= bench.now + 10s);
        CHECK(bench.placer.explain(task) == "planned, attempt 1 on w0; may run on w0: first fit");
        bench.placer.onStartOutcome(starts[0].attempt, 1, StartOutcome::Done, bench.now);
        bench.now += 2s;
        bench.poll();
        bench.answerRenewals(firstWorker, { reportOf(starts[0].attempt) });
        CHECK(bench.placer.state(task) == TaskState::Running);
    }
}

TEST_CASE("A new holder asks the workers before it decides")
{
    SECTION("a planned attempt isn't there, but its start may be on its way")
    {
        const Variant variant = variantWithout(&PlacerGuards::isFlightAwaited);
        PlacerBench bench(variant.guards);
        bench.submit("t");
        bench.placer.onEpoch(bench.offset++, ++bench.epoch);
        bench.read(AttemptPlanned { { task, 1 }, firstWorker }, bench.epoch);
        bench.hold();
        bench.poll();
        bench.answerRenewals();
        bench.take<AppendRecords>();
        bench.poll();
        CHECK(bench.placer.explain(task).starts_with("planned, attempt 1 on w0; may run")
              == !variant.isNaive);
        if (!variant.isNaive) {
            THEN("a later report without it proves that it doesn't run")
            {
                bench.now += 2s;
                bench.poll();
                bench.answerRenewals();
                CHECK_FALSE(
                    bench.placer.explain(task).starts_with("planned, attempt 1 on w0; may"));
            }
        }
    }
    SECTION("a worker runs something that no record accounts for")
    {
        const Variant variant = variantWithout(&PlacerGuards::isUnknownAttemptCounted);
        PlacerBench bench(variant.guards);
        const AttemptId stray { Core::TaskId("stray"), 1 };
        bench.hold();
        bench.poll();
        bench.answerRenewals(firstWorker, { reportOf(stray) });
        bench.settle();
        const std::vector<StopAttempt> stops = bench.take<StopAttempt>();
        REQUIRE(stops.size() == 1);
        CHECK(stops[0].attempt == stray);
        bench.submit("t");
        const std::vector<TaskRecord> records = bench.settle();
        REQUIRE(countOf<AttemptPlanned>(records) == 1);
        const auto planned = std::ranges::find_if(records, [](const TaskRecord &record) {
            return std::holds_alternative<AttemptPlanned>(record.body);
        });
        const bool isOnFirst = std::get<AttemptPlanned>(planned->body).worker == firstWorker;
        CHECK(isOnFirst == variant.isNaive);
    }
}

TEST_CASE("In a log outage nothing starts, and what runs goes on")
{
    PlacerBench bench;
    plan(bench);
    bench.answerAppend(AppendOutcome::Landed);
    bench.poll();
    const AttemptId attempt = bench.take<StartAttempt>().at(0).attempt;
    bench.placer.onStartOutcome(attempt, 1, StartOutcome::Done, bench.now);
    bench.submit("u");
    std::size_t renewals = 0;
    for (int second = 0; second < 60; ++second) {
        bench.now += 1s;
        bench.placer.extendLease(bench.now + 10s);
        bench.poll();
        bench.answerAppend(second % 2 == 0 ? AppendOutcome::NotLanded : AppendOutcome::Unknown);
        for (const RenewWorker &renewal : bench.take<RenewWorker>()) {
            const bool isFirst = renewal.worker == firstWorker;
            renewals += isFirst && renewal.attempts == std::vector { attempt } ? 1 : 0;
            const std::vector<AttemptReport> reports { reportOf(attempt) };
            bench.placer.onWorkerReport(renewal.worker, renewal.number,
                                        isFirst ? reports : std::vector<AttemptReport> {},
                                        bench.now);
        }
        CHECK(bench.take<StartAttempt>().empty());
    }
    CHECK(renewals >= 29);
    SECTION("when the log is back, what was decided starts")
    {
        bench.now += 1s;
        bench.settle();
        bench.poll();
        CHECK(bench.take<StartAttempt>().size() == 1);
    }
}

TEST_CASE("A wave of cancellations costs one record each and few appends")
{
    constexpr int wave = 500;
    PlacerBench bench;
    bench.hold();
    bench.settle();
    for (int index = 0; index < wave; ++index)
        bench.submit("t" + std::to_string(index));
    for (int index = 0; index < wave; ++index)
        bench.read(CancelRequested { Core::TaskId("t" + std::to_string(index)) });
    std::size_t records = 0;
    for (int append = 0; append < 2; ++append)
        records += countOf<Cancelled>(bench.settle());
    CHECK(records == wave);
    for (const auto &[id, entry] : bench.placer.table().entries())
        CHECK(entry.state == TaskState::Cancelled);
}

TEST_CASE("A failure domain that is taken out hands its work over")
{
    PlacerBench bench;
    plan(bench);
    bench.answerAppend(AppendOutcome::Landed);
    bench.poll();
    const AttemptId attempt = bench.take<StartAttempt>().at(0).attempt;
    bench.placer.onStartOutcome(attempt, 1, StartOutcome::Done, bench.now);
    bench.placer.setPeerDomains({ { Core::FailureDomainId("b"), { 5000, 5000, 0 }, true } });
    for (int index = 0; index < 9; ++index)
        bench.submit("u" + std::to_string(index), 4000);
    bench.now += 2s;
    bench.rules.domainsOut[bench.domain] = { bench.domain, "the test" };
    bench.placer.setRules(bench.rules, 2);

    SECTION("no more leaves than the other failure domain can take")
    {
        const std::vector<TaskRecord> records = bench.settle();
        CHECK(countOf<TransferOut>(records) == 1);
        bench.now += 1s;
        bench.placer.setPeerDomains({ { Core::FailureDomainId("b"), { 8000, 5000, 0 }, true } });
        CHECK(countOf<TransferOut>(bench.settle()) >= 1);
    }
    SECTION("a running task leaves only when its stop is proven")
    {
        bench.placer.setPeerDomains({ { Core::FailureDomainId("b"), { 99000, 99000, 0 }, true } });
        bench.settle();
        CHECK(bench.take<StopAttempt>().at(0).mode == Platform::StopMode::Checkpoint);
        CHECK(bench.placer.table().find(task)->state == TaskState::Planned);
        bench.answerRenewals(firstWorker, { reportOf(attempt, AttemptPhase::Stopped, "half") });
        bench.settle();
        CHECK(bench.placer.table().find(task)->state == TaskState::Transferred);
        bench.poll();
        std::vector<AppendTransfer> transfers = bench.take<AppendTransfer>();
        std::erase_if(transfers, [](const AppendTransfer &one) { return one.task != task; });
        REQUIRE(transfers.size() == 1);
        const auto submitted = std::get<Submitted>(transfers[0].record.body);
        CHECK(submitted.checkpoint == "half");
        CHECK(submitted.transferNumber == 1);
        THEN("it is repeated until it is known to have landed")
        {
            bench.placer.onTransferOutcome(task, 1, AppendOutcome::Unknown, bench.now);
            bench.now += 1s;
            bench.poll();
            CHECK(bench.take<AppendTransfer>().at(0).record == transfers[0].record);
            bench.placer.onTransferOutcome(task, 1, AppendOutcome::Landed, bench.now);
            CHECK(countOf<TransferDone>(bench.settle()) == 1);
            CHECK_FALSE(bench.placer.table().find(task)->isTransferPending);
        }
    }
}
