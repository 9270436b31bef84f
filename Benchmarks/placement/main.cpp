#include "CostReport.h"
#include "FleetReport.h"

#include <cstdio>
#include <cstdlib>
#include <string>

namespace {

int printUsage()
{
    std::fprintf(stderr, "usage: placement-benchmark cost | fleet [SECONDS [SEED]]\n");
    return EXIT_FAILURE;
}

} // namespace

/// `cost` measures decisions by the wall clock, `fleet` runs the fleet in virtual time; without an
/// argument both.
int main(int argc, char **argv)
{
    const std::string mode = argc > 1 ? argv[1] : "all";
    if (mode != "cost" && mode != "fleet" && mode != "all")
        return printUsage();
    if (mode != "fleet")
        PlacementBenchmark::reportCost();
    if (mode == "cost")
        return EXIT_SUCCESS;
    constexpr int defaultSeconds = 800;
    constexpr int decimal = 10;
    const int seconds = argc > 2 ? std::atoi(argv[2]) : defaultSeconds;
    const auto seed = argc > 3 ? std::strtoull(argv[3], nullptr, decimal) : 1;
    PlacementBenchmark::reportFleet(seconds, seed);
    return EXIT_SUCCESS;
}
