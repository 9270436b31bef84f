// The worker on which a job's tasks have just started crashes once. The tasks last, so each must
// run again: LOST counts a task that has had no run for 6 s and for 3 s more, in calm.
#include "Site2.hh"

static constexpr const char *job = "00000000000000d1";
static constexpr int tasks = 28;
static constexpr std::int64_t crashMs = 3500;
static constexpr std::int64_t longestAllowedMs = 6000 + 3000;
/// Calm begins `contactMs` after the worker is back; LOST wants 4 s and 3 s of it.
static constexpr std::int64_t contactMs = 4000;
static constexpr std::int64_t calmMs = 4000 + 3000;

int main(int, char **arguments)
{
    g_record.open(arguments[1]);
    Site site({ .workers = 10, .cores = 32, .hasPress = false });
    if (!site.isReady())
        return 2;
    const string path = string("/jobs/") + job;
    const string body = "{\"spec\":\"lasts\",\"steps\":[{\"count\":" + std::to_string(tasks)
        + ",\"cpu\":1000,\"memMb\":256,\"estimateMs\":1000,\"longRunning\":true}]}";
    if (request(site.node(0), "POST", path, body).status != 200)
        return 2;
    sleepMs(500);
    if (g_history.count(job, "start") != tasks)
        return 2;
    Worker *crashed = nullptr;
    for (Worker *worker : site.workers()) {
        if (!worker->runningTasks().empty())
            crashed = worker;
    }
    if (isTrouble())
        crashed->crash();
    sleepMs(crashMs);
    if (isTrouble())
        crashed->start();
    const std::int64_t backAt = sinceStartMs();
    sleepMs(30'000);
    request(site.node(1), "GET", path);
    const std::int64_t judgedFrom = backAt + contactMs + calmMs;
    const std::int64_t absence = longestAbsence(job, tasks, judgedFrom);
    g_record.line("a task that ran again in calm, %lld ms after the worker was back or later, had "
                  "been without a run for %lld ms",
                  static_cast<long long>(contactMs + calmMs), static_cast<long long>(absence));
    return absence > longestAllowedMs ? 1 : 0;
}
