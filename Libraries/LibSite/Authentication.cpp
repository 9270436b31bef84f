#include <LibSite/Authentication.h>

namespace Site {

Authentication authenticate(const Jobs::Catalogue &catalogue, const KeyDirectory &keys,
                            const Jobs::Queue &queue, const CallCredentials &credentials,
                            Core::Duration catalogueAge, const CatalogueAgeLimits &limits)
{
    if (!catalogue.customers)
        return { AuthenticationOutcome::Granted, {} };
    if (queue.allowsAnonymous)
        return { AuthenticationOutcome::Granted, { {}, true } };
    const bool isCurrent = catalogueAge <= limits.current;
    const std::optional<Core::CustomerId> customer
        = credentials.key ? keys.find(*credentials.key) : std::nullopt;
    // A newer catalogue may have added the key.
    if (!customer)
        return { isCurrent ? AuthenticationOutcome::Unauthorized
                           : AuthenticationOutcome::Unavailable };
    const bool isRecentEnough
        = isCurrent || (credentials.canCreateNothing && catalogueAge <= limits.knownKey);
    if (!isRecentEnough)
        return {};
    return { AuthenticationOutcome::Granted, { *customer, true } };
}

} // namespace Site
