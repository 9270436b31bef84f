#pragma once

#include <LibPlacement/PlainScheduler.h>

namespace Placement {

/// A baseline for measurements: first fit by declared size, without learning or preemption.
class FirstFitScheduler final : public PlainScheduler
{
public:
    using PlainScheduler::PlainScheduler;
};

} // namespace Placement
