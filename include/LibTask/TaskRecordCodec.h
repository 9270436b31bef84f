#pragma once

#include <LibTask/TaskRecord.h>

#include <json/value.h>

#include <optional>

namespace Task {

/// The `type` of every task record starts with this text, such as `task.submitted`.
inline constexpr const char *recordTypePrefix = "task.";

Json::Value encode(const TaskRecord &record);

/// Empty if the record's type isn't ours.
/// \throws Core::FormatError if the record is malformed or of a format version above ours.
std::optional<TaskRecord> decode(const Json::Value &value);

} // namespace Task
