#pragma once

#include <LibJob/JobScheduler.h>

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// A scheduler with two workers that answer only when a test tells them to.
class SchedulerFixture
{
public:
    static const Core::VmId first;
    static const Core::VmId second;

    explicit SchedulerFixture(const Jobs::Ownership &ownership);

    void submit(const Jobs::StepSpec &step, const std::string &id = "job");
    /// Submits a job of a customer to a queue of the given priority. The clock of the VM that takes
    /// it is \p aheadMs ahead.
    void submitFor(const std::string &customer, const Jobs::StepSpec &step, const std::string &id,
                   int priority = 0, std::int64_t aheadMs = 0);
    /// Sets the customers of the catalogue with their weights.
    void setWeights(const std::map<std::string, double> &weights);
    /// Reads the submission of a job again, as it was before any progress was recorded.
    void readSubmissionAgain(const Jobs::StepSpec &step, const std::string &id = "job");
    /// Adds a running job as a former owner has recorded it: both workers may have received starts.
    void takeOver(const Jobs::StepSpec &step, int attemptLimit);
    /// Adds all jobs as another owner has recorded them.
    void takeOver(const SchedulerFixture &former);

    /// Each worker on which a run was started reports its running and ended runs; serving tasks
    /// have the given tail latency.
    void reportAll(std::int64_t tailMs);
    /// Ends the run of the task; reportAll() lists it as ended from now on.
    void endTask(const Jobs::TaskName &task, Jobs::EndKind kind);
    /// A worker answers a renewal with a report.
    void report(const Core::VmId &worker, const std::vector<Jobs::EndedEntry> &ended,
                const std::vector<Jobs::RunningEntry> &running = {});
    /// A worker answers a renewal that acknowledged its ends up to \p number, and runs nothing.
    void reportAcknowledged(const Core::VmId &worker, std::int64_t number);
    /// The worker has crashed and is back under its ID; its reports show it from now on.
    void restart(const Core::VmId &worker);
    /// The store's list shows the process that restart() has started.
    void listRestarted(const Core::VmId &worker);
    /// A report arrives late that the worker sent before everything else happened.
    void reportFromBefore(const Core::VmId &worker, const std::vector<Jobs::EndedEntry> &ended);
    /// Another incarnation answers a renewal that was sent to \p address for \p worker.
    void answerAsOtherIncarnation(const Core::VmId &worker, const std::string &address);
    /// The store's list shows another worker at the address of \p worker, which it also still
    /// shows.
    void listSuccessor(const Core::VmId &worker);
    /// The store's list shows an entry under the worker's ID that names another address and start.
    void listAt(const Core::VmId &worker, const std::string &address,
                std::int64_t processStartUnixMs);
    /// The store's list shows another capacity of the worker.
    void setCapacity(const Core::VmId &worker, std::int64_t milliCores);
    void setStoreReachable(bool isReachable);
    void cancel();
    void cancel(const std::string &id);
    /// Sets the customers of the catalogue.
    void setCustomers(const std::vector<Jobs::Customer> &customers);
    /// The jobs that are submitted from now on belong to the customer; empty for none.
    void submitFor(const Core::CustomerId &customer) { m_customer = customer; }
    /// The inputs of the last decision of this name on a task of the job; empty if there is none.
    std::string lastNote(const std::string &job, const std::string &event) const;
    /// Sets the workers' answer to start commands.
    void answerStarts(Jobs::StartOutcome outcome) { m_startOutcome = outcome; }
    /// Runs a planning pass; nothing becomes durable.
    void plan();
    /// Makes the next commit durable.
    void commit();
    /// Advances the time by 2 s, makes commits durable while the store is reachable, and returns
    /// the start commands.
    std::vector<Jobs::StartCommand> runForTwoSeconds();

