#pragma once

#include <LibCore/Time.h>
#include <LibJob/Catalogue.h>
#include <LibJob/JobTable.h>
#include <LibJob/JobTiming.h>
#include <LibJob/SlowdownModel.h>
#include <LibJob/TaskName.h>
#include <LibJob/TaskRun.h>
#include <LibJob/WorkerIds.h>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Jobs {

/// A step of an occurrence that has begun.
struct OwnedStep
{
    std::vector<TaskState> tasks;
    /// True if all steps that this one depends on have completed.
    bool isReady = false;
    /// When the owner learned that `isReady`; the epoch before.
    Core::Instant readyAt = {};
    /// Number of tasks that are neither done nor have a run.
    int waitingCount = 0;
    /// When the log last said why the step waits; the epoch if it never did.
    Core::Instant explainedAt = {};
    /// When the log last said why long-running tasks of the step don't run; the epoch if it never
    /// did.
    Core::Instant interruptionLoggedAt = {};
    /// No worker could be reserved for a task of the step; one is looked for again at this time.
    Core::Instant nextReservationAt = {};
};

/// A job on its owner: the durable progress and the current runs of its tasks.
class OwnedJob
{
public:
    explicit OwnedJob(const JobEntry &entry);

    const JobId &id() const { return m_submission.id; }
    const Submission &submission() const { return m_submission; }
    const JobProgress &progress() const { return m_progress; }
    const StepSpec &spec(int step) const;
    bool isOver() const { return m_progress.isFinal(); }
    bool hasLongRunningSteps() const;

    /// Bound the occurrences of a job that have begun and haven't ended, and those of them of which
    /// tasks wait and none has a run. What a job costs its owner follows from these, however many
    /// of its times are due.
    static constexpr std::size_t maxBegunOccurrences = 1024;
    static constexpr std::size_t maxIdleOccurrences = 4;
    /// Bounds the part of the progress record that these occurrences need, in bytes. One occurrence
    /// may need more.
    static constexpr std::size_t maxRecordBytesOfBegun = std::size_t(128) * 1024;

    /// True if the occurrences that have begun leave room for another one.
    bool mayBeginOccurrence() const;
    /// The first occurrence that has neither begun nor ended, in the order of the due times;
    /// nothing if there is none.
    std::optional<int> nextOccurrence();
    /// Begins an occurrence, unless it has begun or ended already.
    void beginOccurrence(int occurrence);
    /// True if the job has an occurrence with this number that has neither begun nor ended.
    bool isOccurrenceAhead(int occurrence) const;
    std::map<int, std::vector<OwnedStep>> &occurrences() { return m_occurrences; }
    const std::map<int, std::vector<OwnedStep>> &occurrences() const { return m_occurrences; }
    /// The occurrences that have a ready step with tasks that are neither done nor have a run.
    const std::set<int> &waitingOccurrences() const { return m_waitingOccurrences; }
    /// The progress as it is recorded; see JobProgress::occurrences.
    JobProgress recordedProgress() const;
    /// Returns null if the occurrence hasn't begun, has ended, or has no such task.
    TaskState *findTask(const TaskName &name);
    bool isTaskDone(const TaskName &name) const;

    /// Notes that a former owner may have run tasks that have no run here, and that they may have
    /// been interrupted at any time from \p since on.
    void noteFormerRuns(Core::Instant since);
    /// The same for the tasks of one occurrence.
    void noteFormerRuns(int occurrence, Core::Instant since);
    /// Recomputes which steps are ready and how many of their tasks wait.
    void refresh(int occurrence);
    /// Marks the task as done. Returns true if that completed the job.
    bool markTaskDone(const TaskName &name, std::int64_t unixMs);
    /// Counts a failed run; counting the same run again has no effect. Returns how many runs of the
    /// task, or of the gang that it belongs to, have failed.
    int addFailedRun(const TaskName &name, std::int64_t run);
    /// Marks the task's runs up to \p run as abandoned; their results are ignored.
    void abandon(const TaskName &name, std::int64_t run);
    /// Returns an empty history if no worker has crashed under the task.
    const CrashHistory &crashHistory(const TaskName &name) const;
    /// The history of the task, or of the whole gang that it belongs to.
    CrashHistory sharedCrashHistory(const TaskName &name) const;
    void setCrashHistory(const TaskName &name, const CrashHistory &history);
    void finish(JobState state, std::int64_t unixMs);

