#include <LibLog/LineBudget.h>

#include <catch2/catch.hpp>

using namespace Log;
using std::chrono::milliseconds;

TEST_CASE("The volume of a log is bounded")
{
    const auto kind = GENERATE(LineKind::Ordinary, LineKind::Essential);
    const BudgetLimits limits { 100, 10, 0 };
    LineBudget budget(limits);
    const Core::Instant start(milliseconds(5000));

    SECTION("a burst is written as far as the budget has room for it")
    {
        int written = 0;
        for (int i = 0; i < 50; ++i)
            written += budget.take(start, kind) ? 1 : 0;
        CHECK(written == 10);

        SECTION("and then as many lines a second as are allowed")
        {
            written = 0;
            for (int ms = 1; ms <= 1000; ++ms)
                written += budget.take(start + milliseconds(ms), kind) ? 1 : 0;
            CHECK(written >= 99);
            CHECK(written <= 101);
        }
    }
    SECTION("a quiet time saves no more than a burst")
    {
        CHECK(budget.take(start, kind));
        int written = 0;
        for (int i = 0; i < 50; ++i)
            written += budget.take(start + std::chrono::hours(1), kind) ? 1 : 0;
        CHECK(written == 10);
    }
}

TEST_CASE("A share of a log's volume is kept for lines that are essential")
{
    LineBudget budget({ 100, 10, 4 });
    const Core::Instant start(milliseconds(5000));
    const auto write = [&](Core::Instant now, LineKind kind) {
        int written = 0;
        for (int i = 0; i < 50; ++i)
            written += budget.take(now, kind) ? 1 : 0;
        return written;
    };
    REQUIRE(write(start, LineKind::Ordinary) == 6);

    SECTION("it is there after any number of other lines")
    {
        CHECK(write(start, LineKind::Essential) == 4);
        CHECK(write(start, LineKind::Ordinary) == 0);

        SECTION("and is filled again before others are written")
        {
            CHECK(write(start + milliseconds(35), LineKind::Ordinary) == 0);
            CHECK(write(start + milliseconds(35), LineKind::Essential) == 3);
            CHECK(write(start + milliseconds(96), LineKind::Ordinary) == 2);
        }
    }
    SECTION("essential lines may use what the others leave")
    {
        CHECK(write(start + std::chrono::hours(1), LineKind::Essential) == 10);
    }
}
