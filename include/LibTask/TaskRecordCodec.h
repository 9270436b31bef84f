#pragma once

#include <LibTask/TaskRecord.h>

#include <json/value.h>

#include <optional>

namespace Task {

/// The prefix of the `type` member of every task record, as in `task.submitted`.
inline constexpr const char *recordTypePrefix = "task.";

Json::Value encode(const TaskRecord &record);

/// Returns nothing if \p value is a record of another type than those of tasks.
/// \throws Core::FormatError if the record is malformed or its format version is unknown.
std::optional<TaskRecord> decode(const Json::Value &value);

} // namespace Task
