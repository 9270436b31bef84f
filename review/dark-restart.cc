/// The machine of a worker loses power for a moment, and the worker starts again under its id.
/// Short tasks that the new process has run to their end: are they run once more?

#include "Site.hh"

using namespace StandIn;

static constexpr int workerCount = 8;
static constexpr int downMs = 800;
static constexpr int burstJobs = 40;
static constexpr int callerPauseMs = 40;
static constexpr int shortTaskMs = 250;
static constexpr int firstJobTasks = 12;
static constexpr const char *lastingJob = "00000000000000e0";
static constexpr const char *firstJob = "00000000000000e1";

static std::string jobId(int number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016x", 0xe10 + number);
    return text;
}

static std::string body(int count, int cpu, bool isLasting)
{
    return R"({"spec":"chapter plan","steps":[{"count":)" + std::to_string(count) + R"(,"cpu":)"
        + std::to_string(cpu) + R"(,"memMb":256,"estimateMs":250)"
        + (isLasting ? R"(,"longRunning":true)" : "") + "}]}";
}

int main(int argc, char **argv)
{
    if (argc < 2)
        return static_cast<int>(Verdict::CouldNotRun);
    Record record(argv[1]);
    Site site({}, record);
    site.addWorkers(workerCount, [](const std::string &task, std::int64_t) {
        return task.starts_with(lastingJob) ? TaskPlan {} : TaskPlan { shortTaskMs, "done" };
    });
    site.startNodes();
    if (!site.waitReady(15000))
        return static_cast<int>(Verdict::CouldNotRun);
    sleepMs(2000);

    if (site.send(0, "POST", lastingJob, body(1, 4000, true)).status != 200)
        return static_cast<int>(Verdict::CouldNotRun);
    sleepMs(1500);
    if (site.send(1, "POST", firstJob, body(firstJobTasks, 1000, false)).status != 200
        || !site.waitForState(firstJob, "completed", 10000))
        return static_cast<int>(Verdict::CouldNotRun);
    sleepMs(3000);

    Worker *worker = nullptr;
    for (const auto &candidate : site.workers()) {
        if (candidate->isRunning(lastingJob))
            worker = candidate.get();
    }
    if (!worker)
        return static_cast<int>(Verdict::CouldNotRun);
    record.note("worker " + worker->id() + " has listed " + std::to_string(worker->lastNumber())
                + " ends");
    std::thread restart([&] {
        if (!hasTrouble())
            return;
        worker->losePower();
        sleepMs(downMs);
        worker->boot();
    });
    // Callers go on handing in jobs, 25 a second.
    std::vector<std::string> jobs;
    std::mutex jobsMutex;
    std::vector<std::thread> callers;
    for (int i = 0; i < burstJobs; ++i) {
        callers.emplace_back([&, i] {
            if (site.send(i, "POST", jobId(i), body(1, 1000, false)).status != 200)
                return;
            const std::lock_guard lock(jobsMutex);
            jobs.push_back(jobId(i));
        });
        sleepMs(callerPauseMs);
    }
    for (std::thread &caller : callers)
        caller.join();
    restart.join();
    for (const std::string &job : jobs)
        site.waitForState(job, "completed", 15000);
    sleepMs(1000);

    int repeated = 0;
    std::set<std::string> noted;
    for (const RunEvent &event : site.history().events()) {
        if (event.what == "noted-done")
            noted.insert(event.task);
        if (event.what != "start" || !noted.contains(event.task))
            continue;
        record.note("judge: run " + std::to_string(event.run) + " of " + event.task
                    + " started after an earlier one had ended done, which was taken note of");
        ++repeated;
    }
    record.note("judge: " + std::to_string(jobs.size()) + " jobs of one task, "
                + std::to_string(repeated) + " run again");
    site.quoteLogs({ "event=own ", "event=worker-crashed", "event=worker-silent", "event=gone" });
    if (jobs.empty())
        return static_cast<int>(Verdict::CouldNotRun);
    record.note(repeated > 0 ? "judge: TWICE is broken" : "judge: the rule held");
    return static_cast<int>(repeated > 0 ? Verdict::Broken : Verdict::Held);
}
