#pragma once

#include <LibCore/Identifier.h>
#include <LibTask/AttemptReport.h>
#include <LibTask/TaskEntry.h>
#include <LibTask/TaskSpec.h>

#include <json/value.h>

#include <cstdint>
#include <string>

namespace Task {

/// JSON of the parts that task records are made of. All decoders throw Core::FormatError.

Json::Value encodeSpec(const TaskSpec &spec);
TaskSpec decodeSpec(const Json::Value &value);

Json::Value encodeEntry(const TaskEntry &entry);
TaskEntry decodeEntry(const Json::Value &value);

const char *phaseName(AttemptPhase phase);
AttemptPhase decodePhase(const std::string &name);

const Json::Value &objectMember(const Json::Value &object, const char *name);
/// A task id, which may not be empty.
Core::TaskId taskMember(const Json::Value &object);
/// A number from 0 to 2^32 - 1.
std::uint32_t numberMember(const Json::Value &object, const char *name);
/// A number from 0 to 2^63 - 1.
std::uint64_t counterMember(const Json::Value &object, const char *name);

} // namespace Task
