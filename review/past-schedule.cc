/// Among ordinary jobs comes one that is repeated each minute, is due since a year ago, and can
/// never be done since no worker is large enough. Do the other jobs still run?

#include "Site.hh"

using namespace StandIn;

static constexpr int jobsBefore = 6;
static constexpr int jobsAfter = 18;
/// The time after the end of the traffic from which on no job may wait (`finish_s`).
static constexpr int finishMs = 14000;
/// How long a job may have nothing running from then on.
static constexpr int idleMs = 3000;
static constexpr std::int64_t minuteMs = 60'000;
static constexpr std::int64_t minutesOfYear = 525'600;
static constexpr int memoryLimitMb = 260;

static std::string jobId(int number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016x", 0xa00 + number);
    return text;
}

static std::string ordinaryJob()
{
    return R"({"spec":"chapter plan","steps":[{"count":2,"cpu":2000,"memMb":4000,"estimateMs":800}]})";
}

static std::string hopelessJob()
{
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count();
    const std::int64_t first = now - minutesOfYear * minuteMs;
    return R"({"spec":"reminder","steps":[{"count":1,"cpu":64000,"memMb":4000,"estimateMs":800}],)"
           R"("repeatCount":)"
        + std::to_string(minutesOfYear) + R"(,"startAtMs":)" + std::to_string(first)
        + R"(,"intervalMs":)" + std::to_string(minuteMs) + "}";
}

int main(int argc, char **argv)
{
    if (argc < 2)
        return static_cast<int>(Verdict::CouldNotRun);
    Record record(argv[1]);
    SiteSettings settings;
    Site site(settings, record);
    site.addWorkers(4, [](const std::string &, std::int64_t) { return TaskPlan { 800, "done" }; });
    site.startNodes();
    if (!site.waitReady(15000))
        return static_cast<int>(Verdict::CouldNotRun);
    sleepMs(2000);

    std::vector<std::string> accepted;
    const auto submit = [&](int number) {
        const std::string id = jobId(number);
        for (int attempt = 0; attempt < 4; ++attempt) {
            const int status = site.send(number + attempt, "POST", id, ordinaryJob()).status;
            if (status == 200) {
                accepted.push_back(id);
                return;
            }
            sleepMs(300);
        }
    };
    for (int i = 0; i < jobsBefore; ++i) {
        submit(i);
        sleepMs(500);
    }
    if (hasTrouble())
        site.send(0, "POST", "00000000000000ff", hopelessJob());
    for (int i = 0; i < jobsAfter; ++i) {
        submit(jobsBefore + i);
        sleepMs(500);
    }
    record.note("caller: the traffic ends");

    const auto logMemory = [&] {
        std::string text;
        for (int i = 0; i < site.nodeCount(); ++i) {
            const int mb = site.memoryMb(i);
            text += ' ' + site.nodeName(i) + ' ' + std::to_string(mb) + " MiB"
                + (mb > memoryLimitMb ? " (over limits.memoryMb)" : "");
        }
        record.note("platform: memory" + text);
    };
    for (int waited = 0; waited < finishMs + idleMs; waited += 1000) {
        logMemory();
        sleepMs(1000);
    }

    int neverStarted = 0;
    int unfinished = 0;
    for (const std::string &id : accepted) {
        const bool isStarted = site.history().count("start", id) > 0;
        const int ended = site.history().count("done", id);
        neverStarted += isStarted ? 0 : 1;
        unfinished += ended < 2 ? 1 : 0;
        if (ended < 2)
            record.note("judge: job " + id + " was accepted, started "
                        + std::to_string(site.history().count("start", id)) + " tasks, ended "
                        + std::to_string(ended) + " of 2; a node says " + site.stateOf(1, id));
    }
    std::size_t running = 0;
    for (const auto &worker : site.workers())
        running += worker->runCount();
    site.quoteLogs({ "event=own ", "event=deposed", "event=behind" });
    record.note("judge: " + std::to_string(accepted.size()) + " jobs accepted, "
                + std::to_string(neverStarted) + " never started, " + std::to_string(unfinished)
                + " unfinished " + std::to_string((finishMs + idleMs) / 1000)
                + " s after the end of the traffic; " + std::to_string(running)
                + " tasks run on 4 workers");
    if (accepted.size() < jobsBefore)
        return static_cast<int>(Verdict::CouldNotRun);
    record.note(neverStarted > 0 ? "judge: LOST is broken" : "judge: the rule held");
    return static_cast<int>(neverStarted > 0 ? Verdict::Broken : Verdict::Held);
}
