#pragma once

#include <LibCore/Time.h>
#include <LibJob/StartWindow.h>

#include <cstddef>

namespace Jobs {

/// What an owner does less of while its process is late.
///
/// The lag is how late the process's calls to workers run. A process whose processor quota is
/// granted in periods is late in some measurements, but not in two successive ones; what both show
/// is work that waits all the time, and delays everything without getting more done. So while the
/// lag stays, fewer starts are planned at once, and workers are asked for reports less often. Those
/// that run tasks of the most urgent queues are asked sooner than others, but not at any price: all
/// tasks of a site may be urgent.
class OverloadPolicy
{
public:
    /// \p minRenewalInterval is the least interval between two renewals of one worker.
    explicit OverloadPolicy(Core::Duration minRenewalInterval)
        : m_minRenewalInterval(minRenewalInterval)
    {
    }

    void noteLag(Core::Duration lag);
    /// The start window has held starts back since the last noteLag().
    void noteStartWindowFull() { m_wasStartWindowFull = true; }

    /// True while calls to workers run late all the time, so that a late answer may wait in this
    /// process.
    bool isLate() const;
    /// How many runs may be planned, or be waiting for the answer to their start, at once.
    std::size_t startWindow() const { return m_startWindow.size(); }
    /// The delay from a worker's report to its next renewal. \p isUrgent tells whether the worker
    /// runs tasks of the most urgent queues.
    Core::Duration renewalInterval(bool isUrgent) const;

    bool operator==(const OverloadPolicy &) const = default;

private:
    Core::Duration m_minRenewalInterval;
    /// The lesser of the last two lags.
    Core::Duration m_stayingLag = {};
    Core::Duration m_lastLag = {};
    StartWindow m_startWindow;
    bool m_wasStartWindowFull = false;
};

} // namespace Jobs
