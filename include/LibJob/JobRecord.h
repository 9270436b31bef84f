#pragma once

#include <LibJob/Catalogue.h>
#include <LibJob/JobProgress.h>
#include <LibJob/JobSpec.h>

#include <cstdint>
#include <string>
#include <variant>

namespace Jobs {

/// A caller's job was accepted. Written by any node; repetitions change nothing.
struct Submission
{
    JobId id;
    /// As defined when the job was accepted.
    Queue queue;
    JobSpec spec;
    std::int64_t submittedUnixMs = 0;

    bool operator==(const Submission &) const = default;
};

/// A caller cancelled a job. Written by any node.
struct Cancellation
{
    JobId id;

    bool operator==(const Cancellation &) const = default;
};

/// The owner's account of a job.
struct ProgressRecord
{
    JobId id;
    JobProgress progress;

    bool operator==(const ProgressRecord &) const = default;
};

/// A node becomes the owner of the site's jobs. The record's offset orders claims.
struct OwnerClaim
{
    std::string node;
    /// Counts the claims from 0.
    std::int64_t term = 0;
    /// The owner has given up and any node may claim.
    bool isReleased = false;

    bool operator==(const OwnerClaim &) const = default;
};

/// A sign that the owner of a term is alive and can write.
struct Heartbeat
{
    std::int64_t term = 0;

    bool operator==(const Heartbeat &) const = default;
};

/// All that is known of a job may be forgotten.
struct JobDropped
{
    JobId id;

    bool operator==(const JobDropped &) const = default;
};

using JobRecord
    = std::variant<Submission, Cancellation, ProgressRecord, OwnerClaim, Heartbeat, JobDropped>;

/// A record as the store keeps it: the newest value of a key lasts. An empty value drops the key.
struct StoredRecord
{
    std::string key;
    std::string value;

    bool operator==(const StoredRecord &) const = default;
};

/// \throws nothing; JobDropped becomes three records, since a job's records have three keys.
std::vector<StoredRecord> encodeRecord(const JobRecord &record);

/// \throws Core::FormatError for a record that isn't ours.
JobRecord decodeRecord(const StoredRecord &record);

} // namespace Jobs
