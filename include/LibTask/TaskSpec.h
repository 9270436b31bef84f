#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Resources.h>
#include <LibCore/Time.h>

#include <compare>
#include <cstdint>
#include <string>

namespace Task {

/// What a caller asks for. It never changes after submission.
struct TaskSpec
{
    Core::TaskId id;
    Core::TeamId team;
    Core::TaskClassId taskClass;
    /// What the caller says that the task needs; often far off.
    Core::Resources declared;
    /// What the caller says that the task takes; often far off. Zero: runs until cancelled.
    Core::Duration expectedRunTime {};
    /// Opaque to us; handed to the worker.
    std::string payload;

    bool operator==(const TaskSpec &) const = default;
};

/// One try to run a task on one worker. Numbers start at 1 and only grow.
struct AttemptId
{
    Core::TaskId task;
    std::uint32_t number = 0;

    auto operator<=>(const AttemptId &) const = default;
};

} // namespace Task
