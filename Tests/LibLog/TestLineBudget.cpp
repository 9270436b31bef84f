#include <LibLog/LineBudget.h>

#include <catch2/catch.hpp>

using namespace Log;
using std::chrono::milliseconds;

TEST_CASE("The volume of a log is bounded")
{
    const BudgetLimits limits { 100, 10 };
    LineBudget budget(limits);
    const Core::Instant start(milliseconds(5000));

    SECTION("a burst is written as far as the budget has room for it")
    {
        int written = 0;
        for (int i = 0; i < 50; ++i)
            written += budget.take(start) ? 1 : 0;
        CHECK(written == 10);

        SECTION("and then as many lines a second as are allowed")
        {
            written = 0;
            for (int ms = 1; ms <= 1000; ++ms)
                written += budget.take(start + milliseconds(ms)) ? 1 : 0;
            CHECK(written >= 99);
            CHECK(written <= 101);
        }
    }
    SECTION("a quiet time saves no more than a burst")
    {
        CHECK(budget.take(start));
        int written = 0;
        for (int i = 0; i < 50; ++i)
            written += budget.take(start + std::chrono::hours(1)) ? 1 : 0;
        CHECK(written == 10);
    }
}
