#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace Jobs;

namespace {

constexpr int urgent = 0;
constexpr int batch = 5;

/// Two workers with room for four tasks of 1000 each.
class Site
{
public:
    explicit Site(const std::map<std::string, double> &weights, std::int64_t term = 1)
        : fixture({ term, 0, Core::Instant() })
    {
        if (!weights.empty())
            fixture.setWeights(weights);
    }

    void reportIdle()
    {
        fixture.report(SchedulerFixture::first, {});
        fixture.report(SchedulerFixture::second, {});
    }

    /// The jobs of the tasks that start in the next two seconds, sorted: one commit records all
    /// starts of a pass, and they are sent in the order of that.
    std::string starts()
    {
        std::vector<std::string> jobs;
        for (const StartCommand &start : fixture.runForTwoSeconds())
            jobs.push_back(start.task.job.text());
        std::sort(jobs.begin(), jobs.end());
        std::string ids;
        for (const std::string &job : jobs)
            ids += (ids.empty() ? "" : " ") + job;
        return ids;
    }

    bool hasWaitLine(const std::string &text) const
    {
        const auto &lines = fixture.waitLines();
        return std::any_of(lines.begin(), lines.end(), [&](const std::string &line) {
            return line.find(text) != std::string::npos;
        });
    }

    SchedulerFixture fixture;
};

StepSpec wide(int tasks, std::int64_t milliCores = 1000)
{
    return SchedulerFixture::step(tasks, milliCores);
}

std::ptrdiff_t countOf(const std::string &ids, const std::string &id)
{
    std::ptrdiff_t count = 0;
    for (std::size_t at = ids.find(id); at != std::string::npos; at = ids.find(id, at + 1))
        ++count;
    return count;
}

} // namespace

TEST_CASE("A busy customer within its rate leaves a small one its share")
{
    // Guards against a burst of earlier jobs that takes all workers before the later ones of
    // another customer.
    Site site({ { "busy", 16 }, { "small", 16 } });
    site.reportIdle();
    for (const char *id : { "b0", "b1", "b2", "b3", "b4", "b5", "b6", "b7", "b8", "b9" })
        site.fixture.submitFor("busy", wide(1), id);
    for (const char *id : { "s0", "s1", "s2", "s3" })
        site.fixture.submitFor("small", wide(1), id);
    CHECK(site.starts() == "b0 b1 b2 b3 b4 s0 s1 s2");
    CHECK(site.fixture.jobsInExcess().empty());

    // The next room is the small customer's: the busy one uses more than its half.
    site.fixture.endTask({ JobId("s0"), 0, 0, 0 }, EndKind::Done);
    site.fixture.reportAll(0);
    CHECK(site.starts() == "s3");
    CHECK(site.hasWaitLine("reason=customer-share customer=busy due_ms_ago="));
}

TEST_CASE("A wide step doesn't take all room before the steps of another customer")
{
    // Guards against steps that are planned whole although their first tasks exhaust the share.
    Site site({ { "busy", 16 }, { "small", 16 } });
    site.reportIdle();
    site.fixture.submitFor("busy", wide(12), "b");
    site.fixture.submitFor("small", wide(12), "s");
    const std::string starts = site.starts();
    CHECK(countOf(starts, "b") == 5);
    CHECK(countOf(starts, "s") == 3);
}

TEST_CASE("Jobs beyond a customer's rate come after those of others, whatever their priority")
{
    // Guards against a customer that gains by submitting all it has as urgent work.
    Site site({ { "busy", 1 }, { "small", 1 } });
    site.reportIdle();
    for (const char *id : { "b0", "b1", "b2", "b3", "b4", "b5" })
        site.fixture.submitFor("busy", wide(1, 2000), id, urgent);
    for (const char *id : { "s0", "s1" })
        site.fixture.submitFor("small", wide(1, 2000), id, batch);
    CHECK(site.starts() == "b0 b1 s0 s1");
    CHECK(site.fixture.jobsInExcess()
          == std::map<Core::CustomerId, int> { { Core::CustomerId("busy"), 4 } });
    CHECK(site.hasWaitLine("reason=customer-excess customer=busy due_ms_ago="));
    CHECK_FALSE(site.hasWaitLine("customer=small"));
}

TEST_CASE("The lines on waiting steps of one customer are bounded")
{
    // Guards against a log that a busy customer's thousands of waiting steps flood.
    Site site({ { "busy", 1 }, { "small", 1 } });
    site.reportIdle();
    site.fixture.submitFor("small", wide(8), "s");
    for (int i = 0; i < 200; ++i)
        site.fixture.submitFor("busy", wide(1), "b" + std::to_string(1000 + i));
    for (int i = 0; i < 5; ++i)
        site.starts();
    const auto &lines = site.fixture.waitLines();
    const auto ofBusy = std::count_if(lines.begin(), lines.end(), [](const std::string &line) {
        return line.find("customer=busy") != std::string::npos;
    });
    CHECK(ofBusy >= 5);
    CHECK(ofBusy <= 20);
}

TEST_CASE("Shares only order the steps of one priority")
{
    // Guards against batch work that starts before the urgent work of a customer above its share.
    Site site({ { "busy", 16 }, { "small", 16 } });
    site.reportIdle();
    for (const char *id : { "s0", "s1" })
        site.fixture.submitFor("small", wide(1, 2000), id, batch);
    for (const char *id : { "b0", "b1", "b2", "b3" })
        site.fixture.submitFor("busy", wide(1, 2000), id, urgent);
    CHECK(site.starts() == "b0 b1 b2 b3");
}

