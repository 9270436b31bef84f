#include "LeaseJson.h"

#include <LibCore/Error.h>
#include <LibCore/Json.h>
#include <LibLease/LeaseRecordCodec.h>

#include <string>

namespace Lease {

using Core::Json::stringMember;

static constexpr std::int64_t formatVersion = 1;

static constexpr const char *claimType = "lease.claim";
static constexpr const char *witnessSetType = "lease.witnesses";
static constexpr const char *intentType = "lease.intent";
static constexpr const char *takeoverType = "lease.takeover";
static constexpr const char *releaseType = "lease.release";
static constexpr const char *snapshotType = "lease.snapshot";

static Json::Value envelope(const char *type, const std::string &id)
{
    Json::Value value;
    value["v"] = static_cast<Json::Int64>(formatVersion);
    value["type"] = type;
    value["id"] = id;
    return value;
}

static const char *endName(LeaseEnd end)
{
    switch (end) {
    case LeaseEnd::None:
        return "none";
    case LeaseEnd::Released:
        return "released";
    case LeaseEnd::OperatorTakeover:
        return "takeover";
    }
    return "none";
}

static LeaseEnd endFromName(const std::string &name)
{
    for (const LeaseEnd end : { LeaseEnd::None, LeaseEnd::Released, LeaseEnd::OperatorTakeover }) {
        if (name == endName(end))
            return end;
    }
    throw Core::FormatError("read JSON", "end", "unknown value " + name);
}

static Json::Value encodeRecord(const ClaimRecord &record)
{
    Json::Value value = envelope(claimType, record.id);
    value["holder"] = toJson(record.holder);
    value["epoch"] = toJson(record.epoch);
    value["baseVersion"] = toJson(record.baseVersion);
    value["witnesses"] = toJson(record.witnesses);
    return value;
}

static Json::Value encodeRecord(const WitnessSetRecord &record)
{
    Json::Value value = envelope(witnessSetType, record.id);
    value["holder"] = toJson(record.holder);
    value["epoch"] = toJson(record.epoch);
    value["baseVersion"] = toJson(record.baseVersion);
    value["witnesses"] = toJson(record.witnesses);
    value["releasedSeats"] = toJson(record.releasedReservations);
    value["weights"] = toJson(record.weights);
    return value;
}

static Json::Value encodeRecord(const TakeoverIntentRecord &record)
{
    Json::Value value = envelope(intentType, record.id);
    value["claimant"] = toJson(record.claimant);
    value["epoch"] = toJson(record.epoch);
    value["baseVersion"] = toJson(record.baseVersion);
    return value;
}

static Json::Value encodeRecord(const OperatorTakeoverRecord &record)
{
    Json::Value value = envelope(takeoverType, record.id);
    value["requestedBy"] = record.requestedBy;
    value["epoch"] = toJson(record.epoch);
    value["baseVersion"] = toJson(record.baseVersion);
    return value;
}

static Json::Value encodeRecord(const ReleaseRecord &record)
{
    Json::Value value = envelope(releaseType, record.id);
    value["holder"] = toJson(record.holder);
    value["epoch"] = toJson(record.epoch);
    return value;
}

static Json::Value encodeRecord(const LeaseSnapshotRecord &record)
{
    Json::Value value = envelope(snapshotType, record.id);
    value["end"] = toJson(record.end);
    value["epoch"] = toJson(record.state.epoch);
    value["holder"] = toJson(record.state.holder);
    value["witnesses"] = toJson(record.state.witnesses);
    value["leaseEnd"] = endName(record.state.end);
    value["hasOpenIntent"] = record.state.hasOpenIntent;
    value["view"] = toJson(record.state.view);
    return value;
}

Json::Value LeaseRecordCodec::encode(const LeaseRecord &record)
{
    return std::visit([](const auto &alternative) { return encodeRecord(alternative); }, record);
}

static LeaseSnapshotRecord decodeSnapshot(const Json::Value &value)
{
    LeaseSnapshotRecord record;
    record.id = stringMember(value, "id");
    record.end = countMember(value, "end");
    record.state.epoch = countMember(value, "epoch");
    record.state.holder = incarnationMember(value, "holder");
    record.state.witnesses = incarnationsMember(value, "witnesses");
    record.state.end = endFromName(stringMember(value, "leaseEnd"));
    record.state.hasOpenIntent = Core::Json::booleanMember(value, "hasOpenIntent");
    record.state.view = viewFromJson(value["view"]);
    return record;
}

static std::optional<LeaseRecord> decodeType(const std::string &type, const Json::Value &value)
{
    const std::string id = stringMember(value, "id");
    if (type == claimType) {
        return ClaimRecord { id, incarnationMember(value, "holder"), countMember(value, "epoch"),
                             countMember(value, "baseVersion"),
                             incarnationsMember(value, "witnesses") };
    }
    if (type == witnessSetType) {
        return WitnessSetRecord { id,
                                  incarnationMember(value, "holder"),
                                  countMember(value, "epoch"),
                                  countMember(value, "baseVersion"),
                                  incarnationsMember(value, "witnesses"),
                                  vmsMember(value, "releasedSeats"),
                                  weightsMember(value, "weights") };
    }
    if (type == intentType) {
        return TakeoverIntentRecord { id, incarnationMember(value, "claimant"),
                                      countMember(value, "epoch"),
                                      countMember(value, "baseVersion") };
    }
    if (type == takeoverType) {
        return OperatorTakeoverRecord { id, stringMember(value, "requestedBy"),
                                        countMember(value, "epoch"),
                                        countMember(value, "baseVersion") };
    }
    if (type == releaseType)
        return ReleaseRecord { id, incarnationMember(value, "holder"),
                               countMember(value, "epoch") };
    if (type == snapshotType)
        return decodeSnapshot(value);
    return std::nullopt;
}

std::optional<LeaseRecord> LeaseRecordCodec::decode(const Json::Value &value)
{
    if (Core::Json::integerMember(value, "v") > formatVersion)
        throw Core::FormatError("read record", "lease", "the record is newer than this program");
    return decodeType(stringMember(value, "type"), value);
}

} // namespace Lease
