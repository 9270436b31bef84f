#include "DomainDriver.h"
#include "FaultyScheduler.h"

#include <rapidcheck/catch.h>

#include <random>

using namespace Builders;
using namespace Placement;

namespace rc {

template<>
struct Arbitrary<Command>
{
    static Gen<Command> arbitrary()
    {
        return gen::build<Command>(gen::set(&Command::kind), gen::set(&Command::first),
                                   gen::set(&Command::second));
    }
};

} // namespace rc

namespace {

std::vector<Command> longHistory(std::uint32_t seed)
{
    constexpr int length = 400;
    std::mt19937 engine(seed);
    std::vector<Command> commands(length);
    for (Command &command : commands) {
        const std::uint32_t bits = engine();
        command = { static_cast<std::uint8_t>(bits), static_cast<std::uint8_t>(bits >> 8U),
                    static_cast<std::uint8_t>(bits >> 16U) };
    }
    return commands;
}

/// The promises that some of many long histories break.
std::set<std::string> brokenPromises(Fault fault)
{
    constexpr std::uint32_t histories = 60;
    std::set<std::string> broken;
    for (std::uint32_t seed = 0; seed < histories; ++seed) {
        FaultyScheduler scheduler(fault, settings());
        DomainDriver driver(scheduler);
        driver.play(longHistory(seed));
        broken.insert(driver.violations().begin(), driver.violations().end());
    }
    return broken;
}

} // namespace

TEST_CASE("Whatever happens to a domain, no promise of its scheduler is broken")
{
    rc::prop("starts fit, on live workers of a domain in service, and once",
             [](const std::vector<Command> &commands) {
                 const auto scheduler = InformedScheduler::create(settings());
                 DomainDriver driver(*scheduler);
                 driver.play(commands);
                 for (const std::string &violation : driver.violations())
                     RC_FAIL(violation);
                 RC_ASSERT(scheduler->fleet().ledger().size() == driver.reservations());
                 for (const Platform::VmEntry &worker : driver.workers()) {
                     const auto slot = scheduler->fleet().findSlot(worker.id);
                     RC_ASSERT(slot.has_value());
                     RC_ASSERT(scheduler->fleet().ledger().reserved(*slot)
                               == driver.reservedOn(worker.id));
                 }
             });

    rc::prop("the same history gives the same decisions", [](const std::vector<Command> &commands) {
        const auto first = InformedScheduler::create(settings());
        const auto second = InformedScheduler::create(settings());
        DomainDriver firstDriver(*first);
        DomainDriver secondDriver(*second);
        firstDriver.play(commands);
        secondDriver.play(commands);
        RC_ASSERT(firstDriver.transcript() == secondDriver.transcript());
    });

    SECTION("long histories break none either")
    {
        CHECK(brokenPromises(Fault::None).empty());
    }
}

TEST_CASE("With a guard taken out, the same histories find the broken promise")
{
    SECTION("room that is free at the eviction rather than at the proven stop")
    {
        CHECK(brokenPromises(Fault::FreesOnEviction)
                  .contains("gave a worker more than its capacity"));
    }
    SECTION("a late answer about an old attempt that ends the new one")
    {
        CHECK(brokenPromises(Fault::EndsByTask).contains("gave a worker more than its capacity"));
    }
    SECTION("a list that isn't looked at")
    {
        CHECK(brokenPromises(Fault::IgnoresList)
                  .contains("started a task on a worker that is leaving or missing"));
    }
    SECTION("an outage that isn't looked at")
    {
        CHECK(brokenPromises(Fault::IgnoresOutages)
                  .contains("started a task in a domain that is out"));
    }
}
