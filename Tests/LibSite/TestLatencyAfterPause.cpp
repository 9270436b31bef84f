#include "ForwardingSite.h"

#include <chrono>
#include <thread>

/// No event of any node is handled for this long, as if their VMs were suspended.
static void pauseProcess(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

/// Exceeds the longest time for which a caller's write is retried.
static constexpr int pauseMs = 2300;

/// A submission every 100 ms for 2 s, each with the longest deadline that a write gets.
static int acceptedOfTwenty(ForwardingSite &site, JobRequestService &requests,
                            const std::string &prefix)
{
    int accepted = 0;
    for (int i = 0; i < 20; ++i) {
        const Core::Instant deadline = site.deadlineIn(2500);
        const SubmitOutcome outcome
            = site.await(requests.submit(job(prefix + std::to_string(i)), deadline));
        accepted += outcome == SubmitOutcome::Accepted ? 1 : 0;
        site.run(100);
    }
    return accepted;
}

/// Guards against a node that refuses every write for as long as it runs, since an append was in
/// flight while its VM was paused (review/6).
TEST_CASE("A node whose process was paused during an append accepts jobs again at once")
{
    ForwardingSite site;
    site.other.link.latencyMs = 50;
    site.owner.link.latencyMs = 50;
    const auto submitAndPause = [&site](JobRequestService &requests) {
        std::optional<SubmitOutcome> outcome;
        asio::co_spawn(site.context, requests.submit(job("paused"), site.deadlineIn(2500)),
                       [&](const std::exception_ptr &, SubmitOutcome result) { outcome = result; });
        site.run(20);
        pauseProcess(pauseMs);
        REQUIRE(site.runUntil([&outcome] { return outcome.has_value(); }));
    };

    SECTION("a node that forwards to an owner")
    {
        submitAndPause(site.other.requests);
        CHECK(acceptedOfTwenty(site, site.other.requests, "j") == 20);
    }
    SECTION("the owner itself, whose commits were in flight too")
    {
        site.log.answerMs = 50;
        submitAndPause(site.owner.requests);
        CHECK(acceptedOfTwenty(site, site.owner.requests, "j") == 20);
    }
    SECTION("a node that knows no owner")
    {
        const Jobs::OwnerClaim released { "three#1", 9, true };
        site.log.put(Topic::Jobs, Jobs::encodeRecord(released).front());
        site.run(300);
        submitAndPause(site.other.requests);
        CHECK(acceptedOfTwenty(site, site.other.requests, "j") == 20);
    }
}

/// Guards against a node that refuses every write because of what the owner once reported: only the
/// answer to an admitted write would tell it otherwise (review/6).
TEST_CASE("A node believes for a second at most that the owner's appends take too long")
{
    ForwardingSite site;
    site.makeSlow();
    site.peers.reportedLatency = milliseconds(4300);
    REQUIRE(site.submit("slow-owner") == SubmitOutcome::Accepted);
    site.peers.reportedLatency.reset();

    SECTION("until then it refuses at once what can't be written in time")
    {
        const int calls = site.peers.calls;
        CHECK(site.submit("a") == SubmitOutcome::Refused);
        CHECK(site.peers.calls == calls);
        CHECK(site.written("a") == 0);
    }
    SECTION("then it tries a write, and accepts all others once that was fast")
    {
        site.run(1000);
        CHECK(acceptedOfTwenty(site, site.other.requests, "j") == 20);
    }
}

/// Guards against callers who wait for a store that is known to be too slow for them.
TEST_CASE("While the owner's appends stay too slow, one write a second is tried")
{
    ForwardingSite site;
    site.makeSlow();
    site.peers.fault = ForwardFault::Refused;
    site.peers.reportedLatency = milliseconds(4300);
    CHECK(site.submit("first") == SubmitOutcome::Refused);
    const int calls = site.peers.calls;
    const Core::Instant began = Core::steadyNow();
    int refused = 0;
    while (Core::steadyNow() - began < milliseconds(3500)) {
        const std::string id = "j" + std::to_string(refused);
        refused += site.submit(id) == SubmitOutcome::Refused ? 1 : 0;
        site.run(20);
    }
    CHECK(refused > 30);
    CHECK(site.peers.calls - calls >= 2);
    CHECK(site.peers.calls - calls <= 4);
}
