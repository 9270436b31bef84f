#include <LibTask/TaskEntry.h>

namespace Task {

bool isEnded(TaskState state)
{
    switch (state) {
    case TaskState::Finished:
    case TaskState::Failed:
    case TaskState::Cancelled:
    case TaskState::Held:
    case TaskState::Refused:
    case TaskState::Transferred:
        return true;
    case TaskState::Submitted:
    case TaskState::Planned:
    case TaskState::Running:
    case TaskState::Evicted:
        return false;
    }
    return false;
}

const char *stateName(TaskState state)
{
    switch (state) {
    case TaskState::Submitted:
        return "submitted";
    case TaskState::Planned:
        return "planned";
    case TaskState::Running:
        return "running";
    case TaskState::Evicted:
        return "evicted";
    case TaskState::Finished:
        return "finished";
    case TaskState::Failed:
        return "failed";
    case TaskState::Cancelled:
        return "cancelled";
    case TaskState::Held:
        return "held";
    case TaskState::Refused:
        return "refused";
    case TaskState::Transferred:
        return "transferred";
    }
    return "unknown";
}

bool TaskEntry::isWaiting() const
{
    return state == TaskState::Submitted || state == TaskState::Evicted;
}

} // namespace Task
