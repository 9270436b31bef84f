#pragma once

#include <LibPlatform/LogService.h>
#include <LibPlatform/VmEntry.h>
#include <LibPlatform/WorkerControl.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The JSON messages exchanged with the platform. Times are sent as milliseconds from now, because
/// the monotonic clocks of two VMs have different epochs.
namespace Platform::WireFormat {

/// The platform's answer to a request for its list of VMs.
struct VmListAnswer
{
    /// The version of the list; empty if the platform doesn't version it.
    std::string version;
    /// Empty if the list is still of the version that the request named.
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

/// All decoders throw Core::FormatError, in which \p peer names the origin of \p text.
Offset decodeAppend(std::string_view text, const std::string &peer);
LogPage decodeLogPage(std::string_view text, const std::string &peer);
VmListAnswer decodeVmList(std::string_view text, const std::string &peer);
std::vector<Task::AttemptReport> decodeReports(std::string_view text, const std::string &peer);

} // namespace Platform::WireFormat
