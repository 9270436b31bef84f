#pragma once

#include <LibJob/JobRecord.h>

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Jobs {

/// The combined records of one job.
struct JobEntry
{
    Submission submission;
    std::optional<JobProgress> progress;
    /// The only workers that may have received a start command for a task of the job. Also known
    /// after the job has ended: runs that weren't stopped may remain on them.
    WorkerIds workers;
    /// See JobWorkers::startedTasks.
    std::vector<int> startedTasks = {};
    bool isCancelled = false;

    /// The final state if it is recorded; otherwise Cancelled if a cancellation is recorded, even
    /// while tasks still run.
    JobState state() const;
    /// True if the job has ended or was cancelled.
    bool isOver() const;

    bool operator==(const JobEntry &) const = default;
};

/// The jobs according to the records in the store. A pure function of the records in the order in
/// which they are applied, and therefore the same on all nodes that have read the same records.
class JobTable
{
public:
    void apply(const JobRecord &record);

    /// Returns null if no submission of the job has been read. The pointer is valid until the job
    /// is deleted or the table is cleared.
    const JobEntry *find(const JobId &id) const;
    /// The state according to the records that have been read. Needs the submission or progress of
    /// the job: a cancellation alone doesn't tell whether the job had ended before. Returns nothing
    /// if neither has been read.
    std::optional<JobState> findState(const JobId &id) const;
    const std::unordered_map<JobId, JobEntry> &jobs() const { return m_jobs; }
    /// Returns how many jobs of \p queue are still queued. Scheduled jobs don't count.
    std::int64_t waitingCount(const QueueId &queue) const;

    void clear();

    bool operator==(const JobTable &) const = default;

private:
    void applySubmission(const Submission &submission);

    std::unordered_map<JobId, JobEntry> m_jobs;
    /// Cancellations and progress of jobs whose submission hasn't been read. They can come first
    /// when the newest records of all keys are read page by page.
    std::unordered_map<JobId, JobEntry> m_withoutSubmission;
};

} // namespace Jobs
