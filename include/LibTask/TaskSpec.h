#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Resources.h>
#include <LibCore/Time.h>

#include <compare>
#include <cstdint>
#include <string>

namespace Task {

/// A task as its caller submitted it. It never changes afterwards.
struct TaskSpec
{
    Core::TaskId id;
    Core::TeamId team;
    Core::TaskClassId taskClass;
    /// The resources that the caller declares; the actual usage often differs greatly.
    Core::Resources declared;
    /// The run time that the caller expects; the actual one often differs greatly. Zero if the task
    /// runs until it is cancelled.
    Core::Duration expectedRunTime {};
    /// Passed to the worker without being interpreted.
    std::string payload;

    bool operator==(const TaskSpec &) const = default;
};

/// Identifies one attempt to run a task on one worker. The attempts of a task are numbered in
/// ascending order, beginning at 1.
struct AttemptId
{
    Core::TaskId task;
    std::uint32_t number = 0;

    auto operator<=>(const AttemptId &) const = default;
};

} // namespace Task
