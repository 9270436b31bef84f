#include "VirtualEntry.h"

#include <catch2/catch.hpp>

#include <set>

using namespace RoutingWorld;
using Core::Instant;
using Core::VmId;
using Routing::RequestRouter;

namespace {

constexpr int serverCount = 5;
constexpr int slots = 8;
constexpr Core::Duration patience = std::chrono::seconds(1);

/// One entry VM with five servers that take 20 ms a request; the first one may be faulty.
class SmallWorld
{
public:
    explicit SmallWorld(const Routing::RouterSettings &settings)
        : m_entry(m_events, m_servers, m_records, RequestRouter::create(settings, 1))
    {
        std::vector<Routing::BackendServerInfo> infos;
        for (int number = 0; number < serverCount; ++number) {
            const VmId id("server" + std::to_string(number));
            m_servers[id] = std::make_shared<VirtualServer>(
                m_events, id, slots, [](int) { return std::chrono::milliseconds(20); });
            infos.push_back({ id, false, slots, 64 });
        }
        m_entry.setServers(infos);
    }

    VirtualServer &first() { return *m_servers.at(VmId("server0")); }
    const RequestRecords &records() const { return m_records; }

    /// Requests at a steady pace for some seconds; returns the part that the first server finished.
    double partOfFirst(int perSecond, int seconds)
    {
        for (int number = 0; number < perSecond * seconds; ++number) {
            m_events.after(Core::Duration(1'000'000LL * number / perSecond),
                           [this] { request(m_requests++); });
        }
        const auto before = first().completed();
        m_events.runUntil(m_events.now() + std::chrono::seconds(seconds + 2));
        return static_cast<double>(first().completed() - before) / (perSecond * seconds);
    }

private:
    void request(int number)
    {
        const std::string id = std::to_string(number);
        RequestRecord &record = m_records[id];
        record.info = { Core::RequestId(id), Core::TeamId("club"),      true, "",
                        m_events.now(),      m_events.now() + patience, false };
        m_entry.request(record.info, [&record](const auto &outcome, const auto &, int status) {
            record.outcome = outcome;
            record.status = status;
        });
    }

    int m_requests = 0;
    EventQueue m_events;
    VirtualEntry<RequestRouter>::Servers m_servers;
    RequestRecords m_records;
    VirtualEntry<RequestRouter> m_entry;
};

Routing::RouterSettings naive()
{
    Routing::RouterSettings settings;
    settings.selection = Routing::SelectionPolicy::LeastInWork;
    settings.hasFaultDetection = false;
    return settings;
}

double partOfFailingServer(const Routing::RouterSettings &settings)
{
    SmallWorld world(settings);
    world.first().setFailing(true);
    return world.partOfFirst(1'000, 10);
}

} // namespace

TEST_CASE("A server that fails everything fast doesn't attract traffic")
{
    SECTION("it gets a trial now and then")
    {
        CHECK(partOfFailingServer({}) < 0.01);
    }
    SECTION("least in work without a breaker sends it more than its share")
    {
        CHECK(partOfFailingServer(naive()) > 1.0 / serverCount);
    }
    SECTION("it gets its share back when it is well again")
    {
        SmallWorld world({});
        world.first().setFailing(true);
        world.partOfFirst(1'000, 1);
        world.first().setFailing(false);
        CHECK(world.partOfFirst(1'000, 20) > 0.5 / serverCount);
    }
}

TEST_CASE("Retries don't multiply the load when everything fails")
{
    const auto router = [](double burst) {
        Routing::RouterSettings settings;
        settings.retryBurst = burst;
        RequestRouter made = RequestRouter::create(settings, 1);
        made.setServers({ { VmId("only"), false, 10'000, 10'000 } }, Instant());
        return made;
    };
    constexpr int requests = 1'000;
    const auto sends = [&](RequestRouter made) {
        int sent = 0;
        const std::function<void(const Routing::RouteActions &)> fail
            = [&](const Routing::RouteActions &actions) {
                  for (const auto &action : actions) {
                      const auto *send = std::get_if<Routing::Send>(&action);
                      if (!send)
                          continue;
                      ++sent;
                      fail(made.onAnswer(send->request, send->attempt, 503, Instant()));
                  }
              };
        for (int number = 0; number < requests; ++number)
            fail(made.onRequest({ Core::RequestId(std::to_string(number)), Core::TeamId("club"),
                                  true, "", Instant(), Instant(patience), false },
                                Instant()));
        return sent;
    };
    // With one server the breaker stays closed, so that only the budget can bound the retries.
    CHECK(sends(router(10)) <= requests * 1.1 + 10);
    CHECK(sends(router(1e9)) > requests * 2);
}

TEST_CASE("Refused callers are told at once, and to come back spread over time")
{
    Routing::RouterSettings settings;
    RequestRouter router = RequestRouter::create(settings, 1);
    router.setServers({ { VmId("only"), false, 2, 64 } }, Instant());
    std::set<Instant> returns;
    int refused = 0;
    for (int number = 0; number < 500; ++number) {
        const auto actions
            = router.onRequest({ Core::RequestId(std::to_string(number)), Core::TeamId("club"),
                                 true, "", Instant(), Instant(patience), false },
                               Instant());
        for (const auto &action : actions) {
            const auto *finish = std::get_if<Routing::Finish>(&action);
            if (!finish)
                continue;
            const auto &refusal = std::get<Routing::RefusedNotRun>(finish->outcome);
            ++refused;
            returns.insert(refusal.retryAfter);
            CHECK(refusal.retryAfter <= Instant(settings.longestRetryAfter));
        }
    }
    CHECK(refused > 400);
    // Two slots of 50 ms drain 40 requests a second, so 400 callers are spread over 10 s.
    CHECK(static_cast<int>(returns.size()) == refused);
    CHECK(*returns.rbegin() - *returns.begin() > std::chrono::seconds(9));
}
