#pragma once

#include <LibJob/Catalogue.h>
#include <LibJob/JobProgress.h>
#include <LibJob/JobSpec.h>
#include <LibJob/WorkerIds.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Jobs {

/// A job was accepted. Written by any node; repeated submissions of the same job have no effect.
struct Submission
{
    JobId id;
    /// The queue's configuration at the time of acceptance. The store doesn't keep its `host`,
    /// `basePath` and `allowsAnonymous`.
    Queue queue;
    JobSpec spec;
    std::int64_t submittedUnixMs = 0;
    /// Empty if the job belongs to no customer, or was accepted by a version without customers.
    Core::CustomerId customer = {};

    bool operator==(const Submission &) const = default;
};

/// What a submission tells to a node that doesn't schedule the job: enough to tell its state and to
/// count it while it waits. Written in one append with the submission, which is many times larger.
struct AcceptedJob
{
    JobId id;
    QueueId queue;
    /// See JobSpec::isScheduled().
    bool isScheduled = false;
    /// See Submission::customer.
    Core::CustomerId customer = {};

    bool operator==(const AcceptedJob &) const = default;
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
    /// See Submission::customer. Recorded with a final progress only: the submission is deleted.
    Core::CustomerId customer = {};
    /// What the runs of a job with a final progress still request while they are being stopped.
    /// Until they have ended it counts toward the customer's limit.
    Core::Resources remainingUse = {};

    bool operator==(const ProgressRecord &) const = default;
};

/// The only workers that may have received a start command for a task of the job. Written by the
/// owner. It is a record of its own because it grows with the width of the job, but changes less
/// often than the progress.
struct JobWorkers
{
    JobId id;
    WorkerIds workers;
    /// By step, how many tasks, counted from index 0, may have received a start command, or may do
    /// so without a further record. Empty if any task may have, as for a scheduled job.
    std::vector<int> startedTasks = {};

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
    /// How long after the owner's last append the leases that it grants may end, in milliseconds on
    /// a worker's clock. 0 in a claim of a version that doesn't say so.
    std::int64_t maxLeaseAfterProofMs = 0;
    /// A worker's next process carries out no start, and extends no lease, that the owner has meant
    /// for its former one. False in a claim of a version that doesn't say so.
    bool areCommandsBound = false;
    /// Where the owner accepts other nodes' records, as IP:PORT; empty if it doesn't, and in a
    /// claim of a version that doesn't say so.
    std::string address = {};

    bool operator==(const OwnerClaim &) const = default;
};

/// Shows that the owner of a term is alive and can write to the store.
struct Heartbeat
{
    std::int64_t term = 0;

    bool operator==(const Heartbeat &) const = default;
};

/// The owner grants the worker no lease and sends it no start until a later record lifts this.
/// Counts only for the next owner after that of `term`.
struct LeaseSuspension
{
    Core::VmId worker;
    std::int64_t term = 0;
    /// How long after the writing of the record a task may still run on the worker, in milliseconds
    /// on the owner's clock. No deadline, since VMs share no clock that never steps.
    std::int64_t remainingMs = 0;
    bool isLifted = false;

    bool operator==(const LeaseSuspension &) const = default;
};

/// A job has ended and nothing of it runs any more, as far as the owner knows. What is left of its
/// records is its final state; the rest is deleted. Written by the owner.
struct EndedJob
{
    JobId id;
    JobState state = JobState::Completed;
    /// When the job ended, in Unix milliseconds.
    std::int64_t endedUnixMs = 0;
    /// See Submission::customer.
    Core::CustomerId customer = {};
    /// What tasks request of which the owner doesn't know whether they run; see
    /// ProgressRecord::remainingUse.
    Core::Resources remainingUse = {};

    bool operator==(const EndedJob &) const = default;
};

/// A record of a job was deleted that nothing follows from once the job has ended: that of its
/// acceptance, its submission, its cancellation or the list of its workers. Part of an EndedJob or
/// of a JobDeletion.
struct RecordRemoval
{
    JobId id;

    bool operator==(const RecordRemoval &) const = default;
};

/// Deletes all records of a job.
struct JobDeletion
{
    JobId id;

    bool operator==(const JobDeletion &) const = default;
};

using JobRecord
    = std::variant<Submission, AcceptedJob, Cancellation, ProgressRecord, JobWorkers, OwnerClaim,
                   Heartbeat, LeaseSuspension, EndedJob, RecordRemoval, JobDeletion>;

/// A record as the store keeps it. The log is compacted: the newest value of each key is retained,
/// and an empty value deletes the key.
struct StoredRecord
{
    std::string key;
    std::string value;

    bool operator==(const StoredRecord &) const = default;
};

/// Encodes a record for the store. The stored records belong into one append: a Submission becomes
/// two, the second of which is its AcceptedJob; EndedJob and JobDeletion become one for each key
/// that the job may have; all others become one. A RecordRemoval can't be encoded by itself.
std::vector<StoredRecord> encodeRecord(const JobRecord &record);

/// Decodes a record of the store. An empty value under the key of a job's progress becomes a
/// JobDeletion, one under another key of a job a RecordRemoval, and one under the key of a
/// suspension a LeaseSuspension that is lifted.
/// \throws Core::FormatError if the key is unknown or the value is malformed.
JobRecord decodeRecord(const StoredRecord &record);

/// True if the record with this key is needed only by a node that schedules the jobs. In the order
/// of keys, all such records come after the others.
bool isSchedulingDetail(const std::string &key);

} // namespace Jobs
