#include "SiteFixture.h"

#include <LibJob/JobRecord.h>

#include <thread>

// The job of another customer is answered like one that doesn't exist, at every node and in every
// stage of the job's life.

namespace {

const Caller callerA { Core::CustomerId("a"), true };
const Caller callerB { Core::CustomerId("b"), true };
const Caller anonymousCaller { {}, true };
const Jobs::JobId jobOfA("j");

struct IsolationFixture : SiteFixture
{
    SubmitOutcome submit(TestNode &node, const Caller &caller, const std::string &id = "j")
    {
        return await(node.jobRequests.submit(job(id), deadlineIn(1000), caller));
    }
    FindOutcome find(TestNode &node, const Caller &caller, const std::string &id = "j")
    {
        return await(node.jobRequests.find(Jobs::JobId(id), deadlineIn(1000), caller)).outcome;
    }
    CancelOutcome cancel(TestNode &node, const Caller &caller, const std::string &id = "j")
    {
        return await(node.jobRequests.cancel(Jobs::JobId(id), deadlineIn(1000), caller));
    }
    /// The job of customer `a` looks to others as if it didn't exist, and to `a` as it does.
    void checkIsolated(TestNode &node)
    {
        const std::size_t records = log.history(Topic::Jobs).size();
        for (const Caller &other : { callerB, anonymousCaller }) {
            CHECK(find(node, other) == FindOutcome::NoSuchJob);
            CHECK(cancel(node, other) == CancelOutcome::NoSuchJob);
            CHECK(submit(node, other) == SubmitOutcome::Conflict);
        }
        CHECK(submit(node, callerA) == SubmitOutcome::Accepted);
        // Neither a refused call nor a repetition writes anything.
        CHECK(log.history(Topic::Jobs).size() == records);
        CHECK(find(node, callerA) == FindOutcome::Found);
        CHECK(node.state.table.customerOf(jobOfA) == callerA.customer);
    }
};

} // namespace

// Guards against a customer that reads, cancels or repeats another's job.
TEST_CASE("Only a job's customer sees it, at every node")
{
    IsolationFixture site;
    TestNode &first = site.addNode("one#1");
    TestNode &second = site.addNode("two#1");
    site.run(100);
    REQUIRE(site.submit(first, callerA) == SubmitOutcome::Accepted);

    SECTION("at the node that accepted it, and at one that follows the log")
    {
        REQUIRE(site.runUntil([&] { return second.jobRequests.isKnown(jobOfA); }));
        site.checkIsolated(first);
        site.checkIsolated(second);
    }
    SECTION("at once, at the same node and at one that hasn't read the submission yet")
    {
        const std::size_t records = site.log.history(Topic::Jobs).size();
        for (TestNode *node : { &first, &second })
            CHECK(site.submit(*node, callerB) == SubmitOutcome::Conflict);
        CHECK(site.log.history(Topic::Jobs).size() == records);
    }
    SECTION("at a node that starts later and reads the newest records only")
    {
        site.log.compact(Topic::Jobs);
        TestNode &late = site.addNode("three#1");
        site.run(200);
        site.checkIsolated(late);
    }
    SECTION("and only the customer cancels it")
    {
        REQUIRE(site.cancel(second, callerB) == CancelOutcome::NoSuchJob);
        CHECK(site.cancel(second, callerA) == CancelOutcome::Cancelled);
    }
}

// Guards against an owner that loses the customer with the submission, which it deletes when the
// job has ended.
TEST_CASE("Only a job's customer sees how it ended")
{
    IsolationFixture site;
    site.log.put(Topic::Workers, { "w1", "a" });
    TestNode &owner = site.addNode("one#1");
    site.startElection(owner);
    REQUIRE(site.runUntil([&] { return owner.state.owner != nullptr; }));
    REQUIRE(site.submit(owner, callerA) == SubmitOutcome::Accepted);
    REQUIRE(site.runUntil(
        [&] { return owner.state.table.findState(jobOfA) == Jobs::JobState::Completed; }));
    const auto isSubmissionDeleted = [&] {
        const std::vector<LoggedRecord> &history = site.log.history(Topic::Jobs);
        return std::any_of(history.begin(), history.end(), [](const LoggedRecord &logged) {
            return logged.record.key == "s/j" && logged.record.value.empty();
        });
    };
    REQUIRE(site.runUntil(isSubmissionDeleted));
    const auto checkEnded = [&site](TestNode &node) {
        CHECK(site.find(node, callerA) == FindOutcome::Found);
        for (const Caller &other : { callerB, anonymousCaller }) {
            CHECK(site.find(node, other) == FindOutcome::NoSuchJob);
            CHECK(site.cancel(node, other) == CancelOutcome::NoSuchJob);
            CHECK(site.submit(node, other) == SubmitOutcome::Conflict);
        }
        CHECK(site.submit(node, callerA) == SubmitOutcome::Accepted);
    };
    SECTION("at the owner")
    {
        checkEnded(owner);
    }
    SECTION("at a node that reads the newest records only")
    {
        site.log.compact(Topic::Jobs);
        TestNode &late = site.addNode("two#1");
        site.run(200);
        checkEnded(late);
    }
}

