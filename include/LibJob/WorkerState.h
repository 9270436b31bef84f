#pragma once

#include <LibCore/Resources.h>
#include <LibCore/Time.h>
#include <LibJob/Commands.h>
#include <LibJob/PressureModel.h>
#include <LibJob/SchedulerSettings.h>
#include <LibJob/WorkerInfo.h>
#include <LibJob/WorkerReport.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Jobs {

/// How near to their targets the serving tasks of a worker are expected to be.
struct ServingForecast
{
    struct Entry
    {
        ImageIndex image = 0;
        /// As a part of the utilization at which the target is just met, with the fillers planned.
        double utilization = 0;
        /// What a slowdown of 1 stands for.
        double load = 0;

        bool operator==(const Entry &) const = default;
    };

    std::int64_t revision = -1;
    std::vector<Entry> entries;

    bool operator==(const ServingForecast &) const = default;
};

/// What the owner knows of one worker: its room, its clock, the lease granted to it, and how far
/// its ends have been read.
class WorkerState
{
public:
    WorkerState(const WorkerInfo &info, const SchedulerSettings &settings)
        : m_info(info)
        , m_settings(settings)
    {
    }

    const WorkerInfo &info() const { return m_info; }
    void update(const WorkerInfo &info) { m_info = info; }

    // Room. Every run counts from its planning until it is known to be gone.
    void addRun(const TaskName &task, const StepSpec &step, ImageIndex image);
    void removeRun(const TaskName &task, const StepSpec &step, ImageIndex image, Core::Instant now);
    const std::set<TaskName> &runs() const { return m_runs; }
    int fillerCount() const { return m_fillers; }
    int servingCount() const { return m_serving; }
    /// What tasks that aren't fillers may still ask for. Fillers take memory only.
    Core::Resources freeRoom() const;
    /// What would be free if all had ended that ends by itself.
    Core::Resources roomBesideLasting() const { return m_info.capacity - m_usedByLasting; }
    /// An estimate of the processors that nothing uses, in thousandths of a core: serving tasks
    /// leave a part of what they ask for. Negative if fillers compete.
    std::int64_t idleMilliCores() const;
    int runsOfStep(const TaskName &task) const;
    /// The images of serving tasks here.
    const std::map<ImageIndex, int> &servingImages() const { return m_servingImages; }
    /// What the fillers that are planned or run here may use.
    std::vector<FillerUse> plannedFillers() const;
    double shareOf(std::int64_t milliCores) const;
    /// The highest load of the serving tasks of an image, without what fillers add.
    std::map<ImageIndex, double> servingLoads;
    /// Changes whenever the runs or the loads change.
    std::int64_t revision = 0;
    /// What a WorkerChooser has worked out for `revision`.
    ServingForecast forecast;
    /// The last time that a filler left.
    Core::Instant fillerLeftAt() const { return m_fillerLeftAt; }

    // Clock and lease.
    bool isClockKnown() const { return m_clockReadAt != Core::Instant(); }
    void readClock(std::int64_t clockMs, Core::Instant now);
    /// A deadline \p length from now on the worker's clock. Notes it as granted.
    std::int64_t grantLease(Core::Instant now, Core::Duration length);
    /// The latest moment at which anything that was granted a lease can still run.
    Core::Instant leaseBound() const { return m_leaseBound; }
    void extendLeaseBound(Core::Instant bound);

    // Reports.
    Core::Instant lastAnswerAt() const { return m_lastAnswerAt; }
    bool isSilent() const { return m_isSilent; }
    void noteAnswer(Core::Instant now);
    void noteSilence() { m_isSilent = true; }
    /// True once a renewal with our token has been answered: nothing can start there without us.
    bool isSurveyed() const { return m_isSurveyed; }
    void setSurveyed(bool isSurveyed) { m_isSurveyed = isSurveyed; }
    std::int64_t bornUnixMs() const { return m_bornUnixMs; }
    /// Forgets the ends, the clock and the lease of the worker's former run.
    void beginIncarnation(std::int64_t bornUnixMs, Core::Instant now);
    /// When this owner first heard from this run of the worker.
    Core::Instant metAt() const { return m_metAt; }

    /// The number of the last end that was taken into account.
    std::int64_t processedEnd() const { return m_processedEnd; }
    /// \p commit is the commit that makes the consequences durable.
    void noteProcessedEnd(std::int64_t number, std::int64_t commit);
    std::int64_t acknowledgedEnd() const { return m_acknowledgedEnd; }
    /// True while ends were taken into account whose consequences aren't durable.
    bool hasUncommittedEnds() const { return !m_uncommittedEnds.empty(); }
    void noteCommitted(std::int64_t commit);

    // Health.
    void noteTaskDone();
    void noteTaskFailed(Core::Instant now);
    void noteRefusal(Core::Instant now);
    /// No task should be started there before this moment.
    Core::Instant avoidedUntil() const { return m_avoidedUntil; }

    Core::Instant nextRenewalAt = {};
    bool isRenewing = false;
    /// The store lists the worker.
    bool isListed = false;
    Core::Instant relievedAt = {};

private:
    void count(const StepSpec &step, ImageIndex image, int sign);

    WorkerInfo m_info;
    SchedulerSettings m_settings;
    std::set<TaskName> m_runs;
    Core::Resources m_used;
    /// The part of m_used that long-running tasks take.
    Core::Resources m_usedByLasting;
    std::int64_t m_fillerMilliCores = 0;
    std::int64_t m_servingMilliCores = 0;
    std::map<ImageIndex, int> m_servingImages;
    std::map<ImageIndex, std::int64_t> m_fillerImages;
    Core::Instant m_fillerLeftAt = {};
    int m_fillers = 0;
    int m_serving = 0;

    std::int64_t m_clockMs = 0;
    Core::Instant m_clockReadAt = {};
    Core::Instant m_leaseBound = {};

    Core::Instant m_lastAnswerAt = {};
    bool m_isSilent = false;
    bool m_isSurveyed = false;
    std::int64_t m_bornUnixMs = 0;
    Core::Instant m_metAt = {};
    std::int64_t m_processedEnd = 0;
    std::int64_t m_acknowledgedEnd = 0;
    /// Commit to the last end that it makes durable.
    std::map<std::int64_t, std::int64_t> m_uncommittedEnds;

    int m_failuresInARow = 0;
    Core::Instant m_avoidedUntil = {};
};

} // namespace Jobs
