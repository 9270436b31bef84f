#include "SiteFixture.h"

#include <thread>

namespace {

/// Workers that keep every task until its lease expires, and whose calls take the node's event loop
/// some time each, as encoding, sending and decoding do.
class LeasedWorkers final : public WorkerGateway
{
public:
    asio::awaitable<Jobs::StartOutcome> start(Jobs::StartCommand command, Core::Instant) override
    {
        std::this_thread::sleep_for(startTime);
        Worker &worker = expire(command.worker);
        if (nowMs() > command.leaseDeadlineMs)
            co_return Jobs::StartOutcome::Late;
        worker.leaseEndsMs = std::max(worker.leaseEndsMs, command.leaseDeadlineMs);
        worker.running.push_back({ command.task, command.run, "", 100, 0 });
        ++starts;
        co_return Jobs::StartOutcome::Started;
    }
    asio::awaitable<void> stop(Jobs::StopCommand, Core::Instant) override { co_return; }
    asio::awaitable<void> throttle(Jobs::ThrottleCommand, Core::Instant) override { co_return; }
    asio::awaitable<Jobs::WorkerReport> renew(Jobs::RenewCommand command, Core::Instant) override
    {
        std::this_thread::sleep_for(renewalTime);
        Worker &worker = expire(command.worker);
        worker.leaseEndsMs = std::max(worker.leaseEndsMs, command.leaseDeadlineMs);
        Jobs::WorkerReport report;
        report.clockMs = nowMs();
        report.processStartUnixMs = 1;
        report.running = worker.running;
        co_return report;
    }

    /// The runs that were lost so far because their worker's lease expired.
    std::size_t expiredRuns()
    {
        for (auto &[id, worker] : m_workers)
            expire(id);
        return m_expiredRuns;
    }

    std::chrono::microseconds startTime {};
    std::chrono::microseconds renewalTime {};
    int starts = 0;

private:
    struct Worker
    {
        std::vector<Jobs::RunningEntry> running;
        std::int64_t leaseEndsMs = 0;
    };

    static std::int64_t nowMs()
    {
        return std::chrono::duration_cast<milliseconds>(Core::steadyNow().time_since_epoch())
            .count();
    }
    Worker &expire(const Core::VmId &id)
    {
        Worker &worker = m_workers[id];
        if (nowMs() > worker.leaseEndsMs) {
            m_expiredRuns += worker.running.size();
            worker.running.clear();
        }
        return worker;
    }

    std::map<Core::VmId, Worker> m_workers;
    std::size_t m_expiredRuns = 0;
};

/// A site whose owner has more tasks to start than its processor can.
struct OverloadedSite : SiteFixture
{
    explicit OverloadedSite(int workerCount)
    {
        for (int i = 0; i < workerCount; ++i)
            log.put(Topic::Workers, { "w" + std::to_string(i), "a" });
        scheduler.lease = milliseconds(1500);
        node = std::make_unique<TestNode>(
            SiteSettings { "one#1", scheduler, {}, std::chrono::seconds(2) }, context, log,
            leasedWorkers, decoder);
        asio::co_spawn(context, node->jobs.run(), asio::detached);
        asio::co_spawn(context, node->operators.run(), asio::detached);
        startElection(*node);
        run(700);
    }
    OverloadedSite(const OverloadedSite &) = delete;
    OverloadedSite &operator=(const OverloadedSite &) = delete;
    ~OverloadedSite() { context.stop(); }

    /// Submits \p jobs with \p tasks tasks each.
    void submit(int jobs, int tasks)
    {
        for (int i = 0; i < jobs; ++i) {
            Jobs::Submission submission = job("job-" + std::to_string(i));
            submission.spec.steps.front().taskCount = tasks;
            await(node->jobRequests.submit(submission, deadlineIn(1000)));
        }
    }

    LeasedWorkers leasedWorkers;
    std::unique_ptr<TestNode> node;
};

} // namespace

TEST_CASE("An owner that can't start all waiting tasks in time keeps the leases of those that run")
{
    constexpr int workers = 100;
    OverloadedSite site(workers);
    REQUIRE(site.node->state.owner);
    site.leasedWorkers.startTime = std::chrono::milliseconds(2);
    site.leasedWorkers.renewalTime = std::chrono::microseconds(500);
    site.submit(20, 150);
    site.run(6000);
    CHECK(site.leasedWorkers.expiredRuns() == 0);
    CHECK(site.leasedWorkers.starts >= 600);
}
