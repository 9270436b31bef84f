#include <Common/Await.h>
#include <LibCore/Error.h>
#include <LibCore/Json.h>
#include <LibPlatform/Http/HttpVmDirectory.h>
#include <LibPlatform/Http/HttpWorkerControl.h>
#include <Platform/PlatformHandler.h>

#include <catch2/catch.hpp>

using Platform::HttpVmDirectory;
using Platform::HttpWorkerControl;
using Platform::StopMode;
using Platform::VmEntry;
using StandIn::amply;
using StandIn::await;
using Task::AttemptPhase;
using Task::AttemptReport;

static constexpr const char *vmsText = R"({"vms": [
    {"id": "e1", "kind": "entry", "state": "leaving", "failureDomain": "riga", "rack": "r1",
     "address": "127.0.0.1", "port": 7001, "callerPort": 8001},
    {"id": "w1", "kind": "worker", "state": "live", "failureDomain": "riga", "rack": "r2",
     "address": "127.0.0.2", "port": 9001, "slots": 8, "connections": 64,
     "capacity": {"milliCores": 16000, "mebibytes": 60000, "accelerators": 1}}]})";

namespace {

struct WorkerFixture
{
    boost::asio::io_context context;
    StandIn::PlatformHandler platform { {}, Core::steadyNow };
    StandIn::HttpServer server { context.get_executor(), 0, platform };
    HttpWorkerControl control { context.get_executor(), { "127.0.0.1", server.port() } };
    const Core::VmId worker { "w1" };

    WorkerFixture()
    {
        platform.vms().replace(Core::Json::parse(vmsText, "test")["vms"], Core::steadyNow());
    }

    Platform::StartCommand command() const
    {
        const Task::TaskSpec spec { Core::TaskId("roster"),
                                    Core::TeamId("club"),
                                    Core::TaskClassId("batch"),
                                    { 4000, 1000, 0 },
                                    {},
                                    "{}" };
        return { worker, spec, { spec.id, 1 }, 1, "", amply() };
    }

    void start(const Platform::StartCommand &command)
    {
        await(context, control.start(command, amply()));
    }

    std::vector<AttemptReport> renew(std::vector<Task::AttemptId> acknowledged = {})
    {
        return await(context,
                     control.renew(worker, { command().attempt }, amply(), std::move(acknowledged),
                                   amply()));
    }
};

/// Serves one request; executes the second one and then neither answers nor accepts again.
class VanishingHandler final : public StandIn::RequestHandler
{
public:
    boost::asio::awaitable<StandIn::Reply> handle(StandIn::Request /*request*/) override
    {
        ++requests;
        if (requests == 2)
            server->setDown(true);
        co_return StandIn::Reply::json(Json::Value(Json::objectValue));
    }

    int requests = 0;
    StandIn::HttpServer *server = nullptr;
};

} // namespace

TEST_CASE("Workers are controlled over HTTP")
{
    WorkerFixture fixture;
    const Task::AttemptId attempt = fixture.command().attempt;
    SECTION("a started attempt is reported as running")
    {
        fixture.start(fixture.command());
        REQUIRE(fixture.renew().size() == 1);
        CHECK(fixture.renew().front().attempt == attempt);
        CHECK(fixture.renew().front().phase == AttemptPhase::Running);
        SECTION("a second start of it changes nothing")
        {
            fixture.start(fixture.command());
            CHECK(fixture.platform.workers().report()["started"] == 1);
        }
        SECTION("once stopped it is reported until that is acknowledged")
        {
            await(fixture.context,
                  fixture.control.stop(fixture.worker, attempt, StopMode::Kill, amply()));
            CHECK(fixture.renew().front().phase == AttemptPhase::Stopped);
            CHECK(fixture.renew({ attempt }).empty());
            SECTION("a late copy of its start doesn't run it again")
            {
                fixture.start(fixture.command());
                CHECK(fixture.renew().empty());
            }
        }
    }
    SECTION("an answer lost after the start leaves the outcome unknown, and the attempt runs")
    {
        fixture.platform.faults().set("/workers/w1", { .losesAnswers = true });
        CHECK_THROWS_AS(fixture.start(fixture.command()), Core::OutcomeUnknownError);
        CHECK(fixture.platform.workers().report()["running"] == 1);
    }
    SECTION("a body shorter than announced is no answer even if nobody reads it")
    {
        fixture.start(fixture.command());
        fixture.platform.faults().set("/workers", { .truncatesBodies = true });
        CHECK_THROWS_AS(
            await(fixture.context, fixture.control.throttle(fixture.worker, attempt, 50, amply())),
            Core::OutcomeUnknownError);
    }
    SECTION("an unknown worker certainly doesn't run the attempt")
    {
        Platform::StartCommand command = fixture.command();
        command.worker = Core::VmId("w2/start?");
        CHECK_THROWS_AS(fixture.start(command), Core::NotDoneError);
    }
    SECTION("an expired lease starts nothing")
    {
        Platform::StartCommand command = fixture.command();
        command.leaseDeadline = Core::steadyNow();
        CHECK_THROWS_AS(fixture.start(command), Core::NotDoneError);
        CHECK(fixture.platform.workers().report()["started"] == 0);
    }
}

TEST_CASE("A retry that is refused doesn't hide that the first transmission may have had an effect")
{
    boost::asio::io_context context;
    VanishingHandler handler;
    StandIn::HttpServer server(context.get_executor(), 0, handler);
    handler.server = &server;
    HttpWorkerControl control(context.get_executor(), { "127.0.0.1", server.port() });
    const Task::AttemptId attempt { Core::TaskId("roster"), 1 };
    await(context, control.throttle(Core::VmId("w1"), attempt, 50, amply()));
    CHECK_THROWS_AS(await(context, control.throttle(Core::VmId("w1"), attempt, 50, amply())),
                    Core::OutcomeUnknownError);
    CHECK(handler.requests == 2);
}

TEST_CASE("The list of VMs is read over HTTP")
{
    WorkerFixture fixture;
    HttpVmDirectory directory(fixture.context.get_executor(),
                              { "127.0.0.1", fixture.server.port() });
    const std::vector<VmEntry> entries = await(fixture.context, directory.list(amply()));
    REQUIRE(entries.size() == 2);
    CHECK(entries[0].kind == Platform::VmKind::EntryVm);
    CHECK(entries[0].state == Platform::VmState::Leaving);
    CHECK(entries[0].callerPort == 8001);
    CHECK(entries[1].address == "127.0.0.2");
    CHECK(entries[1].capacity == Core::Resources { 16000, 60000, 1 });
    CHECK(entries[1].connections == 64);
}
