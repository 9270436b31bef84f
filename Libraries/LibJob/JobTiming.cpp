#include <LibJob/JobTiming.h>

#include <algorithm>

namespace Jobs {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Bounds the length of a description.
static constexpr std::size_t maxDescribedSteps = 8;

void JobTiming::noteReady(int step, Core::Instant now)
{
    if (at(step).readyAt == Core::Instant())
        at(step).readyAt = now;
}

void JobTiming::noteStarted(int step, Core::Instant plannedAt, Core::Instant sentAt,
                            Core::Instant now)
{
    at(step).plannedAt = plannedAt;
    at(step).sentAt = sentAt;
    at(step).startedAt = now;
}

void JobTiming::noteDone(int step, Core::Instant now, Core::Duration unwatched)
{
    at(step).doneAt = now;
    at(step).unwatched = unwatched;
}

static std::string formatMs(Core::Duration duration)
{
    return std::to_string(duration_cast<milliseconds>(duration).count());
}

std::string JobTiming::describe(Core::Instant dueAt) const
{
    std::string text = "known_ms=" + formatMs(m_knownAt - dueAt);
    const std::size_t count = std::min(m_steps.size(), maxDescribedSteps);
    const auto addStage = [&](const std::string &name, Core::Instant StepTiming::*stage) {
        text += ' ' + name + "_ms=";
        for (std::size_t i = 0; i < count; ++i) {
            const Core::Instant reachedAt = m_steps[i].*stage;
            text += i == 0 ? "" : ",";
            text += reachedAt == Core::Instant() ? "-" : formatMs(reachedAt - dueAt);
        }
    };
    addStage("ready", &StepTiming::readyAt);
    addStage("planned", &StepTiming::plannedAt);
    addStage("sent", &StepTiming::sentAt);
    addStage("started", &StepTiming::startedAt);
    addStage("done", &StepTiming::doneAt);
    text += " unwatched_ms=";
    for (std::size_t i = 0; i < count; ++i)
        text += (i == 0 ? "" : ",") + formatMs(m_steps[i].unwatched);
    return text;
}

} // namespace Jobs
