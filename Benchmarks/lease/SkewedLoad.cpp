#include "SkewedLoad.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace Lease {

LoadResult simulateLoad(const LoadSettings &settings)
{
    std::mt19937_64 random(settings.seed);
    std::exponential_distribution<double> gaps(settings.arrivalsPerSecond);
    std::exponential_distribution<double> services(1 / settings.serviceSeconds);
    // When each slot is free again; first come, first served.
    std::priority_queue<double, std::vector<double>, std::greater<>> freeAt;
    for (int slot = 0; slot < settings.slots; ++slot)
        freeAt.push(0);

    LoadResult result;
    for (double now = gaps(random); now < settings.lengthSeconds; now += gaps(random)) {
        ++result.offered;
        if (freeAt.empty() || freeAt.top() > now + settings.patienceSeconds)
            continue;
        const double start = std::max(now, freeAt.top());
        freeAt.pop();
        freeAt.push(start + services(random));
        ++result.served;
    }
    return result;
}

} // namespace Lease
