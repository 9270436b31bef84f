#pragma once

#include <LibCore/Time.h>
#include <LibJob/Catalogue.h>
#include <LibJob/JobTable.h>
#include <LibJob/PressureModel.h>
#include <LibJob/TaskName.h>
#include <LibJob/TaskRun.h>

#include <map>
#include <set>
#include <vector>

namespace Jobs {

/// A step of an occurrence that is due.
struct OwnedStep
{
    std::vector<TaskState> tasks;
    /// All steps before it have ended.
    bool isReady = false;
    /// Tasks that are neither done nor have a run.
    int waitingCount = 0;
    /// When the log last said why it waits.
    Core::Instant explainedAt = {};
};

/// A job that the owner is responsible for: its durable progress and the runs of its tasks.
class OwnedJob
{
public:
    explicit OwnedJob(const JobEntry &entry);

    const JobId &id() const { return m_submission.id; }
    const Submission &submission() const { return m_submission; }
    const JobProgress &progress() const { return m_progress; }
    const StepSpec &spec(int step) const;
    bool isOver() const { return m_progress.isFinal(); }

    /// Begins an occurrence unless it has begun or ended.
    void beginOccurrence(int occurrence);
    std::map<int, std::vector<OwnedStep>> &occurrences() { return m_occurrences; }
    const std::map<int, std::vector<OwnedStep>> &occurrences() const { return m_occurrences; }
    /// Null if the occurrence isn't under way or there is no such task.
    TaskState *findTask(const TaskName &name);
    bool isTaskDone(const TaskName &name) const;

    /// Recounts which steps are ready and what waits in them.
    void refresh(int occurrence);
    /// Marks the task as done; true if that ended the job.
    bool noteDone(const TaskName &name, std::int64_t unixMs);
    /// Counts a failed run unless it has been counted; returns how often the task, or the gang that
    /// it belongs to, has failed.
    int noteFailed(const TaskName &name, std::int64_t run);
    /// Gives up the task's runs up to \p run.
    void abandon(const TaskName &name, std::int64_t run);
    void finish(JobState state, std::int64_t unixMs);

    bool mayUse(const Core::VmId &worker) const { return m_durableWorkers.contains(worker); }
    void planUse(const Core::VmId &worker);
    /// A worker has begun a task or may have: the job has begun for good. True if that is new.
    bool noteBegun();
    /// The progress as of a commit became durable.
    void noteDurable(const std::set<Core::VmId> &workers);

    /// The estimated time from the start of \p step to the end of the occurrence, in milliseconds.
    std::int64_t chainMs(int step) const;
    /// The same from the first steps on.
    std::int64_t wholeChainMs() const { return m_wholeChainMs; }
    /// The estimated work of all steps in milliseconds of a core.
    double wholeWork() const { return m_wholeWork; }
    double remainingWork(int occurrence) const;
    bool hasRuns() const;

    /// The images of the steps.
    std::vector<ImageIndex> images;
    bool isDirty = false;
    /// A former owner may have started tasks on these workers, which haven't been asked yet.
    std::set<Core::VmId> unsurveyedWorkers;

private:
    void measure();
    bool isStepDone(const std::vector<StepProgress> &steps, int step) const;

    Submission m_submission;
    JobProgress m_progress;
    std::set<Core::VmId> m_durableWorkers;
    std::map<int, std::vector<OwnedStep>> m_occurrences;
    std::vector<std::int64_t> m_chainMs;
    std::int64_t m_wholeChainMs = 0;
    double m_wholeWork = 0;
};

} // namespace Jobs
