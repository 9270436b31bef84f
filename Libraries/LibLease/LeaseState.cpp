#include <LibLease/LeaseState.h>

#include <algorithm>

namespace Lease {

bool DomainView::hasMember(const Core::VmId &vm) const
{
    return std::binary_search(members.begin(), members.end(), vm);
}

bool LeaseState::hasWitness(const Incarnation &incarnation) const
{
    return std::binary_search(witnesses.begin(), witnesses.end(), incarnation);
}

} // namespace Lease
