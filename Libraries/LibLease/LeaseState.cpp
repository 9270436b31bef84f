#include <LibLease/LeaseState.h>

#include <algorithm>

namespace Lease {

bool DomainView::hasMember(const Core::VmId &vm) const
{
    return std::binary_search(members.begin(), members.end(), vm);
}

void DomainView::setWeights(const std::vector<MemberWeight> &list)
{
    weights.clear();
    if (list.empty())
        return;
    int sum = 0;
    for (const MemberWeight &entry : list)
        sum += entry.weight;
    const int mean = std::max(1, sum / static_cast<int>(list.size()));
    for (const Core::VmId &member : members) {
        const auto entry = std::find_if(list.begin(), list.end(), [&](const MemberWeight &weight) {
            return weight.vm == member;
        });
        weights.push_back(entry == list.end() ? mean : entry->weight);
    }
}

bool LeaseState::hasWitness(const Incarnation &incarnation) const
{
    return std::binary_search(witnesses.begin(), witnesses.end(), incarnation);
}

} // namespace Lease
