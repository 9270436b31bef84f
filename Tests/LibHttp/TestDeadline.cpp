#include <LibCore/SteadyClock.h>
#include <LibHttp/Deadline.h>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <memory>
#include <string>

namespace asio = boost::asio;
using std::chrono::milliseconds;

TEST_CASE("The deadlines of many operations share one timer")
{
    asio::io_context context;
    const auto watch = std::make_shared<Http::DeadlineWatch>(context.get_executor());
    const Core::Instant now = Core::steadyNow();
    std::string expired;
    Http::Deadline late(watch, [&expired] { expired += "late "; });
    Http::Deadline early(watch, [&expired] { expired += "early "; });
    late.set(now + milliseconds(40));

    SECTION("an earlier one that is set later expires first")
    {
        early.set(now + milliseconds(10));
        context.run();
        CHECK(expired == "early late ");
        CHECK(Core::steadyNow() >= now + milliseconds(40));
    }
    SECTION("one that is cleared doesn't expire, and doesn't keep the next one from it")
    {
        early.set(now + milliseconds(10));
        early.clear();
        context.run();
        CHECK(expired == "late ");
    }
    SECTION("one that is set again expires once, at its new time")
    {
        early.set(now + milliseconds(10));
        early.set(now + milliseconds(80));
        context.run();
        CHECK(expired == "late early ");
        CHECK(Core::steadyNow() >= now + milliseconds(80));

        early.set(Core::steadyNow());
        context.restart();
        context.run();
        CHECK(expired == "late early early ");
    }
    SECTION("one that is destroyed when another expires doesn't expire")
    {
        auto destroyed
            = std::make_unique<Http::Deadline>(watch, [&expired] { expired += "destroyed "; });
        destroyed->set(now + milliseconds(10));
        Http::Deadline destroyer(watch, [&destroyed] { destroyed.reset(); });
        destroyer.set(now + milliseconds(5));
        context.run();
        CHECK(expired == "late ");
    }
}

TEST_CASE("A watch that is destroyed while a deadline's time has come reports nothing")
{
    asio::io_context context;
    bool isExpired = false;
    {
        const auto watch = std::make_shared<Http::DeadlineWatch>(context.get_executor());
        Http::Deadline deadline(watch, [&isExpired] { isExpired = true; });
        deadline.set(Core::steadyNow());
    }
    context.run();
    CHECK_FALSE(isExpired);
}
