#include <Common/Await.h>
#include <LibCore/Error.h>
#include <LibPlatform/Http/HttpLogService.h>
#include <Platform/PlatformHandler.h>

#include <rapidcheck/catch.h>

#include <algorithm>

using Platform::HttpLogService;
using Platform::LogPage;
using StandIn::amply;
using StandIn::await;
using StandIn::Faults;
using StandIn::soon;

namespace {

/// The simulated log and a client of it in one thread.
struct LogFixture
{
    boost::asio::io_context context;
    StandIn::PlatformHandler platform { {}, Core::steadyNow };
    StandIn::HttpServer server { context.get_executor(), 0, platform };
    HttpLogService log { context.get_executor(), { "127.0.0.1", server.port() } };

    void setFaults(const Faults &faults)
    {
        platform.faults().set("/", faults);
        server.setDown(faults.isDown);
    }

    Platform::Offset append(const std::string &body, Core::Instant deadline)
    {
        return await(context, log.append("rules", { body }, deadline));
    }

    /// Opens as many connections as there are bodies.
    void appendAtOnce(const std::vector<std::string> &bodies)
    {
        std::size_t done = 0;
        for (const std::string &body : bodies)
            boost::asio::co_spawn(
                context, log.append("rules", { body }, amply()),
                [&done](const std::exception_ptr &, Platform::Offset) { ++done; });
        context.restart();
        while (done < bodies.size())
            context.run_one();
    }

    std::vector<std::string> bodies()
    {
        const Json::Value page = platform.log().read("rules", 0, 10000);
        std::vector<std::string> bodies;
        for (const Json::Value &record : page["records"])
            bodies.push_back(record["body"].asString());
        return bodies;
    }
};

} // namespace

TEST_CASE("The log over HTTP reports the outcome of an append")
{
    LogFixture fixture;
    REQUIRE(fixture.append("first", amply()) == 0);

    SECTION("what was appended is read with its offsets")
    {
        CHECK(await(fixture.context, fixture.log.append("rules", { "second", "third" }, amply()))
              == 1);
        const LogPage page = await(fixture.context, fixture.log.read("rules", 1, 10, amply()));
        CHECK(page == LogPage { { { 1, "second" }, { 2, "third" } }, 0, 3 });
        SECTION("a read below the retained range starts at the oldest record")
        {
            fixture.platform.log().setRetention(2);
            fixture.append("fourth", amply());
            const LogPage later = await(fixture.context, fixture.log.read("rules", 0, 1, amply()));
            CHECK(later == LogPage { { { 2, "third" } }, 2, 4 });
        }
    }
    SECTION("an answer lost after the effect leaves the outcome unknown, and the record is there")
    {
        fixture.setFaults({ .losesAnswers = true });
        CHECK_THROWS_AS(fixture.append("second", amply()), Core::OutcomeUnknownError);
        CHECK(fixture.bodies() == std::vector<std::string> { "first", "second" });
    }
    SECTION("a body shorter than announced is no answer")
    {
        fixture.setFaults({ .truncatesBodies = true });
        CHECK_THROWS_AS(fixture.append("second", amply()), Core::OutcomeUnknownError);
        CHECK_THROWS_AS(await(fixture.context, fixture.log.read("rules", 0, 10, amply())),
                        Core::Error);
    }
    SECTION("refused connections mean that nothing was done")
    {
        fixture.setFaults({ .isDown = true });
        CHECK_THROWS_AS(fixture.append("second", amply()), Core::NotDoneError);
        SECTION("the server's return is noticed by the next call")
        {
            fixture.setFaults({});
            CHECK(fixture.append("second", amply()) == 1);
        }
    }
    SECTION("a deadline that has passed sends nothing")
    {
        CHECK_THROWS_AS(fixture.append("second", Core::steadyNow()), Core::NotDoneError);
        CHECK(fixture.bodies().size() == 1);
    }
    SECTION("pooled connections that no longer answer make one call miss its deadline")
    {
        fixture.appendAtOnce({ "a", "b", "c" });
        fixture.server.silenceOpenConnections();
        CHECK_THROWS_AS(fixture.append("second", soon()), Core::OutcomeUnknownError);
        CHECK(fixture.append("third", amply()) == 4);
    }
    SECTION("an answer that comes after the deadline doesn't reach the next call")
    {
        fixture.setFaults({ .delay = std::chrono::milliseconds(120) });
        CHECK_THROWS_AS(fixture.append("second", soon()), Core::OutcomeUnknownError);
        fixture.setFaults({ .delay = std::chrono::milliseconds(240) });
        // The second call's answer comes first, and would be offset 1.
        CHECK(fixture.append("third", amply()) == 2);
    }
}

static Faults arbitraryFaults()
{
    Faults faults;
    bool *const switches[] = { &faults.isDown, &faults.isFrozen, &faults.losesAnswers,
                               &faults.truncatesBodies, &faults.failsFast };
    // The values beyond the switches stand for no fault.
    const auto chosen = *rc::gen::inRange<std::size_t>(0, 2 * std::size(switches));
    if (chosen < std::size(switches))
        *switches[chosen] = true;
    return faults;
}

/// What the client was told of each append, by body.
struct Outcomes
{
    std::map<std::string, Platform::Offset> done;
    std::vector<std::string> notDone;
    std::vector<std::string> unknown;

    void append(LogFixture &fixture, const std::string &body)
    {
        try {
            done[body] = fixture.append(body, soon());
        } catch (const Core::NotDoneError &) {
            notDone.push_back(body);
        } catch (const Core::OutcomeUnknownError &) {
            unknown.push_back(body);
        }
    }
};

TEST_CASE("No fault makes the log's client report a wrong outcome")
{
    rc::prop("appended is there once, not done is absent, unknown is there at most once", [] {
        LogFixture fixture;
        Outcomes outcomes;
        const int steps = *rc::gen::inRange(1, 8);
        for (int step = 0; step < steps; ++step) {
            fixture.setFaults(arbitraryFaults());
            if (*rc::gen::inRange(0, 6) == 0)
                fixture.server.silenceOpenConnections();
            outcomes.append(fixture, "body" + std::to_string(step));
        }
        const std::vector<std::string> bodies = fixture.bodies();
        for (const auto &[body, offset] : outcomes.done) {
            RC_ASSERT(bodies.at(offset) == body);
            RC_ASSERT(std::count(bodies.begin(), bodies.end(), body) == 1);
        }
        for (const std::string &body : outcomes.notDone)
            RC_ASSERT(std::count(bodies.begin(), bodies.end(), body) == 0);
        for (const std::string &body : outcomes.unknown)
            RC_ASSERT(std::count(bodies.begin(), bodies.end(), body) <= 1);
    });
}
