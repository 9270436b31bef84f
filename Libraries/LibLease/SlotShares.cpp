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

/// The floor of \p vm; a VM that was seated when no floor was left has none.
static int floorShare(const DomainView &view, const Core::VmId &vm, int total, int floor)
{
    if (floor <= 0)
        return 0;
    const auto seat = std::find(view.reservations.begin(), view.reservations.end(), vm);
    const auto position = static_cast<int>(seat - view.reservations.begin());
    const bool hasFloor = seat != view.reservations.end() && position < total / floor;
    return hasFloor ? floor : 0;
}

static int remainderShare(const DomainView &view, const Core::VmId &vm,
                          const Core::VmId &backendServer, int total, int floor)
{
    const auto member = std::lower_bound(view.members.begin(), view.members.end(), vm);
    if (member == view.members.end() || *member != vm)
        return 0;
    const int floorCount
        = floor > 0 ? std::min(static_cast<int>(view.reservations.size()), total / floor) : 0;
    const int remainder = total - floorCount * floor;
    const std::vector<int> equalWeights(view.members.size(), 1);
    const std::vector<int> &weights = view.weights.empty() ? equalWeights : view.weights;
    const auto own = weights.begin() + (member - view.members.begin());
    const int before = std::accumulate(weights.begin(), own, 0);
    const int sum = std::accumulate(weights.begin(), weights.end(), 0);
    // Each member gets what lies between its two marks. The marks are moved by the server's name,
    // so that what doesn't divide evenly goes to other members at other backend servers.
    const auto shift = static_cast<int>(Core::stableHash(backendServer.text())
                                        % static_cast<std::uint64_t>(sum));
    const int begin = (before * remainder + shift) / sum;
    const int end = ((before + *own) * remainder + shift) / sum;
    return end - begin;
}

int SlotShares::share(const DomainView &view, const Core::VmId &vm, const Core::VmId &backendServer,
                      int total, int floor)
{
    return floorShare(view, vm, total, floor)
        + remainderShare(view, vm, backendServer, total, floor);
}

ShareLimit SlotShares::limitFor(const Core::VmId &backendServer, int slots, int connections,
                                Core::Instant now) const
{
    const MembershipSettings &settings = m_membership.settings();
    const Core::VmId &self = m_membership.self();
    const std::vector<const DomainView *> views = m_membership.effectiveViews(now);
    if (views.empty())
        return {};
    const bool isReduced = m_membership.isLimitedToMinimum(now);
    const auto partOf = [&](const DomainView &view, int total, int floor) {
        if (isReduced)
            return floorShare(view, self, total, floor);
        return share(view, self, backendServer, total, floor);
    };
    ShareLimit limit { slots, connections };
    for (const DomainView *view : views) {
        limit.slots = std::min(limit.slots, partOf(*view, slots, settings.minimumSlots));
        limit.connections
            = std::min(limit.connections, partOf(*view, connections, settings.minimumConnections));
    }
    return limit;
}

} // namespace Lease
