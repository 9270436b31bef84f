#include <LibJob/PlanningPass.h>

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace Jobs;

namespace {

constexpr Core::Instant now { std::chrono::seconds(100) };

/// Jobs of one task, and the order in which a pass comes to them.
class Pass
{
public:
    WaitingStep waiting(const std::string &id, int priority)
    {
        JobEntry entry;
        entry.submission.id = JobId(id);
        entry.submission.spec.steps.resize(1);
        m_jobs.push_back(std::make_unique<OwnedJob>(entry));
        m_jobs.back()->beginOccurrence(0);
        WaitingStep step;
        step.rank.priority = priority;
        step.job = m_jobs.back().get();
        return step;
    }

    /// A long-running step of low priority whose task was last known to run at \p awaySince.
    WaitingStep interrupted(const std::string &id, Core::Instant awaySince)
    {
        constexpr int lowPriority = 9;
        JobEntry entry;
        entry.submission.id = JobId(id);
        entry.submission.spec.steps.resize(1);
        entry.submission.spec.steps.front().isLongRunning = true;
        m_jobs.push_back(std::make_unique<OwnedJob>(entry));
        m_jobs.back()->beginOccurrence(0);
        m_jobs.back()->findTask({ JobId(id), 0, 0, 0 })->awaySince = awaySince;
        WaitingStep step;
        step.rank.priority = lowPriority;
        step.job = m_jobs.back().get();
        return step;
    }

    const OwnedJob *job(const std::string &id) const
    {
        for (const auto &job : m_jobs) {
            if (job->id() == JobId(id))
                return job.get();
        }
        return nullptr;
    }

    static std::string rest(PlanningPass pass)
    {
        std::string ids;
        for (; !pass.isOver(); pass.advance())
            ids += pass.next().job ? pass.next().job->id().text() : "-";
        return ids;
    }

private:
    std::vector<std::unique_ptr<OwnedJob>> m_jobs;
};

} // namespace

TEST_CASE("A pass comes to the waiting steps in the order of their ranks")
{
    Pass jobs;
    PlanningPass pass({ jobs.waiting("b", 1), jobs.waiting("c", 2), jobs.waiting("a", 1) }, now);
    CHECK(Pass::rest(pass) == "abc");

    SECTION("with those that join behind those that were planned")
    {
        pass.advance();
        pass.join(jobs.waiting("0", 0));
        CHECK(Pass::rest(pass) == "0bc");
    }
    SECTION("without a job that is deleted")
    {
        const WaitingStep leaving = jobs.waiting("d", 3);
        pass.join(leaving);
        pass.leave(*leaving.job);
        CHECK(Pass::rest(pass) == "abc-");
    }
}

TEST_CASE("Two large jobs of each priority come before the others of it")
{
    Pass jobs;
    std::vector<WaitingStep> steps { jobs.waiting("a", 1), jobs.waiting("b", 0) };
    for (const char *id : { "x", "y", "z" }) {
        steps.push_back(jobs.waiting(id, 1));
        steps.back().isLarge = true;
    }
    const PlanningPass pass(std::move(steps), now);
    CHECK(Pass::rest(pass) == "bxyaz");
}

TEST_CASE(
    "Interrupted long-running steps come first, those that are away for the longest time before "
    "others")
{
    Pass jobs;
    std::vector<WaitingStep> steps { jobs.waiting("a", 0) };
    const std::vector<std::pair<const char *, int>> awayMs {
        { "b", 3000 }, { "c", 9000 }, { "d", 2000 }, { "e", 6000 }
    };
    for (const auto &[id, ms] : awayMs)
        steps.push_back(jobs.interrupted(id, now - std::chrono::milliseconds(ms)));
    const PlanningPass pass(std::move(steps), now);
    CHECK(Pass::rest(pass) == "cebabcde");
}

TEST_CASE("A pass has come to an interrupted step, which may be planned once more")
{
    Pass jobs;
    const WaitingStep interrupted = jobs.interrupted("a", now - std::chrono::seconds(5));
    PlanningPass pass({ interrupted, jobs.waiting("b", 0) }, now);
    CHECK(pass.passedOverdue().empty());
    pass.advance();
    REQUIRE(pass.passedOverdue().size() == 1);
    CHECK(pass.passedOverdue().front().job == interrupted.job);

    SECTION("Not once its job is about to be deleted")
    {
        pass.leave(*interrupted.job);
        CHECK(pass.passedOverdue().empty());
        CHECK(Pass::rest(pass) == "b-");
    }
}

TEST_CASE("A step that doesn't wait any more is told")
{
    Pass jobs;
    const WaitingStep waiting = jobs.waiting("a", 0);
    CHECK(waiting.isStillWaiting());
    waiting.job->markTaskDone({ JobId("a"), 0, 0, 0 }, 1);
    CHECK_FALSE(waiting.isStillWaiting());
    CHECK_FALSE(WaitingStep().isStillWaiting());
}

TEST_CASE("A pass skips what needs at least as much as a task that found no worker")
{
    const Demand half { ServiceId("service"), { 500, 100, 0 }, false, false, 0 };
    Demand other = half;
    PlanningPass pass;
    CHECK_FALSE(pass.isRejected(half));
    pass.reject(half);
    CHECK(pass.isRejected(half));

    SECTION("more of anything")
    {
        other.need.mebibytes = 101;
    }
    CHECK(pass.isRejected(other));

    SECTION("but not less")
    {
        other.need.milliCores = 499;
        CHECK_FALSE(pass.isRejected(other));
    }
    SECTION("nor for another service")
    {
        other.service = ServiceId("other");
        CHECK_FALSE(pass.isRejected(other));
    }
    SECTION("nor what may exceed the targets of others")
    {
        other.mayExceedTargets = true;
        CHECK_FALSE(pass.isRejected(other));
    }
    SECTION("nor best-effort tasks, nor those of another image")
    {
        other.isBestEffort = true;
        CHECK_FALSE(pass.isRejected(other));
    }
}

