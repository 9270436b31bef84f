#pragma once

#include <LibCore/Time.h>
#include <LibLease/DomainView.h>
#include <LibLease/Incarnation.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace Lease {

/// The holder's grant of a member lease, carried by a PromiseRequest.
struct MemberGrant
{
    /// The holder's current version of the view.
    std::uint64_t version = 0;
    /// The highest version that all former members obey; see SlotShares.
    std::uint64_t settledVersion = 0;
    /// The stamp of the member's last acknowledgement, by the member's clock. The lease runs from
    /// there, so a grant that arrives late extends nothing. Unset in the first grant.
    std::optional<Core::Instant> acknowledgedAt;
    /// The views that the member hasn't acknowledged yet.
    std::vector<DomainView> views;

    bool operator==(const MemberGrant &) const = default;
};

/// The member's answer to a MemberGrant, carried by a PromiseResponse.
struct MemberAcknowledgement
{
    Core::Instant acknowledgedAt;
    std::uint64_t version = 0;
    /// The highest version that the requests in work and open connections already fit.
    std::uint64_t drainedVersion = 0;
    /// The slots that the member would use lately, over all backend servers.
    int demand = 0;

    bool operator==(const MemberAcknowledgement &) const = default;
};

/// Asks a witness to promise that it won't help to replace the sender's epoch for a while.
struct PromiseRequest
{
    /// The run that is asked; another one refuses.
    Incarnation to;
    Incarnation holder;
    std::uint64_t epoch = 0;
    /// The version that the holder has read in the log.
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
