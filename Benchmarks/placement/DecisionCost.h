#pragma once

#include <cstddef>

namespace PlacementBenchmark {

/// What decisions cost at one size, by the wall clock of this run.
struct DecisionCost
{
    std::size_t workers = 0;
    std::size_t runningTasks = 0;
    std::size_t decisions = 0;
    double medianMicroseconds = 0.0;
    double p99Microseconds = 0.0;
    /// The mean cost of taking in one report.
    double observationMicroseconds = 0.0;
    /// Heap bytes that the scheduler holds.
    std::size_t heapBytes = 0;

    bool operator==(const DecisionCost &) const = default;
};

/// Runs one scheduler with \p workers workers, 12,400 tasks on 660 of them and as many in
/// proportion, and \p backlog tasks more than fit.
DecisionCost measureDecisionCost(std::size_t workers, std::size_t backlog);

} // namespace PlacementBenchmark
