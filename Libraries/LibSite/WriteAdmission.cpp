#include <LibSite/WriteAdmission.h>

#include <algorithm>

namespace Site {

/// The append in flight shows that the latency is at least the time for which it is unanswered.
static Core::Duration expectedLatency(const AppendQueue &queue)
{
    return std::max(queue.latency, queue.inFlightFor.value_or(Core::Duration()));
}

Core::Duration drainTime(const AppendQueue &queue)
{
    const Core::Duration latency = expectedLatency(queue);
    Core::Duration time = queue.pause + latency * static_cast<std::int64_t>(queue.fullAppends);
    if (queue.inFlightFor)
        time += latency - *queue.inFlightFor;
    return time;
}

bool isDurableWithin(const AppendQueue &queue, Core::Duration timeLeft)
{
    return drainTime(queue) + expectedLatency(queue) <= timeLeft;
}

std::int64_t retryAfterSeconds(Core::Duration drainTime)
{
    return std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::seconds>(drainTime).count());
}

} // namespace Site
