#pragma once

#include <LibPlacement/Scheduler.h>

#include <memory>

namespace Task {

/// Creates a new scheduler each time the placer acquires its lease, so that no state of an earlier
/// holder session is left.
class SchedulerFactory
{
public:
    SchedulerFactory() = default;
    SchedulerFactory(const SchedulerFactory &) = delete;
    SchedulerFactory &operator=(const SchedulerFactory &) = delete;
    virtual ~SchedulerFactory() = default;

    virtual std::unique_ptr<Placement::Scheduler> create() const = 0;
};

} // namespace Task
