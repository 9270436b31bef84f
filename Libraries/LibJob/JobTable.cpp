#include <LibJob/JobTable.h>

namespace Jobs {

JobState JobEntry::state() const
{
    if (progress && progress->isFinal())
        return progress->state;
    if (isCancelled)
        return JobState::Cancelled;
    return progress ? progress->state : JobState::Queued;
}

bool JobEntry::isOver() const
{
    return isCancelled || (progress && progress->isFinal());
}

void JobTable::applySubmission(const Submission &submission)
{
    // The first submission counts: the specification of a job that may be running must not change.
    // A node that reads only the newest record of each key has the last submission instead.
    if (m_jobs.contains(submission.id))
        return;
    JobEntry entry;
    const auto pending = m_withoutSubmission.extract(submission.id);
    if (!pending.empty())
        entry = pending.mapped();
    entry.submission = submission;
    m_jobs.emplace(submission.id, std::move(entry));
}

static void applyProgress(const ProgressRecord &record, JobEntry &entry)
{
    entry.progress = record.progress;
    entry.workers.insert(record.workers.begin(), record.workers.end());
}

void JobTable::apply(const JobRecord &record)
{
    const auto entryOf = [this](const JobId &id) -> JobEntry & {
        const auto found = m_jobs.find(id);
        return found == m_jobs.end() ? m_withoutSubmission[id] : found->second;
    };
    if (const auto *submission = std::get_if<Submission>(&record))
        applySubmission(*submission);
    else if (const auto *cancellation = std::get_if<Cancellation>(&record))
        entryOf(cancellation->id).isCancelled = true;
    else if (const auto *progress = std::get_if<ProgressRecord>(&record))
        applyProgress(*progress, entryOf(progress->id));
    else if (const auto *workers = std::get_if<JobWorkers>(&record)) {
        JobEntry &entry = entryOf(workers->id);
        entry.workers = workers->workers;
        entry.startedTasks = workers->startedTasks;
    } else if (const auto *deletion = std::get_if<JobDeletion>(&record)) {
        m_jobs.erase(deletion->id);
        m_withoutSubmission.erase(deletion->id);
    }
}

const JobEntry *JobTable::find(const JobId &id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

std::optional<JobState> JobTable::findState(const JobId &id) const
{
    const JobEntry *entry = find(id);
    if (entry)
        return entry->state();
    const auto found = m_withoutSubmission.find(id);
    const bool isKnown = found != m_withoutSubmission.end() && found->second.progress;
    return isKnown ? std::optional(found->second.state()) : std::nullopt;
}

std::int64_t JobTable::waitingCount(const QueueId &queue) const
{
    std::int64_t count = 0;
    for (const auto &[id, entry] : m_jobs) {
        const bool isOfQueue = entry.submission.queue.id == queue;
        if (isOfQueue && !entry.submission.spec.isScheduled() && entry.state() == JobState::Queued)
            ++count;
    }
    return count;
}

void JobTable::clear()
{
    m_jobs.clear();
    m_withoutSubmission.clear();
}

} // namespace Jobs
