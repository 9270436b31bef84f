#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibLease/DomainView.h>
#include <LibLease/MembershipManager.h>

#include <compare>

namespace Lease {

/// How much of a backend server one entry VM may use.
struct ShareLimit
{
    int slots = 0;
    int connections = 0;

    auto operator<=>(const ShareLimit &) const = default;
};

/// Divides each backend server's slots and connections among the entry VMs of its failure domain:
/// a floor for each seat, and the rest among the members of the view by their weights. What all of
/// them may use together never exceeds the server's limits, also while the view changes.
class SlotShares
{
public:
    /// \p membership must outlive this object.
    explicit SlotShares(const MembershipManager &membership);

    /// What this VM may use of \p backendServer at \p now, out of \p slots and \p connections.
    ShareLimit limitFor(const Core::VmId &backendServer, int slots, int connections,
                        Core::Instant now) const;

    /// The share of \p vm in a quantity of \p total with \p floor for each seat, under \p view.
    static int share(const DomainView &view, const Core::VmId &vm, const Core::VmId &backendServer,
                     int total, int floor);

private:
    const MembershipManager &m_membership;
};

} // namespace Lease
