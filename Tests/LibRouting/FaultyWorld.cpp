#include "FaultyWorld.h"

namespace RoutingWorld {

namespace {

constexpr int workers = 4;
constexpr int connectionLimit = 8;
constexpr int requestCount = 5000;
constexpr int loadMilliseconds = 5'000;
constexpr Core::Duration slack = std::chrono::milliseconds(1);
constexpr double tenTimes = 10;

Routing::RouterSettings settings()
{
    Routing::RouterSettings settings;
    settings.initialServiceTime = std::chrono::milliseconds(20);
    settings.maximumQueueWait = std::chrono::milliseconds(80);
    settings.longestSilence = std::chrono::milliseconds(300);
    settings.longestServiceTime = std::chrono::seconds(3);
    settings.serverIdleTimeout = VirtualEntry<FlawedRouter>::serverIdleTimeout;
    settings.slowServerTrialInterval = std::chrono::milliseconds(200);
    settings.breakerShortestPause = std::chrono::milliseconds(200);
    settings.breakerLongestPause = std::chrono::seconds(2);
    return settings;
}

} // namespace

FaultyWorld::FaultyWorld(std::uint64_t seed, Flaw flaw)
    : m_random(seed)
{
    addDomain("north", 2, 3, flaw);
    addDomain("south", 1, 2, flaw);
    for (Entry *entry : m_allEntries)
        entry->setDoors([this](const auto &failureDomain) { return doorOf(failureDomain); });
    for (const auto &[name, entries] : m_entries) {
        shareOut(name);
        const std::string other = name == "north" ? "south" : "north";
        for (const auto &entry : entries)
            entry->setSpillOver(
                { { Core::FailureDomainId(other), std::chrono::milliseconds(1), true } });
    }
}

void FaultyWorld::addDomain(const std::string &name, int entries, int servers, Flaw flaw)
{
    for (int number = 0; number < servers; ++number) {
        const Core::VmId id(name + std::to_string(number));
        const auto serviceTime = [this](int /*running*/) {
            constexpr std::uint64_t shortest = 5'000;
            constexpr std::uint64_t spread = 30'000;
            return Core::Duration(static_cast<std::int64_t>(shortest + m_random.below(spread)));
        };
        m_servers[id] = std::make_shared<VirtualServer>(m_events, id, workers, serviceTime);
        m_serversOf[name].push_back(id);
        m_allServers.push_back(id);
    }
    for (int number = 0; number < entries; ++number) {
        auto entry = std::make_unique<Entry>(m_events, m_servers, m_records,
                                             FlawedRouter(settings(), m_random.next(), flaw));
        entry->setReadingOn(m_random.below(2) == 0);
        m_allEntries.push_back(entry.get());
        m_entries[name].push_back(std::move(entry));
    }
}

void FaultyWorld::setReusingAbandoned(bool isReusing)
{
    for (Entry *entry : m_allEntries)
        entry->setReusingAbandoned(isReusing);
}

FaultyWorld::Entry *FaultyWorld::doorOf(const Core::FailureDomainId &failureDomain)
{
    const auto &entries = m_entries.at(failureDomain.text());
    return entries[m_random.below(entries.size())].get();
}

void FaultyWorld::shareOut(const std::string &domain)
{
    const auto &entries = m_entries.at(domain);
    const int parts = static_cast<int>(entries.size());
    std::vector<Routing::BackendServerInfo> servers;
    for (const Core::VmId &id : m_serversOf.at(domain)) {
        const bool isLeaving = m_leaving.contains(id) || m_domainsOut.contains(domain);
        servers.push_back({ id, isLeaving, workers / parts, connectionLimit / parts });
    }
    for (const auto &entry : entries)
        entry->setServers(servers);
}

std::set<Violation> FaultyWorld::run(const std::vector<Fault> &faults)
{
    for (const Fault &fault : faults)
        schedule(fault);
    startLoad();
    m_events.runUntil(Core::Instant(std::chrono::seconds(20)));
    for (Entry *entry : m_allEntries) {
        if (!entry->router().isIdle())
            m_violations.insert(Violation::StuckWhenLeaving);
        if (entry->violationsOfLeaving() > 0)
            m_violations.insert(Violation::SentToLeavingServer);
    }
    for (const auto &[id, record] : m_records)
        judge(record);
    judgeServers();
    return m_violations;
}

void FaultyWorld::startLoad()
{
    for (int number = 0; number < requestCount; ++number) {
        const auto at = static_cast<std::int64_t>(m_random.below(loadMilliseconds * 1000));
        m_events.at(Core::Instant(Core::Duration(at)), [this, number] { makeRequest(number); });
    }
}

void FaultyWorld::makeRequest(int number)
{
    Entry *entry = m_allEntries[m_random.below(m_allEntries.size())];
    RequestRecord &record = m_records["r" + std::to_string(number)];
    constexpr std::uint64_t teams = 5;
    constexpr std::uint64_t shortestWait = 30;
    constexpr std::uint64_t waitSpread = 1'500;
    record.info.id = Core::RequestId("r" + std::to_string(number));
    record.info.team = Core::TeamId("team" + std::to_string(m_random.below(teams)));
    record.info.isIdempotent = m_random.below(2) == 0;
    record.info.arrivedAt = m_events.now();
    record.info.deadline
        = m_events.now() + std::chrono::milliseconds(shortestWait + m_random.below(waitSpread));
    entry->request(record.info,
                   [this, &record](const auto &outcome, const auto &answerOf, int status) {
                       ++record.finishes;
                       record.finishedAt = m_events.now();
                       record.outcome = outcome;
                       record.answerOf = answerOf;
                       record.status = status;
                   });
}

void FaultyWorld::schedule(const Fault &fault)
{
    const auto at = Core::Instant(std::chrono::milliseconds(fault.atMilliseconds));
    m_events.at(at, [this, fault] { begin(fault); });
    m_events.at(at + std::chrono::milliseconds(fault.durationMilliseconds),
                [this, fault] { end(fault); });
}

void FaultyWorld::begin(const Fault &fault)
{
    VirtualServer &server = serverOf(fault);
    const std::string domain = fault.target % 2 == 0 ? "north" : "south";
    switch (fault.kind) {
    case Fault::Kind::FreezeServer:
        server.freeze(std::chrono::milliseconds(fault.durationMilliseconds));
        break;
    case Fault::Kind::SlowServer:
        server.setSlowness(tenTimes);
        break;
    case Fault::Kind::KillServer:
        server.kill();
        for (Entry *entry : m_allEntries)
            entry->onServerKilled(server.id());
        break;
    case Fault::Kind::SilenceConnections:
        for (Entry *entry : m_allEntries)
            entry->silence(server.id());
        break;
    case Fault::Kind::FailFast:
        server.setFailing(true);
        break;
    case Fault::Kind::LeavingServer:
        m_leaving.insert(server.id());
        break;
    case Fault::Kind::FreezeEntry:
        m_hasFrozenEntries = true;
        entryOf(fault).freeze(std::chrono::milliseconds(fault.durationMilliseconds));
        break;
    case Fault::Kind::DomainOut:
        m_domainsOut.insert(domain);
        break;
    case Fault::Kind::LeavingEntry:
        entryOf(fault).beginLeaving();
        break;
    case Fault::Kind::CallerGone:
        for (const auto &[id, record] : m_records) {
            if (record.finishes == 0 && m_random.below(2) == 0)
                entryOf(fault).callerGone(record.info.id);
        }
        break;
    case Fault::Kind::KindCount:
        break;
    }
    shareOut("north");
    shareOut("south");
}

void FaultyWorld::end(const Fault &fault)
{
    VirtualServer &server = serverOf(fault);
    if (fault.kind == Fault::Kind::SlowServer)
        server.setSlowness(1);
    if (fault.kind == Fault::Kind::KillServer)
        server.restart();
    if (fault.kind == Fault::Kind::FailFast)
        server.setFailing(false);
    if (fault.kind == Fault::Kind::LeavingServer)
        m_leaving.erase(server.id());
    if (fault.kind == Fault::Kind::DomainOut)
        m_domainsOut.erase(fault.target % 2 == 0 ? "north" : "south");
    shareOut("north");
    shareOut("south");
}

FaultyWorld::Entry &FaultyWorld::entryOf(const Fault &fault)
{
    return *m_allEntries[static_cast<std::size_t>(fault.target) % m_allEntries.size()];
}

VirtualServer &FaultyWorld::serverOf(const Fault &fault)
{
    return *m_servers.at(
        m_allServers[static_cast<std::size_t>(fault.target) % m_allServers.size()]);
}

void FaultyWorld::judge(const RequestRecord &record)
{
    if (record.finishes != 1)
        m_violations.insert(Violation::NotFinishedOnce);
    if (record.finishes == 0)
        return;
    if (!record.info.isIdempotent && record.runs > 1)
        m_violations.insert(Violation::RanTwice);
    if (!m_hasFrozenEntries && record.finishedAt > record.info.deadline + slack)
        m_violations.insert(Violation::FinishedLate);
    const bool isRefused = std::holds_alternative<Routing::RefusedNotRun>(record.outcome);
    const bool isAnswered = std::holds_alternative<Routing::Answered>(record.outcome);
    if (isRefused && record.timesWritten > 0)
        m_violations.insert(Violation::RefusedButWritten);
    if (isAnswered && record.answerOf != record.info.id.text())
        m_violations.insert(Violation::WrongAnswer);
    m_answered += isAnswered ? 1 : 0;
    m_refused += isRefused ? 1 : 0;
    m_unknown += isAnswered || isRefused ? 0 : 1;
}

void FaultyWorld::judgeServers()
{
    for (const auto &[id, server] : m_servers) {
        if (server->mostInWork() > workers)
            m_violations.insert(Violation::TooManyInWork);
        if (server->mostConnections() > connectionLimit)
            m_violations.insert(Violation::TooManyConnections);
    }
}

} // namespace RoutingWorld
