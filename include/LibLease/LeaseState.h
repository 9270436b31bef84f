#pragma once

#include <LibLease/DomainView.h>
#include <LibLease/Incarnation.h>

#include <compare>
#include <cstdint>
#include <vector>

namespace Lease {

/// How the lease of an epoch was ended through the log, if it was.
enum class LeaseEnd {
    None,
    /// The holder stopped, and then wrote a ReleaseRecord.
    Released,
    /// An operator confirmed that the holder and all its witnesses are dead.
    OperatorTakeover,
};

/// The state of a failure domain's lease according to the log. It depends only on the records up to
/// an offset, so it is the same on every reader.
struct LeaseState
{
    /// Incremented by each valid claim; 0 before the first one.
    std::uint64_t epoch = 0;
    Incarnation holder;
    /// The incarnations whose promises the holder needs, without the holder itself; sorted.
    std::vector<Incarnation> witnesses;
    LeaseEnd end = LeaseEnd::None;
    /// True while there is an uncancelled intent to take over at this version.
    bool hasOpenIntent = false;
    DomainView view;

    bool operator==(const LeaseState &) const = default;

    bool hasWitness(const Incarnation &incarnation) const;
};

} // namespace Lease
