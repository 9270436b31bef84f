#pragma once

#include "LeaseWorld.h"

#include <rapidcheck.h>

#include <ostream>
#include <vector>

namespace Lease {

enum class Fault {
    None,
    CutPeers,
    CutLog,
    LogOutage,
    Rough,
    Heal,
    Pause,
    Restart,
    Replace,
    ReplaceAll,
    Release,
};

/// A fault, and how long the world runs on after it.
struct Step
{
    Fault fault = Fault::None;
    unsigned argument = 0;
    int milliseconds = 0;
};

struct Scenario
{
    std::uint32_t seed = 0;
    std::vector<Step> steps;
};

std::ostream &operator<<(std::ostream &stream, const Scenario &scenario);

rc::Gen<Scenario> scenarios();

/// Short lengths, so that faults, lapses and late appends meet often.
WorldSettings roughSettings();

void run(LeaseWorld &world, const Scenario &scenario, int positions);

/// Runs random scenarios until one breaks an invariant; returns what it broke, or an empty text
/// after \p limit runs.
std::string findViolation(const WorldSettings &settings, int limit);

} // namespace Lease
