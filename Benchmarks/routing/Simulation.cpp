#include "Simulation.h"

#include "ServiceTime.h"

namespace RoutingBenchmark {

namespace {

constexpr int slotsPerServer = 8;
constexpr int connectionsPerServer = 64;
constexpr int unlimited = 1'000'000;
constexpr int teams = 20;
constexpr std::size_t affectedEvery = 10;
constexpr std::uint64_t seed = 20261203;
constexpr Core::Duration callerLink = std::chrono::milliseconds(3);
constexpr Core::Duration patience = std::chrono::seconds(2);
constexpr Core::Duration measuredAfterReturn = std::chrono::seconds(10);

double seconds(Core::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Core::FailureDomainId domainId(std::size_t domain)
{
    return Core::FailureDomainId("domain" + std::to_string(domain));
}

} // namespace

double measuredServerCapacity()
{
    RoutingWorld::EventQueue events;
    ServiceTime serviceTime(seed);
    RoutingWorld::VirtualServer server(
        events, Core::VmId("server"), slotsPerServer,
        [&](int running) { return serviceTime.draw(running, events.now()); });
    std::function<void()> feed = [&] { server.receive([&](int) { feed(); }); };
    for (int slot = 0; slot < slotsPerServer; ++slot)
        feed();
    constexpr Core::Duration length = std::chrono::minutes(10);
    events.runUntil(Core::Instant(length));
    return static_cast<double>(server.completed()) / seconds(length);
}

Simulation::Simulation(const Shape &shape, const Variant &variant, const Scenario &scenario)
    : m_shape(shape)
    , m_variant(variant)
    , m_scenario(scenario)
    , m_random(seed)
{
    static const double capacity = measuredServerCapacity();
    for (std::size_t domain = 0; domain < shape.entryVms.size(); ++domain) {
        addDomain(domain);
        m_arrivalsPerSecond += scenario.load * capacity * shape.servers[domain];
    }
    setDoors();
    scheduleFaults();
    scheduleNextArrival();
}

void Simulation::addDomain(std::size_t domain)
{
    m_entries.emplace_back();
    m_serversOf.emplace_back();
    for (int number = 0; number < m_shape.servers[domain]; ++number) {
        const Core::VmId id("server" + std::to_string(domain) + "-" + std::to_string(number));
        auto serviceTime = std::make_shared<ServiceTime>(m_random());
        m_servers[id] = std::make_shared<RoutingWorld::VirtualServer>(
            m_events, id, slotsPerServer, [this, serviceTime](int running) {
                return serviceTime->draw(running, m_events.now());
            });
        m_serversOf.back().push_back(id);
    }
    for (int number = 0; number < m_shape.entryVms[domain]; ++number) {
        auto router = Routing::RequestRouter::create(m_variant.settings, m_random());
        auto entry = std::make_unique<Entry>(m_events, m_servers, m_records, std::move(router));
        entry->setDomainDelay(m_shape.domainDelay);
        m_allEntries.push_back(entry.get());
        m_entries.back().push_back(std::move(entry));
    }
    shareOut(domain, false);
}

void Simulation::setDoors()
{
    for (std::size_t domain = 0; domain < m_entries.size(); ++domain) {
        std::vector<Routing::SpillOverOption> options;
        for (std::size_t other = 0; other < m_entries.size(); ++other) {
            if (other != domain)
                options.push_back({ domainId(other), m_shape.domainDelay * 2, true });
        }
        for (const auto &entry : m_entries[domain]) {
            entry->setDoors([this](const Core::FailureDomainId &id) {
                for (std::size_t other = 0; other < m_entries.size(); ++other) {
                    if (domainId(other) == id)
                        return m_entries[other][m_random() % m_entries[other].size()].get();
                }
                return static_cast<Entry *>(nullptr);
            });
            if (m_variant.hasSpillOver)
                entry->setSpillOver(options);
        }
    }
}

void Simulation::shareOut(std::size_t domain, bool isOut)
{
    const int parts = m_shape.entryVms[domain];
    for (int part = 0; part < parts; ++part) {
        std::vector<Routing::BackendServerInfo> servers;
        int number = 0;
        for (const Core::VmId &id : m_serversOf[domain]) {
            // What doesn't divide evenly goes round.
            const bool hasExtra = (part + number++) % parts < slotsPerServer % parts;
            const int slots = slotsPerServer / parts + (hasExtra ? 1 : 0);
            servers.push_back({ id, isOut, m_variant.hasLimits ? slots : unlimited,
                                m_variant.hasLimits ? connectionsPerServer / parts : unlimited });
        }
        m_entries[domain][static_cast<std::size_t>(part)]->setServers(servers);
    }
}

bool Simulation::isAffected(std::size_t server) const
{
    return server % affectedEvery == 0;
}

void Simulation::scheduleFaults()
{
    std::size_t number = 0;
    for (const auto &[id, server] : m_servers) {
        if (!isAffected(number++))
            continue;
        m_events.at(Core::Instant(m_scenario.faultAt),
                    [this, server = server] { server->setSlowness(m_scenario.slowness); });
        for (const Core::Duration at : m_scenario.silences) {
            m_events.at(Core::Instant(at), [this, id = id] {
                for (Entry *entry : m_allEntries)
                    entry->silence(id);
            });
        }
    }
    if (m_scenario.outFrom == m_scenario.outUntil)
        return;
    const std::size_t last = m_entries.size() - 1;
    m_events.at(Core::Instant(m_scenario.outFrom), [this, last] { shareOut(last, true); });
    m_events.at(Core::Instant(m_scenario.outUntil), [this, last] { shareOut(last, false); });
}

void Simulation::scheduleNextArrival()
{
    const double wait = std::exponential_distribution<>(m_arrivalsPerSecond)(m_random);
    m_events.after(Core::Duration(static_cast<std::int64_t>(wait * 1e6)), [this] {
        if (m_events.now() >= Core::Instant(m_scenario.duration))
            return;
        makeRequest();
        scheduleNextArrival();
    });
}

void Simulation::makeRequest()
{
    // A busy team's load comes on top of everybody's usual one.
    const double shares = teams - 1 + m_scenario.busyTeamFactor;
    const double drawn = std::uniform_real_distribution<>(0, shares)(m_random);
    const int team = drawn < m_scenario.busyTeamFactor
        ? 0
        : 1 + static_cast<int>(drawn - m_scenario.busyTeamFactor);
    const std::string id = std::to_string(m_requests++);
    Routing::RequestInfo &info = m_records[id].info;
    info.id = Core::RequestId(id);
    info.team = Core::TeamId("club" + std::to_string(team));
    info.isIdempotent = m_random() % 2 == 0;
    info.arrivedAt = m_events.now();
    info.deadline = m_events.now() + patience;
    Entry *entry = m_allEntries[m_random() % m_allEntries.size()];
    entry->request(info, [this, id](const auto &outcome, const auto &answerOf, int /*status*/) {
        finish(id, outcome, answerOf);
    });
}

void Simulation::finish(const std::string &id, const Routing::Outcome &outcome,
                        const std::string &answerOf)
{
    const RoutingWorld::RequestRecord &record = m_records.at(id);
    const Core::Duration sent = record.info.arrivedAt.time_since_epoch();
    if (sent < m_scenario.measuredFrom)
        return;
    const Core::Duration latency = m_events.now() - record.info.arrivedAt + callerLink * 2;
    if (std::holds_alternative<Routing::RefusedNotRun>(outcome)) {
        m_results.refusals.add(latency);
        return;
    }
    const bool isAnswered = std::holds_alternative<Routing::Answered>(outcome);
    m_results.unknown += isAnswered ? 0 : 1;
    m_results.wrongAnswers += isAnswered && answerOf != id ? 1 : 0;
    m_results.all.add(latency);
    m_results.bySecond[std::chrono::floor<std::chrono::seconds>(sent).count()].add(latency);
    const bool isBusy = record.info.team == Core::TeamId("club0");
    (isBusy ? m_results.busyTeam : m_results.smallTeams).add(latency);
    const Core::Duration ended = m_events.now().time_since_epoch();
    m_answered += isAnswered && ended <= m_scenario.duration ? 1 : 0;
    if (m_scenario.outFrom == m_scenario.outUntil)
        return;
    if (ended >= m_scenario.outFrom && ended < m_scenario.outUntil)
        m_answeredWhileOut += isAnswered ? 1 : 0;
    if (sent >= m_scenario.outUntil + measuredAfterReturn)
        m_results.afterReturn.add(latency);
}

Results Simulation::run()
{
    m_events.runUntil(Core::Instant(m_scenario.duration + patience * 2));
    for (const auto &[id, record] : m_records) {
        if (!record.info.isIdempotent && record.runs > 1)
            ++m_results.ranTwice;
    }
    for (const auto &[id, server] : m_servers) {
        m_results.mostInWork = std::max(m_results.mostInWork, server->mostInWork());
        m_results.mostConnections = std::max(m_results.mostConnections, server->mostConnections());
    }
    m_results.goodput
        = static_cast<double>(m_answered) / seconds(m_scenario.duration - m_scenario.measuredFrom);
    const double out = seconds(m_scenario.outUntil - m_scenario.outFrom);
    m_results.goodputWhileOut = out > 0 ? static_cast<double>(m_answeredWhileOut) / out : 0;
    return m_results;
}

} // namespace RoutingBenchmark
