#include "TaskWorld.h"

#include <LibCore/Json.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <string>
#include <vector>

using namespace Task;
using namespace Task::Testing;

namespace {

using Core::Json::integerMember;
using Core::Json::stringMember;

std::vector<Json::Value> linesOf(const std::string &path)
{
    std::ifstream file(path);
    std::vector<Json::Value> lines;
    for (std::string line; std::getline(file, line);)
        lines.push_back(Core::Json::parse(line, path));
    return lines;
}

std::vector<DomainShape> shapesOf(const Json::Value &site)
{
    std::vector<DomainShape> shapes;
    for (const Json::Value &domain : Core::Json::arrayMember(site, "domains")) {
        DomainShape shape;
        shape.name = stringMember(domain, "name");
        shape.nodes = static_cast<std::size_t>(integerMember(domain, "entryVms"));
        shape.workers = static_cast<std::size_t>(integerMember(domain, "workers"));
        shape.capacity
            = { integerMember(domain, "milliCores"), integerMember(domain, "mebibytes"), 0 };
        shapes.push_back(shape);
    }
    return shapes;
}

void submitAll(TaskWorld &world, const Json::Value &line)
{
    for (std::int64_t index = 0; index < integerMember(line, "count"); ++index) {
        TaskSpec spec;
        spec.id = Core::TaskId(stringMember(line, "task") + "-" + std::to_string(index));
        spec.team = Core::TeamId(stringMember(line, "team"));
        spec.taskClass = Core::TaskClassId(stringMember(line, "class"));
        spec.declared = { integerMember(line, "milliCores"), 1000, 0 };
        spec.expectedRunTime = std::chrono::milliseconds(integerMember(line, "runMs"));
        world.submit(stringMember(line, "domain"), spec);
    }
}

/// How many of the line's tasks are in its state, and have begun at most `maximumStarts` times.
std::int64_t countOf(const TaskWorld &world, const Json::Value &line)
{
    std::int64_t count = 0;
    for (const auto &[task, domain] : world.acknowledged) {
        const TaskEntry *entry = world.entryOf(task);
        const auto starts = world.starts.find(task);
        const int started = starts == world.starts.end() ? 0 : starts->second;
        const bool isMeant = task.text().starts_with(stringMember(line, "task") + "-");
        if (isMeant && entry && stateName(entry->state) == stringMember(line, "state")
            && started <= integerMember(line, "maximumStarts"))
            ++count;
    }
    return count;
}

void replay(TaskWorld &world, const Json::Value &line)
{
    const Core::Instant when = Core::Instant(std::chrono::hours(1))
        + std::chrono::milliseconds(integerMember(line, "atMs"));
    if (when > world.now())
        world.advance(when - world.now());
    const std::string event = stringMember(line, "event");
    if (event == "submit")
        submitAll(world, line);
    else if (event == "cancel")
        world.requestCancel(Core::TaskId(stringMember(line, "task")));
    else if (event == "domain-out" || event == "domain-back")
        world.setDomainOut(stringMember(line, "domain"), event == "domain-out");
    else if (event == "log-outage")
        world.failLog(std::chrono::milliseconds(integerMember(line, "lengthMs")));
    else if (event == "placer-killed")
        world.restartHolder(stringMember(line, "domain"));
    else if (event == "expect")
        CHECK(countOf(world, line) == integerMember(line, "count"));
    else
        FAIL("unknown event " << event);
}

} // namespace

TEST_CASE("Recorded days end as stated")
{
    const std::string name = GENERATE("compas-lector-domain-out", "kopiga-log-outage");
    const std::vector<Json::Value> lines = linesOf("Tests/Traces/" + name + ".jsonl");
    REQUIRE(lines.size() > 1);
    TaskWorld world(1, shapesOf(lines.front()), {}, {});
    for (std::size_t index = 1; index < lines.size(); ++index) {
        INFO(name << " line " << index + 1);
        replay(world, lines[index]);
    }
    for (const std::string &violation : world.violations)
        FAIL_CHECK(violation);
}
