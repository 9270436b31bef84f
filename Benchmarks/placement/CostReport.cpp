#include "CostReport.h"

#include "DecisionCost.h"
#include "Verdict.h"

#include <array>
#include <cmath>
#include <cstdio>

namespace PlacementBenchmark {

namespace {

constexpr std::size_t targetWorkers = 660;
constexpr double targetMedianMicroseconds = 20.0;
constexpr double targetP99Microseconds = 100.0;
constexpr double targetMebibytes = 256.0;
constexpr double bytesPerMebibyte = 1024.0 * 1024.0;

double mebibytes(const DecisionCost &cost)
{
    return static_cast<double>(cost.heapBytes) / bytesPerMebibyte;
}

void printTargets(const DecisionCost &cost)
{
    std::printf("  at %zu workers: median at most %.0f us %s, p99 at most %.0f us %s,"
                " heap below %.0f MiB %s\n",
                cost.workers, targetMedianMicroseconds,
                verdict(cost.medianMicroseconds <= targetMedianMicroseconds), targetP99Microseconds,
                verdict(cost.p99Microseconds <= targetP99Microseconds), targetMebibytes,
                verdict(mebibytes(cost) <= targetMebibytes));
}

void reportCost(std::size_t backlog)
{
    constexpr std::array<std::size_t, 5> sizes { 50, 200, targetWorkers, 2000, 6600 };
    std::printf("Cost of a decision with %zu tasks waiting besides (us; heap in MiB)\n", backlog);
    std::printf("%8s %8s %9s %9s %9s %9s %9s\n", "workers", "running", "decisions", "median", "p99",
                "observe", "heap");
    std::array<DecisionCost, sizes.size()> costs;
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        costs[i] = measureDecisionCost(sizes[i], backlog);
        const DecisionCost &cost = costs[i];
        std::printf("%8zu %8zu %9zu %9.1f %9.1f %9.2f %9.1f\n", cost.workers, cost.runningTasks,
                    cost.decisions, cost.medianMicroseconds, cost.p99Microseconds,
                    cost.observationMicroseconds, mebibytes(cost));
        if (cost.workers == targetWorkers)
            printTargets(cost);
    }
    const double factor = costs.back().medianMicroseconds / costs.front().medianMicroseconds;
    const double logarithmic = std::log2(sizes.back()) / std::log2(sizes.front());
    std::printf("  the median grows by a factor of %.2f from 50 to 6,600 workers;"
                " log2(6600) / log2(50) = %.2f: %s\n\n",
                factor, logarithmic, verdict(factor <= logarithmic));
}

} // namespace

void reportCost()
{
    reportCost(0);
    reportCost(2000);
}

} // namespace PlacementBenchmark
