#pragma once

#include <LibJob/JobRecord.h>

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Jobs {

/// The combined records of one job. Of a job with a final progress only that, the ID, the customer
/// and the remaining use are kept, whatever other records the store still has: nothing follows from
/// them any more.
struct JobEntry
{
    /// Only the ID and the customer are meaningful once the progress is final. While only an
    /// AcceptedJob has been read, only what that tells.
    Submission submission;
    std::optional<JobProgress> progress;
    /// The only workers that may have received a start command for a task of the job.
    WorkerIds workers;
    /// See JobWorkers::startedTasks.
    std::vector<int> startedTasks = {};
    bool isCancelled = false;
    /// See ProgressRecord::remainingUse.
    Core::Resources remainingUse = {};
    /// The job was accepted: its submission or its AcceptedJob has been read.
    bool isAccepted = false;

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

    /// Returns null if neither a submission nor the end of the job has been read. The pointer is
    /// valid until the job is deleted or the table is cleared.
    const JobEntry *find(const JobId &id) const;
    /// The state according to the records that have been read. Needs the submission, acceptance or
    /// progress of the job: a cancellation alone doesn't tell whether the job had ended before.
    /// Returns nothing if none of them has been read.
    std::optional<JobState> findState(const JobId &id) const;
    /// The customer of a job whose state is known; empty if the job belongs to none.
    Core::CustomerId customerOf(const JobId &id) const;
    /// True if a record that names the job's customer, if it has one, has been read: the
    /// submission, the acceptance or the end of the job. The progress of an open job doesn't name
    /// it.
    bool tellsCustomer(const JobId &id) const;
    const std::unordered_map<JobId, JobEntry> &jobs() const { return m_jobs; }
    /// The rates of customers depend on the order in which jobs were submitted. The pointers are
    /// valid until a record is applied.
    std::vector<const JobEntry *> jobsInOrderOfSubmission() const;
    /// Returns how many jobs of \p queue are still queued. Scheduled jobs don't count.
    std::int64_t waitingCount(const QueueId &queue) const;

    void clear();
    /// Drops jobs of which an AcceptedJob, but no submission, has been read. Called once all
    /// records have been read: an owner of an earlier version doesn't delete the AcceptedJob with
    /// the job.
    void dropAcceptedWithoutSubmission();

    bool operator==(const JobTable &) const = default;

private:
    void applySubmission(const Submission &submission);
    void applyAccepted(const AcceptedJob &accepted);
    void applyProgress(const ProgressRecord &record);
    void applyEnd(const EndedJob &ended);
    /// Returns the entry to which a further record of the job belongs; null once its progress is
    /// final.
    JobEntry *openEntry(const JobId &id);

    /// Jobs whose submission or final progress has been read.
    std::unordered_map<JobId, JobEntry> m_jobs;
    /// Other records of jobs whose submission hasn't been read. They come first when the newest
    /// records of all keys are read page by page.
    std::unordered_map<JobId, JobEntry> m_withoutSubmission;
};

} // namespace Jobs
