#include "LogPipe.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Log;

/// No time passes for this budget: it isn't filled again while a test runs.
static constexpr double neverFilled = 1e-6;

static void decide(int count)
{
    const auto owner = logger("owner");
    for (int i = 0; i < count; ++i)
        LOG4CXX_INFO(owner, "event=start task=" << i);
}

static bool contains(const std::vector<std::string> &lines, const std::string &line)
{
    return std::find(lines.begin(), lines.end(), line) != lines.end();
}

TEST_CASE("What an engineer on call needs isn't crowded out of the log by decisions")
{
    LogPipe pipe({ neverFilled, 10, 4 });
    decide(50);
    CHECK(pipe.takeLines().size() == 6);

    SECTION("a line on the ownership is written, and reads like any other of its part")
    {
        LOG4CXX_INFO(essentialLogger("owner"), "event=release term=2 written=1");
        CHECK(contains(pipe.takeLines(), "INFO  owner: event=release term=2 written=1"));
    }
    SECTION("a warning of any part is written")
    {
        LOG4CXX_WARN(logger("writer"), "event=lost dependency=store");
        CHECK(contains(pipe.takeLines(), "WARN  writer: event=lost dependency=store"));
    }
    SECTION("its share has a bound too, and is kept from what is only for debugging")
    {
        log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::getDebug());
        for (int i = 0; i < 50; ++i)
            LOG4CXX_DEBUG(essentialLogger("owner"), "event=read-failed");
        CHECK(pipe.takeLines().empty());
        for (int i = 0; i < 50; ++i)
            LOG4CXX_WARN(essentialLogger("owner"), "event=deposed term=" << i);
        const std::vector<std::string> lines = pipe.takeLines();
        CHECK(std::count_if(lines.begin(), lines.end(),
                            [](const std::string &line) {
                                return line.starts_with("WARN  owner: event=deposed");
                            })
              == 4);
    }
}

TEST_CASE("The log says how many lines it has left out, and how many of them were needed")
{
    LogPipe pipe({ neverFilled, 20, 6 });

    SECTION("lines beyond the budget")
    {
        decide(50);
        pipe.takeLines();
        LOG4CXX_INFO(essentialLogger("owner"), "event=release term=2 written=1");
        CHECK(pipe.takeLines()
              == std::vector<std::string> { "log: event=dropped lines=36 essential=0",
                                            "INFO  owner: event=release term=2 written=1" });
    }
    SECTION("lines that the reader of the log had no room for")
    {
        pipe.fill();
        decide(2);
        LOG4CXX_WARN(logger("writer"), "event=lost dependency=store");
        pipe.takeLines();
        LOG4CXX_INFO(essentialLogger("jobs"), "event=regained dependency=store");
        CHECK(pipe.takeLines()
              == std::vector<std::string> { "log: event=dropped lines=3 essential=1",
                                            "INFO  jobs: event=regained dependency=store" });
    }
}
