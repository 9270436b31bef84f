#include <LibSite/SiteMetrics.h>

#include <prometheus/text_serializer.h>

namespace Site {

static prometheus::Family<prometheus::Counter> &
counters(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

static prometheus::Family<prometheus::Histogram> &
histograms(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

static prometheus::Family<prometheus::Gauge> &
gauges(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

static prometheus::Gauge &gauge(prometheus::Registry &registry, const std::string &name,
                                const std::string &help)
{
    return gauges(registry, name, help).Add({});
}

static const prometheus::Histogram::BucketBoundaries latencyBuckets
    = { 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5 };

SiteMetrics::SiteMetrics()
    : m_requests(counters(m_registry, "lagoonford_job_requests_total",
                          "Callers' requests on jobs by kind and outcome"))
    , m_requestSeconds(histograms(m_registry, "lagoonford_job_request_seconds",
                                  "Time to answer callers' requests on jobs"))
    , m_customerRequests(counters(m_registry, "lagoonford_customer_requests_total",
                                  "Requests by customer and class of status"))
    , m_jobsInExcess(counters(m_registry, "lagoonford_customer_jobs_in_excess_total",
                              "Jobs beyond their customer's rate of submission"))
    , m_customerUse(gauges(m_registry, "lagoonford_customer_use",
                           "What counts toward the customer's limit, by resource"))
    , m_customerLimit(gauges(m_registry, "lagoonford_customer_limit",
                             "The customer's limit by resource; 0 for none"))
    , m_storeCalls(counters(m_registry, "lagoonford_store_calls_total",
                            "Calls to the platform's store by kind and outcome"))
    , m_storeSeconds(histograms(m_registry, "lagoonford_store_call_seconds",
                                "Time of calls to the platform's store, waiting included"))
    , m_readSeconds(histograms(m_registry, "lagoonford_log_read_seconds",
                               "Time of reads of the log by topic, waiting for records included"))
    , m_readRecords(counters(m_registry, "lagoonford_log_read_records_total",
                             "Records read from the log by topic"))
    , m_starts(
          counters(m_registry, "lagoonford_task_starts_total", "Orders to start a task by outcome"),
          "outcome")
    , m_startSeconds(histograms(m_registry, "lagoonford_task_start_seconds",
                                "Time until an order to start a task was answered")
                         .Add({}, latencyBuckets))
    , m_decisions(counters(m_registry, "lagoonford_decisions_total", "Decisions on tasks"), "event")
    , m_startDelays(
          histograms(m_registry, "lagoonford_task_start_delay_seconds",
                     "Time from when a task could start until a worker confirmed its start"),
          latencyBuckets)
    , m_unwatchedEnds(
          histograms(m_registry, "lagoonford_task_end_unwatched_seconds",
                     "Time without an open renewal at the worker before an end was learned"),
          latencyBuckets)
    , m_durableEndSeconds(histograms(m_registry, "lagoonford_job_end_durable_seconds",
                                     "Time from when a job's end was learned until it was durable")
                              .Add({}, latencyBuckets))
    , m_isOwner(gauge(m_registry, "lagoonford_is_owner", "1 while this node owns the site's jobs"))
    , m_running(gauge(m_registry, "lagoonford_tasks_running", "Runs that aren't known to be gone"))
    , m_waiting(gauge(m_registry, "lagoonford_tasks_waiting", "Tasks that wait for a worker"))
    , m_tableAge(gauge(m_registry, "lagoonford_table_age_seconds",
                       "Age of the copy of the job records; -1 while it was never complete"))
    , m_workerConnections(gauge(m_registry, "lagoonford_worker_connections",
                                "Open connections to workers, in use and idle"))
    , m_clientMemory(gauge(m_registry, "lagoonford_client_memory_bytes",
                           "Bytes of requests and responses held for clients"))
    , m_closedClients(counters(m_registry, "lagoonford_client_connections_closed_total",
                               "Stalled connections closed for want of memory or connections")
                          .Add({}))
    , m_memoryShortages(counters(m_registry, "lagoonford_client_memory_shortages_total",
                                 "How often memory for clients was short and none had stalled")
                            .Add({}))
    , m_refusedWorkerCalls(counters(m_registry, "lagoonford_worker_calls_refused_total",
                                    "Calls to workers that got no connection within the budget")
                               .Add({}))
    , m_withheldAcknowledgements(
          counters(m_registry, "lagoonford_acknowledgements_withheld_total",
                   "Renewals that were sent without their acknowledgement of ended runs")
              .Add({}))
    , m_processQuestions(counters(m_registry, "lagoonford_worker_process_questions_total",
                                  "Questions which process of a worker answers, before a start or "
                                  "a lease on a new connection")
                             .Add({}))
    , m_ownerLag(gauge(m_registry, "lagoonford_owner_lag_seconds",
                       "How late the owner's work with workers ran at most in the last second"))
    , m_failedAppends(counters(m_registry, "lagoonford_failed_appends_total",
                               "Appends of callers' records that were refused or not answered"),
                      "outcome")
    , m_forwardedRecords(counters(m_registry, "lagoonford_forwarded_records_total",
                                  "Callers' records that were sent to the owner, by outcome"),
                         "outcome")
    , m_refusedWrites(counters(m_registry, "lagoonford_refused_writes_total",
                               "Callers' writes that couldn't be durable by their deadlines, by "
                               "the source of the latency that they rest on"),
                      "source")
    , m_failedCommits(counters(m_registry, "lagoonford_failed_commits_total",
                               "Appends of the owner that were refused or not answered")
                          .Add({}))
    , m_longestCommitGap(gauge(m_registry, "lagoonford_longest_commit_gap_seconds",
                               "Longest time between two appends of the node's last ownership"))
{
}

void SiteMetrics::countFailedAppend(std::string_view outcome)
{
    m_failedAppends.at(outcome).Increment();
}

void SiteMetrics::countForwarded(std::string_view outcome, std::size_t records)
{
    m_forwardedRecords.at(outcome).Increment(static_cast<double>(records));
}

void SiteMetrics::countRefusedWrite(std::string_view source)
{
    m_refusedWrites.at(source).Increment();
}

void SiteMetrics::countFailedCommit()
{
    m_failedCommits.Increment();
}

void SiteMetrics::setLongestCommitGap(double seconds)
{
    m_longestCommitGap.Set(seconds);
}

void SiteMetrics::countRequest(const std::string &request, const std::string &outcome,
                               double seconds)
{
    m_requests.Add({ { "request", request }, { "outcome", outcome } }).Increment();
    m_requestSeconds.Add({ { "request", request } }, latencyBuckets).Observe(seconds);
}

const std::string &SiteMetrics::customerLabel(const std::string &customer)
{
    static const std::string otherCustomers = "other";
    if (m_customerLabels.size() < maxCustomerLabels)
        return *m_customerLabels.insert(customer).first;
    return m_customerLabels.contains(customer) ? customer : otherCustomers;
}

void SiteMetrics::countCustomerRequest(const std::string &customer, unsigned status)
{
    if (customer.empty())
        return;
    const std::string statusClass = std::to_string(status / 100) + "xx";
    m_customerRequests.Add({ { "customer", customerLabel(customer) }, { "status", statusClass } })
        .Increment();
}

void SiteMetrics::countJobInExcess(const std::string &customer)
{
    m_jobsInExcess.Add({ { "customer", customerLabel(customer) } }).Increment();
}

void SiteMetrics::countStoreCall(const std::string &call, const std::string &outcome,
                                 double seconds)
{
    m_storeCalls.Add({ { "call", call }, { "outcome", outcome } }).Increment();
    m_storeSeconds.Add({ { "call", call } }, latencyBuckets).Observe(seconds);
}

void SiteMetrics::countStart(std::string_view outcome, double seconds)
{
    m_starts.at(outcome).Increment();
    m_startSeconds.Observe(seconds);
}

void SiteMetrics::countRead(const std::string &topic, std::size_t records, double seconds)
{
    m_readSeconds.Add({ { "topic", topic } }, latencyBuckets).Observe(seconds);
    m_readRecords.Add({ { "topic", topic } }).Increment(static_cast<double>(records));
}

void SiteMetrics::countDecision(std::string_view event)
{
    m_decisions.at(event).Increment();
}

void SiteMetrics::observeStart(std::string_view queue, int step, double seconds)
{
    m_startDelays.at(queue, step).Observe(seconds);
}

void SiteMetrics::observeEnd(std::string_view queue, int step, double seconds)
{
    m_unwatchedEnds.at(queue, step).Observe(seconds);
}

void SiteMetrics::observeDurableEnd(double seconds)
{
    m_durableEndSeconds.Observe(seconds);
}

void SiteMetrics::setOwner(bool isOwner)
{
    m_isOwner.Set(isOwner ? 1 : 0);
}

void SiteMetrics::setTasks(double running, double waiting)
{
    m_running.Set(running);
    m_waiting.Set(waiting);
}

void SiteMetrics::setCustomerUse(const std::string &customer, const std::string &resource,
                                 double used, double limit)
{
    // A gauge of several customers together would tell nothing about any of them.
    if (customerLabel(customer) != customer)
        return;
    const prometheus::Labels labels { { "customer", customer }, { "resource", resource } };
    m_customerUse.Add(labels).Set(used);
    m_customerLimit.Add(labels).Set(limit);
}

void SiteMetrics::setTableAge(double seconds)
{
    m_tableAge.Set(seconds);
}

void SiteMetrics::setWorkerConnections(double open)
{
    m_workerConnections.Set(open);
}

void SiteMetrics::setClientMemory(double bytes)
{
    m_clientMemory.Set(bytes);
}

void SiteMetrics::setClosedClients(double total)
{
    m_closedClients.Increment(total - m_closedClients.Value());
}

void SiteMetrics::setMemoryShortages(double total)
{
    m_memoryShortages.Increment(total - m_memoryShortages.Value());
}

void SiteMetrics::setRefusedWorkerCalls(double total)
{
    m_refusedWorkerCalls.Increment(total - m_refusedWorkerCalls.Value());
}

void SiteMetrics::countWithheldAcknowledgement()
{
    m_withheldAcknowledgements.Increment();
}

std::int64_t SiteMetrics::withheldAcknowledgements() const
{
    return static_cast<std::int64_t>(m_withheldAcknowledgements.Value());
}

void SiteMetrics::countProcessQuestion()
{
    m_processQuestions.Increment();
}

void SiteMetrics::setOwnerLag(double seconds)
{
    m_ownerLag.Set(seconds);
}

std::string SiteMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

} // namespace Site
