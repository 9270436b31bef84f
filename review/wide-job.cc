/// A worker is emptied and taken away, and later the node that owns the jobs is stopped and
/// started, while a job with many tasks runs. Both are planned work. Is the job still there
/// afterwards?

#include "Site.hh"

using namespace StandIn;

static constexpr const char *job = "00000000000000d1";
static constexpr int workerCount = 16;
static constexpr int milliCores = 8000;
static constexpr int drainMs = 2500;
/// A new owner waits for 10.3 s for a worker that doesn't answer.
static constexpr int watchMs = 22000;

int main(int argc, char **argv)
{
    if (argc < 2)
        return static_cast<int>(Verdict::CouldNotRun);
    Record record(argv[1]);
    SiteSettings settings;
    Site site(settings, record);
    site.addWorkers(
        workerCount,
        [](const std::string &, std::int64_t) {
            return TaskPlan { 1500, "done" };
        },
        milliCores);
    site.startNodes();
    if (!site.waitReady(15000))
        return static_cast<int>(Verdict::CouldNotRun);
    sleepMs(2000);

    const std::string step = R"({"count":10000,"cpu":1000,"memMb":256,"estimateMs":1500})";
    const std::string body
        = R"({"spec":"season roster","steps":[)" + step + ',' + step + ',' + step + "]}";
    if (site.send(0, "POST", job, body).status != 200)
        return static_cast<int>(Verdict::CouldNotRun);
    sleepMs(5000);

    if (hasTrouble()) {
        site.workers().back()->leave(drainMs);
        sleepMs(10000);
        const int owner = site.owner();
        site.signalNode(owner, SIGTERM);
        sleepMs(7000);
        site.signalNode(owner, SIGKILL);
        site.startNode(owner);
    }

    std::string state;
    const auto until = Clock::now() + std::chrono::milliseconds(watchMs);
    for (int i = 0; Clock::now() < until; ++i) {
        state = site.stateOf(1, job);
        if (state == "failed")
            break;
        sleepMs(1000);
    }
    const int failedRuns = site.history().count("failed", job);
    site.quoteLogs({ "event=job-given-up", "event=own ", "event=release" });
    record.note("judge: the job is shown as '" + state + "' after "
                + std::to_string(site.history().count("done", job)) + " of its 30000 tasks; "
                + std::to_string(failedRuns) + " runs ended failed");
    if (state.empty())
        return static_cast<int>(Verdict::CouldNotRun);
    const bool isBroken = state == "failed" && failedRuns == 0;
    record.note(isBroken ? "judge: LOST is broken" : "judge: the rule held");
    return static_cast<int>(isBroken ? Verdict::Broken : Verdict::Held);
}
