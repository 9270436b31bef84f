#include "SiteFixture.h"

#include <catch2/catch.hpp>

using namespace Site;

namespace {

constexpr std::int64_t defaultLeaseMs = 7200;
constexpr std::int64_t longLeaseMs = 10'000;
/// A start may be sent up to 4 s after the last proof, and be delivered a second later.
constexpr std::int64_t longLeaseAfterProofMs = 15'000;
/// More than the test takes.
constexpr std::int64_t testTimeMs = 4000;

/// A site whose last owner has released the jobs; its workers grant leases of 10 s.
struct UpgradedSite : SiteFixture
{
    explicit UpgradedSite(const Jobs::OwnerClaim &former)
    {
        scheduler.maxLease = milliseconds(longLeaseMs);
        log.put(Topic::Jobs, Jobs::encodeRecord(former).front());
    }
    Jobs::OwnerClaim lastClaim()
    {
        Jobs::OwnerClaim last;
        for (const LoggedRecord &logged : log.history(Topic::Jobs)) {
            const Jobs::JobRecord record = Jobs::decodeRecord(logged.record);
            if (const auto *claim = std::get_if<Jobs::OwnerClaim>(&record))
                last = *claim;
        }
        return last;
    }
    /// The claim of a node that joins the site.
    Jobs::OwnerClaim nextClaim(const std::string &name)
    {
        TestNode &node = addNode(name);
        startElection(node);
        REQUIRE(runUntil([&node] { return node.state.owner != nullptr; }));
        return lastClaim();
    }
    Jobs::OwnerClaim release()
    {
        nodes.back()->election.requestStop();
        REQUIRE(runUntil([this] { return lastClaim().isReleased; }));
        return lastClaim();
    }
};

} // namespace

// Guards against TWICE: a start of an owner of a former version has reached a worker's next
// process, and the owner after the next one counts with leases that this bounds.
TEST_CASE("A claim counts with the leases of an owner whose commands aren't bound to processes")
{
    Jobs::OwnerClaim former { "former#1", 3, true, defaultLeaseMs };

    SECTION("of a former version")
    {
        UpgradedSite site(former);
        const Jobs::OwnerClaim claim = site.nextClaim("one#1");
        CHECK(claim.areCommandsBound);
        CHECK(claim.maxLeaseAfterProofMs == longLeaseAfterProofMs);

        SECTION("and so do its release, and the claim after that, for as long as they may last")
        {
            CHECK(site.release()
                  == Jobs::OwnerClaim { "one#1", 4, true, longLeaseAfterProofMs, true });
            const Jobs::OwnerClaim next = site.nextClaim("two#2");
            CHECK(next.term == 5);
            CHECK(next.maxLeaseAfterProofMs > longLeaseAfterProofMs - testTimeMs);
            CHECK(next.maxLeaseAfterProofMs <= longLeaseAfterProofMs);
        }
        site.context.stop();
    }
    SECTION("but not of this version")
    {
        former.areCommandsBound = true;
        UpgradedSite site(former);
        CHECK(site.nextClaim("one#1")
              == Jobs::OwnerClaim { "one#1", 4, false, defaultLeaseMs, true });
        site.context.stop();
    }
}
