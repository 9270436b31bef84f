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
    /// The other members of the gang didn't come.
    GangIncomplete,
};

const char *endKindText(EndKind kind);

struct RunningEntry
{
    TaskName task;
    std::int64_t run = 0;
    std::string checkpoint;
    int percentDone = 0;
    /// Of a serving task its tail latency in milliseconds, of any other its thousandths of a core.
    std::int64_t recentLoad = 0;

    bool operator==(const RunningEntry &) const = default;
};

struct EndedEntry
{
    /// Counts the ends of one run of the worker, from 1.
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
    /// A worker lists so many ends at most in one report, the oldest first.
    static constexpr std::size_t mostEnds = 500;

    std::int64_t clockMs = 0;
    std::int64_t bornUnixMs = 0;
    std::vector<RunningEntry> running;
    std::vector<EndedEntry> ended;

    bool operator==(const WorkerReport &) const = default;
};

} // namespace Jobs
