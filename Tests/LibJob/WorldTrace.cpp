#include "WorldTrace.h"

#include <cstdlib>
#include <iostream>

using namespace Jobs;

void WorldTrace::note(std::string_view subject, std::string_view event, std::string_view inputs)
{
    static const bool isOn = std::getenv("JOB_WORLD_TRACE") != nullptr;
    if (isOn)
        std::cerr << nowMs << " node" << node << ' ' << subject << ' ' << event << ' ' << inputs
                  << '\n';
}

void WorldTrace::noteInterruption(const TaskName &task, std::string_view inputs)
{
    DecisionLog::noteInterruption(task, inputs);
    interruptionsLoggedAtMs[{ task.job, task.step }] = nowMs;
}