    bool isDurableWorker(const Core::VmId &worker) const
    {
        return m_durableWorkers.contains(worker);
    }
    /// From now on, any task may have been started; the next record says so.
    void forgetStartedTasks();
    /// Called when a start of a task on the worker is planned.
    void notePlannedStart(int step, int index, const Core::VmId &worker);
    /// A start of the task on the worker may be sent: the records name both.
    bool isStartDurable(int step, int index, const Core::VmId &worker) const
    {
        return isTaskDurable(step, index) && m_durableWorkers.contains(worker);
    }
    /// The records tell that the task may have been started.
    bool isTaskDurable(int step, int index) const
    {
        return m_durableStartedTasks.empty()
            || index < m_durableStartedTasks[static_cast<std::size_t>(step)];
    }
    void addWorker(const Core::VmId &worker);
    /// Nothing of the job can run on the worker any more. Only for a job with long-running tasks
    /// the shorter list is worth a record of its own; others write it with their next new worker.
    void removeWorker(const Core::VmId &worker);
    /// Called when a commit records workers(): until it is durable, none that the list omits counts
    /// as durable.
    void beginRecordingWorkers();
    /// The workers that may have received a start command, or will once they are durable.
    const WorkerIds &workers() const { return m_workers; }
    /// The record of the workers and of the tasks that may have been started.
    JobWorkers workersRecord() const { return { id(), m_workers, m_startedTasks }; }
    /// Marks the job as begun: a worker has shown that it started a task. Returns true if the job
    /// was queued before.
    bool markBegun();
    /// Called when a commit of the job became durable; \p record is what it recorded.
    void setDurableWorkers(const JobWorkers &record);

    /// Estimated length in milliseconds of the critical path from the start of \p step to the end
    /// of the occurrence.
    std::int64_t criticalPathMsFrom(int step) const;
    /// Estimated length in milliseconds of the critical path through all steps.
    std::int64_t criticalPathMs() const { return m_criticalPathMs; }
    /// Estimated work of all steps of one occurrence in core-milliseconds.
    double totalWork() const { return m_totalWork; }
    /// The part of totalWork() in tasks that aren't done; all of it unless the occurrence is in
    /// progress.
    double remainingWork(int occurrence) const;
    bool hasRuns() const;

    /// Index of the image of each step.
    std::vector<ImageIndex> images;
    /// The progress must be written with a commit.
    bool isDirty = false;
    /// A commit has written the progress, by this owner or a former one.
    bool isProgressRecorded = false;
    /// The list of workers has changed and must be written with a commit.
    bool hasNewWorkers = false;
    /// Workers on which a former owner may have started tasks and which haven't been reconciled
    /// or replaced yet.
    std::set<Core::VmId> unreconciledWorkers;
    JobTiming timing { 0, Core::Instant() };
    /// The job is beyond its customer's rate of submission; see CustomerShares.
    bool isInExcess = false;
    /// When this owner learned of the job's end, or decided it; the epoch before.
    Core::Instant endKnownAt = {};
    /// A commit that records the end has become durable.
    bool isEndDurable = false;
    /// The leases on a worker have ended on which runs may have been of which this owner will never
    /// know; they are abandoned once no worker of the former owner is waited for.
    bool hasLostUnseenRuns = false;
    /// A former owner may have begun runs of which this owner will never know. Each occurrence that
    /// the former owner may have begun is abandoned up to its last run before it begins here.
    bool hasUnknownFormerRuns = false;

private:
    void computeWork();
    /// About how many bytes an occurrence needs in the progress record while no run of it has
    /// failed, was abandoned or has crashed a worker.
    std::size_t recordBytesPerOccurrence() const;
    bool isStepDone(const std::vector<StepProgress> &steps, int step) const;

    Submission m_submission;
    JobProgress m_progress;
    WorkerIds m_workers;
    WorkerIds m_durableWorkers;
    /// See JobWorkers::startedTasks; with those of planned starts, and those that are durable.
    std::vector<int> m_startedTasks;
    std::vector<int> m_durableStartedTasks;
    std::map<int, std::vector<OwnedStep>> m_occurrences;
    std::set<int> m_waitingOccurrences;
    /// Those of m_waitingOccurrences of which no task has a run.
    std::set<int> m_idleOccurrences;
    /// All lower occurrences have begun or ended.
    int m_nextOccurrence = 0;
    std::vector<std::int64_t> m_criticalPathMsFrom;
    std::int64_t m_criticalPathMs = 0;
    double m_totalWork = 0;
};

} // namespace Jobs
