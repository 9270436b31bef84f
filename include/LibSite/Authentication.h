#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibJob/Catalogue.h>
#include <LibSite/KeyDirectory.h>

#include <compare>
#include <optional>
#include <string>

namespace Site {

/// For whom a request is made, and with that which jobs it may see.
struct Caller
{
    /// Empty for an anonymous caller.
    Core::CustomerId customer = {};
    /// False on a site without customers, where every caller may see every job.
    bool isIsolated = false;

    /// True if the caller may read and cancel a job of \p owner, which is empty for a job without a
    /// customer.
    bool maySee(const Core::CustomerId &owner) const
    {
        return !isIsolated || owner.isEmpty() || owner == customer;
    }

    auto operator<=>(const Caller &) const = default;
};

enum class AuthenticationOutcome {
    /// The call may be made.
    Granted,
    /// The call needs a customer's key and has none, or one that no customer has.
    Unauthorized,
    /// The catalogue is too old to tell.
    Unavailable,
};

struct Authentication
{
    AuthenticationOutcome outcome = AuthenticationOutcome::Unavailable;
    /// Meaningful only if the call may be made.
    Caller caller = {};

    auto operator<=>(const Authentication &) const = default;
};

/// How old the catalogue may be from which a call is granted.
struct CatalogueAgeLimits
{
    /// For calls that a newer catalogue could forbid.
    Core::Duration current = {};
    /// For calls on known jobs with a key that the catalogue has: bounds how long a key that was
    /// taken away still works on a VM that has lost the store.
    Core::Duration knownKey = {};

    auto operator<=>(const CatalogueAgeLimits &) const = default;
};

/// What a call shows of itself.
struct CallCredentials
{
    /// The key that the call carries; nothing if it carries none, or none that can be read.
    std::optional<std::string> key = {};
    /// The call can't create a job: it reads or cancels one, or repeats a submission.
    bool canCreateNothing = false;
};

/// Decides whether a call to \p queue may be made, and for whom. \p catalogueAge is how long ago
/// the catalogue was complete.
Authentication authenticate(const Jobs::Catalogue &catalogue, const KeyDirectory &keys,
                            const Jobs::Queue &queue, const CallCredentials &credentials,
                            Core::Duration catalogueAge, const CatalogueAgeLimits &limits);

} // namespace Site
