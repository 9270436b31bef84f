#pragma once

#include <LibSite/CountersByLabel.h>
#include <LibSite/HistogramsByStep.h>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace Site {

/// The metrics of a node; docs/operators/METRICS.md describes each of them.
class SiteMetrics
{
public:
    SiteMetrics();

    /// \p request is submit, find, cancel, waiting or other; \p outcome is the HTTP status.
    void countRequest(const std::string &request, const std::string &outcome, double seconds);
    /// Counts a request of a customer by the class of its HTTP status; does nothing for an empty
    /// name. Customers beyond the first `maxCustomerLabels` are counted together as `other`.
    void countCustomerRequest(const std::string &customer, unsigned status);
    /// Counts a job beyond the rate of submission of a customer, by customer in the same way.
    void countJobInExcess(const std::string &customer);
    /// \p call is append, read or newest; \p outcome is ok, refused, unknown or not-sent.
    void countStoreCall(const std::string &call, const std::string &outcome, double seconds);
    /// Counts a successful read of the log. \p topic is jobs, operators or workers; \p seconds is
    /// how long the call took, including the time for which the store waited for a record.
    void countRead(const std::string &topic, std::size_t records, double seconds);
    void countStart(std::string_view outcome, double seconds);
    void countDecision(std::string_view event);
    /// A task of the queue's jobs has been started; \p seconds is how long it had been able to.
    void observeStart(std::string_view queue, int step, double seconds);
    /// The end of a task was learned; \p seconds is for how long it may have gone unnoticed.
    void observeEnd(std::string_view queue, int step, double seconds);
    /// The end of a job became durable, \p seconds after it was learned.
    void observeDurableEnd(double seconds);
    void setOwner(bool isOwner);
    void setTasks(double running, double waiting);
    /// Sets what a customer uses of a resource (millicores, mebibytes or accelerators) and its
    /// limit; 0 for no limit. Customers beyond the first `maxCustomerLabels` are left out.
    void setCustomerUse(const std::string &customer, const std::string &resource, double used,
                        double limit);
    /// Sets the age of the copy of the job records; -1 if it was never complete.
    void setTableAge(double seconds);
    /// Sets how many connections to workers are open, in use and idle.
    void setWorkerConnections(double open);
    /// Sets how many calls to workers have been refused a connection so far; never decreases.
    void setRefusedWorkerCalls(double total);
    /// Sets how many bytes clients make the process hold.
    void setClientMemory(double bytes);
    /// Sets how many connections of clients were closed for want of memory or connections; never
    /// decreases.
    void setClosedClients(double total);
    /// Sets how often memory for clients was short though no connection had stalled; never
    /// decreases.
    void setMemoryShortages(double total);
    /// Counts a renewal that was sent without its acknowledgement of ended runs, since no
    /// connection to the process that had reported them was free.
    void countWithheldAcknowledgement();
    /// How many have been counted.
    std::int64_t withheldAcknowledgements() const;
    /// Counts a question which process of a worker answers, before a start or a lease.
    void countProcessQuestion();
    /// Counts a failed append of callers' records at this node; \p outcome is refused or
    /// unanswered.
    void countFailedAppend(std::string_view outcome);
    /// Counts callers' records that were sent to the owner.
    void countForwarded(std::string_view outcome, std::size_t records);
    /// Counts a write that was refused, as it couldn't be durable by its deadline; \p source is
    /// that of the latency on which this rests.
    void countRefusedWrite(std::string_view source);
    /// Counts an append of the owner that was refused or not answered.
    void countFailedCommit();
    /// Sets the longest time between two successful appends of this node's last term as the owner.
    void setLongestCommitGap(double seconds);
    /// Sets how late the owner's work with workers ran at most in the last second; 0 on other
    /// nodes.
    void setOwnerLag(double seconds);

    /// All metrics in the text format of Prometheus.
    std::string text() const;

private:
    /// Bounds the series of metrics by customer.
    static constexpr std::size_t maxCustomerLabels = 512;

    /// The label that stands for the customer.
    const std::string &customerLabel(const std::string &customer);

    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter> &m_requests;
    prometheus::Family<prometheus::Histogram> &m_requestSeconds;
    prometheus::Family<prometheus::Counter> &m_customerRequests;
    prometheus::Family<prometheus::Counter> &m_jobsInExcess;
    prometheus::Family<prometheus::Gauge> &m_customerUse;
    prometheus::Family<prometheus::Gauge> &m_customerLimit;
    std::set<std::string> m_customerLabels;
    prometheus::Family<prometheus::Counter> &m_storeCalls;
    prometheus::Family<prometheus::Histogram> &m_storeSeconds;
    prometheus::Family<prometheus::Histogram> &m_readSeconds;
    prometheus::Family<prometheus::Counter> &m_readRecords;
    CountersByLabel m_starts;
    prometheus::Histogram &m_startSeconds;
    CountersByLabel m_decisions;
    HistogramsByStep m_startDelays;
    HistogramsByStep m_unwatchedEnds;
    prometheus::Histogram &m_durableEndSeconds;
    prometheus::Gauge &m_isOwner;
    prometheus::Gauge &m_running;
    prometheus::Gauge &m_waiting;
    prometheus::Gauge &m_tableAge;
    prometheus::Gauge &m_workerConnections;
    prometheus::Gauge &m_clientMemory;
    prometheus::Counter &m_closedClients;
    prometheus::Counter &m_memoryShortages;
    prometheus::Counter &m_refusedWorkerCalls;
    prometheus::Counter &m_withheldAcknowledgements;
    prometheus::Counter &m_processQuestions;
    prometheus::Gauge &m_ownerLag;
    CountersByLabel m_failedAppends;
    CountersByLabel m_forwardedRecords;
    CountersByLabel m_refusedWrites;
    prometheus::Counter &m_failedCommits;
    prometheus::Gauge &m_longestCommitGap;
};

} // namespace Site
