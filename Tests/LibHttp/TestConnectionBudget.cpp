#include <LibHttp/ConnectionBudget.h>

#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <vector>

using Http::ConnectionBudget;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Use = ConnectionBudget::Use;

namespace {

/// A worker's connections as a client keeps them, without sockets.
class Peer final : public Http::IdleConnectionOwner
{
public:
    explicit Peer(ConnectionBudget &budget)
        : m_budget(budget)
    {
        m_budget.addPeer();
    }

    /// False if the call got no connection.
    bool begin(Use use)
    {
        if (!m_budget.tryBeginCall(use))
            return false;
        if (!m_idle.empty()) {
            m_budget.removeIdle(m_idle.back());
            m_idle.pop_back();
            return true;
        }
        ++openedConnections;
        // A call that may begin is never denied a new connection.
        REQUIRE(m_budget.tryOpen());
        return true;
    }
    void end(Use use, bool isAnswered, Core::Instant now)
    {
        if (isAnswered)
            m_idle.push_back(m_budget.addIdle(*this, now));
        else
            m_budget.onClosed();
        m_budget.endCall(use);
    }
    void closeLongestIdle() override
    {
        m_budget.removeIdle(m_idle.front());
        m_idle.pop_front();
        m_budget.onClosed();
        ++closedWhileIdle;
    }

    std::size_t openedConnections = 0;
    std::size_t closedWhileIdle = 0;

private:
    ConnectionBudget &m_budget;
    std::deque<ConnectionBudget::IdlePosition> m_idle;
};

/// The owner of the jobs with its workers in virtual time: each worker is sent a renewal whenever
/// the one before has ended and a pause has passed, and bursts of starts.
class OwnerSimulation
{
public:
    static constexpr std::size_t workerCount = 1100;

    explicit OwnerSimulation(std::size_t maxOpen)
        : budget(maxOpen)
        , m_maxOpen(maxOpen)
        , m_random(1)
    {
        for (std::size_t i = 0; i < workerCount; ++i) {
            workers.push_back(std::make_unique<Peer>(budget));
            // Spread over the first interval.
            m_events.emplace(m_now + renewalWait * i / workerCount,
                             Event { Event::Kind::Renew, i, false });
        }
    }

    /// From now on until \p end each fifth worker answers nothing.
    void silenceFifthUntil(Core::Instant end) { m_silentUntil = end; }
    Core::Instant now() const { return m_now; }

    void startOnEach(std::size_t count)
    {
        for (std::size_t worker = 0; worker < workerCount; ++worker)
            for (std::size_t i = 0; i < count; ++i)
                begin(Event::Kind::EndStart, worker);
    }
    void run(Core::Duration duration)
    {
        const Core::Instant end = m_now + duration;
        while (!m_events.empty() && m_events.begin()->first <= end) {
            const auto [due, event] = *m_events.begin();
            m_events.erase(m_events.begin());
            m_now = due;
            handle(event);
            budget.closeExpired(m_now, 1);
            mostOpen = std::max(mostOpen, budget.open());
        }
        m_now = end;
    }
    std::size_t openedConnections() const
    {
        std::size_t count = 0;
        for (const auto &worker : workers)
            count += worker->openedConnections;
        return count;
    }

    ConnectionBudget budget;
    std::vector<std::unique_ptr<Peer>> workers;
    std::size_t mostOpen = 0;
    std::size_t renewals = 0;
    std::size_t refusedRenewals = 0;
    std::size_t starts = 0;
    std::size_t refusedStarts = 0;

private:
    static constexpr milliseconds renewalWait { 1000 };
    static constexpr milliseconds renewalPause { 110 };
    static constexpr milliseconds renewalTimeout { 2000 };
    static constexpr milliseconds silentRenewalPause { 400 };
    static constexpr milliseconds startTimeout { 1000 };
    static constexpr std::size_t silentInterval = 5;

    struct Event
    {
        enum class Kind { Renew, EndRenewal, EndStart };
        Kind kind;
        std::size_t worker;
        bool isAnswered;
    };

    bool isSilent(std::size_t worker) const
    {
        return worker % silentInterval == 0 && m_now < m_silentUntil;
    }
    void begin(Event::Kind end, std::size_t worker)
    {
        const bool isRenewal = end == Event::Kind::EndRenewal;
        ++(isRenewal ? renewals : starts);
        const bool isAnswered = !isSilent(worker);
        if (!workers[worker]->begin(isRenewal ? Use::Essential : Use::Deferrable)) {
            ++(isRenewal ? refusedRenewals : refusedStarts);
            if (isRenewal)
                m_events.emplace(m_now + silentRenewalPause,
                                 Event { Event::Kind::Renew, worker, false });
            return;
        }
        const milliseconds startTime(std::uniform_int_distribution(2, 60)(m_random));
        const milliseconds answerTime = isRenewal ? renewalWait : startTime;
        const milliseconds timeout = isRenewal ? renewalTimeout : startTimeout;
        m_events.emplace(m_now + (isAnswered ? answerTime : timeout),
                         Event { end, worker, isAnswered });
    }
    void handle(const Event &event)
    {
        if (event.kind == Event::Kind::Renew) {
            begin(Event::Kind::EndRenewal, event.worker);
            return;
        }
        const bool isRenewal = event.kind == Event::Kind::EndRenewal;
        workers[event.worker]->end(isRenewal ? Use::Essential : Use::Deferrable, event.isAnswered,
                                   m_now);
        const milliseconds pause = event.isAnswered ? renewalPause : silentRenewalPause;
        if (isRenewal)
            m_events.emplace(m_now + pause, Event { Event::Kind::Renew, event.worker, false });
        REQUIRE(budget.open() <= m_maxOpen);
    }

