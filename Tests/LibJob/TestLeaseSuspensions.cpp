#include <LibJob/LeaseSuspensions.h>

#include <catch2/catch.hpp>

using namespace Jobs;
using std::chrono::milliseconds;

static const Core::VmId worker("w1");
static const Core::VmId other("w2");

TEST_CASE("An owner suspends the leases of workers that have stopped answering")
{
    LeaseSuspensions suspensions({});
    CHECK_FALSE(suspensions.needsCommit());
    suspensions.suspend(worker);
    CHECK(suspensions.needsCommit());
    CHECK(suspensions.isSuspended(worker));
    CHECK_FALSE(suspensions.isSuspended(other));

    SECTION("a worker that answers before that is written needs no record")
    {
        suspensions.lift(worker);
        CHECK_FALSE(suspensions.needsCommit());
        CHECK_FALSE(suspensions.isSuspended(worker));
    }
    SECTION("a worker that answers later stays suspended until the lifting is durable")
    {
        CHECK(suspensions.takeChanges() == std::set<Core::VmId> { worker });
        CHECK(suspensions.onCommitted().empty());
        suspensions.lift(worker);
        CHECK(suspensions.isSuspended(worker));
        CHECK(suspensions.takeChanges() == std::set<Core::VmId> { worker });
        CHECK_FALSE(suspensions.isWanted(worker));
        CHECK(suspensions.isSuspended(worker));
        CHECK(suspensions.onCommitted() == std::vector<Core::VmId> { worker });
        CHECK_FALSE(suspensions.isSuspended(worker));
        CHECK_FALSE(suspensions.needsCommit());
    }
    SECTION("a worker that answers while its suspension is being written stays suspended too")
    {
        suspensions.takeChanges();
        suspensions.lift(worker);
        CHECK(suspensions.onCommitted().empty());
        CHECK(suspensions.isSuspended(worker));
        CHECK(suspensions.needsCommit());
    }
    SECTION("a worker that falls silent again while its lifting is being written is written again")
    {
        suspensions.takeChanges();
        suspensions.onCommitted();
        suspensions.lift(worker);
        suspensions.takeChanges();
        suspensions.suspend(worker);
        CHECK(suspensions.onCommitted().empty());
        CHECK(suspensions.isSuspended(worker));
        CHECK(suspensions.takeChanges() == std::set<Core::VmId> { worker });
        CHECK(suspensions.isWanted(worker));
    }
    SECTION("a new owner writes what it has found recorded once more, under its own term")
    {
        LeaseSuspensions next({ worker });
        CHECK(next.isSuspended(worker));
        CHECK(next.takeChanges() == std::set<Core::VmId> { worker });
        CHECK(next.isWanted(worker));
    }
}

TEST_CASE("A node knows from suspensions when the leases of a former owner end")
{
    SchedulerSettings settings;
    settings.clockDrift = 0;
    settings.clockSlack = milliseconds(10);
    const Core::Instant readAt(milliseconds(5000));
    RecordedSuspensions recorded;
    recorded.apply({ worker, 3, 2000, false }, readAt);
    recorded.apply({ other, 2, 4000, false }, readAt);
    CHECK(recorded.workers() == std::set<Core::VmId> { worker, other });

    SECTION("counted from the reading of the record, on workers that the last owner has suspended")
    {
        CHECK(recorded.leaseEnds(3, settings)
              == LeaseEnds { { worker, readAt + milliseconds(2010) } });
    }
    SECTION("not on those that were suspended before another owner")
    {
        CHECK(recorded.leaseEnds(4, settings).empty());
    }
    SECTION("nor on those whose suspension was lifted")
    {
        recorded.apply({ worker, 0, 0, true }, readAt);
        CHECK(recorded.leaseEnds(3, settings).empty());
        CHECK(recorded.workers() == std::set<Core::VmId> { other });
    }
    SECTION("nor on any before the records have been read again")
    {
        recorded.clear();
        CHECK(recorded.workers().empty());
    }
}
