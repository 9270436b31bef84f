#pragma once

#include <LibCore/Time.h>

#include <string_view>

namespace Site {

/// What the owner's event loop did during some interval, and what delayed it.
struct LoopSummary
{
    /// The longest time by which a timer fired late.
    Core::Duration timerLag = {};
    /// The longest piece of work that ran without giving way to other coroutines, and its name;
    /// `none` if there was no work.
    Core::Duration longestWork = {};
    std::string_view longestWorkName = "none";
    /// The longest time without an answer to a successful append.
    Core::Duration appendGap = {};
    /// Start commands that were sent to workers, and reports that came from them.
    int starts = 0;
    int reports = 0;

    bool operator==(const LoopSummary &) const = default;
};

/// Measures how the owner's event loop keeps up with its work. Instants are on the steady clock.
class LoopMeter
{
public:
    /// Measures the time from its construction to its destruction as one piece of work.
    class Work
    {
    public:
        /// \p name must outlive the meter.
        Work(LoopMeter &meter, std::string_view name);
        Work(const Work &) = delete;
        Work &operator=(const Work &) = delete;
        ~Work();

    private:
        LoopMeter &m_meter;
        std::string_view m_name;
        Core::Instant m_beganAt;
    };

    /// \p now is when the first interval begins.
    explicit LoopMeter(Core::Instant now);

    void noteTimerLag(Core::Duration lag);
    /// \p name must outlive the meter.
    void noteWork(std::string_view name, Core::Duration duration);
    void noteAppendAnswered(Core::Instant now);
    void noteStart() { ++m_summary.starts; }
    void noteReport() { ++m_summary.reports; }
    /// Returns the summary since the last call, and begins the next interval.
    LoopSummary takeSummary(Core::Instant now);

private:
    void extendAppendGap(Core::Instant now);

    LoopSummary m_summary;
    Core::Instant m_appendAnsweredAt;
};

} // namespace Site
