#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace Daemon {

/// The daemon's metrics for `GET /metrics`; see docs/operators/METRICS.md.
class Metrics
{
public:
    Metrics();

    /// \p outcome is `answered`, `not-run` or `unknown`.
    void countRequest(const std::string &outcome, double seconds);
    void countAttempt(const std::string &result);
    void countPlacement(const std::string &kind);
    void countJob(const std::string &event);
    void setPlacer(bool isPlacer);
    void setRulesVersion(double version);
    void setQueued(double requests);

    /// Returns all metrics in the Prometheus text format.
    std::string text() const;

private:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter> &m_requests;
    prometheus::Family<prometheus::Counter> &m_attempts;
    prometheus::Family<prometheus::Counter> &m_placements;
    prometheus::Family<prometheus::Counter> &m_jobs;
    prometheus::Histogram &m_requestSeconds;
    prometheus::Gauge &m_isPlacer;
    prometheus::Gauge &m_rulesVersion;
    prometheus::Gauge &m_queued;
};

} // namespace Daemon
