#include "ForwardingSite.h"

/// Guards against connections between nodes, or other appends than before, while the store is fast.
TEST_CASE("While the store is fast, nodes append by themselves")
{
    ForwardingSite site;
    for (int i = 0; i < 20; ++i)
        REQUIRE(site.submit("j" + std::to_string(i)) == SubmitOutcome::Accepted);
    CHECK(site.peers.calls == 0);
    CHECK(site.other.link.appends == 20);
}

/// Guards against each node filling the queue of a slow store with appends of its own.
TEST_CASE("After a slow append a node gives its records to the owner until that reports a fast one")
{
    ForwardingSite site;
    site.makeSlow();
    CHECK(site.submit("a") == SubmitOutcome::Accepted);
    CHECK(site.peers.calls == 1);
    CHECK(site.other.link.appends == 1);
    CHECK(site.written("a") == 1);
    // The owner's appends are fast, so the next one is direct.
    CHECK(site.submit("b") == SubmitOutcome::Accepted);
    CHECK(site.peers.calls == 1);
    CHECK(site.other.link.appends == 2);
}

/// Guards against one append of the owner for each record.
TEST_CASE("The owner writes the records of all nodes with its commits")
{
    ForwardingSite site;
    site.log.answerMs = 200;
    REQUIRE(site.submit("slow") == SubmitOutcome::Accepted);
    const int appends = site.log.appends;
    int accepted = 0;
    for (int i = 0; i < 20; ++i) {
        for (JobRequestService *requests : { &site.other.requests, &site.owner.requests })
            asio::co_spawn(site.context,
                           requests->submit(job("j" + std::to_string(i)
                                                + (requests == &site.owner.requests ? "o" : "n")),
                                            site.deadlineIn(2500)),
                           [&](const std::exception_ptr &, SubmitOutcome outcome) {
                               accepted += outcome == SubmitOutcome::Accepted ? 1 : 0;
                           });
    }
    site.run(1500);
    CHECK(accepted == 40);
    CHECK(site.other.link.appends == 1);
    // One append at a time: 1,500 ms of them, and the first one of the owner's own writer.
    CHECK(site.log.appends - appends <= 9);
}

/// Guards against refusals (503) by nodes whose appends fail while other nodes reach the store.
TEST_CASE("A node that reaches the owner and not the store accepts jobs")
{
    ForwardingSite site;
    site.other.link.isDown = true;
    CHECK(site.submit("a") == SubmitOutcome::Accepted);
    CHECK(site.written("a") == 1);
    site.log.refusesReads = true;
    CHECK(site.runUntil([&site] { return !site.other.node.state.health.isReachable(); }));
    CHECK(site.submit("b") == SubmitOutcome::Accepted);
    CHECK(site.written("b") == 1);
}

/// Guards against taking the ID of another customer's job, which a node without the store can't
/// know.
TEST_CASE("A node without the store forwards no customer's job once its copy is old")
{
    ForwardingSite site;
    site.other.link.isDown = true;
    site.log.refusesReads = true;
    CHECK(site.runUntil([&site] { return !site.other.node.state.health.isReachable(); }));
    CHECK(site.runUntil([&site] {
        return !site.other.node.state.tableFreshness.isCurrent(Core::suspendAwareNow());
    }));
    const Caller caller { Core::CustomerId("nord"), true };
    const Core::Instant deadline = site.deadlineIn(2500);
    CHECK(site.await(site.other.requests.submit(job("x"), deadline, caller))
          == SubmitOutcome::Refused);
    CHECK(site.written("x") == 0);
}

/// Guards against a node that stays away from a store that it reaches again, and one that asks for
/// it with each record.
TEST_CASE("A node whose appends failed returns to direct ones after a successful probe")
{
    ForwardingSite site;
    site.other.link.isDown = true;
    for (int i = 0; i < 10; ++i)
        REQUIRE(site.submit("j" + std::to_string(i)) == SubmitOutcome::Accepted);
    // The first one, and a probe.
    CHECK(site.other.link.appends == 2);
    site.other.link.isDown = false;
    site.run(2000);
    CHECK(site.submit("probe") == SubmitOutcome::Accepted);
    const int calls = site.peers.calls;
    CHECK(site.submit("direct") == SubmitOutcome::Accepted);
    CHECK(site.peers.calls == calls);
}

/// Guards against records that are lost with the owner's memory.
TEST_CASE("A node writes by itself what an owner that was lost had received")
{
    ForwardingSite site;
    site.makeSlow();
    site.peers.fault = ForwardFault::OwnerLost;
    CHECK(site.submit("a") == SubmitOutcome::Accepted);
    CHECK(site.written("a") == 1);
}

/// Guards against a job that runs twice, and one that is refused though it was written.
TEST_CASE("Records whose answer was lost are written twice, with the effect of once")
{
    ForwardingSite site;
    site.makeSlow();
    site.peers.fault = ForwardFault::AnswerLost;
    CHECK(site.submit("a") == SubmitOutcome::Accepted);
    CHECK(site.written("a") == 2);
    CHECK(site.runUntil([&site] {
        return site.owner.node.state.table.findState(Jobs::JobId("a")) == Jobs::JobState::Completed;
    }));
    site.run(200);
    // Two tasks each of this job and of the first one.
    CHECK(site.workers.starts == 4);
}

