#pragma once

#include <LibCore/Time.h>
#include <LibLease/DomainView.h>
#include <LibLease/Incarnation.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace Lease {

/// Grants a member lease. Sent by the holder as part of a PromiseRequest.
struct MemberGrant
{
    /// The holder's current version of the view.
    std::uint64_t version = 0;
    /// The highest version for which all former members have stopped using the shares of older
    /// views; see SlotShares.
    std::uint64_t settledVersion = 0;
    /// The time of the member's last acknowledgement, by the member's clock. The member lease
    /// starts at this time, so that a grant that arrives late doesn't extend it. Unset in the first
    /// grant.
    std::optional<Core::Instant> acknowledgedAt;
    /// The views that the member hasn't acknowledged yet.
    std::vector<DomainView> views;

    bool operator==(const MemberGrant &) const = default;
};

/// Acknowledges a MemberGrant. Sent by the member as part of a PromiseResponse.
struct MemberAcknowledgement
{
    /// By the member's clock.
    Core::Instant acknowledgedAt;
    std::uint64_t version = 0;
    /// The highest version whose shares the active requests and open connections don't exceed.
    std::uint64_t drainedVersion = 0;
    /// The number of slots over all backend servers for which the member recently had work.
    int demand = 0;

    bool operator==(const MemberAcknowledgement &) const = default;
};

/// Asks a witness to promise not to help replace the sender's epoch for the lease length.
struct PromiseRequest
{
    /// The recipient. Another incarnation refuses the request.
    Incarnation to;
    Incarnation holder;
    std::uint64_t epoch = 0;
    /// The version up to which the holder has read the log.
    std::uint64_t version = 0;
    std::uint64_t sequence = 0;
    Core::Duration leaseLength { 0 };
    std::optional<MemberGrant> grant;

    bool operator==(const PromiseRequest &) const = default;
};

struct PromiseResponse
{
    Incarnation from;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    bool isGranted = false;
    std::optional<MemberAcknowledgement> acknowledgement;

    bool operator==(const PromiseResponse &) const = default;
};

} // namespace Lease
