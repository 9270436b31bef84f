#include "LeaseJson.h"

#include <LibCore/Error.h>
#include <LibCore/Json.h>
#include <LibLease/LeaseMessageCodec.h>
#include <LibLease/MembershipSettings.h>

#include <algorithm>

namespace Lease {

using Core::Json::integerMember;

static Json::Value toJson(Core::Instant instant)
{
    return static_cast<Json::Int64>(instant.time_since_epoch().count());
}

static Core::Instant instantMember(const Json::Value &object, const char *name)
{
    return Core::Instant(Core::Duration(integerMember(object, name)));
}

static Json::Value toJson(const MemberGrant &grant)
{
    Json::Value value;
    value["version"] = toJson(grant.version);
    value["settled"] = toJson(grant.settledVersion);
    if (grant.acknowledgedAt)
        value["stamp"] = toJson(*grant.acknowledgedAt);
    for (const DomainView &view : grant.views)
        value["views"].append(toJson(view));
    return value;
}

static MemberGrant grantFromJson(const Json::Value &value)
{
    MemberGrant grant;
    grant.version = countMember(value, "version");
    grant.settledVersion = countMember(value, "settled");
    if (value.isMember("stamp"))
        grant.acknowledgedAt = instantMember(value, "stamp");
    if (!value.isMember("views"))
        return grant;
    for (const Json::Value &view : Core::Json::arrayMember(value, "views"))
        grant.views.push_back(viewFromJson(view));
    return grant;
}

Json::Value LeaseMessageCodec::encode(const PromiseRequest &request)
{
    Json::Value value;
    value["to"] = toJson(request.to);
    value["holder"] = toJson(request.holder);
    value["epoch"] = toJson(request.epoch);
    value["version"] = toJson(request.version);
    value["sequence"] = toJson(request.sequence);
    value["length"] = static_cast<Json::Int64>(request.leaseLength.count());
    if (request.grant)
        value["grant"] = toJson(*request.grant);
    return value;
}

Json::Value LeaseMessageCodec::encode(const PromiseResponse &response)
{
    Json::Value value;
    value["from"] = toJson(response.from);
    value["epoch"] = toJson(response.epoch);
    value["sequence"] = toJson(response.sequence);
    value["granted"] = response.isGranted;
    if (!response.acknowledgement)
        return value;
    value["stamp"] = toJson(response.acknowledgement->acknowledgedAt);
    value["version"] = toJson(response.acknowledgement->version);
    value["drained"] = toJson(response.acknowledgement->drainedVersion);
    value["demand"] = response.acknowledgement->demand;
    return value;
}

PromiseRequest LeaseMessageCodec::decodeRequest(const Json::Value &value)
{
    PromiseRequest request;
    request.to = incarnationMember(value, "to");
    request.holder = incarnationMember(value, "holder");
    request.epoch = countMember(value, "epoch");
    request.version = countMember(value, "version");
    request.sequence = countMember(value, "sequence");
    request.leaseLength = Core::Duration(integerMember(value, "length"));
    if (request.leaseLength > maximumLeaseLength || request.leaseLength < Core::Duration::zero())
        throw Core::FormatError("read JSON", "length", "the lease length is out of range");
    if (value.isMember("grant"))
        request.grant = grantFromJson(value["grant"]);
    return request;
}

static int demandMember(const Json::Value &value)
{
    const std::uint64_t demand = countMember(value, "demand");
    return static_cast<int>(std::min<std::uint64_t>(demand, MembershipSettings::maximumDemand));
}

PromiseResponse LeaseMessageCodec::decodeResponse(const Json::Value &value)
{
    PromiseResponse response;
    response.from = incarnationMember(value, "from");
    response.epoch = countMember(value, "epoch");
    response.sequence = countMember(value, "sequence");
    response.isGranted = Core::Json::booleanMember(value, "granted");
    if (!value.isMember("stamp"))
        return response;
    response.acknowledgement
        = MemberAcknowledgement { instantMember(value, "stamp"), countMember(value, "version"),
                                  countMember(value, "drained"), demandMember(value) };
    return response;
}

} // namespace Lease
