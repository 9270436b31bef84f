#pragma once

#include <LibJob/TaskName.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Jobs {

enum class EndKind {
    Done,
    Failed,
    Stopped,
    LeaseExpired,
    /// Another member of the gang ended.
    GangBroken,
    /// Not all members of the gang were started.
    GangIncomplete,
};

const char *endKindText(EndKind kind);

struct RunningEntry
{
    TaskName task;
    std::int64_t run = 0;
    std::string checkpoint;
    /// Progress in percent; 100 for a long-running task that is ready.
    int percentDone = 0;
    /// Tail latency in milliseconds for a serving task, processor use in thousandths of a core for
    /// any other.
    std::int64_t recentLoad = 0;

    bool operator==(const RunningEntry &) const = default;
};

struct EndedEntry
{
    /// Sequence number of the end within one incarnation of the worker, counted from 1.
    std::int64_t number = 0;
    TaskName task;
    std::int64_t run = 0;
    EndKind kind = EndKind::Done;
    std::string checkpoint;

    bool operator==(const EndedEntry &) const = default;
};

/// A worker's answer to a renewal of its lease.
struct WorkerReport
{
    /// Maximum number of ended runs in one report; the oldest are listed first. A report with this
    /// many may be incomplete.
    static constexpr std::size_t maxEnds = 500;

    /// Reading of the worker's own clock in milliseconds; lease deadlines refer to this clock.
    std::int64_t clockMs = 0;
    std::int64_t processStartUnixMs = 0;
    /// Up to which number the process has been told to delete its records of ended runs with the
    /// renewal that this report answers; 0 if it wasn't told any.
    std::int64_t acknowledgedEnd = 0;
    std::vector<RunningEntry> running;
    std::vector<EndedEntry> ended;

    bool operator==(const WorkerReport &) const = default;
};

} // namespace Jobs
