#include <LibCore/Json.h>
#include <Platform/WorkerSimulation.h>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;

static constexpr const char *vmsText = R"([
    {"id": "w1", "kind": "worker", "state": "live", "failureDomain": "riga",
     "capacity": {"milliCores": 8000, "mebibytes": 8000, "accelerators": 0}},
    {"id": "w2", "kind": "worker", "state": "live", "failureDomain": "ogre",
     "capacity": {"milliCores": 8000, "mebibytes": 8000, "accelerators": 0}}])";

namespace {

/// The simulated workers in virtual time.
struct SimulationFixture
{
    Core::Instant now { 1h };
    StandIn::VmList vms { 0s };
    StandIn::WorkerSimulation workers { vms, 3s, true };

    SimulationFixture()
    {
        vms.replace(Core::Json::parse(vmsText, "test"), now);
        workers.advance(now);
    }

    StandIn::StartResult start(const std::string &worker, const std::string &task, int number,
                               const std::string &checkpoint = "", int epoch = 1)
    {
        Json::Value command = Core::Json::parse(
            R"({"spec": {"declared": {"milliCores": 5000, "mebibytes": 1, "accelerators": 0},
                         "expectedRunMs": 1, "payload": "{\"runMs\": 4000}"}, "leaseMs": 10000})",
            "test");
        command["attempt"]["task"] = task;
        command["attempt"]["number"] = number;
        command["checkpoint"] = checkpoint;
        command["epoch"] = epoch;
        return workers.start(worker, command, now);
    }

    void pass(Core::Duration time)
    {
        now += time;
        workers.advance(now);
    }

    std::string phase(const std::string &worker)
    {
        const Json::Value value = workers.reports(worker, now);
        return value["reports"][0]["phase"].asString();
    }

    int violations(const std::string &kind) { return workers.violations().count(kind); }
};

} // namespace

TEST_CASE("The simulated workers run attempts and count violations")
{
    SimulationFixture fixture;
    REQUIRE(fixture.start("w1", "a", 1) == StandIn::StartResult::Accepted);
    SECTION("an attempt finishes after its run time")
    {
        fixture.pass(3999ms);
        CHECK(fixture.phase("w1") == "running");
        fixture.pass(1ms);
        CHECK(fixture.phase("w1") == "finished");
        CHECK(fixture.violations("finishedTwice") == 0);
        SECTION("a further attempt of the task is a violation")
        {
            fixture.start("w2", "a", 2);
            CHECK(fixture.violations("startAfterFinish") == 1);
            fixture.pass(4s);
            CHECK(fixture.violations("finishedTwice") == 1);
        }
    }
    SECTION("a throttled attempt stops by itself when its lease expires")
    {
        fixture.workers.throttle("w1", { "a", 1 }, 20);
        fixture.pass(10s);
        CHECK(fixture.phase("w1") == "running");
        fixture.pass(1ms);
        CHECK(fixture.phase("w1") == "stopped");
    }
    SECTION("a checkpoint carries the progress to another worker")
    {
        fixture.pass(3s);
        fixture.workers.stop("w1", { "a", 1 }, true);
        const Json::Value value = fixture.workers.reports("w1", fixture.now);
        fixture.start("w2", "a", 2, value["reports"][0]["checkpoint"].asString());
        fixture.pass(1s);
        CHECK(fixture.phase("w2") == "finished");
        CHECK(fixture.workers.violations().report()["total"] == 0);
    }
    SECTION("an overcommitted worker and two concurrent attempts of a task are violations")
    {
        fixture.start("w1", "b", 1);
        CHECK(fixture.violations("capacity") == 1);
        fixture.start("w2", "a", 2);
        CHECK(fixture.violations("doubleRun") == 1);
    }
    SECTION("starts in a domain out of service are violations once the grace has passed")
    {
        fixture.workers.setDomainOut("ogre", true, fixture.now);
        fixture.pass(3s);
        fixture.start("w2", "b", 1);
        CHECK(fixture.violations("startInDomainOut") == 0);
        fixture.pass(1ms);
        fixture.start("w2", "c", 1);
        CHECK(fixture.violations("startInDomainOut") == 1);
    }
    SECTION("an outdated epoch is refused")
    {
        fixture.start("w2", "b", 1, "", 7);
        CHECK(fixture.start("w2", "c", 1, "", 6) == StandIn::StartResult::Fenced);
    }
}
