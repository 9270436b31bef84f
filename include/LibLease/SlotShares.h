#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibLease/DomainView.h>
#include <LibLease/MembershipManager.h>

#include <compare>

namespace Lease {

/// How many slots and connections of a backend server one entry VM may use.
struct ShareLimit
{
    int slots = 0;
    int connections = 0;

    auto operator<=>(const ShareLimit &) const = default;
};

/// Divides each backend server's slots and connections among the entry VMs of its failure domain.
/// Each VM with a reservation gets a minimum share, and the members of the view share the remainder
/// by their weights. The sum of the shares never exceeds the server's limits, even while the view
/// changes.
class SlotShares
{
public:
    /// \p membership must outlive this object.
    explicit SlotShares(const MembershipManager &membership);

    /// What this VM may use of \p backendServer at \p now, if the server has \p slots and
    /// \p connections in total.
    ShareLimit limitFor(const Core::VmId &backendServer, int slots, int connections,
                        Core::Instant now) const;

    /// The share of \p vm in a quantity of \p total under \p view, if each reservation is for
    /// \p minimum.
    static int share(const DomainView &view, const Core::VmId &vm, const Core::VmId &backendServer,
                     int total, int minimum);

private:
    const MembershipManager &m_membership;
};

} // namespace Lease
