#include <LibJob/OccurrenceSet.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <set>

using namespace Jobs;

TEST_CASE("A set of occurrences keeps ranges")
{
    OccurrenceSet set;
    CHECK(set.count() == 0);
    CHECK(set.firstAbsentFrom(0) == 0);
    set.insert(5);
    set.insert(3);
    CHECK(set.ranges() == OccurrenceSet::Ranges { { 3, 3 }, { 5, 5 } });
    CHECK(set.firstAbsentFrom(3) == 4);

    SECTION("that a number between them joins")
    {
        set.insert(4);
        CHECK(set.ranges() == OccurrenceSet::Ranges { { 3, 5 } });
        CHECK(set.count() == 3);
        CHECK(set.firstAbsentFrom(3) == 6);
        CHECK_FALSE(set.contains(2));
        CHECK_FALSE(set.contains(6));
    }
    SECTION("that a range over them joins")
    {
        set.insert(0, 999'999'999);
        CHECK(set.ranges() == OccurrenceSet::Ranges { { 0, 999'999'999 } });
        CHECK(set.count() == 1'000'000'000);
        CHECK(set.firstAbsentFrom(7) == 1'000'000'000);
    }
    SECTION("that change nothing if a number is there already")
    {
        set.insert(3);
        CHECK(set.count() == 2);
    }
}

TEST_CASE("A set of occurrences is a set")
{
    rc::prop("whatever is inserted in whatever order",
             [](const std::vector<std::uint8_t> &numbers) {
                 OccurrenceSet set;
                 std::set<int> expected;
                 for (std::size_t i = 0; i < numbers.size(); ++i) {
                     const int first = numbers[i] % 64;
                     const int last = first + static_cast<int>(i % 3);
                     set.insert(first, last);
                     for (int number = first; number <= last; ++number)
                         expected.insert(number);
                 }
                 RC_ASSERT(set.count() == static_cast<std::int64_t>(expected.size()));
                 int absent = 0;
                 for (int number = 0; number < 70; ++number) {
                     RC_ASSERT(set.contains(number) == expected.contains(number));
                     for (absent = number; expected.contains(absent);)
                         ++absent;
                     RC_ASSERT(set.firstAbsentFrom(number) == absent);
                 }
                 for (auto range = set.ranges().begin(); range != set.ranges().end(); ++range) {
                     const auto next = std::next(range);
                     RC_ASSERT(next == set.ranges().end() || next->first > range->second + 1);
                 }
             });
}
