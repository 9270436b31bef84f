#pragma once

#include <LibJob/JobRecord.h>

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace Jobs {

/// What is known of one job.
struct JobEntry
{
    Submission submission;
    std::optional<JobProgress> progress;
    bool isCancelled = false;

    JobState state() const;
    bool isOver() const;

    bool operator==(const JobEntry &) const = default;
};

/// The jobs as the store's records tell them: a pure function of the records in their order, the
/// same on every node.
class JobTable
{
public:
    void apply(const JobRecord &record);

    const JobEntry *find(const JobId &id) const;
    const std::unordered_map<JobId, JobEntry> &jobs() const { return m_jobs; }
    /// How many unscheduled jobs of \p queue have had no task started.
    std::int64_t waitingCount(const QueueId &queue) const;

    void clear();

    bool operator==(const JobTable &) const = default;

private:
    void applySubmission(const Submission &submission);

    std::unordered_map<JobId, JobEntry> m_jobs;
    /// A cancellation or progress may be read before its submission, when the newest records of
    /// all keys are read in pages.
    std::unordered_map<JobId, JobEntry> m_withoutSubmission;
};

} // namespace Jobs
