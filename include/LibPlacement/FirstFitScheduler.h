#pragma once

#include <LibPlacement/BaselineScheduler.h>

namespace Placement {

/// A baseline for benchmarks: first fit by declared size, without learning or preemption.
class FirstFitScheduler final : public BaselineScheduler
{
public:
    using BaselineScheduler::BaselineScheduler;
};

} // namespace Placement
