#pragma once

#include <LibCore/Identifier.h>
#include <LibLease/Incarnation.h>
#include <LibLease/LeaseState.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Lease {

/// Takes the lease over. Valid if it follows the current epoch and names the current version.
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
    /// Former members whose floor of slots is certainly unused from now on.
    std::vector<Core::VmId> releasedReservations;
    /// How the remainder of the slots is divided; empty for equal parts.
    std::vector<MemberWeight> weights;

    bool operator==(const WitnessSetRecord &) const = default;
};

/// Announces a claim by a VM that is no witness and reaches none. A live holder voids it by a
/// WitnessSetRecord; a holder that doesn't read it stops by itself.
struct TakeoverIntentRecord
{
    std::string id;
    Incarnation claimant;
    std::uint64_t epoch = 0;
    std::uint64_t baseVersion = 0;

    bool operator==(const TakeoverIntentRecord &) const = default;
};

/// An operator's word that the holder and all witnesses of this version are gone. It skips the wait
/// for their silence: if one of them still runs and doesn't read the log, two VMs may place.
struct OperatorTakeoverRecord
{
    std::string id;
    std::string requestedBy;
    std::uint64_t epoch = 0;
    std::uint64_t baseVersion = 0;

    bool operator==(const OperatorTakeoverRecord &) const = default;
};

/// The holder's statement that it has stopped for good, so that anybody may claim
/// after one lease length.
struct ReleaseRecord
{
    std::string id;
    Incarnation holder;
    std::uint64_t epoch = 0;

    bool operator==(const ReleaseRecord &) const = default;
};

/// The state after all records before offset \c end, so that a reader doesn't need those that
/// expired. True whoever writes it and whenever it lands.
struct LeaseSnapshotRecord
{
    std::string id;
    /// The state holds for the records before this offset.
    std::uint64_t end = 0;
    LeaseState state;

    bool operator==(const LeaseSnapshotRecord &) const = default;
};

using LeaseRecord = std::variant<ClaimRecord, WitnessSetRecord, TakeoverIntentRecord,
                                 OperatorTakeoverRecord, ReleaseRecord, LeaseSnapshotRecord>;

const std::string &recordId(const LeaseRecord &record);

} // namespace Lease
