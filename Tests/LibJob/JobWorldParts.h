#pragma once

#include "JobWorld.h"
#include "WorldTrace.h"

// What the source files of JobWorld share; tests include only JobWorld.h.

/// By how much the time advances in one step of a simulation.
inline constexpr std::int64_t stepMs = 10;
/// The processors that a worker has for tasks unless JobWorld::setCapacity() changes them.
inline constexpr std::int64_t fullMilliCores = 4000;
/// A worker describes itself in the store at this interval.
inline constexpr std::int64_t publicationIntervalMs = 1500;

/// A node, with the scheduler that it runs while it takes itself for the owner.
struct JobWorld::Node
{
    WorldTrace log;
    std::unique_ptr<Jobs::JobScheduler> scheduler;
    Jobs::FencingToken token = 0;
    std::int64_t provenAtMs = 0;
    std::int64_t frozenUntilMs = 0;
    std::int64_t storePartitionedUntilMs = 0;
    std::map<std::size_t, std::int64_t> workerPartitionedUntilMs;
    /// By how much the node's time of day differs from the true one.
    std::int64_t clockErrorMs = 0;
    bool isCommitting = false;
    /// JobWorld::m_listVersion of the list that the scheduler was given last.
    std::int64_t listVersion = 0;
    /// Identifies the current scheduler of the node: answers to an earlier one are dropped.
    std::int64_t generation = 0;
};

/// What has happened to a task, whichever owner it was under; the checks read it.
struct JobWorld::TaskHistory
{
    std::vector<std::int64_t> startedAtMs;
    /// Failed runs with the time of their end.
    std::map<std::int64_t, std::int64_t> failedAtMs;
    /// Failed runs whose ends were acknowledged in time; each counts as an attempt.
    std::set<std::int64_t> attempts;
    /// Crashes of workers that the task caused.
    int crashes = 0;
    /// Crashes of workers that ran the task, or hadn't reported its end, whatever caused them.
    int crashesAround = 0;
    int startsAfterThirdCrash = 0;
    bool isDone = false;
    /// Runs that have ended as done, with the time of their end.
    std::map<std::int64_t, std::int64_t> doneAtMs;
    /// When the first run ended as done whose end was acknowledged in time; -1 if none was.
    std::int64_t acknowledgedDoneAtMs = -1;
    /// When a run of the task was last seen on a worker that is up; for one that never ran, when
    /// its job was submitted.
    std::int64_t lastRanAtMs = 0;
    /// Since when two workers have had room for the task all the time; -1 while they don't.
    std::int64_t roomSinceMs = -1;
};
