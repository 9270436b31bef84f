#pragma once

#include <LibPlacement/Scheduler.h>

#include <memory>

namespace Task {

/// Makes an empty scheduler for each time that the placer comes to hold the lease, so that nothing
/// of an earlier tenure is left in it.
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
