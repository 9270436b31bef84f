#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <string>
#include <vector>

namespace Jobs {

/// When one step reached its stages, on the owner's clock; the epoch for a stage that it hasn't
/// reached. The middle ones are those of the task that started last.
struct StepTiming
{
    /// All steps that this one depends on were done.
    Core::Instant readyAt;
    /// A worker was chosen.
    Core::Instant plannedAt;
    /// The start command was decided; everything that must be durable before was.
    Core::Instant sentAt;
    /// The worker confirmed the start.
    Core::Instant startedAt;
    /// A report showed that the last task was done.
    Core::Instant doneAt;
    /// No renewal was open at that task's worker for this long before the one that showed the end:
    /// the task may have ended that much earlier.
    Core::Duration unwatched = {};

    auto operator<=>(const StepTiming &) const = default;
};

/// Where the time of a job went on its owner. For a scheduled job it tells of all occurrences
/// together, so only that of the last one is meaningful.
class JobTiming
{
public:
    JobTiming(std::size_t stepCount, Core::Instant knownAt)
        : m_knownAt(knownAt)
        , m_steps(stepCount)
    {
    }

    /// Only the first call for a step counts.
    void noteReady(int step, Core::Instant now);
    void noteStarted(int step, Core::Instant plannedAt, Core::Instant sentAt, Core::Instant now);
    void noteDone(int step, Core::Instant now, Core::Duration unwatched);

    /// When the owner learned of the job.
    Core::Instant knownAt() const { return m_knownAt; }
    const StepTiming &step(int step) const { return m_steps[static_cast<std::size_t>(step)]; }
    /// All stages as `key=value` pairs, in milliseconds after \p dueAt, one list for each stage
    /// with one entry for each step; `-` for a stage that wasn't reached.
    std::string describe(Core::Instant dueAt) const;

    bool operator==(const JobTiming &) const = default;

private:
    StepTiming &at(int step) { return m_steps[static_cast<std::size_t>(step)]; }

    Core::Instant m_knownAt;
    std::vector<StepTiming> m_steps;
};

} // namespace Jobs
