#pragma once

#include "TraceEvent.h"

#include <cstdint>

namespace Load {

struct GeneratorSettings
{
    std::uint64_t seed = 1;
    Core::Duration length = std::chrono::seconds(10);
    /// Mean number of events per second; arrivals are a Poisson process.
    double requestRate = 100;
    double jobRate = 0;
    int teams = 5;
    /// Fraction of the events that belongs to the first team, from 0 to 1; the others share the
    /// rest evenly.
    double busiestShare = 0.5;
    /// Fraction of the requests that must be executed at most once, from 0 to 1.
    double nonIdempotentShare = 0.2;
    Core::Duration meanService = std::chrono::milliseconds(20);
    Core::Duration timeLimit = std::chrono::seconds(1);
    Core::Duration meanRun = std::chrono::seconds(5);
    Core::Resources largestJob { 4000, 8000, 0 };

    bool operator==(const GeneratorSettings &) const = default;
};

/// Deterministic for the same settings and standard library.
std::vector<TraceEvent> generateTrace(const GeneratorSettings &settings);

} // namespace Load
