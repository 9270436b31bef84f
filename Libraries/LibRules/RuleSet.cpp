#include <LibRules/RuleSet.h>

namespace Rules {

bool RuleSet::isOut(const Core::FailureDomainId &failureDomain) const
{
    return domainsOut.contains(failureDomain);
}

bool RuleSet::mayRunIn(const Core::TaskClassId &taskClass,
                       const Core::FailureDomainId &failureDomain) const
{
    const auto place = places.find(taskClass);
    return place == places.end() || place->second.failureDomains.contains(failureDomain);
}

} // namespace Rules
