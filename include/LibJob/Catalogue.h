#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Resources.h>
#include <LibJob/JobSpec.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Jobs {

/// A queue of jobs, as the operators configure it.
struct Queue
{
    QueueId id;
    std::string host;
    /// Prefix of the path of every request to the queue.
    std::string basePath;
    ServiceId service;
    /// Lower values start first.
    int priority = 0;
    /// The job fails once one of its tasks (or gangs) has failed this many times.
    int attemptLimit = 1;
    /// The time objective of a job is `stretch` times its critical path plus `objectiveBaseMs`.
    double stretch = 1;
    std::int64_t objectiveBaseMs = 0;
    /// Calls to the queue need no key, even if the site has customers.
    bool allowsAnonymous = false;

    bool operator==(const Queue &) const = default;
};

/// A secret that shows for which customer a call is made. It can't be written to a stream, so that
/// it doesn't get into a log line, a metric or an error by accident.
class ApiKey
{
public:
    explicit ApiKey(std::string secret)
        : m_secret(std::move(secret))
    {
    }

    const std::string &secret() const { return m_secret; }

    bool operator==(const ApiKey &) const = default;

private:
    std::string m_secret;
};

/// A customer, as the operators configure it.
struct Customer
{
    Core::CustomerId id;
    std::vector<ApiKey> keys;
    /// The customer's share of the capacity relative to that of others, and the number of jobs per
    /// second that it may submit before its jobs come after those of others.
    double weight = 1;
    /// What the customer's tasks may request together on all workers; 0 in a dimension for no
    /// limit.
    Core::Resources limit;

    bool operator==(const Customer &) const = default;
};

/// A pool of workers that tasks of a queue run on.
struct Service
{
    ServiceId id;
    /// True if the workers themselves reject tasks that exceed their free capacity. Neither decoded
    /// from the operators' records nor used by the scheduler.
    bool refusesOverload = false;

    bool operator==(const Service &) const = default;
};

/// Limits on the HTTP connections of callers. `headerTimeoutMs` limits the time from the first
/// bytes of a request until its header and body are complete, `idleTimeoutMs` the time without a
/// request.
struct CallerLimits
{
    std::int64_t headerBytes = 16 * 1024;
    std::int64_t bodyBytes = 256 * 1024;
    std::int64_t headerTimeoutMs = 3000;
    std::int64_t idleTimeoutMs = 15000;

    bool operator==(const CallerLimits &) const = default;
};

/// One version of the operators' configuration of queues and services.
struct Catalogue
{
    std::int64_t version = 0;
    std::vector<Queue> queues;
    std::vector<Service> services;
    /// Nothing if the site has no customers: then calls need no key.
    std::optional<std::vector<Customer>> customers;
    CallerLimits limits;

    /// Returns the queue of \p host with the longest `basePath` that prefixes \p path, or null if
    /// there is none. The pointer is valid while the catalogue is unchanged.
    const Queue *findQueue(std::string_view host, std::string_view path) const;
    /// Returns null if there is no such queue.
    const Queue *findQueue(const QueueId &id) const;

    bool operator==(const Catalogue &) const = default;
};

} // namespace Jobs
