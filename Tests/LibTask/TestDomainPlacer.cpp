#include "TaskWorld.h"

#include <rapidcheck/catch.h>

#include <exception>
#include <random>
#include <string>
#include <vector>

using namespace Task;
using namespace Task::Testing;
using namespace std::chrono_literals;

namespace {

constexpr unsigned commandsPerRun = 60;

Command commandOf(unsigned kind, unsigned a, unsigned b)
{
    const unsigned kinds = static_cast<unsigned>(Command::Kind::Last) + 1;
    // Submissions and time are half of what happens.
    const unsigned chosen = kind % (2 * kinds);
    if (chosen >= kinds)
        return { chosen % 2 == 0 ? Command::Kind::Submit : Command::Kind::Wait, a, b };
    return { static_cast<Command::Kind>(chosen), a, b };
}

rc::Gen<std::vector<Command>> anyCommands()
{
    const auto number = rc::gen::inRange(0U, 1000U);
    const auto command = rc::gen::apply(commandOf, number, number, number);
    return rc::gen::container<std::vector<Command>>(commandsPerRun, command);
}

std::vector<Command> commandsOf(unsigned seed)
{
    std::mt19937_64 random(seed);
    const auto number = [&random] { return static_cast<unsigned>(random() % 1000); };
    std::vector<Command> commands;
    for (unsigned index = 0; index < commandsPerRun; ++index) {
        const unsigned kind = number();
        const unsigned a = number();
        commands.push_back(commandOf(kind, a, number()));
    }
    return commands;
}

std::vector<std::string> violationsOf(TaskWorld &world, const std::vector<Command> &commands)
{
    try {
        for (const Command &command : commands)
            world.run(command);
        world.heal();
        world.checkOutcome();
    } catch (const std::exception &exception) {
        // The schedulers and the placer themselves notice a state that can't be.
        world.violations.emplace_back(exception.what());
    }
    return world.violations;
}

/// The first violation in random worlds of a placer without some guard; empty if there is none.
std::string firstCaught(const PlacerGuards &guards, const TableGuards &tableGuards = {})
{
    constexpr unsigned worlds = 400;
    for (unsigned seed = 0; seed < worlds; ++seed) {
        TaskWorld world(seed, guards, tableGuards);
        const auto violations = violationsOf(world, commandsOf(seed));
        if (!violations.empty())
            return "world " + std::to_string(seed) + ", " + violations.front();
    }
    return {};
}

} // namespace

TEST_CASE("Whatever fails, the promises on tasks hold")
{
    const auto holdsIn = [](TaskWorld &world) {
        const std::vector<std::string> violations = violationsOf(world, *anyCommands());
        RC_LOG() << (violations.empty() ? "" : violations.front());
        RC_ASSERT(violations.empty());
    };
    rc::prop("in random worlds", [holdsIn] {
        TaskWorld world(*rc::gen::inRange(0U, 1000000U), {}, {});
        holdsIn(world);
    });
    rc::prop("in random worlds with the product's scheduler", [holdsIn] {
        const Core::Resources capacity { 4000, 8000, 0 };
        const DomainShape first { "a", 3, 3, capacity, true };
        const DomainShape second { "b", 1, 2, capacity, true };
        TaskWorld world(*rc::gen::inRange(0U, 1000000U), { first, second }, {}, {});
        holdsIn(world);
    });
}

TEST_CASE("A placer without one of its guards breaks a promise in the same worlds")
{
    PlacerGuards guards;
    TableGuards tableGuards;
    SECTION("starts aren't recorded first")
    {
        guards.isRecordedBeforeStart = false;
    }
    SECTION("a new holder starts work on workers that it hasn't heard")
    {
        guards.isWorkerHeardBeforeStart = false;
    }
    SECTION("silent workers are taken for stopped")
    {
        guards.isLapseAwaited = false;
    }
    SECTION("a start of unknown outcome is taken for not done")
    {
        guards.isUnknownStartCounted = false;
    }
    SECTION("ended attempts are acknowledged at once")
    {
        guards.isEndRecordedBeforeAcknowledgement = false;
    }
    SECTION("room is free as soon as the stop is commanded")
    {
        guards.isStopProvenBeforeRoomIsFreed = false;
    }
    SECTION("late records of a deposed placer count")
    {
        tableGuards.isEpochChecked = false;
    }
    SECTION("repeated submissions count")
    {
        tableGuards.isRepetitionIgnored = false;
    }
    const std::string caught = firstCaught(guards, tableGuards);
    CHECK_FALSE(caught.empty());
    WARN("caught in " << caught);
}
