#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibSettings/KnownPeer.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Settings {

/// The settings of one `lagoonfordd`. docs/operators/SETTINGS.md describes each key; a test
/// compares that page with the table of keys.
struct Settings
{
    Core::VmId vmId;
    Core::FailureDomainId failureDomain;
    std::string address;
    std::uint16_t callerPort = 0;
    std::uint16_t peerPort = 0;
    /// Entry VMs to try before the platform's list has been read.
    std::vector<KnownPeer> knownPeers;
    std::string platformAddress;
    std::uint16_t platformPort = 0;
    Core::Duration defaultDeadline {};
    Core::Duration drainTime {};
    std::int64_t largestBodyBytes = 0;
    Core::Duration keyLifetime {};
    Core::Duration rulesFreshness {};
    Core::Duration pollInterval {};
    Core::Duration snapshotAge {};
    Core::Duration leaseLength {};
    Core::Duration taskLeaseLength {};
    Core::Duration logSilenceBound {};
    std::string logLevel;

    bool operator==(const Settings &) const = default;
};

/// Reads the settings file at \p path.
/// \throws SettingsError with every error in the file.
Settings readSettings(const std::string &path);

/// Parses settings from \p text; \p name is the file name in errors.
Settings parseSettings(const std::string &text, const std::string &name);

} // namespace Settings