TEST_CASE("Urgent work of a small customer starts before the batch work of a busy one")
{
    // Guards against an order by customer that hides the priorities.
    // The busy customer's share is three of the four places, so the shares alone don't help.
    Site site({ { "busy", 48 }, { "small", 16 } });
    site.reportIdle();
    for (const char *id : { "b0", "b1", "b2", "b3" })
        site.fixture.submitFor("busy", wide(1, 2000), id, batch);
    for (const char *id : { "s0", "s1" })
        site.fixture.submitFor("small", wide(1, 2000), id, urgent);
    CHECK(site.starts() == "b0 b1 s0 s1");
}

TEST_CASE("Room that nobody else wants goes to a customer in excess and above its share")
{
    // Guards against an order that turns into a limit: capacity must not stay unused.
    Site site({ { "busy", 1 }, { "small", 1 } });
    site.reportIdle();
    for (const char *id : { "b0", "b1", "b2" })
        site.fixture.submitFor("busy", wide(3), id);
    site.fixture.submitFor("small", wide(1), "s");
    const std::string starts = site.starts();
    CHECK(countOf(starts, "b") == 7);
    CHECK(countOf(starts, "s") == 1);
}

TEST_CASE("An overdue interrupted task of a job in excess comes before the work of others")
{
    // Guards against a long-running task that stays away because of when its job was submitted.
    Site site({ { "busy", 1 }, { "small", 16 } });
    site.reportIdle();
    StepSpec longRunning = wide(1, 4000);
    longRunning.isLongRunning = true;
    // These take the tokens and fit no worker.
    for (const char *id : { "b0", "b1" })
        site.fixture.submitFor("busy", wide(1, 9000), id);
    site.fixture.submitFor("busy", longRunning, "long");
    REQUIRE(site.fixture.jobsInExcess().size() == 1);
    REQUIRE(site.starts() == "long");

    site.fixture.endTask({ JobId("long"), 0, 0, 0 }, EndKind::Stopped);
    for (const char *id : { "s0", "s1", "s2", "s3", "s4", "s5" })
        site.fixture.submitFor("small", wide(1, 4000), id);
    site.fixture.reportAll(0);
    CHECK(site.starts() == "s0 s1");
    site.fixture.reportAll(0);
    CHECK(site.starts().empty());
    site.fixture.endTask({ JobId("s0"), 0, 0, 0 }, EndKind::Done);
    site.fixture.reportAll(0);
    CHECK(site.starts() == "long");
}

TEST_CASE("The next owner decides which jobs are in excess as the former one did")
{
    // Guards against buckets that a takeover fills, or replays in the order of the jobs' IDs.
    Site former({ { "busy", 1 }, { "small", 1 } });
    for (const char *id : { "b5", "b4", "b3", "b2", "b1", "b0" }) {
        former.fixture.submitFor("busy", wide(1, 2000), id, urgent);
        former.fixture.plan();
    }
    for (const char *id : { "s0", "s1" })
        former.fixture.submitFor("small", wide(1, 2000), id, batch);
    REQUIRE(former.starts().empty());
    CHECK(former.fixture.jobsInExcess().at(Core::CustomerId("busy")) == 4);

    Site next({ { "busy", 1 }, { "small", 1 } }, 2);
    next.fixture.takeOver(former.fixture);
    next.reportIdle();
    CHECK(next.starts() == "b4 b5 s0 s1");
}

TEST_CASE("The next owner doesn't count the started jobs in excess again")
{
    // Guards against counters that jump with each takeover.
    Site former({ { "busy", 1 } });
    former.reportIdle();
    for (const char *id : { "b0", "b1", "b2" })
        former.fixture.submitFor("busy", wide(1), id);
    REQUIRE(former.starts() == "b0 b1 b2");
    CHECK(former.fixture.jobsInExcess().at(Core::CustomerId("busy")) == 1);

    Site next({ { "busy", 1 } }, 2);
    next.fixture.takeOver(former.fixture);
    CHECK(next.fixture.jobsInExcess().empty());
}

TEST_CASE("A VM whose clock is ahead doesn't put a customer's later jobs in excess")
{
    // Guards against a bucket that gets no token for the hour by which one VM's clock is ahead.
    constexpr std::int64_t hourMs = 3'600'000;
    Site site({ { "busy", 1 } });
    site.fixture.submitFor("busy", wide(1), "ahead", batch, hourMs);
    for (const char *id : { "b0", "b1", "b2" }) {
        site.starts();
        site.fixture.submitFor("busy", wide(1), id);
    }
    CHECK(site.fixture.jobsInExcess().empty());
}

TEST_CASE("Jobs without a customer start in the order that a site without customers has")
{
    // Guards against shares and rates that change anything where the operators name no customers.
    const std::string order = "a u0 u1 x y z";
    for (const bool hasCustomers : { false, true }) {
        Site site(hasCustomers ? std::map<std::string, double> { { "busy", 1 } }
                               : std::map<std::string, double>());
        site.reportIdle();
        for (const char *id : { "z", "y", "x", "w", "v" }) {
            site.fixture.submitFor("", wide(1, 1000), id, batch);
            site.fixture.plan();
        }
        CAPTURE(hasCustomers);
        site.fixture.submitFor("", wide(1, 100), "a", batch);
        site.fixture.submitFor("", wide(1, 2000), "u0", urgent);
        site.fixture.submitFor("", wide(1, 2000), "u1", urgent);
        CHECK(site.starts() == order);
        CHECK(site.fixture.jobsInExcess().empty());
        CHECK_FALSE(site.hasWaitLine("customer"));
    }
}