// Guards against jobs of anonymous queues and of former versions that nobody may read any more.
TEST_CASE("A job without a customer is open to every caller of the site")
{
    IsolationFixture site;
    TestNode &node = site.addNode("one#1");
    site.run(100);
    REQUIRE(site.submit(node, anonymousCaller) == SubmitOutcome::Accepted);
    REQUIRE(site.runUntil([&] { return node.jobRequests.isKnown(jobOfA); }));
    for (const Caller &caller : { callerA, callerB, anonymousCaller }) {
        CHECK(site.find(node, caller) == FindOutcome::Found);
        CHECK(site.submit(node, caller) == SubmitOutcome::Accepted);
    }
    CHECK(node.state.table.customerOf(jobOfA).isEmpty());
    CHECK(site.cancel(node, callerB) == CancelOutcome::Cancelled);
}

// Guards against a check that is made only on the copy from before the read: the read brings
// another customer's job.
TEST_CASE("A job that is read during a call is hidden from other customers")
{
    IsolationFixture site;
    TestNode &node = site.addNode("one#1");
    site.run(100);
    Jobs::Submission submission = job("j");
    submission.customer = callerA.customer;
    for (const Jobs::StoredRecord &record : Jobs::encodeRecord(submission))
        site.log.put(Topic::Jobs, record);
    REQUIRE_FALSE(node.jobRequests.isKnown(jobOfA));

    SECTION("from GET")
    {
        CHECK(site.find(node, callerB) == FindOutcome::NoSuchJob);
    }
    SECTION("from DELETE")
    {
        const std::size_t records = site.log.history(Topic::Jobs).size();
        CHECK(site.cancel(node, callerB) == CancelOutcome::NoSuchJob);
        CHECK(site.log.history(Topic::Jobs).size() == records);
    }
    SECTION("from POST, once the copy is too old to tell that the ID is free")
    {
        // The VM is suspended: time passes, but the node runs nothing.
        std::this_thread::sleep_for(milliseconds(2500));
        site.log.readAnswerMs = 50;
        REQUIRE_FALSE(node.state.tableFreshness.isCurrent(Core::suspendAwareNow()));
        const std::size_t records = site.log.history(Topic::Jobs).size();
        CHECK(site.submit(node, callerB) == SubmitOutcome::Conflict);
        CHECK(site.log.history(Topic::Jobs).size() == records);
    }
    SECTION("and is its own customer's")
    {
        CHECK(site.find(node, callerA) == FindOutcome::Found);
        CHECK(site.submit(node, callerA) == SubmitOutcome::Accepted);
    }
}

// Guards against a submission over another customer's job from a copy that can't be read anew.
TEST_CASE("A node with an old copy of the jobs that can't be read refuses a customer's new job")
{
    IsolationFixture site;
    TestNode &node = site.addNode("one#1");
    site.run(100);
    // The VM is suspended, so that it doesn't notice that reads fail.
    std::this_thread::sleep_for(milliseconds(2500));
    site.log.unreadableTopic = Topic::Jobs;
    REQUIRE(node.state.health.isReachable());
    REQUIRE_FALSE(node.state.tableFreshness.isCurrent(Core::suspendAwareNow()));
    const std::size_t records = site.log.history(Topic::Jobs).size();
    CHECK(site.submit(node, callerA) == SubmitOutcome::Refused);
    CHECK(site.log.history(Topic::Jobs).size() == records);
}

// Guards against a job that counts as nobody's while a node reads its first snapshot, in which the
// progress (p/) comes before the record that names the customer (q/).
TEST_CASE("A job whose progress alone has been read is shown to nobody")
{
    IsolationFixture site;
    TestNode &node = site.addNode("one#1");
    site.log.unreadableTopic = Topic::Jobs;
    site.run(100);
    REQUIRE_FALSE(node.state.tableFreshness.wasEverComplete());
    Jobs::ProgressRecord running;
    running.id = jobOfA;
    running.progress.state = Jobs::JobState::Running;
    node.state.table.apply(running);
    REQUIRE(node.jobRequests.isKnown(jobOfA));

    for (const Caller &caller : { callerA, callerB, anonymousCaller }) {
        CHECK(site.find(node, caller) == FindOutcome::Unavailable);
        CHECK(site.cancel(node, caller) == CancelOutcome::Refused);
        // Not refused, which would say that the job isn't stored.
        CHECK(site.submit(node, caller) == SubmitOutcome::Unknown);
    }
    // A site without customers is served as before.
    CHECK(site.find(node, Caller()) == FindOutcome::Found);

    Jobs::AcceptedJob accepted;
    accepted.id = jobOfA;
    accepted.customer = callerA.customer;
    node.state.table.apply(accepted);
    CHECK(site.find(node, callerA) == FindOutcome::Found);
    CHECK(site.find(node, callerB) == FindOutcome::NoSuchJob);
}
