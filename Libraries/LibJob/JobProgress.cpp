#include <LibJob/JobProgress.h>

#include <algorithm>

namespace Jobs {

const char *jobStateText(JobState state)
{
    switch (state) {
    case JobState::Queued:
        return "queued";
    case JobState::Running:
        return "running";
    case JobState::Completed:
        return "completed";
    case JobState::Failed:
        return "failed";
    case JobState::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

int StepProgress::doneCount() const
{
    return static_cast<int>(std::count(isDone.begin(), isDone.end(), true));
}

bool StepProgress::isUntouched() const
{
    return failedRuns.empty() && abandonedRuns.empty() && crashHistories.empty()
        && doneCount() == 0;
}

} // namespace Jobs
