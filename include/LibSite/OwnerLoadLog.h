#pragma once

#include <LibCore/Time.h>
#include <LibJob/JobScheduler.h>
#include <LibSite/LoopMeter.h>
#include <LibSite/SiteMetrics.h>

namespace Site {

/// Tells once a second, in the metrics and in the log, what an owner has to do and how its event
/// loop keeps up. Instants are on the steady clock.
class OwnerLoadLog
{
public:
    OwnerLoadLog(SiteMetrics &metrics, Core::Instant now);

    /// What the session measures between two lines.
    LoopMeter &loop() { return m_loop; }
    /// Writes the line of load if it is due.
    void writeIfDue(const Jobs::JobScheduler &scheduler, Core::Instant now);
    /// Writes what is essential of the time since the last line.
    void close(Core::Instant now);

private:
    void writeLoad(const Jobs::JobScheduler &scheduler, const LoopSummary &loop);
    /// Logs a loop that falls so far behind that other nodes may soon consider the owner dead.
    /// Unlike the line of load, this one is essential.
    static void writeIfBehind(const LoopSummary &loop);

    SiteMetrics &m_metrics;
    LoopMeter m_loop;
    Core::Instant m_nextLineAt = {};
};

} // namespace Site
