#pragma once

#include "TraceEvent.h"

#include <cstdint>

namespace Load {

struct GeneratorSettings
{
    std::uint64_t seed = 1;
    Core::Duration length = std::chrono::seconds(10);
    /// Events a second, on average; arrivals are a Poisson process.
    double requestRate = 100;
    double jobRate = 0;
    int teams = 5;
    /// The part of all events that belongs to the first team; the others share the rest evenly.
    double busiestShare = 0.5;
    /// The part of the requests that must run at most once.
    double nonIdempotentShare = 0.2;
    Core::Duration meanService = std::chrono::milliseconds(20);
    Core::Duration timeLimit = std::chrono::seconds(1);
    Core::Duration meanRun = std::chrono::seconds(5);
    Core::Resources largestJob { 4000, 8000, 0 };

    bool operator==(const GeneratorSettings &) const = default;
};

/// The same settings always give the same trace with the same standard library.
std::vector<TraceEvent> generateTrace(const GeneratorSettings &settings);

} // namespace Load
