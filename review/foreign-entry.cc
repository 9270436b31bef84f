/// Another writer puts an entry with missing fields under the id of a worker that is up. The entry
/// names no worker to use. Are the worker's tasks started a second time while they run?

#include "Site.hh"

using namespace StandIn;

static constexpr int workerCount = 8;
static constexpr int taskMs = 6000;
static constexpr int taskCount = 4;
static constexpr const char *job = "00000000000000f1";

/// The runs of a task that overlap with an earlier one of the same task.
static int overlaps(RunHistory &history, Record &record)
{
    int found = 0;
    std::map<std::string, std::map<std::int64_t, std::string>> running;
    for (const RunEvent &event : history.events()) {
        std::map<std::int64_t, std::string> &runs = running[event.task];
        if (event.what != "start") {
            runs.erase(event.run);
            continue;
        }
        for (const auto &[run, worker] : runs) {
            record.note("judge: run " + std::to_string(event.run) + " of " + event.task
                        + " starts on " + event.worker + " while run " + std::to_string(run)
                        + " is at work on " + worker);
            ++found;
        }
        runs[event.run] = event.worker;
    }
    return found;
}

int main(int argc, char **argv)
{
    if (argc < 2)
        return static_cast<int>(Verdict::CouldNotRun);
    Record record(argv[1]);
    Site site({}, record);
    site.addWorkers(workerCount, [](const std::string &, std::int64_t) {
        return TaskPlan { taskMs, "done" };
    });
    site.startNodes();
    if (!site.waitReady(15000))
        return static_cast<int>(Verdict::CouldNotRun);
    sleepMs(2000);

    const std::string body = R"({"spec":"chapter plan","steps":[{"count":)"
        + std::to_string(taskCount) + R"(,"cpu":2000,"memMb":4000,"estimateMs":)"
        + std::to_string(taskMs) + "}]}";
    if (site.send(0, "POST", job, body).status != 200)
        return static_cast<int>(Verdict::CouldNotRun);
    sleepMs(1500);
    Worker *runner = nullptr;
    Worker *other = nullptr;
    for (const auto &worker : site.workers())
        (worker->isRunning(job) ? runner : other) = worker.get();
    if (!runner || !other)
        return static_cast<int>(Verdict::CouldNotRun);

    if (hasTrouble()) {
        runner->waitForHeartbeat();
        // The address is another worker's; version, slots, coldLeftMs, sequence and born are
        // missing.
        const Json::Value known = parseJson(site.store().newest("keyed.servers", other->id()));
        Json::Value entry(Json::objectValue);
        for (const char *field : { "service", "addr", "zone", "state", "freeCapacity", "labels" })
            entry[field] = known[field];
        record.note("another writer: servers/" + runner->id() + " = " + writeJson(entry));
        site.store().put("keyed.servers", runner->id(), writeJson(entry));
    }
    if (!site.waitForState(job, "completed", 30000))
        record.note("caller: the job isn't completed after 30 s");
    sleepMs(1000);

    const int found = overlaps(site.history(), record);
    site.quoteLogs({ "event=own ", "event=worker-crashed", "event=worker-silent", "event=gone" });
    record.note("judge: " + std::to_string(site.history().count("start", job)) + " starts of "
                + std::to_string(taskCount) + " tasks, " + std::to_string(found)
                + " of them beside a run of the same task");
    record.note(found > 0 ? "judge: TWICE is broken" : "judge: the rule held");
    return static_cast<int>(found > 0 ? Verdict::Broken : Verdict::Held);
}
