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
    UnreliableNetwork,
    /// Disconnects one VM from its peers and another one from the log.
    CutPeersAndLog,
    /// Disconnects one VM from its peers; another one can read the log but not append to it.
    CutPeersAndAppends,
    Heal,
    Pause,
    Restart,
    Replace,
    ReplaceAll,
    Release,
};

/// A fault, and for how long the simulation continues after it.
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

/// Settings with short durations, so that faults, expirations and late appends often coincide.
SimulationSettings stressSettings();

void runScenario(LeaseSimulation &simulation, const Scenario &scenario, int positions);

/// Runs up to \p runCount scenarios of \p generator, until one violates an invariant. Returns the
/// violation, or an empty string if there was none.
std::string findViolation(const SimulationSettings &settings, const rc::Gen<Scenario> &generator,
                          int runCount);

/// A disconnected witness claims the lease while the holder can't reach the log, and is reconnected
/// while its claim may still be appended.
rc::Gen<Scenario> healsAfterClaim();
/// The same, but the witness restarts in between.
rc::Gen<Scenario> restartsAfterClaim();
/// A new VM is disconnected at about the time when the holder adds it as a witness.
rc::Gen<Scenario> cutsWhileJoining();
/// The same, but the holder is also disconnected from the log, so that it can't read whether the
/// new witness was recorded.
rc::Gen<Scenario> cutsPeersAndLogWhileJoining();
/// A witness is disconnected from its peers, and the holder from the log, while responses are late.
rc::Gen<Scenario> cutsWhileResponsesAreLate();
/// A member is paused with grants in its receive buffer, and then disconnected.
rc::Gen<Scenario> pausesThenCuts();

} // namespace Lease
