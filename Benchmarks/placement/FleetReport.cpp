#include "FleetReport.h"

#include "Simulation.h"
#include "Verdict.h"

#include <LibPlacement/EvictOnAlarmScheduler.h>
#include <LibPlacement/FirstFitScheduler.h>
#include <LibPlacement/InformedScheduler.h>

#include <algorithm>
#include <cstdio>

namespace PlacementBenchmark {

namespace {

constexpr int domains = 4;
constexpr double targetUrgentSeconds = 1.9;
constexpr double targetWorkDuringOutage = 0.9;
constexpr double targetPartOfEvictions = 0.5;
constexpr double outPart = 0.4;
constexpr double backPart = 0.7;

struct Comparison
{
    SimulationResult firstFit;
    SimulationResult evictOnAlarm;
    SimulationResult informed;
    SimulationResult informedWithOutage;
};

std::unique_ptr<Placement::Scheduler> createInformed(int domain)
{
    Placement::SchedulerSettings settings;
    settings.failureDomain = domainNamed(domain);
    settings.failureDomainCount = domains;
    settings.seed = domain + 1;
    return Placement::InformedScheduler::create(settings);
}

std::unique_ptr<Placement::Scheduler> createFirstFit(int domain)
{
    return std::make_unique<Placement::FirstFitScheduler>(domainNamed(domain));
}

std::unique_ptr<Placement::Scheduler> createEvictOnAlarm(int domain)
{
    const double alarm = Placement::InterferenceSettings {}.alarmSlowdown;
    return std::make_unique<Placement::EvictOnAlarmScheduler>(domainNamed(domain), alarm);
}

std::size_t evictions(const SimulationResult &result)
{
    return result.evictionsForInterference + result.evictionsForUrgentWork;
}

void printResult(const char *name, const SimulationResult &result)
{
    std::printf("%-20s %7zu %7zu %7zu %8zu %8zu %9.0f %9.0f %6.2f %6.2f %6.2f %7.2f %7.2f %7zu"
                " %6zu %5zu %6zu %6zu\n",
                name, result.evictionsForInterference, result.evictionsForUrgentWork,
                result.evictionsForOutage, result.throttles, result.finishedBatch, result.batchWork,
                result.latencyCriticalSeconds, result.slowdownMedian, result.slowdownP95,
                result.slowdownP99, result.urgentDelayMedian, result.urgentDelayP99, result.starts,
                result.waitingAtEnd, result.held, result.heldSoundJobs, result.failures);
}

void printTable(const Comparison &comparison)
{
    std::printf("%-20s %7s %7s %7s %8s %8s %9s %9s %6s %6s %6s %7s %7s %7s %6s %5s %6s %6s\n",
                "scheduler", "ev.alrm", "ev.room", "ev.out", "throttle", "finished", "batch",
                "critical", "slow50", "slow95", "slow99", "delay50", "delay99", "starts", "wait",
                "held", "h.good", "failed");
    printResult("first fit", comparison.firstFit);
    printResult("evict on alarm", comparison.evictOnAlarm);
    printResult("informed", comparison.informed);
    printResult("informed, one out", comparison.informedWithOutage);
}

void printTargets(const Comparison &comparison)
{
    const SimulationResult &informed = comparison.informed;
    const SimulationResult &outage = comparison.informedWithOutage;
    const double part = static_cast<double>(evictions(informed))
        / static_cast<double>(std::max<std::size_t>(1, evictions(comparison.evictOnAlarm)));
    std::printf("  evictions: %.2f of evict on alarm's, at most %.1f: %s\n", part,
                targetPartOfEvictions, verdict(part <= targetPartOfEvictions));
    const double ofFirstFit = informed.batchWork / comparison.firstFit.batchWork;
    const double ofAlarm = informed.batchWork / comparison.evictOnAlarm.batchWork;
    std::printf("  batch work: %.3f of first fit's %s, %.3f of evict on alarm's %s\n", ofFirstFit,
                verdict(ofFirstFit >= 1.0), ofAlarm, verdict(ofAlarm >= 1.0));
    const double tail
        = std::min(comparison.firstFit.slowdownP99, comparison.evictOnAlarm.slowdownP99);
    std::printf("  tail slowdown (p99): %.2f against %.2f: %s\n", informed.slowdownP99, tail,
                verdict(informed.slowdownP99 < tail));
    std::printf("  urgent start p99: %.2f s %s; one domain out %.2f s %s; at most %.1f s\n",
                informed.urgentDelayP99, verdict(informed.urgentDelayP99 <= targetUrgentSeconds),
                outage.urgentDelayP99, verdict(outage.urgentDelayP99 <= targetUrgentSeconds),
                targetUrgentSeconds);
    std::printf("  work during a domain's leaving and return: %.3f of what the rest could do,"
                " at least %.1f: %s\n\n",
                outage.workDuringOutage, targetWorkDuringOutage,
                verdict(outage.workDuringOutage >= targetWorkDuringOutage));
}

void reportLoad(int seconds, std::uint64_t seed, double batchLoad)
{
    TraceSettings settings;
    settings.length = std::chrono::seconds(seconds);
    settings.seed = seed;
    settings.batchLoad = batchLoad;
    const Trace trace = generateTrace(settings);
    std::printf("%d s of %d domains, 660 workers, seed %llu, batch load %.2f: %zu tasks\n", seconds,
                domains, static_cast<unsigned long long>(seed), batchLoad, trace.tasks.size());
    const DomainOutage outage { domains - 1, seconds * outPart, seconds * backPart };
    const Comparison comparison {
        Simulation(trace, domains, createFirstFit, {}).run(seconds),
        Simulation(trace, domains, createEvictOnAlarm, {}).run(seconds),
        Simulation(trace, domains, createInformed, {}).run(seconds),
        Simulation(trace, domains, createInformed, outage).run(seconds),
    };
    printTable(comparison);
    printTargets(comparison);
}

} // namespace

void reportFleet(int seconds, std::uint64_t seed)
{
    constexpr double roomToSpare = 0.9;
    constexpr double overload = 1.05;
    reportLoad(seconds, seed, roomToSpare);
    reportLoad(seconds, seed, overload);
}

} // namespace PlacementBenchmark