    std::size_t m_maxOpen;
    std::mt19937 m_random;
    Core::Instant m_now = Core::Instant() + seconds(1);
    Core::Instant m_silentUntil;
    std::multimap<Core::Instant, Event> m_events;
};

} // namespace

TEST_CASE("Every renewal of 1,100 workers gets a connection whatever else is sent")
{
    const std::size_t maxOpen = GENERATE(as<std::size_t>(), 1300, 2200, 5300);
    OwnerSimulation owner(maxOpen);
    owner.run(seconds(2));

    SECTION("bursts of eight starts on each worker")
    {
        for (int burst = 0; burst < 10; ++burst) {
            owner.startOnEach(8);
            owner.run(milliseconds(300));
        }
    }
    SECTION("a fifth of the workers is silent for 5.5 s during the bursts")
    {
        owner.silenceFifthUntil(owner.now() + milliseconds(5500));
        for (int burst = 0; burst < 20; ++burst) {
            owner.startOnEach(8);
            owner.run(milliseconds(500));
        }
    }
    CHECK(owner.refusedRenewals == 0);
    CHECK(owner.renewals > OwnerSimulation::workerCount * 4);
    CHECK(owner.refusedStarts < owner.starts);
    CHECK(owner.mostOpen <= maxOpen);
    CHECK(owner.budget.refusedCalls() == owner.refusedStarts);
}

TEST_CASE("Connections are opened once while the budget isn't exhausted")
{
    OwnerSimulation owner(2300);
    for (int round = 0; round < 30; ++round) {
        owner.startOnEach(1);
        owner.run(seconds(1));
    }
    // One for the renewal and one for the start of each worker.
    CHECK(owner.openedConnections() <= 2 * OwnerSimulation::workerCount);
    CHECK(owner.refusedStarts == 0);
}

TEST_CASE("At the limit the connection that has been idle longest is closed, whoever owns it")
{
    ConnectionBudget budget(2);
    Peer first(budget);
    Peer second(budget);
    Peer third(budget);
    Core::Instant now = Core::Instant() + seconds(1);
    for (Peer *peer : { &second, &first }) {
        REQUIRE(peer->begin(Use::Essential));
        peer->end(Use::Essential, true, now);
        now += seconds(1);
    }
    REQUIRE(third.begin(Use::Essential));
    CHECK(second.closedWhileIdle == 1);
    CHECK(first.closedWhileIdle == 0);
    CHECK(budget.open() == 2);
    CHECK(budget.idle() == 1);
}

TEST_CASE("Idle connections expire in the order of their last use, a bounded number at a time")
{
    ConnectionBudget budget(10);
    Peer peer(budget);
    const Core::Instant now = Core::Instant() + seconds(1);
    for (int i = 0; i < 3; ++i)
        REQUIRE(peer.begin(Use::Essential));
    for (int i = 0; i < 3; ++i)
        peer.end(Use::Essential, true, now + seconds(i));

    budget.closeExpired(now + ConnectionBudget::idleTime - milliseconds(1), 10);
    CHECK(budget.idle() == 3);
    budget.closeExpired(now + ConnectionBudget::idleTime + seconds(1), 1);
    CHECK(budget.idle() == 2);
    budget.closeExpired(now + ConnectionBudget::idleTime + seconds(1), 10);
    CHECK(budget.idle() == 1);
    CHECK(budget.open() == 1);
}

TEST_CASE("Deferrable calls leave one connection for each known peer")
{
    ConnectionBudget budget(20);
    Peer first(budget);
    Peer second(budget);
    for (int i = 0; i < 18; ++i)
        REQUIRE(first.begin(Use::Deferrable));
    CHECK_FALSE(first.begin(Use::Deferrable));
    CHECK(budget.refusedCalls() == 1);
    CHECK(first.begin(Use::Essential));
    CHECK(second.begin(Use::Essential));
    CHECK_FALSE(second.begin(Use::Essential));
}

TEST_CASE("Deferrable calls get a part of the budget however many peers are known")
{
    ConnectionBudget budget(16);
    std::vector<std::unique_ptr<Peer>> peers;
    peers.reserve(100);
    while (peers.size() < 100)
        peers.push_back(std::make_unique<Peer>(budget));
    CHECK(peers[0]->begin(Use::Deferrable));
    CHECK(peers[1]->begin(Use::Deferrable));
    CHECK_FALSE(peers[2]->begin(Use::Deferrable));
}
