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

TEST_CASE("Records in the log survive encoding, and unknown ones are told apart")
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
    SECTION("another type is nobody's error")
    {
        value["type"] = "task.submitted";
        CHECK(LeaseRecordCodec::decode(value) == std::nullopt);
    }
    SECTION("a newer format stops the reader")
    {
        value["v"] = 2;
        CHECK_THROWS_AS(LeaseRecordCodec::decode(value), Core::FormatError);
    }
    rc::prop("a record that lacks a member or has one of another kind is an error", [&] {
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

static PromiseResponse sampleAnswer(const Incarnation &from)
{
    return { from, 12, 1234567, true,
             MemberAcknowledgement { Core::Instant(100000s), 345, 345, 300 } };
}

TEST_CASE("Messages between entry VMs survive encoding")
{
    PromiseRequest request = sampleRequest(vms[1]);
    CHECK(LeaseMessageCodec::decodeRequest(LeaseMessageCodec::encode(request)) == request);
    request.grant->views = { sampleView(344), sampleView(345) };
    request.grant->acknowledgedAt.reset();
    CHECK(LeaseMessageCodec::decodeRequest(LeaseMessageCodec::encode(request)) == request);
    const PromiseResponse answer = sampleAnswer(vms[1]);
    CHECK(LeaseMessageCodec::decodeResponse(LeaseMessageCodec::encode(answer)) == answer);

    SECTION("a promise for ever is refused")
    {
        Json::Value value = LeaseMessageCodec::encode(request);
        value["length"] = static_cast<Json::Int64>(24LL * 3600 * 1000000);
        CHECK_THROWS_AS(LeaseMessageCodec::decodeRequest(value), Core::FormatError);
    }
}

/// Bytes of one JSON-RPC message on the wire, with TCP and IP headers.
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

TEST_CASE("The lease and the member leases fit into the control traffic of a node")
{
    constexpr std::size_t acknowledgementBytes = 52;
    constexpr double targetPerSecond = 3000;
    const std::size_t exchange
        = wireBytes(LeaseMessageCodec::encode(sampleRequest(vms[1])), "params")
        + wireBytes(LeaseMessageCodec::encode(sampleAnswer(vms[1])), "result")
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
