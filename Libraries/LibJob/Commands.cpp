#include <LibJob/Commands.h>

namespace Jobs {

const char *startOutcomeText(StartOutcome outcome)
{
    switch (outcome) {
    case StartOutcome::Started:
        return "started";
    case StartOutcome::Fenced:
        return "fenced";
    case StartOutcome::OldRun:
        return "old-run";
    case StartOutcome::Late:
        return "late";
    case StartOutcome::NoRoom:
        return "no-room";
    case StartOutcome::Refused:
        return "refused";
    case StartOutcome::OtherIncarnation:
        return "other-incarnation";
    case StartOutcome::OtherProcess:
        return "other-process";
    case StartOutcome::Invalid:
        return "invalid";
    case StartOutcome::Unknown:
        return "unknown";
    case StartOutcome::Interrupted:
        return "interrupted";
    case StartOutcome::Withheld:
        return "withheld";
    case StartOutcome::NotSent:
        return "not-sent";
    }
    return "unknown";
}

} // namespace Jobs
