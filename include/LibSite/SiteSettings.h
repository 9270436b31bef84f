#pragma once

#include <LibCore/Identifier.h>
#include <LibJob/JobRecord.h>
#include <LibJob/OwnerMonitor.h>
#include <LibJob/SchedulerSettings.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace Site {

/// Settings of a node, fixed at its start.
struct SiteSettings
{
    /// Identifies this run of the node's process: every run has a different name.
    std::string nodeName;
    Jobs::SchedulerSettings scheduler;
    Jobs::OwnerMonitorSettings ownerMonitor;
    /// Once a worker has reported for this long that it is draining, no task may start on it.
    Core::Duration drainTime = std::chrono::seconds(2);
    /// How long a customer's key that may have been taken away still works for calls on known jobs
    /// while this node can't read the operators' records.
    Core::Duration revocationTime = std::chrono::seconds(5);
    /// Such a key works no longer than it takes other changes of the catalogue to be in force.
    bool isRevocationStrict = false;
    /// Where this node accepts other nodes' records, as IP:PORT; empty if it neither accepts nor
    /// forwards any.
    std::string peerAddress = {};

    bool operator==(const SiteSettings &) const = default;

    /// The record with which this node claims the jobs, or releases them.
    Jobs::OwnerClaim claim(std::int64_t term, bool isReleased) const
    {
        const auto maxLease
            = std::chrono::duration_cast<std::chrono::milliseconds>(scheduler.maxLeaseAfterProof);
        return { nodeName, term, isReleased, maxLease.count(), true, peerAddress };
    }
};

} // namespace Site
