#include <LibJob/OwnedJob.h>

#include <algorithm>
#include <iterator>

namespace Jobs {

/// The tasks of a step are recorded as started in groups of this many, so that further ones can
/// start while the store is away. After a takeover a whole group may have to wait.
static constexpr int startsRecordedAtOnce = 16;

OwnedJob::OwnedJob(const JobEntry &entry)
    : m_submission(entry.submission)
{
    isProgressRecorded = entry.progress.has_value();
    if (entry.progress)
        m_progress = *entry.progress;
    m_workers = entry.workers;
    m_durableWorkers = entry.workers;
    m_startedTasks = entry.startedTasks;
    const std::size_t steps = m_submission.spec.steps.size();
    // A record that doesn't tell the started tasks never will: any task may be among them.
    const bool isTold = !m_submission.spec.isScheduled()
        && (entry.workers.empty() || entry.startedTasks.size() == steps);
    if (isTold)
        m_startedTasks.resize(steps);
    else
        m_startedTasks.clear();
    m_durableStartedTasks = m_startedTasks;
    unreconciledWorkers.insert(entry.workers.begin(), entry.workers.end());
    computeWork();
    std::vector<int> begunOccurrences;
    for (const auto &[occurrence, steps] : m_progress.occurrences)
        begunOccurrences.push_back(occurrence);
    for (const int occurrence : begunOccurrences)
        beginOccurrence(occurrence);
}

const StepSpec &OwnedJob::spec(int step) const
{
    return m_submission.spec.steps[static_cast<std::size_t>(step)];
}

bool OwnedJob::hasLongRunningSteps() const
{
    const std::vector<StepSpec> &steps = m_submission.spec.steps;
    return std::any_of(steps.begin(), steps.end(),
                       [](const StepSpec &step) { return step.isLongRunning; });
}

void OwnedJob::computeWork()
{
    const std::vector<StepSpec> &steps = m_submission.spec.steps;
    m_criticalPathMsFrom.assign(steps.size(), 0);
    for (std::size_t i = steps.size(); i-- > 0;) {
        m_criticalPathMsFrom[i] += steps[i].estimateMs;
        // Steps depend only on earlier ones, so the paths of all dependents are already computed.
        for (const int dependency : steps[i].after) {
            std::int64_t &path = m_criticalPathMsFrom[static_cast<std::size_t>(dependency)];
            path = std::max(path, m_criticalPathMsFrom[i]);
        }
        m_criticalPathMs = std::max(m_criticalPathMs, m_criticalPathMsFrom[i]);
        m_totalWork += static_cast<double>(steps[i].taskCount)
            * static_cast<double>(steps[i].estimateMs)
            * static_cast<double>(steps[i].need.milliCores) / 1000.0;
    }
}

std::int64_t OwnedJob::criticalPathMsFrom(int step) const
{
    return m_criticalPathMsFrom[static_cast<std::size_t>(step)];
}

double OwnedJob::remainingWork(int occurrence) const
{
    const auto found = m_progress.occurrences.find(occurrence);
    if (found == m_progress.occurrences.end())
        return m_totalWork;
    double work = 0;
    for (std::size_t i = 0; i < found->second.size(); ++i) {
        const StepSpec &step = m_submission.spec.steps[i];
        const int remaining = step.taskCount - found->second[i].doneCount();
        work += static_cast<double>(remaining) * static_cast<double>(step.estimateMs)
            * static_cast<double>(step.need.milliCores) / 1000.0;
    }
    return work;
}

std::size_t OwnedJob::recordBytesPerOccurrence() const
{
    // The number of the occurrence, each step's brackets, and a character for each task.
    constexpr std::size_t numberBytes = 16;
    constexpr std::size_t stepBytes = 12;
    std::size_t bytes = numberBytes;
    for (const StepSpec &step : m_submission.spec.steps)
        bytes += stepBytes + static_cast<std::size_t>(step.taskCount);
    return bytes;
}

bool OwnedJob::mayBeginOccurrence() const
{
    const std::size_t begun = m_occurrences.size();
    const bool isRecordSmall = (begun + 1) * recordBytesPerOccurrence() <= maxRecordBytesOfBegun;
    return m_idleOccurrences.size() < maxIdleOccurrences && begun < maxBegunOccurrences
        && (begun == 0 || isRecordSmall);
}

std::optional<int> OwnedJob::nextOccurrence()
{
    // Ranges of ended occurrences and begun ones alternate.
    int before = -1;
    while (before != m_nextOccurrence) {
        before = m_nextOccurrence;
        m_nextOccurrence = m_progress.endedOccurrences.firstAbsentFrom(m_nextOccurrence);
        while (m_occurrences.contains(m_nextOccurrence))
            ++m_nextOccurrence;
    }
    if (m_nextOccurrence >= m_submission.spec.occurrenceCount())
        return std::nullopt;
    return m_nextOccurrence;
}

bool OwnedJob::isOccurrenceAhead(int occurrence) const
{
    return occurrence >= 0 && occurrence < m_submission.spec.occurrenceCount()
        && !m_occurrences.contains(occurrence) && !m_progress.endedOccurrences.contains(occurrence);
}

JobProgress OwnedJob::recordedProgress() const
{
    JobProgress recorded;
    recorded.state = m_progress.state;
    recorded.endedUnixMs = m_progress.endedUnixMs;
    // What the tasks have done doesn't matter any more.
    if (isOver())
        return recorded;
    if (!m_submission.spec.isScheduled())
        return m_progress;
    recorded.endedOccurrences = m_progress.endedOccurrences;
    for (const auto &[occurrence, steps] : m_progress.occurrences) {
        const bool isUntouched
            = std::all_of(steps.begin(), steps.end(),
                          [](const StepProgress &step) { return step.isUntouched(); });
        if (!isUntouched)
            recorded.occurrences.emplace(occurrence, steps);
    }
    return recorded;
}

void OwnedJob::beginOccurrence(int occurrence)
{
    if (m_occurrences.contains(occurrence) || m_progress.endedOccurrences.contains(occurrence))
        return;
    std::vector<StepProgress> &progress = m_progress.occurrences[occurrence];
    std::vector<OwnedStep> &steps = m_occurrences[occurrence];
    progress.resize(m_submission.spec.steps.size());
    steps.resize(m_submission.spec.steps.size());
    for (std::size_t i = 0; i < steps.size(); ++i) {
        const auto count = static_cast<std::size_t>(m_submission.spec.steps[i].taskCount);
        progress[i].isDone.resize(count);
        steps[i].tasks.resize(count);
        for (const auto &[index, run] : progress[i].abandonedRuns) {
            // The progress of another writer may name tasks that the submission doesn't have.
            const auto task = static_cast<std::size_t>(index);
            if (task < count)
                steps[i].tasks[task].lastRun = run;
        }
    }
    refresh(occurrence);
}

TaskState *OwnedJob::findTask(const TaskName &name)
{
    const auto found = m_occurrences.find(name.occurrence);
    if (found == m_occurrences.end())
        return nullptr;
    const auto step = static_cast<std::size_t>(name.step);
    if (step >= found->second.size())
        return nullptr;
    const auto index = static_cast<std::size_t>(name.index);
    if (index >= found->second[step].tasks.size())
        return nullptr;
    return &found->second[step].tasks[index];
}

bool OwnedJob::isTaskDone(const TaskName &name) const
{
    if (m_progress.endedOccurrences.contains(name.occurrence))
        return true;
    const auto found = m_progress.occurrences.find(name.occurrence);
    if (found == m_progress.occurrences.end())
        return false;
    const StepProgress &step = found->second[static_cast<std::size_t>(name.step)];
    return step.isDone[static_cast<std::size_t>(name.index)];
}

bool OwnedJob::isStepDone(const std::vector<StepProgress> &steps, int step) const
{
    const std::vector<bool> &isDone = steps[static_cast<std::size_t>(step)].isDone;
    return std::find(isDone.begin(), isDone.end(), false) == isDone.end();
}

void OwnedJob::noteFormerRuns(Core::Instant since)
{
    for (const auto &[occurrence, steps] : m_occurrences)
        noteFormerRuns(occurrence, since);
}

void OwnedJob::noteFormerRuns(int occurrence, Core::Instant since)
{
    const auto found = m_occurrences.find(occurrence);
    if (found == m_occurrences.end())
        return;
    for (std::size_t step = 0; step < found->second.size(); ++step) {
        std::vector<TaskState> &tasks = found->second[step].tasks;
        const std::size_t started = m_startedTasks.empty()
            ? tasks.size()
            : std::min(tasks.size(), static_cast<std::size_t>(m_startedTasks[step]));
        for (std::size_t i = 0; i < started; ++i) {
            if (tasks[i].run)
                continue;
            tasks[i].awaySince = since;
            tasks[i].mayRunUnseen = true;
        }
    }
}

void OwnedJob::refresh(int occurrence)
{
    const auto found = m_occurrences.find(occurrence);
    if (found == m_occurrences.end())
        return;
    const std::vector<StepProgress> &progress = m_progress.occurrences[occurrence];
    bool isWaiting = false;
    bool hasRun = false;
    for (std::size_t i = 0; i < found->second.size(); ++i) {
        OwnedStep &step = found->second[i];
        const std::vector<int> &after = m_submission.spec.steps[i].after;
        step.isReady = std::all_of(after.begin(), after.end(), [&](int dependency) {
            return isStepDone(progress, dependency);
        });
        step.waitingCount = 0;
        for (std::size_t task = 0; task < step.tasks.size(); ++task) {
            hasRun |= step.tasks[task].run != nullptr;
            if (!progress[i].isDone[task] && !step.tasks[task].run)
                ++step.waitingCount;
        }
        isWaiting |= step.isReady && step.waitingCount > 0;
    }
    const auto setIn = [occurrence](std::set<int> &occurrences, bool isIn) {
        if (isIn)
            occurrences.insert(occurrence);
        else
            occurrences.erase(occurrence);
    };
    setIn(m_waitingOccurrences, isWaiting);
    setIn(m_idleOccurrences, isWaiting && !hasRun);
}

bool OwnedJob::markTaskDone(const TaskName &name, std::int64_t unixMs)
{
    std::vector<StepProgress> &steps = m_progress.occurrences[name.occurrence];
    steps[static_cast<std::size_t>(name.step)].isDone[static_cast<std::size_t>(name.index)] = true;
    isDirty = true;
    for (int step = 0; step < static_cast<int>(steps.size()); ++step) {
        if (!isStepDone(steps, step))
            return false;
    }
    m_progress.occurrences.erase(name.occurrence);
    m_occurrences.erase(name.occurrence);
    m_waitingOccurrences.erase(name.occurrence);
    m_idleOccurrences.erase(name.occurrence);
    m_progress.endedOccurrences.insert(name.occurrence);
    if (m_progress.endedOccurrences.count() < m_submission.spec.occurrenceCount())
        return false;
    finish(JobState::Completed, unixMs);
    return true;
}

int OwnedJob::addFailedRun(const TaskName &name, std::int64_t run)
{
    std::vector<StepProgress> &steps = m_progress.occurrences[name.occurrence];
    const int countedIndex = spec(name.step).isGang ? 0 : name.index;
    auto &failedRuns = steps[static_cast<std::size_t>(name.step)].failedRuns[countedIndex];
    if (failedRuns.insert(run).second)
        isDirty = true;
    return static_cast<int>(failedRuns.size());
}

void OwnedJob::abandon(const TaskName &name, std::int64_t run)
{
    std::vector<StepProgress> &steps = m_progress.occurrences[name.occurrence];
    std::int64_t &abandoned = steps[static_cast<std::size_t>(name.step)].abandonedRuns[name.index];
    abandoned = std::max(abandoned, run);
    isDirty = true;
}

const CrashHistory &OwnedJob::crashHistory(const TaskName &name) const
{
    static const CrashHistory none;
    const auto occurrence = m_progress.occurrences.find(name.occurrence);
    if (occurrence == m_progress.occurrences.end())
        return none;
    const StepProgress &step = occurrence->second[static_cast<std::size_t>(name.step)];
    const auto history = step.crashHistories.find(name.index);
    return history == step.crashHistories.end() ? none : history->second;
}

CrashHistory OwnedJob::sharedCrashHistory(const TaskName &name) const
{
    if (!spec(name.step).isGang)
        return crashHistory(name);
    CrashHistory shared;
    const auto occurrence = m_progress.occurrences.find(name.occurrence);
    if (occurrence == m_progress.occurrences.end())
        return shared;
    const StepProgress &step = occurrence->second[static_cast<std::size_t>(name.step)];
    for (const auto &[index, history] : step.crashHistories)
        shared = shared.mergedWith(history);
    return shared;
}

void OwnedJob::setCrashHistory(const TaskName &name, const CrashHistory &history)
{
    const auto occurrence = m_progress.occurrences.find(name.occurrence);
    if (occurrence == m_progress.occurrences.end() || crashHistory(name) == history)
        return;
    auto &histories = occurrence->second[static_cast<std::size_t>(name.step)].crashHistories;
    if (history.isEmpty())
        histories.erase(name.index);
    else
        histories.insert_or_assign(name.index, history);
    isDirty = true;
}

void OwnedJob::finish(JobState state, std::int64_t unixMs)
{
    m_progress.state = state;
    m_progress.endedUnixMs = unixMs;
    isDirty = true;
}

void OwnedJob::forgetStartedTasks()
{
    hasNewWorkers |= !m_startedTasks.empty();
    m_startedTasks.clear();
    m_durableStartedTasks.clear();
}

void OwnedJob::notePlannedStart(int step, int index, const Core::VmId &worker)
{
    addWorker(worker);
    if (m_startedTasks.empty())
        return;
    int &started = m_startedTasks[static_cast<std::size_t>(step)];
    if (index < started)
        return;
    started
        = std::min(spec(step).taskCount, (index / startsRecordedAtOnce + 1) * startsRecordedAtOnce);
    hasNewWorkers = true;
}

void OwnedJob::addWorker(const Core::VmId &worker)
{
    hasNewWorkers |= m_workers.insert(worker).second;
}

void OwnedJob::removeWorker(const Core::VmId &worker)
{
    m_durableWorkers.erase(worker);
    const bool isRemoved = m_workers.erase(worker) > 0;
    hasNewWorkers |= isRemoved && hasLongRunningSteps();
}

void OwnedJob::beginRecordingWorkers()
{
    for (auto it = m_durableWorkers.begin(); it != m_durableWorkers.end();)
        it = m_workers.contains(*it) ? std::next(it) : m_durableWorkers.erase(it);
}

bool OwnedJob::markBegun()
{
    if (m_progress.state != JobState::Queued)
        return false;
    m_progress.state = JobState::Running;
    return true;
}

void OwnedJob::setDurableWorkers(const JobWorkers &record)
{
    m_durableWorkers = record.workers;
    m_durableStartedTasks = record.startedTasks;
}

bool OwnedJob::hasRuns() const
{
    for (const auto &[occurrence, steps] : m_occurrences) {
        for (const OwnedStep &step : steps) {
            for (const TaskState &task : step.tasks) {
                if (task.run)
                    return true;
            }
        }
    }
    return false;
}

} // namespace Jobs
