#pragma once

#include <LibCore/Identifier.h>
#include <LibTask/AttemptReport.h>
#include <LibTask/TaskEntry.h>
#include <LibTask/TaskSpec.h>

#include <json/value.h>

#include <cstdint>
#include <string>

namespace Task {

/// Encodes and decodes the parts of task records as JSON. All decoders and the functions that read
/// a member throw Core::FormatError if the value is malformed.

Json::Value encodeSpec(const TaskSpec &spec);
TaskSpec decodeSpec(const Json::Value &value);

Json::Value encodeEntry(const TaskEntry &entry);
TaskEntry decodeEntry(const Json::Value &value);

const char *phaseName(AttemptPhase phase);
AttemptPhase decodePhase(const std::string &name);

const Json::Value &objectMember(const Json::Value &object, const char *name);
/// Reads the member "task", a task id that must not be empty.
Core::TaskId taskMember(const Json::Value &object);
/// Reads an integer from 0 to 2^32 - 1.
std::uint32_t uint32Member(const Json::Value &object, const char *name);
/// Reads an integer from 0 to 2^63 - 1.
std::uint64_t counterMember(const Json::Value &object, const char *name);

} // namespace Task
