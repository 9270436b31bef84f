#include <LibJob/WorkerReport.h>

namespace Jobs {

const char *endKindText(EndKind kind)
{
    switch (kind) {
    case EndKind::Done:
        return "done";
    case EndKind::Failed:
        return "failed";
    case EndKind::Stopped:
        return "stopped";
    case EndKind::LeaseExpired:
        return "lease-expired";
    case EndKind::GangBroken:
        return "gang-broken";
    case EndKind::GangIncomplete:
        return "gang-incomplete";
    }
    return "unknown";
}

} // namespace Jobs
