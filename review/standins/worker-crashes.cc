/// Workers crash one at a time, each while it runs the only task of a job. No run of the task ends
/// `failed`. Is the job shown as `failed` all the same?

#include "Site.hh"

using namespace StandIn;

static constexpr int workerCount = 8;
static constexpr int crashes = 5;
static constexpr int runBeforeCrashMs = 2500;
static constexpr int downMs = 3700;
static constexpr int taskMs = 12000;
static constexpr const char *job = "00000000000000c1";

static Worker *runnerOf(Site &site)
{
    for (const auto &worker : site.workers()) {
        if (worker->isRunning(job))
            return worker.get();
    }
    return nullptr;
}

/// Waits until a worker runs the task. Returns null if none does in time.
static Worker *waitForRunner(Site &site, int timeoutMs)
{
    const auto until = Clock::now() + std::chrono::milliseconds(timeoutMs);
    while (Clock::now() < until) {
        if (Worker *runner = runnerOf(site))
            return runner;
        sleepMs(50);
    }
    return nullptr;
}

int main(int argc, char **argv)
{
    if (argc < 2)
        return static_cast<int>(Verdict::CouldNotRun);
    Record record(argv[1]);
    SiteSettings settings;
    Site site(settings, record);
    site.addWorkers(workerCount, [](const std::string &, std::int64_t) {
        return TaskPlan { taskMs, "done" };
    });
    site.startNodes();
    if (!site.waitReady(15000))
        return static_cast<int>(Verdict::CouldNotRun);
    sleepMs(2000);

    const std::string body
        = R"({"spec":"season roster","steps":[{"count":1,"cpu":3500,"memMb":6400,)"
          R"("estimateMs":)"
        + std::to_string(taskMs) + "}]}";
    if (site.send(0, "POST", job, body).status != 200)
        return static_cast<int>(Verdict::CouldNotRun);

    for (int i = 0; hasTrouble() && i < crashes; ++i) {
        if (!waitForRunner(site, 12000))
            break;
        sleepMs(runBeforeCrashMs);
        Worker *runner = runnerOf(site);
        if (!runner)
            break;
        runner->crash();
        sleepMs(downMs);
        runner->boot();
    }

    std::string state;
    const auto until = Clock::now() + std::chrono::seconds(30);
    for (int i = 0; Clock::now() < until; ++i) {
        state = site.stateOf(i, job);
        if (state == "completed" || state == "failed" || state == "cancelled")
            break;
        sleepMs(500);
    }
    const int failedRuns = site.history().count("failed", job);
    site.quoteLogs({ "event=crash-limit", "event=worker-crashed", "event=job-failed" });
    record.note("judge: the job is shown as '" + state + "'; its task was started "
                + std::to_string(site.history().count("start", job)) + " times; "
                + std::to_string(failedRuns) + " of the runs ended failed; maxAttempts is "
                + std::to_string(settings.maxAttempts));
    if (state.empty())
        return static_cast<int>(Verdict::CouldNotRun);
    const bool isBroken = state == "failed" && failedRuns < settings.maxAttempts;
    record.note(isBroken ? "judge: LOST is broken" : "judge: the rule held");
    return static_cast<int>(isBroken ? Verdict::Broken : Verdict::Held);
}
