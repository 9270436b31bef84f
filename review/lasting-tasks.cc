// Tasks that last fail by their own fault, one each 4 s, on the only worker that has the label
// which they need. Each must run again: LOST counts a task that has had no run for 6 s and for 3 s
// more, in calm.
#include "Site2.hh"

static constexpr const char *job = "00000000000000e1";
static constexpr int tasks = 6;
static constexpr int failures = 12;
static constexpr std::int64_t failureSpacingMs = 4000;
static constexpr std::int64_t longestAllowedMs = 6000 + 3000;

int main(int, char **arguments)
{
    g_record.open(arguments[1]);
    Site site({ .workers = 10, .cores = 8, .hasPress = true });
    if (!site.isReady())
        return 2;
    const string path = string("/jobs/") + job;
    const string body = "{\"spec\":\"lasts\",\"steps\":[{\"count\":" + std::to_string(tasks)
        + ",\"cpu\":500,\"memMb\":256,\"estimateMs\":1000,\"requires\":\"press\","
          "\"longRunning\":true}]}";
    if (request(site.node(0), "POST", path, body).status != 200)
        return 2;
    sleepMs(8000);
    if (g_history.count(job, "start") != tasks)
        return 2;
    for (int i = 0; i < failures; ++i) {
        if (isTrouble())
            site.lastWorker().fail(string(job) + ".0.0." + std::to_string(i % tasks));
        sleepMs(failureSpacingMs);
    }
    request(site.node(1), "GET", path);
    const std::int64_t absence = longestAbsence(job, tasks, 0);
    g_record.line("longest time without a run: %lld ms", static_cast<long long>(absence));
    return absence > longestAllowedMs ? 1 : 0;
}
