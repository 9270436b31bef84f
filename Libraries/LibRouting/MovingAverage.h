#pragma once

#include <LibCore/Time.h>

namespace Routing {

/// One step of an exponentially weighted moving average; the sample weighs 1 / \p divisor.
inline Core::Duration movedAverage(Core::Duration average, Core::Duration sample, int divisor)
{
    return average + (sample - average) / divisor;
}

} // namespace Routing
