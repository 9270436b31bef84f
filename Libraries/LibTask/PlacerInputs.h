#pragma once

#include <LibCore/Time.h>
#include <LibPlatform/VmEntry.h>
#include <LibRules/RuleSet.h>
#include <LibTask/PeerDomain.h>
#include <LibTask/Snapshot.h>

#include <cstdint>
#include <vector>

namespace Task {

/// What the placer was told from outside, which outlives the single tenure.
struct PlacerInputs
{
    Rules::RuleSet rules;
    std::uint64_t rulesVersion = 0;
    bool areRulesFresh = false;
    /// The workers of our failure domain.
    std::vector<Platform::VmEntry> workers;
    std::vector<PeerDomain> peers;
    /// When the newest read was sent that reached the end of the stream.
    Core::Instant logReadAt;
    SnapshotProgress snapshots;
};

} // namespace Task
