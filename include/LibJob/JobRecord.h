#pragma once

#include <LibJob/Catalogue.h>
#include <LibJob/JobProgress.h>
#include <LibJob/JobSpec.h>
#include <LibJob/WorkerIds.h>

#include <cstdint>
#include <string>
#include <variant>

namespace Jobs {

/// A job was accepted. Written by any node; repeated submissions of the same job have no effect.
struct Submission
{
    JobId id;
    /// The queue's configuration at the time of acceptance. The store doesn't keep its `host` and
    /// `basePath`.
    Queue queue;
    JobSpec spec;
    std::int64_t submittedUnixMs = 0;

    bool operator==(const Submission &) const = default;
};

/// A caller cancelled the job. Written by any node.
struct Cancellation
{
    JobId id;

    bool operator==(const Cancellation &) const = default;
};

/// The progress of a job. Written by the owner.
struct ProgressRecord
{
    JobId id;
    JobProgress progress;
    /// Workers that a record of an earlier version names in place of a JobWorkers record.
    WorkerIds workers = {};

    bool operator==(const ProgressRecord &) const = default;
};

/// The only workers that may have received a start command for a task of the job. Written by the
/// owner. It is a record of its own because it grows with the width of the job, but changes less
/// often than the progress.
struct JobWorkers
{
    JobId id;
    WorkerIds workers;

    bool operator==(const JobWorkers &) const = default;
};

/// A node becomes the owner of the site's jobs. Of several claims the one with the highest offset
/// in the log counts.
struct OwnerClaim
{
    std::string node;
    /// Number of the claim, counted from 0.
    std::int64_t term = 0;
    /// The owner has released the jobs, and any node may claim them.
    bool isReleased = false;

    bool operator==(const OwnerClaim &) const = default;
};

/// Shows that the owner of a term is alive and can write to the store.
struct Heartbeat
{
    std::int64_t term = 0;

    bool operator==(const Heartbeat &) const = default;
};

/// Deletes all records of a job.
struct JobDeletion
{
    JobId id;

    bool operator==(const JobDeletion &) const = default;
};

using JobRecord = std::variant<Submission, Cancellation, ProgressRecord, JobWorkers, OwnerClaim,
                               Heartbeat, JobDeletion>;

/// A record as the store keeps it. The log is compacted: the newest value of each key is retained,
/// and an empty value deletes the key.
struct StoredRecord
{
    std::string key;
    std::string value;

    bool operator==(const StoredRecord &) const = default;
};

/// Encodes a record for the store. JobDeletion becomes four stored records, one for each key of a
/// job; all others become one.
std::vector<StoredRecord> encodeRecord(const JobRecord &record);

/// Decodes a record of the store. An empty value under the key of a job becomes a JobDeletion.
/// \throws Core::FormatError if the key is unknown or the value is malformed.
JobRecord decodeRecord(const StoredRecord &record);

} // namespace Jobs
