#include "LeaseSimulation.h"

#include <LibCore/Error.h>
#include <LibCore/Json.h>
#include <LibLease/LeaseMessageCodec.h>
#include <LibLease/LeaseRecordCodec.h>

#include <rapidcheck/catch.h>

#include <iostream>

using namespace std::chrono_literals;

namespace Lease {

static const std::vector<Incarnation> vms { { Core::VmId("entry-riga-1"), "k3v9x0aq" },
                                            { Core::VmId("entry-riga-2"), "p81mzz4c" },
                                            { Core::VmId("entry-riga-3"), "00c7h2ye" } };

static DomainView sampleView(std::uint64_t version)
{
    return { version, { vms[0].vm, vms[1].vm }, { vms[2].vm, vms[0].vm, vms[1].vm }, { 5, 11 } };
}

TEST_CASE("Lease records survive a round trip, and other records are recognized")
{
    const LeaseState state { 4, vms[0], { vms[1] }, LeaseEnd::Released, true, sampleView(9) };
    const std::vector<LeaseRecord> records {
        ClaimRecord { "a", vms[0], 4, 8, { vms[1], vms[2] } },
        WitnessSetRecord { "b", vms[0], 4, 8, { vms[1] }, { vms[2].vm }, { { vms[1].vm, 5 } } },
        TakeoverIntentRecord { "c", vms[2], 4, 8 },
        OperatorTakeoverRecord { "d", "depot Ogre", 4, 8 },
        ReleaseRecord { "e", vms[0], 4 },
        LeaseSnapshotRecord { "f", 17, state },
    };
    for (const LeaseRecord &record : records)
        CHECK(LeaseRecordCodec::decode(LeaseRecordCodec::encode(record)) == record);

    Json::Value value = LeaseRecordCodec::encode(records.front());
    SECTION("a record of another type isn't an error")
    {
        value["type"] = "task.submitted";
        CHECK(LeaseRecordCodec::decode(value) == std::nullopt);
    }
    SECTION("a record with a newer format version is an error")
    {
        value["v"] = 2;
        CHECK_THROWS_AS(LeaseRecordCodec::decode(value), Core::FormatError);
    }
    rc::prop("a record with a missing member or a member of the wrong type is an error", [&] {
        const auto &record = *rc::gen::elementOf(records);
        Json::Value broken = LeaseRecordCodec::encode(record);
        const std::string member = *rc::gen::elementOf(broken.getMemberNames());
        if (*rc::gen::arbitrary<bool>())
            broken.removeMember(member);
        else
            broken[member] = Json::Value(Json::objectValue);
        RC_ASSERT_THROWS_AS(LeaseRecordCodec::decode(broken), Core::FormatError);
    });
}

static PromiseRequest sampleRequest(const Incarnation &to)
{
    PromiseRequest request { to, vms[0], 12, 345, 1234567, 2500ms, {} };
    request.grant = MemberGrant { 345, 345, Core::Instant(100000s), {} };
    return request;
}

static PromiseResponse sampleResponse(const Incarnation &from)
{
    return { from, 12, 1234567, true,
             MemberAcknowledgement { Core::Instant(100000s), 345, 345, 300 } };
}

TEST_CASE("Messages between entry VMs survive a round trip")
{
    PromiseRequest request = sampleRequest(vms[1]);
    CHECK(LeaseMessageCodec::decodeRequest(LeaseMessageCodec::encode(request)) == request);
    request.grant->views = { sampleView(344), sampleView(345) };
    request.grant->acknowledgedAt.reset();
    CHECK(LeaseMessageCodec::decodeRequest(LeaseMessageCodec::encode(request)) == request);
    const PromiseResponse response = sampleResponse(vms[1]);
    CHECK(LeaseMessageCodec::decodeResponse(LeaseMessageCodec::encode(response)) == response);

    SECTION("a request for a promise of one day is rejected")
    {
        Json::Value value = LeaseMessageCodec::encode(request);
        value["length"] = static_cast<Json::Int64>(24LL * 3600 * 1000000);
        CHECK_THROWS_AS(LeaseMessageCodec::decodeRequest(value), Core::FormatError);
    }
}

/// The size of a JSON-RPC message on the wire, including the TCP and IP headers.
static std::size_t wireBytes(const Json::Value &body, const char *bodyName)
{
    constexpr std::size_t headerBytes = 52;
    Json::Value message;
    message["jsonrpc"] = "2.0";
    message["id"] = 1234567;
    message[bodyName] = body;
    if (std::string(bodyName) == "params")
        message["method"] = LeaseMessageCodec::methodName;
    return Core::Json::write(message).size() + headerBytes;
}

TEST_CASE("The traffic for the lease and the member leases stays below the target")
{
    constexpr std::size_t acknowledgementBytes = 52;
    constexpr double targetPerSecond = 3000;
    const std::size_t exchange
        = wireBytes(LeaseMessageCodec::encode(sampleRequest(vms[1])), "params")
        + wireBytes(LeaseMessageCodec::encode(sampleResponse(vms[1])), "result")
        + acknowledgementBytes;
    const double roundsPerSecond = 1e6 / static_cast<double>(LeaseSettings().renewInterval.count());
    for (const int positions : { 2, 3 }) {
        const double perSecond = static_cast<double>(exchange) * roundsPerSecond * (positions - 1);
        std::cout << "lease traffic with " << positions << " VMs: holder "
                  << static_cast<int>(perSecond) << " B/s, others "
                  << static_cast<int>(perSecond / (positions - 1))
                  << " B/s, both directions, target " << targetPerSecond << " B/s\n";
        CHECK(perSecond < targetPerSecond);
    }
}

} // namespace Lease
