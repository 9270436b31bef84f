#pragma once

#include <LibCore/Time.h>

namespace Routing {

/// Returns the next value of an exponentially weighted moving average, in which the sample has the
/// weight 1 / \p divisor.
inline Core::Duration movedAverage(Core::Duration average, Core::Duration sample, int divisor)
{
    return average + (sample - average) / divisor;
}

} // namespace Routing