TEST_CASE("Large jobs of customers in excess or above their share don't take the places of others")
{
    // Guards against places of large jobs that are counted by priority alone.
    Pass jobs;
    std::vector<WaitingStep> steps;
    for (const char *id : { "e", "f", "g", "h", "y", "z" }) {
        steps.push_back(jobs.waiting(id, 1));
        steps.back().isLarge = true;
        steps.back().rank.isInExcess = *id == 'e' || *id == 'f';
        steps.back().rank.isAboveShare = *id == 'g' || *id == 'h';
        // The due time decides between large jobs only.
        steps.back().rank.dueAt = now + std::chrono::seconds(*id);
    }
    steps.push_back(jobs.waiting("a", 1));
    PlanningPass pass(steps, now);
    CHECK(Pass::rest(pass) == "yzaghef");
}

TEST_CASE("A joining step comes before the large jobs of customers that come after its own")
{
    // Guards against large jobs in excess that no later step of the same priority may overtake.
    Pass jobs;
    WaitingStep excess = jobs.waiting("e", 1);
    excess.rank.isInExcess = true;
    excess.isLarge = true;
    WaitingStep above = jobs.waiting("f", 2);
    above.rank.isAboveShare = true;
    above.isLarge = true;
    WaitingStep large = jobs.waiting("g", 2);
    large.isLarge = true;
    PlanningPass pass({ excess, above, large }, now);
    CHECK(Pass::rest(pass) == "gfe");
    pass.join(jobs.waiting("a", 2));
    CHECK(Pass::rest(pass) == "gafe");
    pass.join(jobs.waiting("b", 3));
    CHECK(Pass::rest(pass) == "gafbe");
}

TEST_CASE("An overdue step of a job in excess and above the share comes first")
{
    // Guards against an order by customer that moves overdue steps.
    Pass jobs;
    WaitingStep overdue = jobs.interrupted("z", now - std::chrono::seconds(60));
    overdue.rank.isInExcess = true;
    overdue.rank.isAboveShare = true;
    PlanningPass pass({ jobs.waiting("a", 0), overdue }, now);
    CHECK(Pass::rest(pass) == "zaz");
}

TEST_CASE("A postponed step comes behind those of its priority within their shares")
{
    Pass jobs;
    PlanningPass pass(
        { jobs.waiting("a", 1), jobs.waiting("b", 1), jobs.waiting("c", 1), jobs.waiting("d", 2) },
        now);
    // Guards against a postponed step that is lost, comes too late, or comes twice.
    pass.postponeAboveShare();
    CHECK(Pass::rest(pass) == "bcad");
    pass.postponeAboveShare();
    CHECK(Pass::rest(pass) == "cabd");

    SECTION("and before a step of its kind that joins with a higher rank")
    {
        WaitingStep above = jobs.waiting("e", 1);
        above.rank.isAboveShare = true;
        pass.join(above);
        CHECK(Pass::rest(pass) == "cabed");
        pass.join(jobs.waiting("f", 1));
        CHECK(Pass::rest(pass) == "cfabed");
    }
    SECTION("and is skipped once its job is deleted")
    {
        pass.leave(*jobs.job("a"));
        CHECK(Pass::rest(pass) == "-cbd");
        pass.advance();
        pass.postponeAboveShare();
        CHECK(Pass::rest(pass) == "bcd");
    }
    SECTION("and may be the last one of the pass")
    {
        for (const char *id : { "c", "a", "b" }) {
            CHECK(pass.next().job->id().text() == id);
            pass.advance();
        }
        pass.postponeAboveShare();
        CHECK_FALSE(pass.isOver());
        CHECK(Pass::rest(pass) == "d");
        pass.advance();
        CHECK(pass.isOver());
    }
}

TEST_CASE("A large job that is postponed comes behind the large ones above their share")
{
    // Guards against a postponed job that is put first although the pass has chosen others.
    Pass jobs;
    WaitingStep large = jobs.waiting("a", 1);
    large.isLarge = true;
    WaitingStep above = jobs.waiting("b", 1);
    above.rank.isAboveShare = true;
    above.isLarge = true;
    PlanningPass pass({ large, above, jobs.waiting("c", 1) }, now);
    pass.postponeAboveShare();
    CHECK(Pass::rest(pass) == "cba");
}

TEST_CASE("Thousands of steps of one customer are postponed once each, in their order")
{
    // Guards against a pass that postpones without end.
    constexpr int count = 5000;
    Pass jobs;
    std::vector<WaitingStep> steps;
    std::string order;
    for (int i = 0; i < count; ++i) {
        const std::string id = std::to_string(10'000 + i);
        steps.push_back(jobs.waiting(id, i / 1000));
        order += id;
    }
    PlanningPass pass(steps, now);
    std::string planned;
    int postponed = 0;
    while (!pass.isOver() && postponed <= count) {
        if (!pass.next().rank.isAboveShare) {
            ++postponed;
            pass.postponeAboveShare();
            continue;
        }
        planned += pass.next().job->id().text();
        pass.advance();
    }
    CHECK(postponed == count);
    CHECK(planned == order);
}
