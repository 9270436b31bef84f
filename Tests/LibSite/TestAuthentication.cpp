#include <LibSite/Authentication.h>

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace Site;
using std::chrono::milliseconds;

namespace {

enum class CallKind { SubmitNewJob, Count, KnownJob };
enum class KeyKind { None, Unknown, Known };

constexpr auto granted = AuthenticationOutcome::Granted;
constexpr auto unauthorized = AuthenticationOutcome::Unauthorized;
constexpr auto unavailable = AuthenticationOutcome::Unavailable;

const CatalogueAgeLimits lenient { milliseconds(1600), milliseconds(5000) };
const CatalogueAgeLimits strict { milliseconds(1600), milliseconds(1600) };

/// A catalogue with a customer `a`, whose key is `key-a`.
struct SiteOfCustomers
{
    SiteOfCustomers()
    {
        Jobs::Customer customer;
        customer.id = Core::CustomerId("a");
        customer.keys.emplace_back("key-a");
        catalogue.customers = { customer };
        keys = KeyDirectory(*catalogue.customers);
    }
    Authentication authenticate(CallKind call, KeyKind key, Core::Duration age,
                                const CatalogueAgeLimits &limits = lenient) const
    {
        CallCredentials credentials;
        if (key != KeyKind::None)
            credentials.key = key == KeyKind::Known ? "key-a" : "key-b";
        credentials.canCreateNothing = call == CallKind::KnownJob;
        return Site::authenticate(catalogue, keys, queue, credentials, age, limits);
    }

    Jobs::Catalogue catalogue;
    KeyDirectory keys;
    Jobs::Queue queue;
};

struct Row
{
    CallKind call;
    KeyKind key;
    int ageMs;
    AuthenticationOutcome expected;
    AuthenticationOutcome expectedIfStrict;
};

} // namespace

// Guards against a key that works after it was taken away, against a final 401 from an old
// catalogue, which a newer one may contradict, and against a 503 where the copy is good enough.
TEST_CASE("The outcome of a call depends on its kind, its key and the age of the catalogue")
{
    const SiteOfCustomers site;
    const CallKind newJob = CallKind::SubmitNewJob;
    const CallKind count = CallKind::Count;
    const CallKind known = CallKind::KnownJob;
    const std::vector<Row> rows {
        { newJob, KeyKind::Known, 0, granted, granted },
        { newJob, KeyKind::Known, 1600, granted, granted },
        { newJob, KeyKind::Known, 1601, unavailable, unavailable },
        { newJob, KeyKind::None, 1600, unauthorized, unauthorized },
        { newJob, KeyKind::None, 1601, unavailable, unavailable },
        { newJob, KeyKind::Unknown, 1600, unauthorized, unauthorized },
        { newJob, KeyKind::Unknown, 1601, unavailable, unavailable },
        { count, KeyKind::Known, 1600, granted, granted },
        { count, KeyKind::Known, 1601, unavailable, unavailable },
        { count, KeyKind::Unknown, 1600, unauthorized, unauthorized },
        { count, KeyKind::Unknown, 1601, unavailable, unavailable },
        { known, KeyKind::Known, 1600, granted, granted },
        { known, KeyKind::Known, 1601, granted, unavailable },
        { known, KeyKind::Known, 5000, granted, unavailable },
        { known, KeyKind::Known, 5001, unavailable, unavailable },
        { known, KeyKind::None, 1600, unauthorized, unauthorized },
        { known, KeyKind::None, 1601, unavailable, unavailable },
        { known, KeyKind::Unknown, 1600, unauthorized, unauthorized },
        { known, KeyKind::Unknown, 5000, unavailable, unavailable },
    };
    for (const Row &row : rows) {
        CAPTURE(static_cast<int>(row.call), static_cast<int>(row.key), row.ageMs);
        const milliseconds age(row.ageMs);
        const Authentication outcome = site.authenticate(row.call, row.key, age);
        CHECK(outcome.outcome == row.expected);
        CHECK(site.authenticate(row.call, row.key, age, strict).outcome == row.expectedIfStrict);
        if (outcome.outcome == granted)
            CHECK(outcome.caller == Caller { Core::CustomerId("a"), true });
    }
}

// Guards against a catalogue of unknown age that counts as current.
TEST_CASE("A catalogue that was never complete grants nothing and refuses nothing for good")
{
    const SiteOfCustomers site;
    for (const KeyKind key : { KeyKind::None, KeyKind::Unknown, KeyKind::Known })
        CHECK(site.authenticate(CallKind::KnownJob, key, Core::Duration::max()).outcome
              == unavailable);
}

// Guards against a caller that loses sight of its job by sending its key at one call only.
TEST_CASE("A queue that allows anonymous calls ignores keys")
{
    SiteOfCustomers site;
    site.queue.allowsAnonymous = true;
    for (const KeyKind key : { KeyKind::None, KeyKind::Unknown, KeyKind::Known }) {
        for (const int ageMs : { 0, 6000 })
            CHECK(site.authenticate(CallKind::KnownJob, key, milliseconds(ageMs))
                  == Authentication { granted, { Core::CustomerId(), true } });
    }
}

// Guards against a site without customers that is served otherwise than before, and against one
// whose list of customers is empty and that is open to everyone.
TEST_CASE("A site without customers needs no keys, one with an empty list refuses every key")
{
    SiteOfCustomers site;
    site.keys = {};
    site.catalogue.customers = std::nullopt;
    CHECK(site.authenticate(CallKind::SubmitNewJob, KeyKind::None, milliseconds(6000))
          == Authentication { granted, {} });
    site.catalogue.customers = std::vector<Jobs::Customer> {};
    CHECK(site.authenticate(CallKind::SubmitNewJob, KeyKind::Known, milliseconds(0)).outcome
          == unauthorized);
}

// Guards against a customer that sees another's job, and an anonymous caller that sees one's.
TEST_CASE("A caller sees its customer's jobs and those without a customer")
{
    const Core::CustomerId none;
    const Core::CustomerId a("a");
    const Core::CustomerId b("b");
    const Caller ofA { a, true };
    CHECK(ofA.maySee(a));
    CHECK(ofA.maySee(none));
    CHECK_FALSE(ofA.maySee(b));
    const Caller anonymous { none, true };
    CHECK(anonymous.maySee(none));
    CHECK_FALSE(anonymous.maySee(a));
    const Caller atSiteWithoutCustomers;
    CHECK(atSiteWithoutCustomers.maySee(a));
    CHECK(atSiteWithoutCustomers.maySee(none));
}
