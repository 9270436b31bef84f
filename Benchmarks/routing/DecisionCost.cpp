#include "DecisionCost.h"

#include <LibRouting/RequestRouter.h>

#include <chrono>
#include <deque>

namespace RoutingBenchmark {

namespace {

constexpr int requests = 300'000;
constexpr int teams = 20;
constexpr int slotsPerServer = 3;
constexpr int connectionsPerServer = 21;
constexpr Core::Duration serviceTime = std::chrono::milliseconds(50);

/// Sends and answers requests in order, as if every service took the same time.
class Driver
{
public:
    Driver(int servers, bool isSaturated)
        : m_router(Routing::RequestRouter::create({}, 1))
        , m_inWork(servers * (isSaturated ? slotsPerServer : slotsPerServer - 1))
        , m_queued(isSaturated ? servers : 0)
    {
        std::vector<Routing::BackendServerInfo> list;
        list.reserve(static_cast<std::size_t>(servers));
        for (int number = 0; number < servers; ++number)
            list.push_back({ Core::VmId("server" + std::to_string(number)), false, slotsPerServer,
                             connectionsPerServer });
        m_router.setServers(list, m_now);
    }

    void run()
    {
        for (int number = 0; number < requests; ++number) {
            request(number);
            while (static_cast<int>(m_sent.size()) >= m_inWork
                   && static_cast<int>(m_router.queued()) >= m_queued)
                answerOldest();
        }
    }

private:
    void request(int number)
    {
        Routing::RequestInfo info;
        info.id = Core::RequestId(std::to_string(number));
        info.team = Core::TeamId("club" + std::to_string(number % teams));
        info.isIdempotent = number % 2 == 0;
        info.arrivedAt = m_now;
        info.deadline = m_now + std::chrono::seconds(2);
        take(m_router.onRequest(info, m_now));
    }

    void answerOldest()
    {
        const Routing::Send oldest = m_sent.front().send;
        m_now = std::max(m_now, m_sent.front().at + serviceTime);
        m_sent.pop_front();
        take(m_router.onFirstByte(oldest.request, oldest.attempt, m_now));
        take(m_router.onAnswer(oldest.request, oldest.attempt, 200, m_now));
    }

    void take(const Routing::RouteActions &actions)
    {
        for (const Routing::RouteAction &action : actions) {
            if (const auto *send = std::get_if<Routing::Send>(&action))
                m_sent.push_back({ *send, m_now });
        }
        // The shell asks after every event.
        static_cast<void>(m_router.nextWakeUp());
    }

    struct Sent
    {
        Routing::Send send;
        Core::Instant at;
    };

    Routing::RequestRouter m_router;
    int m_inWork;
    int m_queued;
    Core::Instant m_now;
    std::deque<Sent> m_sent;
};

} // namespace

double decisionNanoseconds(int servers, bool isSaturated)
{
    Driver driver(servers, isSaturated);
    const auto begin = std::chrono::steady_clock::now();
    driver.run();
    const std::chrono::duration<double, std::nano> spent = std::chrono::steady_clock::now() - begin;
    return spent.count() / requests;
}

} // namespace RoutingBenchmark
