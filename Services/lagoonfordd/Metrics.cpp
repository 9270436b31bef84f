#include "Metrics.h"

#include <prometheus/text_serializer.h>

namespace Daemon {

static prometheus::Family<prometheus::Counter> &
counters(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

static prometheus::Gauge &gauge(prometheus::Registry &registry, const std::string &name,
                                const std::string &help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

static const prometheus::Histogram::BucketBoundaries latencyBuckets
    = { 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30 };

Metrics::Metrics()
    : m_requests(counters(m_registry, "lagoonford_requests_total", "Requests by outcome"))
    , m_attempts(counters(m_registry, "lagoonford_attempts_total",
                          "Attempts at backend servers by result"))
    , m_placements(
          counters(m_registry, "lagoonford_placements_total", "Decisions of the placer by kind"))
    , m_jobs(counters(m_registry, "lagoonford_jobs_total", "Jobs by event"))
    , m_requestSeconds(prometheus::BuildHistogram()
                           .Name("lagoonford_request_seconds")
                           .Help("Time from a request's arrival to its answer")
                           .Register(m_registry)
                           .Add({}, latencyBuckets))
    , m_isPlacer(gauge(m_registry, "lagoonford_is_placer",
                       "1 while this VM is the placer of its failure domain"))
    , m_rulesVersion(
          gauge(m_registry, "lagoonford_rules_version", "The rule version that is in force here"))
    , m_queued(gauge(m_registry, "lagoonford_requests_queued", "Requests that wait for a slot"))
{
}

void Metrics::countRequest(const std::string &outcome, double seconds)
{
    m_requests.Add({ { "outcome", outcome } }).Increment();
    m_requestSeconds.Observe(seconds);
}

void Metrics::countAttempt(const std::string &result)
{
    m_attempts.Add({ { "result", result } }).Increment();
}

void Metrics::countPlacement(const std::string &kind)
{
    m_placements.Add({ { "kind", kind } }).Increment();
}

void Metrics::countJob(const std::string &event)
{
    m_jobs.Add({ { "event", event } }).Increment();
}

void Metrics::setPlacer(bool isPlacer)
{
    m_isPlacer.Set(isPlacer ? 1 : 0);
}

void Metrics::setRulesVersion(double version)
{
    m_rulesVersion.Set(version);
}

void Metrics::setQueued(double requests)
{
    m_queued.Set(requests);
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

} // namespace Daemon
