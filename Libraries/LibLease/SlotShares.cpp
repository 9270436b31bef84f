#include <LibCore/StableHash.h>
#include <LibLease/SlotShares.h>

#include <algorithm>
#include <cstdint>
#include <numeric>
#include <vector>

namespace Lease {

SlotShares::SlotShares(const MembershipManager &membership)
    : m_membership(membership)
{
}

/// The minimum share of \p vm: \p minimum for as many reservations as fit into \p total, in the
/// order of the reservations, and 0 for the others.
static int minimumShare(const DomainView &view, const Core::VmId &vm, int total, int minimum)
{
    if (minimum <= 0)
        return 0;
    const auto reservation = std::find(view.reservations.begin(), view.reservations.end(), vm);
    const auto position = static_cast<int>(reservation - view.reservations.begin());
    const bool hasMinimumShare
        = reservation != view.reservations.end() && position < total / minimum;
    return hasMinimumShare ? minimum : 0;
}

static int remainderShare(const DomainView &view, const Core::VmId &vm,
                          const Core::VmId &backendServer, int total, int minimum)
{
    const auto member = std::lower_bound(view.members.begin(), view.members.end(), vm);
    if (member == view.members.end() || *member != vm)
        return 0;
    const int minimumCount
        = minimum > 0 ? std::min(static_cast<int>(view.reservations.size()), total / minimum) : 0;
    const int remainder = total - minimumCount * minimum;
    const std::vector<int> equalWeights(view.members.size(), 1);
    const std::vector<int> &weights = view.weights.empty() ? equalWeights : view.weights;
    const auto ownWeight = weights.begin() + (member - view.members.begin());
    const int before = std::accumulate(weights.begin(), ownWeight, 0);
    const int sum = std::accumulate(weights.begin(), weights.end(), 0);
    // Each member gets the difference of two cumulative sums, which are rounded after adding a
    // shift that depends on the server's name. So what remains of an uneven division goes to
    // different members on different backend servers.
    const auto shift = static_cast<int>(Core::stableHash(backendServer.text())
                                        % static_cast<std::uint64_t>(sum));
    const int begin = (before * remainder + shift) / sum;
    const int end = ((before + *ownWeight) * remainder + shift) / sum;
    return end - begin;
}

int SlotShares::share(const DomainView &view, const Core::VmId &vm, const Core::VmId &backendServer,
                      int total, int minimum)
{
    return minimumShare(view, vm, total, minimum)
        + remainderShare(view, vm, backendServer, total, minimum);
}

ShareLimit SlotShares::limitFor(const Core::VmId &backendServer, int slots, int connections,
                                Core::Instant now) const
{
    const MembershipSettings &settings = m_membership.settings();
    const Core::VmId &self = m_membership.self();
    const std::vector<const DomainView *> views = m_membership.effectiveViews(now);
    if (views.empty())
        return {};
    const bool isLimitedToMinimum = m_membership.isLimitedToMinimum(now);
    const auto shareOf = [&](const DomainView &view, int total, int minimum) {
        if (isLimitedToMinimum)
            return minimumShare(view, self, total, minimum);
        return share(view, self, backendServer, total, minimum);
    };
    ShareLimit limit { slots, connections };
    for (const DomainView *view : views) {
        limit.slots = std::min(limit.slots, shareOf(*view, slots, settings.minimumSlots));
        limit.connections
            = std::min(limit.connections, shareOf(*view, connections, settings.minimumConnections));
    }
    return limit;
}

} // namespace Lease
