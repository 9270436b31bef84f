#include <LibRouting/KeyTable.h>
#include <LibRouting/Random.h>

#include <rapidcheck/catch.h>

#include <set>

using namespace Routing;
using Core::Duration;
using Core::Instant;
using Core::RequestId;
using Core::VmId;

namespace {

const Core::TeamId team("club");
const Core::FailureDomainId domain("puebla");
constexpr Duration lifetime = std::chrono::minutes(10);
constexpr Duration tolerance = std::chrono::seconds(5);
constexpr Duration leaseLength = std::chrono::seconds(10);

KeyTableSettings settings()
{
    KeyTableSettings settings;
    settings.lifetime = lifetime;
    settings.clockTolerance = tolerance;
    return settings;
}

/// Entry VMs of one domain that own keys, lose them, restart, and are cut off. The leases are
/// those of another module: a new view is in force once the old one's lease has lapsed.
class KeyWorld
{
public:
    explicit KeyWorld(std::uint64_t seed, bool isNaive)
        : m_random(seed)
        , m_isNaive(isNaive)
    {
        m_view.failureDomains = { domain };
        m_view.members = { VmId("a"), VmId("b"), VmId("c") };
        for (const VmId &member : m_view.members)
            restart(member);
        publish();
    }

    void step()
    {
        m_now += std::chrono::milliseconds(m_random.below(4'000));
        switch (m_random.below(40)) {
        case 0:
            changeMembers();
            break;
        case 1:
            restart(m_all[m_random.below(3)]);
            break;
        case 2:
            m_cutOff = m_all[m_random.below(3)];
            break;
        case 3:
            m_cutOff = VmId();
            break;
        default:
            useKey();
        }
        renew();
    }

    int mostRuns() const
    {
        int most = 0;
        for (const auto &[key, count] : m_runs)
            most = std::max(most, count);
        return most;
    }
    int runs() const { return static_cast<int>(m_runs.size()); }
    int refusals() const { return m_refusals; }

private:
    struct Member
    {
        KeyTable table;
        KeyOwnership ownership;
        MembershipView seen;
    };

    void restart(const VmId &id)
    {
        m_members.insert_or_assign(
            id, Member { KeyTable(settings()), KeyOwnership(id, domain, lifetime), {} });
    }

    void changeMembers()
    {
        m_view.members.clear();
        for (const VmId &id : m_all) {
            if (m_random.below(3) != 0)
                m_view.members.push_back(id);
        }
        // Whoever held the old view may act upon it until its lease has lapsed.
        m_view.ownerSince = std::max(m_view.leaseUntil, m_now);
        m_view.leaseUntil = m_view.ownerSince + leaseLength;
        ++m_view.version;
        publish();
    }

    void renew()
    {
        if (m_now >= m_view.ownerSince)
            m_view.leaseUntil = std::max(m_view.leaseUntil, m_now + leaseLength);
        publish();
    }

    void publish()
    {
        for (auto &[id, member] : m_members) {
            if (id != m_cutOff)
                member.ownership.setView(m_view, m_now);
        }
    }

    void useKey()
    {
        // A key is used again with its own issue time, after seconds or minutes.
        const bool isNew = m_keys.empty() || m_random.below(3) == 0;
        if (isNew)
            m_keys.push_back(
                { "key" + std::to_string(m_keys.size()), m_now + skew(), m_random.below(4) == 0 });
        const Key &key = m_keys[isNew ? m_keys.size() - 1 : m_random.below(m_keys.size())];
        if (key.isOpaque && m_now > key.issuedAt + lifetime - tolerance)
            return;
        // Some entry VM asks whom it takes for the owner; it may be wrong.
        Member &asked = m_members.at(m_all[m_random.below(3)]);
        const VmId owner = asked.ownership.ownerOf(team, key.name);
        if (owner.isEmpty() || (owner == m_cutOff && m_random.below(2) == 0))
            return;
        const RequestId request("r" + std::to_string(++m_requests));
        begin(m_members.at(owner), key.name, request,
              key.isOpaque ? std::nullopt : std::optional<Instant>(key.issuedAt));
    }

    void begin(Member &owner, const std::string &key, const RequestId &request,
               std::optional<Instant> issuedAt)
    {
        if (m_isNaive && issuedAt)
            issuedAt = m_now;
        const KeyDecision decision
            = owner.table.begin(team, key, request, issuedAt, owner.ownership, m_now);
        if (!std::holds_alternative<Run>(decision)) {
            ++m_refusals;
            return;
        }
        if (m_random.below(5) == 0) {
            owner.table.finishNotRun(team, key, request);
            return;
        }
        ++m_runs[key];
        if (m_random.below(3) == 0)
            owner.table.giveUp(team, key, request, m_now);
        else if (m_random.below(3) != 0)
            owner.table.finish(team, key, request, { 200, "done", false }, m_now);
    }

    Duration skew()
    {
        const auto width = static_cast<std::uint64_t>(2 * tolerance.count());
        return Duration(static_cast<std::int64_t>(m_random.below(width))) - tolerance;
    }

    struct Key
    {
        std::string name;
        Instant issuedAt;
        bool isOpaque = false;
    };

    Random m_random;
    bool m_isNaive;
    Instant m_now = Instant(std::chrono::hours(1));
    const std::vector<VmId> m_all { VmId("a"), VmId("b"), VmId("c") };
    MembershipView m_view {
        1, {}, {}, Instant(std::chrono::hours(1)), Instant(std::chrono::hours(1)) + leaseLength
    };
    std::map<VmId, Member> m_members;
    VmId m_cutOff;
    std::vector<Key> m_keys;
    std::map<std::string, int> m_runs;
    int m_requests = 0;
    int m_refusals = 0;
};

} // namespace

TEST_CASE("A caller's key runs its request at most once")
{
    const auto mostRuns = [](std::uint64_t seed, bool isNaive) {
        KeyWorld world(seed, isNaive);
        for (int step = 0; step < 400; ++step)
            world.step();
        return world.mostRuns();
    };
    SECTION("keys do get run, and repeated ones refused")
    {
        KeyWorld world(1, false);
        for (int step = 0; step < 400; ++step)
            world.step();
        CHECK(world.runs() > 20);
        CHECK(world.refusals() > 20);
    }
    rc::prop("over changes of owner, restarts, cuts and clocks that differ",
             [&](std::uint64_t seed) { RC_ASSERT(mostRuns(seed, false) <= 1); });
    SECTION("an owner that trusts itself to know all keys would run one twice")
    {
        bool isFound = false;
        for (std::uint64_t seed = 1; seed <= 20 && !isFound; ++seed)
            isFound = mostRuns(seed, true) > 1;
        CHECK(isFound);
    }
}

TEST_CASE("A repetition meets the first outcome")
{
    const Instant start(std::chrono::hours(1));
    const Instant now = start + std::chrono::minutes(1);
    KeyOwnership ownership(VmId("a"), domain, lifetime);
    ownership.setView({ 1, { domain }, { VmId("a") }, start, now + lifetime * 3 }, start);
    KeyTable table(settings());
    const auto begin = [&](const char *request, Instant at) {
        return table.begin(team, "key", RequestId(request), now, ownership, at);
    };
    CHECK(begin("first", now) == KeyDecision(Run {}));
    SECTION("while the first use is in progress, another one is told so")
    {
        CHECK(begin("second", now) == KeyDecision(InProgress {}));
        SECTION("but the first one may ask again, as the answer may have been lost")
        {
            CHECK(begin("first", now) == KeyDecision(Run {}));
        }
    }
    SECTION("the stored outcome is given as long as keys live, and afterwards a refusal")
    {
        const StoredOutcome outcome { 201, "planned", false };
        table.finish(team, "key", RequestId("first"), outcome, now);
        CHECK(begin("second", now + lifetime / 2) == KeyDecision(Known { outcome }));
        CHECK(std::holds_alternative<RefusedMayHaveRun>(begin("third", now + lifetime * 2)));
        CHECK(table.size() == 0);
    }
    SECTION("a request that certainly didn't run leaves the key free")
    {
        table.finishNotRun(team, "key", RequestId("first"));
        CHECK(begin("second", now) == KeyDecision(Run {}));
    }
    SECTION("an unknown end is told as such until it is learnt")
    {
        table.giveUp(team, "key", RequestId("first"), now);
        CHECK(std::holds_alternative<RefusedMayHaveRun>(begin("second", now)));
        table.finish(team, "key", RequestId("first"), { 200, "", false }, now);
        CHECK(std::holds_alternative<Known>(begin("second", now)));
    }
}
