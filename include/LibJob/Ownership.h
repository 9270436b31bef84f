#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibJob/Commands.h>
#include <LibJob/LeaseSuspensions.h>

#include <cstdint>
#include <set>

namespace Jobs {

/// The terms under which a node owns the site's jobs.
struct Ownership
{
    /// Increases with each claim of the site's jobs. Commands carry it or a higher one; see
    /// JobScheduler::offerToken().
    FencingToken token = 0;
    /// Number of the claim, counted from 0.
    std::int64_t term = 0;
    /// After this time no task that an earlier owner started can still run on a worker that hasn't
    /// answered this owner: its lease has expired. The epoch if there was no earlier owner.
    Core::Instant formerLeasesEndAt;
    /// The same for workers that the former owner had suspended; these end sooner.
    LeaseEnds formerLeaseEnds = {};
    /// The workers with a record of a suspension, whichever owner wrote it.
    std::set<Core::VmId> recordedSuspensions = {};
    /// False if the former owner was of a version that doesn't write JobWorkers::startedTasks: what
    /// the records tell may be outdated.
    bool areFormerStartsRecorded = true;
    /// False if commands of the former owner may have taken effect in a worker's process for which
    /// they weren't meant.
    bool areFormerCommandsBound = true;
    /// When the claim was sent to the store.
    Core::Instant provenAt = {};

    bool operator==(const Ownership &) const = default;
};

} // namespace Jobs
