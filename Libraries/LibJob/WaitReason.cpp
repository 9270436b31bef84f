#include <LibJob/WaitReason.h>

namespace Jobs {

const char *waitReasonText(WaitReason reason)
{
    switch (reason) {
    case WaitReason::RunInDoubt:
        return "run-in-doubt";
    case WaitReason::StartsHeld:
        return "starts-held";
    case WaitReason::FormerRun:
        return "former-run";
    case WaitReason::Commit:
        return "commit";
    case WaitReason::OtherSuspects:
        return "other-suspects";
    case WaitReason::CustomerLimit:
        return "customer-limit";
    case WaitReason::StartWindow:
        return "start-window";
    case WaitReason::NoWorker:
        return "no-worker";
    case WaitReason::NextPass:
        return "next-pass";
    }
    return "unknown";
}

} // namespace Jobs