/// Guards against "not run" for a job that the owner may write.
TEST_CASE("A refusal after a forwarded record without an answer leaves the outcome unknown")
{
    ForwardingSite site;
    site.makeSlow();
    site.peers.fault = ForwardFault::AnswerLost;
    site.other.link.isDown = true;
    CHECK(site.submit("a", 1000) == SubmitOutcome::Unknown);
    CHECK(site.written("a") >= 1);
}

/// Guards against jobs that are refused although the store can be written.
TEST_CASE("A node that reaches the store and not the owner appends by itself")
{
    ForwardingSite site;
    site.makeSlow();
    site.peers.fault = ForwardFault::Unreachable;

    SECTION("its records are accepted, with pauses between its appends")
    {
        CHECK(site.submit("a") == SubmitOutcome::Accepted);
        CHECK(site.submit("b") == SubmitOutcome::Accepted);
        CHECK(site.other.link.appends == 3);
    }
    SECTION("what can't be written in time is refused at once, and not written")
    {
        REQUIRE(site.submit("a") == SubmitOutcome::Accepted);
        const Core::Instant began = Core::steadyNow();
        CHECK(site.submit("b", 500) == SubmitOutcome::Refused);
        CHECK(Core::steadyNow() - began < milliseconds(100));
        CHECK(site.other.writer.retryAfterSeconds() >= 1);
        site.run(1000);
        CHECK(site.written("b") == 0);
    }
}

/// Guards against records that a former owner keeps, and against forwarding in a circle.
TEST_CASE("If the claim names a node that no longer owns the jobs, the records are appended")
{
    ForwardingSite site;
    site.makeSlow();
    site.peers.nodes["one#1:7000"] = &site.other.node.state;
    CHECK(site.submit("a") == SubmitOutcome::Accepted);
    CHECK(site.peers.calls == 1);
    CHECK(site.written("a") == 1);
}

/// Guards against forwarding to an owner of a former version, which has no address.
TEST_CASE("A node appends by itself if the owner's claim has no address")
{
    ForwardingSite site;
    const Jobs::OwnerClaim claim { "three#1", 9, false };
    site.log.put(Topic::Jobs, Jobs::encodeRecord(claim).front());
    site.run(50);
    site.other.link.latencyMs = 200;
    CHECK(site.submit("a") == SubmitOutcome::Accepted);
    CHECK(site.submit("b") == SubmitOutcome::Accepted);
    CHECK(site.peers.calls == 0);
}

/// Guards against "not written" for records that a deposed owner may have written, and against
/// records that are never answered.
TEST_CASE("An owner that is deposed answers for the records that it holds")
{
    asio::io_context context;
    AppendPace pace;
    auto commits = std::make_unique<GroupCommit>(context.get_executor(), pace, [] {});
    std::vector<ForwardOutcome> outcomes(2, ForwardOutcome::Written);
    const auto write = [&](std::size_t index) {
        const std::vector<Jobs::StoredRecord> records
            = Jobs::encodeRecord(job(std::to_string(index)));
        asio::co_spawn(context, commits->write(records, Core::steadyNow() + milliseconds(500)),
                       [&outcomes, index](const std::exception_ptr &, ForwardResult result) {
                           outcomes[index] = result.outcome;
                       });
        context.run_for(milliseconds(10));
    };
    write(0);
    REQUIRE(commits->take().size() == 1);
    write(1);

    SECTION("a failed append leaves the outcome open; what wasn't sent isn't written")
    {
        commits->close();
        commits->finish(false);
    }
    SECTION("the same if the session ends")
    {
        commits.reset();
    }
    context.run_for(milliseconds(10));
    CHECK(outcomes == std::vector { ForwardOutcome::Unknown, ForwardOutcome::NotOwner });
}

/// Guards against a job that runs after its caller was told that it won't.
TEST_CASE("A record that the owner refuses at its deadline isn't written later")
{
    asio::io_context context;
    AppendPace pace;
    GroupCommit commits(context.get_executor(), pace, [] {});
    ForwardOutcome outcome = ForwardOutcome::Written;
    asio::co_spawn(
        context, commits.write(Jobs::encodeRecord(job("a")), Core::steadyNow() + milliseconds(50)),
        [&outcome](const std::exception_ptr &, ForwardResult result) { outcome = result.outcome; });
    context.run_for(milliseconds(100));
    CHECK(outcome == ForwardOutcome::Refused);
    CHECK(commits.take().empty());
}

/// Guards against a job that is lost when the owner that was to write it is deposed.
TEST_CASE("Records that a deposed owner held are written by the node that forwarded them")
{
    ForwardingSite site;
    site.makeSlow();
    site.log.answerMs = 300;
    site.run(700);
    std::optional<SubmitOutcome> outcome;
    asio::co_spawn(site.context, site.other.requests.submit(job("a"), site.deadlineIn(3000)),
                   [&](const std::exception_ptr &, SubmitOutcome result) { outcome = result; });
    site.run(20);
    REQUIRE(site.peers.calls == 1);
    const Jobs::OwnerClaim claim { "three#1", 9, false };
    site.log.put(Topic::Jobs, Jobs::encodeRecord(claim).front());
    site.log.answerMs = 0;
    REQUIRE(site.runUntil([&] { return outcome.has_value(); }));
    CHECK(*outcome == SubmitOutcome::Accepted);
    CHECK(site.written("a") >= 1);
}
