#pragma once

#include <LibCore/Time.h>
#include <LibPlatform/VmEntry.h>
#include <LibRules/RuleSet.h>
#include <LibTask/PeerDomain.h>
#include <LibTask/Snapshot.h>

#include <cstdint>
#include <vector>

namespace Task {

/// The placer's inputs other than the stream's records; they outlive the sessions of a lease
/// holder.
struct PlacerInputs
{
    Rules::RuleSet rules;
    std::uint64_t rulesVersion = 0;
    bool areRulesFresh = false;
    /// The workers of the placer's failure domain.
    std::vector<Platform::VmEntry> workers;
    std::vector<PeerDomain> peers;
    /// When the newest read that reached the end of the stream was sent.
    Core::Instant logReadAt;
    SnapshotProgress snapshots;
};

} // namespace Task
