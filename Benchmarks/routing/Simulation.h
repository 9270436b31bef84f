#pragma once

#include "Results.h"
#include "Scenario.h"
#include "VirtualEntry.h"

#include <map>
#include <memory>
#include <random>
#include <vector>

namespace RoutingBenchmark {

/// What one backend server can do with all its slots in work, in requests per second.
double measuredServerCapacity();

/// Open-loop load on all entry VMs of one service in virtual time.
class Simulation
{
public:
    Simulation(const Shape &shape, const Variant &variant, const Scenario &scenario);
    Simulation(const Simulation &) = delete;
    Simulation &operator=(const Simulation &) = delete;

    Results run();

private:
    using Entry = RoutingWorld::VirtualEntry<Routing::RequestRouter>;

    void addDomain(std::size_t domain);
    void setDoors();
    void shareOut(std::size_t domain, bool isOut);
    void scheduleFaults();
    void scheduleNextArrival();
    void makeRequest();
    void finish(const std::string &id, const Routing::Outcome &outcome,
                const std::string &answerOf);
    bool isAffected(std::size_t server) const;

    Shape m_shape;
    Variant m_variant;
    Scenario m_scenario;
    std::mt19937_64 m_random;
    RoutingWorld::EventQueue m_events;
    Entry::Servers m_servers;
    RoutingWorld::RequestRecords m_records;
    std::vector<std::vector<std::unique_ptr<Entry>>> m_entries;
    std::vector<std::vector<Core::VmId>> m_serversOf;
    std::vector<Entry *> m_allEntries;
    double m_arrivalsPerSecond = 0;
    std::int64_t m_requests = 0;
    std::int64_t m_answered = 0;
    std::int64_t m_answeredWhileOut = 0;
    Results m_results;
};

} // namespace RoutingBenchmark
