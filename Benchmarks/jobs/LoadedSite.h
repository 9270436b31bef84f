#pragma once

#include <LibJob/JobScheduler.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string_view>
#include <vector>

/// The load of a site.
struct SiteLoad
{
    int workers = 0;
    int waitingSteps = 0;
    /// Range of the number of tasks of a waiting step.
    int minTasks = 8;
    int maxTasks = 8;
    int bestEffortImages = 9;
    int servingImages = 5;
    /// Serving tasks of 7 cores per 6 workers; 24 take nearly all processors.
    int servingTasks = 24;
    /// The jobs are those of this many customers in turn; 0 for a site without customers.
    int customers = 0;
};

/// A scheduler whose workers are full, with jobs that wait: what a pass and a report cost then.
class LoadedSite
{
public:
    explicit LoadedSite(const SiteLoad &load);

    /// Submits a job of one task for each of \p times that are due since long.
    void submitSchedule(std::int64_t times, std::int64_t milliCores);
    /// Submits an ordinary job of one task, and returns after how many passes it is started; -1 if
    /// it isn't after 100.
    int passesUntilStart();
    /// Time passes until the next look at what waits is due, and takes it.
    std::size_t pass();
    /// A worker answers a renewal with all that runs there.
    void report();
    /// A task of some worker ends, and its report says so.
    void endTask();
    /// Does what the owner's event loop does after a call to a worker has completed: takes due
    /// renewals and commands, and asks for the next wakeup. Time passes by \p duration.
    void turn(Core::Duration duration);
    /// Lets tasks end at the rate of \p endsPerSecond for one second of simulated time, with one
    /// turn for each report and each answered start. New jobs replace those that have started.
    void second(int endsPerSecond);
    const Jobs::JobScheduler &scheduler() const { return m_scheduler; }
    /// An answer as it is decoded.
    const Jobs::WorkerReport &lastReport() const { return m_lastReport; }
    /// The size of the largest progress record that was committed, in bytes.
    std::size_t largestProgressBytes() const { return m_largestProgressBytes; }

private:
    class SilentLog final : public Jobs::DecisionLog
    {
    public:
        void note(std::string_view, std::string_view, std::string_view) override { }
    };

    void setCustomers();
    void submit(int number, const Jobs::StepSpec &step, int priority);
    void submit(const Jobs::Submission &submission);
    Jobs::Submission submission(int number, const Jobs::StepSpec &step, int priority) const;
    void submitWaiting();
    void answerRenewal();
    /// A task of the worker that reports next ends.
    void endOneTask();
    void commit();
    void answer(const Jobs::Command &command);
    void advance(Core::Duration duration);
    void settle();
    Jobs::WorkerReport reportOf(const Core::VmId &worker) const;

    SiteLoad m_load;
    SilentLog m_log;
    Jobs::TimePoint m_now { Core::Instant(std::chrono::seconds(100)), 100'000 };
    Jobs::JobScheduler m_scheduler;
    Jobs::JobTable m_table;
    std::vector<Core::VmId> m_workers;
    std::map<Core::VmId, std::map<Jobs::TaskName, std::int64_t>> m_running;
    std::map<Core::VmId, std::vector<Jobs::EndedEntry>> m_ended;
    std::map<Core::VmId, std::int64_t> m_ends;
    Jobs::WorkerReport m_lastReport;
    std::size_t m_next = 0;
    int m_submitted = 0;
    std::deque<Jobs::Command> m_unanswered;
    std::size_t m_startedTasks = 0;
    std::size_t m_largestProgressBytes = 0;
};
