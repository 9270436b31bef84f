// What a run costs its owner in instructions: run-costs start|renewal|decisions, under callgrind
// with --instr-atstart=no --separate-threads=yes. Prints how often the counted part was done.

#include "CountedCalls.h"
#include "OwnerLoadSimulation.h"

#include <valgrind/callgrind.h>

#include <iostream>
#include <stdexcept>
#include <string>

static void countCalls(std::size_t (CountedCalls::*call)(std::size_t))
{
    constexpr std::size_t calls = 400;
    // The first calls open the connections, and learn which process answers on them.
    constexpr std::size_t callsBefore = 2 * CountedCalls::workers;
    CountedCalls site;
    for (std::size_t i = 0; i < callsBefore; ++i)
        (site.*call)(i % CountedCalls::workers);
    CALLGRIND_START_INSTRUMENTATION;
    for (std::size_t i = 0; i < calls; ++i)
        (site.*call)(i % CountedCalls::workers);
    CALLGRIND_STOP_INSTRUMENTATION;
    if (site.succeeded() != callsBefore + calls)
        throw std::runtime_error("a call has failed");
    std::cout << calls << '\n';
}

/// What comes in on a large site, in virtual time: all decisions on its runs, from the submissions
/// to the records that the jobs are done. Includes the simulation of the workers.
static void countDecisions()
{
    constexpr int workers = 1100;
    constexpr Core::Duration warmUp = std::chrono::seconds(8);
    constexpr Core::Duration counted = std::chrono::seconds(2);
    const QueueLoad urgent { "urgent", 0, 16.5, 1, 2, 13, 1000, 6000, false, 1.5, 250 };
    const QueueLoad ordinary { "ordinary", 2, 24, 2, 2, 40, 2200, 3500, false, 1.5, 1000 };
    const QueueLoad lasting { "lasting", 0, 1.19, 1, 1, 24, 320, 500, true, 1.5, 2500 };
    OwnerLoadSimulation site(workers, { urgent, ordinary, lasting }, LoopCosts());
    site.run(warmUp);
    site.beginCounting();
    CALLGRIND_START_INSTRUMENTATION;
    site.run(counted);
    CALLGRIND_STOP_INSTRUMENTATION;
    std::cout << site.starts() << '\n';
}

int main(int argumentCount, char **arguments)
{
    const std::string part = argumentCount == 2 ? arguments[1] : "";
    if (part == "start") {
        countCalls(&CountedCalls::start);
    } else if (part == "renewal") {
        countCalls(&CountedCalls::renew);
    } else if (part == "decisions") {
        countDecisions();
    } else {
        std::cerr << "usage: run-costs start|renewal|decisions\n";
        return 2;
    }
    return 0;
}
