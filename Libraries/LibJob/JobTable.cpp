#include <LibJob/JobTable.h>

#include <algorithm>
#include <tuple>

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
    entry.isAccepted = true;
    m_jobs.emplace(submission.id, std::move(entry));
}

void JobTable::applyAccepted(const AcceptedJob &accepted)
{
    if (m_jobs.contains(accepted.id))
        return;
    JobEntry &entry = m_withoutSubmission[accepted.id];
    entry.isAccepted = true;
    entry.submission.id = accepted.id;
    entry.submission.queue.id = accepted.queue;
    entry.submission.customer = accepted.customer;
    // Any number above 0 makes the job count as scheduled.
    entry.submission.spec.repeatCount = accepted.isScheduled ? 1 : 0;
}

JobEntry *JobTable::openEntry(const JobId &id)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return &m_withoutSubmission[id];
    JobEntry &entry = found->second;
    return entry.progress && entry.progress->isFinal() ? nullptr : &entry;
}

void JobTable::applyEnd(const EndedJob &ended)
{
    m_withoutSubmission.erase(ended.id);
    JobEntry &entry = m_jobs[ended.id];
    entry = {};
    entry.submission.id = ended.id;
    entry.submission.customer = ended.customer;
    entry.remainingUse = ended.remainingUse;
    entry.progress.emplace();
    entry.progress->state = ended.state;
    entry.progress->endedUnixMs = ended.endedUnixMs;
}

void JobTable::applyProgress(const ProgressRecord &record)
{
    if (record.progress.isFinal()) {
        applyEnd({ record.id, record.progress.state, record.progress.endedUnixMs, record.customer,
                   record.remainingUse });
        return;
    }
    JobEntry *entry = openEntry(record.id);
    if (!entry)
        return;
    entry->progress = record.progress;
    entry->workers.insert(record.workers.begin(), record.workers.end());
}

void JobTable::apply(const JobRecord &record)
{
    if (const auto *submission = std::get_if<Submission>(&record)) {
        applySubmission(*submission);
    } else if (const auto *accepted = std::get_if<AcceptedJob>(&record)) {
        applyAccepted(*accepted);
    } else if (const auto *cancellation = std::get_if<Cancellation>(&record)) {
        if (JobEntry *entry = openEntry(cancellation->id))
            entry->isCancelled = true;
    } else if (const auto *progress = std::get_if<ProgressRecord>(&record)) {
        applyProgress(*progress);
    } else if (const auto *ended = std::get_if<EndedJob>(&record)) {
        applyEnd(*ended);
    } else if (const auto *workers = std::get_if<JobWorkers>(&record)) {
        if (JobEntry *entry = openEntry(workers->id)) {
            entry->workers = workers->workers;
            entry->startedTasks = workers->startedTasks;
        }
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
    const bool isKnown = found != m_withoutSubmission.end()
        && (found->second.isAccepted || found->second.progress);
    return isKnown ? std::optional(found->second.state()) : std::nullopt;
}

Core::CustomerId JobTable::customerOf(const JobId &id) const
{
    const JobEntry *entry = find(id);
    if (entry)
        return entry->submission.customer;
    const auto found = m_withoutSubmission.find(id);
    return found == m_withoutSubmission.end() ? Core::CustomerId()
                                              : found->second.submission.customer;
}

bool JobTable::tellsCustomer(const JobId &id) const
{
    const auto found = m_withoutSubmission.find(id);
    return m_jobs.contains(id) || (found != m_withoutSubmission.end() && found->second.isAccepted);
}

std::vector<const JobEntry *> JobTable::jobsInOrderOfSubmission() const
{
    std::vector<const JobEntry *> entries;
    entries.reserve(m_jobs.size());
    for (const auto &[id, entry] : m_jobs)
        entries.push_back(&entry);
    std::sort(entries.begin(), entries.end(), [](const JobEntry *left, const JobEntry *right) {
        return std::tie(left->submission.submittedUnixMs, left->submission.id)
            < std::tie(right->submission.submittedUnixMs, right->submission.id);
    });
    return entries;
}

std::int64_t JobTable::waitingCount(const QueueId &queue) const
{
    const auto isWaiting = [&queue](const auto &job) {
        const JobEntry &entry = job.second;
        return entry.isAccepted && entry.submission.queue.id == queue
            && !entry.submission.spec.isScheduled() && entry.state() == JobState::Queued;
    };
    return std::count_if(m_jobs.begin(), m_jobs.end(), isWaiting)
        + std::count_if(m_withoutSubmission.begin(), m_withoutSubmission.end(), isWaiting);
}

void JobTable::dropAcceptedWithoutSubmission()
{
    std::erase_if(m_withoutSubmission, [](const auto &job) { return job.second.isAccepted; });
}

void JobTable::clear()
{
    m_jobs.clear();
    m_withoutSubmission.clear();
}

} // namespace Jobs
