#pragma once

#include "LeaseSimulation.h"

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
    /// Cuts one VM off from its peers and another one from the log.
    DivideReads,
    /// Cuts one VM off from its peers; another one can read the log but not append.
    DivideAppends,
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
SimulationSettings roughSettings();

void run(LeaseSimulation &world, const Scenario &scenario, int positions);

/// Runs scenarios of \p generator until one breaks an invariant; returns what it broke, or an empty
/// text after \p limit runs.
std::string findViolation(const SimulationSettings &settings, const rc::Gen<Scenario> &generator,
                          int limit);

/// A witness claims while its holder is cut off from the log, and is in reach again while its claim
/// may still land.
rc::Gen<Scenario> healsAfterClaim();
/// The same, but the witness restarts meanwhile.
rc::Gen<Scenario> restartsAfterClaim();
/// A newcomer is cut off at about the time when the holder names it as witness.
rc::Gen<Scenario> cutsWhileJoining();
/// The same, and the holder is cut off from the log, so that it doesn't read whether it was named.
rc::Gen<Scenario> dividesWhileJoining();
/// A witness is cut off, and the holder from the log, while answers are late.
rc::Gen<Scenario> cutsWhileAnswersAreLate();
/// A member is frozen with grants in its receive buffer, and then cut off.
rc::Gen<Scenario> freezesThenCuts();

} // namespace Lease