    Jobs::JobScheduler &scheduler() { return m_scheduler; }
    Jobs::JobState state() const { return m_table.find(Jobs::JobId("job"))->state(); }
    /// The crashes under the first task of `job` as the records say.
    Jobs::CrashHistory recordedCrashes() const;
    std::int64_t waitingCount() const { return m_table.waitingCount(Jobs::QueueId("queue")); }
    /// All throttle commands, in order.
    const std::vector<Jobs::ThrottleCommand> &throttles() const { return m_throttles; }
    /// All stop commands of runForTwoSeconds(), in order.
    const std::vector<Jobs::StopCommand> &stops() const { return m_stops; }
    /// How many jobs the owner has noted as being in excess, by customer.
    const std::map<Core::CustomerId, int> &jobsInExcess() const { return m_log.jobsInExcess; }
    /// What the log says of waiting tasks, in order.
    const std::vector<std::string> &waitLines() const { return m_log.waitLines; }
    int recordsWritten() const { return m_recordsWritten; }
    /// Those of recordsWritten() that name the workers of a job.
    int workerRecordsWritten() const { return m_workerRecordsWritten; }
    /// The number up to which the latest renewal sent to the worker acknowledges ended runs.
    std::int64_t acknowledgedEnd(const Core::VmId &worker);
    /// The token of the latest renewal sent to the worker.
    Jobs::FencingToken tokenOf(const Core::VmId &worker);
    /// The worker doesn't answer renewals until its leases have expired.
    void partition(const Core::VmId &worker);
    /// A renewal that was sent to the worker gets no answer.
    void failRenewal(const Core::VmId &worker);
    /// True if the owner sends the worker a renewal now.
    bool isRenewalDue(const Core::VmId &worker);

    static Jobs::StepSpec step(int taskCount, std::int64_t milliCores = 500);
    static Jobs::TaskName task(int index);
    static Jobs::EndedEntry end(std::int64_t number, int index, std::int64_t run,
                                Jobs::EndKind kind);

private:
    /// Keeps the last line on each task and event, the lines on waiting, and counts jobs in excess.
    class RecordedDecisions final : public Jobs::DecisionLog
    {
    public:
        void note(std::string_view task, std::string_view event, std::string_view inputs) override
        {
            lines[{ std::string(task), std::string(event) }] = std::string(inputs);
            if (event == "wait")
                waitLines.emplace_back(inputs);
        }
        void noteJobInExcess(const Jobs::JobId &, const Core::CustomerId &customer) override
        {
            ++jobsInExcess[customer];
        }

        std::map<std::pair<std::string, std::string>, std::string> lines;
        std::vector<std::string> waitLines;
        std::map<Core::CustomerId, int> jobsInExcess;
    };

    /// The running and ended runs that reportAll() reports for a worker.
    struct WorkerRuns
    {
        std::map<Jobs::TaskName, std::int64_t> runs;
        std::vector<Jobs::EndedEntry> ended;
    };

    Jobs::Submission submission(const std::string &id, const Jobs::StepSpec &step,
                                int attemptLimit);
    void advance(std::int64_t forMs);
    void collectRenewals();
    void deliver(const Core::VmId &worker, Jobs::WorkerReport report);

    static constexpr std::int64_t capacityMilliCores = 4000;

    RecordedDecisions m_log;
    Core::CustomerId m_customer;
    std::vector<Jobs::WorkerInfo> m_workers;
    Jobs::TimePoint m_now { Core::Instant(std::chrono::seconds(10)), 10'000 };
    Jobs::JobScheduler m_scheduler;
    Jobs::JobTable m_table;
    /// The step of each job; the records of an ended job don't tell it.
    std::map<Jobs::JobId, Jobs::StepSpec> m_steps;
    bool m_isStoreReachable = true;
    /// One more than the offset of the last append.
    Jobs::FencingToken m_newestToken;
    Jobs::StartOutcome m_startOutcome = Jobs::StartOutcome::Started;
    int m_recordsWritten = 0;
    int m_workerRecordsWritten = 0;
    std::vector<Jobs::ThrottleCommand> m_throttles;
    std::vector<Jobs::StopCommand> m_stops;
    std::map<Core::VmId, Jobs::RenewCommand> m_renewals;
    std::map<Core::VmId, WorkerRuns> m_workerRuns;
    /// When the workers' processes started, in Unix milliseconds; 1 if there is no entry.
    std::map<Core::VmId, std::int64_t> m_processStarts;
};
