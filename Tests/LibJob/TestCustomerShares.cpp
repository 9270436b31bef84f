#include <LibJob/CustomerShares.h>

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <vector>

using namespace Jobs;

namespace {

const Core::CustomerId busy("busy");
const Core::CustomerId small("small");
const Core::CustomerId nobody("");
constexpr std::int64_t start = 1'000'000;

Customer customer(const Core::CustomerId &id, double weight)
{
    Customer customer;
    customer.id = id;
    customer.weight = weight;
    return customer;
}

/// How many of \p count jobs that are submitted at one time find a token.
int tokensAt(CustomerShares &shares, const Core::CustomerId &id, std::int64_t unixMs,
             int count = 100)
{
    int taken = 0;
    for (int i = 0; i < count; ++i)
        taken += shares.takeToken(id, unixMs) ? 1 : 0;
    return taken;
}

} // namespace

TEST_CASE("A customer may submit jobs at its rate, and two seconds of it at once")
{
    // Guards against buckets without a bound, and against rates that don't depend on the weight.
    CustomerShares shares;
    shares.setCustomers({ customer(busy, 5), customer(small, 0.25) });
    CHECK(tokensAt(shares, busy, start) == 10);
    CHECK(tokensAt(shares, busy, start + 200) == 1);
    CHECK(tokensAt(shares, busy, start + 1200) == 5);
    CHECK(tokensAt(shares, busy, start + 100'000) == 10);

    // Two seconds of this rate are less than a job, and yet the customer may submit one.
    CHECK(tokensAt(shares, small, start) == 1);
    CHECK(tokensAt(shares, small, start + 3900) == 0);
    CHECK(tokensAt(shares, small, start + 4000) == 1);
}

TEST_CASE("A steady customer within its rate is never in excess")
{
    // Guards against tokens that get lost when many small amounts of time are added.
    CustomerShares shares;
    shares.setCustomers({ customer(busy, 4) });
    int taken = 0;
    for (int i = 0; i < 4000; ++i)
        taken += shares.takeToken(busy, start + 250LL * i) ? 1 : 0;
    CHECK(taken == 4000);
}

TEST_CASE("A submission with an earlier time than the one before takes a token and gives none")
{
    // Guards against a bucket whose clock runs back: the same time would then fill it twice.
    CustomerShares shares;
    shares.setCustomers({ customer(busy, 10) });
    CHECK(tokensAt(shares, busy, start) == 20);
    int taken = 0;
    for (int i = 0; i < 100; ++i) {
        taken += shares.takeToken(busy, start + 100) ? 1 : 0;
        taken += shares.takeToken(busy, start - 5) ? 1 : 0;
    }
    CHECK(taken == 1);
}

TEST_CASE("A bucket that was first used at the epoch isn't full again and again")
{
    // Guards against the time 0 as a mark for unused buckets: records may have no time.
    CustomerShares shares;
    shares.setCustomers({ customer(busy, 1) });
    CHECK(tokensAt(shares, busy, 0) == 2);
    CHECK(tokensAt(shares, busy, 0) == 0);
}

TEST_CASE("A customer that was removed has weight 1")
{
    // Guards against work of removed customers that is never, or always, put behind others.
    CustomerShares shares;
    shares.setCustomers({ customer(busy, 10), customer(small, 1) });
    CHECK(tokensAt(shares, busy, start) == 20);
    shares.setCustomers({ customer(small, 1) });
    CHECK(tokensAt(shares, busy, start + 1000) == 1);
    CHECK(tokensAt(shares, busy, start + 60'000) == 2);

    shares.beginPass({ busy, small }, { 1000, 1000, 0 });
    CHECK_FALSE(shares.isAboveShare(busy, { 500, 0, 0 }));
    CHECK(shares.isAboveShare(busy, { 501, 0, 0 }));
}

TEST_CASE("A lowered weight takes effect on a full bucket")
{
    // Guards against a customer that keeps a burst of its former rate.
    CustomerShares shares;
    shares.setCustomers({ customer(busy, 50) });
    CHECK(shares.takeToken(busy, start));
    shares.setCustomers({ customer(busy, 1) });
    CHECK(tokensAt(shares, busy, start + 1) == 2);
}

TEST_CASE("A customer is above its share once its largest fraction of a resource exceeds it")
{
    // Guards against shares of the processors only: large memory takes whole workers, too.
    CustomerShares shares;
    shares.setCustomers({ customer(busy, 3), customer(small, 1) });
    shares.beginPass({ busy, small }, { 1000, 2000, 4 });
    CHECK_FALSE(shares.isAboveShare(busy, { 750, 1500, 3 }));
    CHECK(shares.isAboveShare(busy, { 751, 0, 0 }));
    CHECK(shares.isAboveShare(busy, { 0, 1501, 0 }));
    CHECK(shares.isAboveShare(busy, { 0, 0, 4 }));
    CHECK_FALSE(shares.isAboveShare(small, { 250, 500, 1 }));
    CHECK(shares.isAboveShare(small, { 251, 0, 0 }));

    SECTION("and customers that neither use nor want anything take no part")
    {
        shares.beginPass({ small }, { 1000, 2000, 4 });
        CHECK_FALSE(shares.isAboveShare(small, { 1000, 2000, 4 }));
    }
    SECTION("and one whose first step becomes ready during a pass takes part from then on")
    {
        shares.beginPass({ busy }, { 1000, 2000, 4 });
        CHECK_FALSE(shares.isAboveShare(busy, { 1000, 0, 0 }));
        shares.addSharing(small);
        shares.addSharing(small);
        CHECK(shares.isAboveShare(busy, { 751, 0, 0 }));
        CHECK_FALSE(shares.isAboveShare(busy, { 750, 0, 0 }));
    }
    SECTION("and a site without workers has nobody above a share")
    {
        shares.beginPass({ busy, small }, {});
        CHECK_FALSE(shares.isAboveShare(busy, { 1000, 0, 0 }));
    }
}

TEST_CASE("Work without a customer is never in excess nor above a share")
{
    // Guards against a bucket and a share that all anonymous callers have together.
    CustomerShares shares;
    shares.setCustomers({ customer(busy, 1) });
    CHECK(tokensAt(shares, nobody, start) == 100);
    shares.beginPass({ busy }, { 1000, 1000, 0 });
    shares.addSharing(nobody);
    CHECK_FALSE(shares.isAboveShare(nobody, { 1000, 1000, 0 }));
    CHECK_FALSE(shares.isAboveShare(busy, { 1000, 0, 0 }));
}
