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
