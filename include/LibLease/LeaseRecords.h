#pragma once

#include <LibCore/Identifier.h>
#include <LibLease/Incarnation.h>
#include <LibLease/LeaseState.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Lease {

/// Claims the lease for a new holder. Valid if \c epoch follows the current epoch and \c
/// baseVersion is the current version.
struct ClaimRecord
{
    std::string id;
    Incarnation holder;
    std::uint64_t epoch = 0;
    std::uint64_t baseVersion = 0;
    std::vector<Incarnation> witnesses;

    bool operator==(const ClaimRecord &) const = default;
};

/// The holder's change of its witnesses. Valid if it names the current epoch, holder and version.
struct WitnessSetRecord
{
    std::string id;
    Incarnation holder;
    std::uint64_t epoch = 0;
    std::uint64_t baseVersion = 0;
    std::vector<Incarnation> witnesses;
    /// Former members that can no longer be using their minimum share.
    std::vector<Core::VmId> releasedReservations;
    /// How the unreserved slots are divided; empty if all members get equal parts.
    std::vector<MemberWeight> weights;

    bool operator==(const WitnessSetRecord &) const = default;
};

/// Announces a claim by a VM that isn't a witness and can't reach the holder or any witness. A live
/// holder cancels it by a WitnessSetRecord; a holder that doesn't read it stops when its reads of
/// the log are too old.
struct TakeoverIntentRecord
{
    std::string id;
    Incarnation claimant;
    std::uint64_t epoch = 0;
    std::uint64_t baseVersion = 0;

    bool operator==(const TakeoverIntentRecord &) const = default;
};

/// An operator's confirmation that the holder and all witnesses of this version are dead. It skips
/// the wait of \c LeaseSettings::logSilenceBound: if one of them is still running and doesn't read
/// the log, two VMs may place at once.
struct OperatorTakeoverRecord
{
    std::string id;
    std::string requestedBy;
    std::uint64_t epoch = 0;
    std::uint64_t baseVersion = 0;

    bool operator==(const OperatorTakeoverRecord &) const = default;
};

/// States that the holder has stopped permanently, so that any VM may claim the lease after one
/// lease length.
struct ReleaseRecord
{
    std::string id;
    Incarnation holder;
    std::uint64_t epoch = 0;

    bool operator==(const ReleaseRecord &) const = default;
};

/// The state after all records before offset \c end, so that readers don't need expired records.
/// It is correct regardless of who writes it and when it is appended.
struct LeaseSnapshotRecord
{
    std::string id;
    /// The state includes the records before this offset.
    std::uint64_t end = 0;
    LeaseState state;

    bool operator==(const LeaseSnapshotRecord &) const = default;
};

using LeaseRecord = std::variant<ClaimRecord, WitnessSetRecord, TakeoverIntentRecord,
                                 OperatorTakeoverRecord, ReleaseRecord, LeaseSnapshotRecord>;

const std::string &recordId(const LeaseRecord &record);

} // namespace Lease
