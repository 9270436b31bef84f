#include "LeaseJson.h"

#include <LibCore/Error.h>
#include <LibCore/Json.h>
#include <LibLease/MembershipSettings.h>

namespace Lease {

Json::Value toJson(const Incarnation &incarnation)
{
    Json::Value value(Json::arrayValue);
    value.append(incarnation.vm.text());
    value.append(incarnation.runId);
    return value;
}

Json::Value toJson(const std::vector<Incarnation> &incarnations)
{
    Json::Value value(Json::arrayValue);
    for (const Incarnation &incarnation : incarnations)
        value.append(toJson(incarnation));
    return value;
}

Json::Value toJson(const std::vector<Core::VmId> &vms)
{
    Json::Value value(Json::arrayValue);
    for (const Core::VmId &vm : vms)
        value.append(vm.text());
    return value;
}

Json::Value toJson(const std::vector<MemberWeight> &weights)
{
    Json::Value value(Json::arrayValue);
    for (const MemberWeight &entry : weights) {
        Json::Value pair(Json::arrayValue);
        pair.append(entry.vm.text());
        pair.append(entry.weight);
        value.append(pair);
    }
    return value;
}

Json::Value toJson(const DomainView &view)
{
    Json::Value value;
    value["version"] = toJson(view.version);
    value["members"] = toJson(view.members);
    value["seats"] = toJson(view.reservations);
    for (const int weight : view.weights)
        value["weights"].append(weight);
    return value;
}

Json::Value toJson(std::uint64_t number)
{
    return static_cast<Json::UInt64>(number);
}

static Incarnation incarnationFromJson(const Json::Value &value, const char *name)
{
    if (!value.isArray() || value.size() != 2 || !value[0].isString() || !value[1].isString())
        throw Core::FormatError("read JSON", name, "the member isn't a pair of VM and run ID");
    return { Core::VmId(value[0].asString()), value[1].asString() };
}

Incarnation incarnationMember(const Json::Value &object, const char *name)
{
    return incarnationFromJson(Core::Json::arrayMember(object, name), name);
}

std::vector<Incarnation> incarnationsMember(const Json::Value &object, const char *name)
{
    std::vector<Incarnation> incarnations;
    for (const Json::Value &element : Core::Json::arrayMember(object, name))
        incarnations.push_back(incarnationFromJson(element, name));
    return incarnations;
}

std::vector<Core::VmId> vmsMember(const Json::Value &object, const char *name)
{
    std::vector<Core::VmId> vms;
    for (const Json::Value &element : Core::Json::arrayMember(object, name)) {
        if (!element.isString())
            throw Core::FormatError("read JSON", name, "an element isn't a VM");
        vms.emplace_back(element.asString());
    }
    return vms;
}

static int weightFromJson(const Json::Value &value, const char *name)
{
    if (!value.isInt() || value.asInt() < 1 || value.asInt() > MembershipSettings::weightSum)
        throw Core::FormatError("read JSON", name, "a weight is out of range");
    return value.asInt();
}

std::vector<MemberWeight> weightsMember(const Json::Value &object, const char *name)
{
    std::vector<MemberWeight> weights;
    for (const Json::Value &element : Core::Json::arrayMember(object, name)) {
        if (!element.isArray() || element.size() != 2 || !element[0].isString())
            throw Core::FormatError("read JSON", name, "an element isn't a pair of VM and weight");
        weights.push_back({ Core::VmId(element[0].asString()), weightFromJson(element[1], name) });
    }
    return weights;
}

DomainView viewFromJson(const Json::Value &value)
{
    DomainView view;
    view.version = countMember(value, "version");
    view.members = vmsMember(value, "members");
    view.reservations = vmsMember(value, "seats");
    if (!value.isMember("weights"))
        return view;
    for (const Json::Value &weight : Core::Json::arrayMember(value, "weights"))
        view.weights.push_back(weightFromJson(weight, "weights"));
    if (view.weights.size() != view.members.size())
        throw Core::FormatError("read JSON", "weights",
                                "the number of weights differs from the number of members");
    return view;
}

std::uint64_t countMember(const Json::Value &object, const char *name)
{
    const std::int64_t number = Core::Json::integerMember(object, name);
    if (number < 0)
        throw Core::FormatError("read JSON", name, "the member is negative");
    return static_cast<std::uint64_t>(number);
}

} // namespace Lease
