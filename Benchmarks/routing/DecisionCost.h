#pragma once

namespace RoutingBenchmark {

/// Nanoseconds of processor time that the router spends on one request from its arrival to its
/// end, at one entry VM with the given number of servers. A saturated router always has a queue.
double decisionNanoseconds(int servers, bool isSaturated);

} // namespace RoutingBenchmark
