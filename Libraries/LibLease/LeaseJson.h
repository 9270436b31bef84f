#pragma once

#include <LibLease/DomainView.h>
#include <LibLease/Incarnation.h>

#include <json/value.h>

#include <cstdint>
#include <vector>

namespace Lease {

/// JSON conversions that records and messages have in common. The functions that read a value throw
/// Core::FormatError if it is malformed.
Json::Value toJson(const Incarnation &incarnation);
Json::Value toJson(const std::vector<Incarnation> &incarnations);
Json::Value toJson(const std::vector<Core::VmId> &vms);
Json::Value toJson(const std::vector<MemberWeight> &weights);
Json::Value toJson(const DomainView &view);
Json::Value toJson(std::uint64_t number);

Incarnation incarnationMember(const Json::Value &object, const char *name);
std::vector<Incarnation> incarnationsMember(const Json::Value &object, const char *name);
std::vector<Core::VmId> vmsMember(const Json::Value &object, const char *name);
std::vector<MemberWeight> weightsMember(const Json::Value &object, const char *name);
DomainView viewFromJson(const Json::Value &value);
std::uint64_t countMember(const Json::Value &object, const char *name);

} // namespace Lease
