#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Resources.h>
#include <LibTask/TaskSpec.h>

#include <map>

namespace Placement {

/// Learns how far the tasks of a team and class exceed their declared size. It only ever answers
/// the declared size or more, so a wrong estimate leaves room unused but never overcommits.
class UsageEstimator
{
public:
    void observe(const Task::TaskSpec &spec, const Core::Resources &used);

    /// What a new task should be expected to use beyond its declared size.
    Core::Resources expectedExcess(const Task::TaskSpec &spec) const;

private:
    struct Key
    {
        Core::TeamId team;
        Core::TaskClassId taskClass;

        auto operator<=>(const Key &) const = default;
    };

    struct Ratios
    {
        double milliCores = 1.0;
        double mebibytes = 1.0;
    };

    std::map<Key, Ratios> m_ratios;
};

} // namespace Placement
