#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Resources.h>
#include <LibTask/TaskSpec.h>

#include <map>

namespace Placement {

/// Learns by how much the tasks of a team and class exceed the CPU and memory that they declare. An
/// estimate is never below the declared size, so a wrong one leaves capacity unused but never
/// overcommits a worker.
class UsageEstimator
{
public:
    /// Updates the estimate with the measured usage of an attempt of \p spec.
    void observe(const Task::TaskSpec &spec, const Core::Resources &used);

    /// The expected usage of a new task beyond its declared size; never negative.
    Core::Resources expectedExcess(const Task::TaskSpec &spec) const;

private:
    struct Key
    {
        Core::TeamId team;
        Core::TaskClassId taskClass;

        auto operator<=>(const Key &) const = default;
    };

    /// Smoothed ratios of usage to declared size.
    struct Ratios
    {
        double milliCores = 1.0;
        double mebibytes = 1.0;
    };

    std::map<Key, Ratios> m_ratios;
};

} // namespace Placement
