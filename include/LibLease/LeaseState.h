#pragma once

#include <LibLease/DomainView.h>
#include <LibLease/Incarnation.h>

#include <compare>
#include <cstdint>
#include <vector>

namespace Lease {

/// How an epoch's holder gave up its lease through the log, if it did.
enum class LeaseEnd {
    None,
    /// The holder itself stopped before it wrote so.
    Released,
    /// An operator vouches that the holder and all its witnesses are gone.
    OperatorTakeover,
};

/// What the log says of a failure domain's lease: a function of the records up to an offset, and so
/// the same on every reader.
struct LeaseState
{
    /// Rises with each valid claim; 0 before the first.
    std::uint64_t epoch = 0;
    Incarnation holder;
    /// Everybody whose promises the holder needs, without the holder itself; sorted.
    std::vector<Incarnation> witnesses;
    LeaseEnd end = LeaseEnd::None;
    /// True while an intent to take over against this version stands.
    bool hasOpenIntent = false;
    DomainView view;

    bool operator==(const LeaseState &) const = default;

    bool hasWitness(const Incarnation &incarnation) const;
};

} // namespace Lease
