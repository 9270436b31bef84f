#pragma once

#include <LibPlatform/LogService.h>
#include <LibPlatform/VmEntry.h>
#include <LibPlatform/WorkerControl.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The JSON texts that cross the wire to the platform. Moments cross it as milliseconds from now
/// on, because the clocks of two VMs have nothing in common.
namespace Platform::WireFormat {

/// The platform's answer to a question for its list of VMs.
struct VmListAnswer
{
    /// Names this state of the list; empty if the platform doesn't number its states.
    std::string version;
    /// Nothing if the list is still the one that the asker named.
    std::optional<std::vector<VmEntry>> entries;
};

/// Escapes \p text for use as one segment of a URL's path.
std::string pathSegment(std::string_view text);

std::string encodeAppend(const std::vector<std::string> &bodies);
std::string encodeStart(const StartCommand &command, Core::Instant now);
std::string encodeStop(const Task::AttemptId &attempt, StopMode mode);
std::string encodeThrottle(const Task::AttemptId &attempt, int percent);
std::string encodeRenew(const std::vector<Task::AttemptId> &attempts, Core::Instant leaseDeadline,
                        const std::vector<Task::AttemptId> &acknowledged, Core::Instant now);

/// All decoders throw Core::FormatError; \p peer names the origin of \p text in it.
Offset decodeAppend(std::string_view text, const std::string &peer);
LogPage decodeLogPage(std::string_view text, const std::string &peer);
VmListAnswer decodeVmList(std::string_view text, const std::string &peer);
std::vector<Task::AttemptReport> decodeReports(std::string_view text, const std::string &peer);

} // namespace Platform::WireFormat
