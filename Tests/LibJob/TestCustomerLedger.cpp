#include <LibJob/CustomerLedger.h>

#include <catch2/catch.hpp>

using namespace Jobs;

namespace {

const Core::CustomerId customer("customer");

Customer limited(const Core::Resources &limit)
{
    Customer limitedCustomer;
    limitedCustomer.id = customer;
    limitedCustomer.limit = limit;
    return limitedCustomer;
}

} // namespace

TEST_CASE("A customer's use is all that counts toward its limit", "[customers]")
{
    CustomerLedger ledger;
    ledger.setCustomers({ limited({ 4000, 0, 0 }) });
    ledger.add(customer, { 1000, 50, 1 });
    ledger.add(customer, { 500, 0, 0 });
    CHECK(ledger.used(customer) == Core::Resources { 1500, 50, 1 });

    SECTION("without the runs that are gone")
    {
        ledger.remove(customer, { 1000, 50, 1 });
        CHECK(ledger.used(customer) == Core::Resources { 500, 0, 0 });
    }
    SECTION("with what may run unseen, of which the last computation counts")
    {
        ledger.setOtherUse({ { customer, { 700, 0, 0 } } });
        ledger.addOtherUse(customer, { 100, 0, 0 });
        CHECK(ledger.used(customer).milliCores == 2300);
        ledger.setOtherUse({ { customer, { 200, 0, 0 } } });
        CHECK(ledger.used(customer).milliCores == 1700);
        ledger.setOtherUse({});
        CHECK(ledger.used(customer).milliCores == 1500);
    }
    SECTION("and work without a customer isn't counted")
    {
        ledger.add({}, { 1000, 0, 0 });
        ledger.addOtherUse({}, { 1000, 0, 0 });
        CHECK(ledger.used({}) == Core::Resources());
        CHECK(ledger.mayStart({}, { 9000, 0, 0 }));
        CHECK(ledger.usedByCustomer().size() == 1);
    }
}

TEST_CASE("A task starts if its customer's use and the task fit in the limit", "[customers]")
{
    CustomerLedger ledger;
    ledger.setCustomers({ limited({ 2000, 1000, 2 }) });

    SECTION("up to the whole limit and not beyond")
    {
        ledger.add(customer, { 1400, 0, 0 });
        CHECK(ledger.mayStart(customer, { 600, 0, 0 }));
        CHECK_FALSE(ledger.mayStart(customer, { 601, 0, 0 }));
    }
    SECTION("in each dimension")
    {
        ledger.add(customer, { 0, 900, 2 });
        CHECK(ledger.mayStart(customer, { 500, 100, 0 }));
        CHECK_FALSE(ledger.mayStart(customer, { 500, 101, 0 }));
        CHECK_FALSE(ledger.mayStart(customer, { 500, 100, 1 }));
    }
    SECTION("and one that requests nothing of an exceeded dimension starts nevertheless")
    {
        ledger.add(customer, { 0, 0, 5 });
        CHECK(ledger.mayStart(customer, { 500, 100, 0 }));
    }
    // Otherwise a customer with small tasks would never run a large one.
    SECTION("a task of more than half of the limit starts beside a use of at most half of it")
    {
        ledger.add(customer, { 1000, 0, 0 });
        CHECK(ledger.mayStart(customer, { 1001, 0, 0 }));
        CHECK(ledger.mayStart(customer, { 5000, 0, 0 }));
        ledger.add(customer, { 1, 0, 0 });
        CHECK_FALSE(ledger.mayStart(customer, { 1001, 0, 0 }));
        CHECK(ledger.mayStart(customer, { 999, 0, 0 }));
    }
    SECTION("but not if it is large in one dimension and doesn't fit in another")
    {
        ledger.add(customer, { 1000, 700, 0 });
        CHECK_FALSE(ledger.mayStart(customer, { 1500, 400, 0 }));
        CHECK(ledger.mayStart(customer, { 1500, 300, 0 }));
    }
    SECTION("tasks that start together have no such exception")
    {
        CHECK(ledger.mayStartTogether(customer, { 2000, 0, 0 }));
        CHECK_FALSE(ledger.mayStartTogether(customer, { 2001, 0, 0 }));
        CHECK(ledger.exceedsWholeLimit(customer, { 2001, 0, 0 }));
        CHECK_FALSE(ledger.exceedsWholeLimit(customer, { 2000, 0, 0 }));
    }
}

TEST_CASE("The last limit that was read counts", "[customers]")
{
    CustomerLedger ledger;
    CHECK_FALSE(ledger.hasLimits());
    CHECK(ledger.mayStart(customer, { 9000, 0, 0 }));
    ledger.setCustomers({ limited({ 2000, 0, 0 }) });
    CHECK(ledger.hasLimits());
    ledger.add(customer, { 2000, 0, 0 });

    SECTION("a lowered one is exceeded until the use has fallen")
    {
        CHECK_FALSE(ledger.isAboveLimit(customer));
        ledger.setCustomers({ limited({ 1000, 0, 0 }) });
        CHECK(ledger.isAboveLimit(customer));
        ledger.remove(customer, { 1000, 0, 0 });
        CHECK_FALSE(ledger.isAboveLimit(customer));
        CHECK_FALSE(ledger.mayStart(customer, { 100, 0, 0 }));
    }
    SECTION("a raised one at once")
    {
        ledger.setCustomers({ limited({ 2500, 0, 0 }) });
        CHECK(ledger.mayStart(customer, { 500, 0, 0 }));
    }
    SECTION("also that of a customer which was removed, although the catalogue has none any more")
    {
        ledger.setCustomers({});
        CHECK_FALSE(ledger.mayStart(customer, { 100, 0, 0 }));
        CHECK_FALSE(ledger.hasLimits());
    }
    SECTION("and a customer without a limit has none")
    {
        ledger.setCustomers({ limited({}) });
        CHECK(ledger.mayStart(customer, { 90000, 90000, 90 }));
        CHECK_FALSE(ledger.hasLimits());
    }
}
