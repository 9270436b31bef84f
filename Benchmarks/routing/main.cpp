#include "DecisionCost.h"
#include "Simulation.h"

#include <cstdio>
#include <map>
#include <string>

using namespace RoutingBenchmark;
using namespace std::chrono_literals;

namespace {

constexpr double usualLoad = 0.7;

Shape compasLector()
{
    return { "Compás Lector", { 3, 2, 2 }, { 17, 17, 16 }, 500us };
}

Shape kopiga()
{
    return { "Kopīgā", { 3, 2, 2 }, { 22, 22, 21 }, 1ms };
}

Variant roundRobin()
{
    Variant variant { "round robin, no limits", {}, false, false };
    variant.settings.selection = Routing::SelectionPolicy::RoundRobin;
    variant.settings.isFair = false;
    variant.settings.hasEarlyRefusal = false;
    variant.settings.hasFaultDetection = false;
    variant.settings.maximumAttempts = 1;
    variant.settings.longestServiceTime = Core::Duration(0);
    return variant;
}

Variant leastInWork()
{
    Variant variant = roundRobin();
    variant.name = "least in work, unfair";
    variant.settings.selection = Routing::SelectionPolicy::LeastInWork;
    variant.hasLimits = true;
    return variant;
}

Variant lagoonford()
{
    return { "lagoonford", {}, true, true };
}

std::vector<Variant> allVariants()
{
    return { roundRobin(), leastInWork(), lagoonford() };
}

const char *met(bool isMet)
{
    return isMet ? "met" : "NOT MET";
}

void printIntegrity(const Results &results)
{
    std::printf(
        "      unknown %lld, wrong %lld, run twice %lld, most in work %d, most "
        "connections %d\n",
        static_cast<long long>(results.unknown), static_cast<long long>(results.wrongAnswers),
        static_cast<long long>(results.ranTwice), results.mostInWork, results.mostConnections);
}

/// The same load without faults.
const Results &usualResults(const Shape &shape, const Variant &variant)
{
    static std::map<std::string, Results> known;
    const std::string name = shape.name + variant.name;
    if (!known.contains(name))
        known[name] = Simulation(shape, variant, { .load = usualLoad }).run();
    return known[name];
}

void busyTeam(const Shape &shape)
{
    std::printf("  One club at 20 times its share, the others' load %.2f of capacity "
                "(target: small clubs' p99 at most 1.20 times)\n",
                usualLoad * 19 / 20);
    for (const Variant &variant : allVariants()) {
        const Results &usual = usualResults(shape, variant);
        const Results busy
            = Simulation(shape, variant,
                         { .load = usualLoad * (19 + 20) / 20, .busyTeamFactor = 20 })
                  .run();
        const double before = usual.smallTeams.quantile(0.99);
        const double after = busy.smallTeams.quantile(0.99);
        // A refused or unknown request of a small club is no good latency either.
        const double answered = static_cast<double>(busy.smallTeams.count())
            / static_cast<double>(usual.smallTeams.count());
        std::printf("    %-24s p99 %7.1f -> %7.1f ms, ratio %5.2f, small clubs' answers %5.3f of "
                    "usual: %s\n",
                    variant.name.c_str(), before, after, after / before, answered,
                    met(after <= 1.2 * before && answered > 0.98));
        printIntegrity(busy);
    }
}

void faultyServers(const Shape &shape, const char *title, const Scenario &faulty)
{
    std::printf("  %s, load %.2f (target: p99 at most 2.00 times, none wrong, none twice)\n", title,
                usualLoad);
    for (const Variant &variant : allVariants()) {
        const Results results = Simulation(shape, variant, faulty).run();
        const double before = usualResults(shape, variant).all.quantile(0.99);
        const double after = results.all.quantile(0.99);
        const bool isSafe = results.wrongAnswers == 0 && results.ranTwice == 0;
        std::printf("    %-24s p99 %7.1f -> %7.1f ms, ratio %5.2f, worst second %7.1f ms, refused "
                    "%zu of %zu: %s\n",
                    variant.name.c_str(), before, after, after / before, results.worstSecond(),
                    results.refusals.count(), results.refusals.count() + results.all.count(),
                    met(after <= 2 * before && isSafe));
        printIntegrity(results);
    }
}

void overload(const Shape &shape)
{
    double servers = 0;
    for (const int count : shape.servers)
        servers += count;
    const double capacity = servers * measuredServerCapacity();
    std::printf("  Twice the capacity of %.0f/s (target: goodput at least 0.90, refusals' p99 "
                "within 10 ms)\n",
                capacity);
    for (const Variant &variant : allVariants()) {
        const Results results = Simulation(shape, variant, { .load = 2 }).run();
        const double goodput = results.goodput / capacity;
        const double refusal = results.refusals.quantile(0.99);
        std::printf("    %-24s goodput %5.3f, refusals p99 %7.1f max %7.1f ms, answers p99 %7.1f "
                    "ms: %s\n",
                    variant.name.c_str(), goodput, refusal, results.refusals.quantile(1),
                    results.all.quantile(0.99), met(goodput >= 0.9 && refusal <= 10));
        printIntegrity(results);
    }
}

void domainOut(const Shape &shape)
{
    constexpr double load = 0.75;
    const Scenario out {
        .load = load, .duration = 36s, .measuredFrom = 5s, .outFrom = 8s, .outUntil = 20s
    };
    const double remaining = (shape.servers[0] + shape.servers[1]) * measuredServerCapacity();
    std::printf("  A domain out under load %.2f for 12 s and back (target: none cut off, work done "
                "at least 0.90 of the remaining capacity, p99 within 1.10 from 10 s after)\n",
                load);
    for (const Variant &variant : allVariants()) {
        const Results usual = Simulation(shape, variant, { .load = load }).run();
        const Results results = Simulation(shape, variant, out).run();
        const double work = results.goodputWhileOut / remaining;
        const double ratio = results.afterReturn.quantile(0.99) / usual.all.quantile(0.99);
        std::printf("    %-24s work %5.3f, p99 after %5.2f of steady %7.1f ms, refused %zu: %s\n",
                    variant.name.c_str(), work, ratio, usual.all.quantile(0.99),
                    results.refusals.count(),
                    met(work >= 0.9 && ratio <= 1.1 && results.unknown == 0));
        printIntegrity(results);
    }
}

void selections(const Shape &shape)
{
    std::printf("  Ways to choose a server (everything else ours)\n");
    const std::pair<const char *, Routing::SelectionPolicy> policies[]
        = { { "round robin", Routing::SelectionPolicy::RoundRobin },
            { "least in work", Routing::SelectionPolicy::LeastInWork },
            { "power of two choices", Routing::SelectionPolicy::PowerOfTwo },
            { "latency-aware", Routing::SelectionPolicy::LatencyAware } };
    for (const auto &[name, policy] : policies) {
        Variant variant = lagoonford();
        variant.settings.selection = policy;
        const auto p99 = [&](const Scenario &scenario) {
            return Simulation(shape, variant, scenario).run().all.quantile(0.99);
        };
        const Scenario slow { .load = usualLoad, .slowness = 10 };
        const double light = p99({ .load = 0.4 });
        const double usual = p99({ .load = usualLoad });
        const double detected = p99(slow);
        variant.settings.hasFaultDetection = false;
        std::printf("    %-24s p99 at load 0.4 %6.1f, 0.7 %6.1f; one in ten slow %6.1f, without "
                    "fault detection %6.1f ms\n",
                    name, light, usual, detected, p99(slow));
    }
}

void decisionCost()
{
    std::printf("Decision cost, ns per request: 22 servers %.0f idle, %.0f with a queue; 5 servers "
                "%.0f idle, %.0f with a queue\n",
                decisionNanoseconds(22, false), decisionNanoseconds(22, true),
                decisionNanoseconds(5, false), decisionNanoseconds(5, true));
}

void allScenarios(const Shape &shape)
{
    std::printf("%s: %.1f requests/s per server\n", shape.name.c_str(), measuredServerCapacity());
    busyTeam(shape);
    faultyServers(shape, "One in ten servers ten times slower",
                  { .load = usualLoad, .slowness = 10 });
    faultyServers(shape, "One in ten servers silent on open connections, at 5, 10 and 15 s",
                  { .load = usualLoad, .silences = { 5s, 10s, 15s } });
    overload(shape);
    domainOut(shape);
    selections(shape);
}

} // namespace

/// Runs everything, or only `compas`, `kopiga` or `cost`.
int main(int argumentCount, char **arguments)
{
    const std::string only = argumentCount > 1 ? arguments[1] : "";
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    if (only.empty() || only == "compas")
        allScenarios(compasLector());
    if (only.empty() || only == "kopiga")
        allScenarios(kopiga());
    if (only.empty() || only == "cost")
        decisionCost();
    return 0;
}
