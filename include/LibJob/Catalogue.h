#pragma once

#include <LibJob/JobSpec.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Jobs {

/// A queue of jobs as the operators define it.
struct Queue
{
    QueueId id;
    std::string host;
    /// What the path of every request to the queue begins with.
    std::string basePath;
    ServiceId service;
    /// 0 comes first.
    int priority = 0;
    /// A task that has failed this often fails its job.
    int mostAttempts = 1;
    /// A job's objective is this many times its longest chain of work, and `extraMs` more.
    double stretch = 1;
    std::int64_t extraMs = 0;

    bool operator==(const Queue &) const = default;
};

/// A pool of workers.
struct Service
{
    ServiceId id;
    /// The workers themselves refuse a task that doesn't fit.
    bool refusesOverload = false;

    bool operator==(const Service &) const = default;
};

/// Bounds on callers' connections.
struct CallerLimits
{
    std::int64_t headerBytes = 16 * 1024;
    std::int64_t bodyBytes = 256 * 1024;
    std::int64_t headerTimeoutMs = 3000;
    std::int64_t idleTimeoutMs = 15000;

    bool operator==(const CallerLimits &) const = default;
};

/// One version of the operators' definition of queues and services.
struct Catalogue
{
    std::int64_t version = 0;
    std::vector<Queue> queues;
    std::vector<Service> services;
    CallerLimits limits;

    /// The queue of \p host with the longest prefix of \p path; null if there is none.
    const Queue *findQueue(std::string_view host, std::string_view path) const;
    const Queue *findQueue(const QueueId &id) const;

    bool operator==(const Catalogue &) const = default;
};

} // namespace Jobs
