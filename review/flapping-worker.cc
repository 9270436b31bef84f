// A worker goes down and up by turns under a job that can only run there. No run of the job ends
// `failed`, so the job must not be shown as `failed`.
#include "Site2.hh"

static constexpr const char *job = "00000000000000a1";
static constexpr std::int64_t flapMs = 6500;
static constexpr std::int64_t stepMs = 700;

int main(int, char **arguments)
{
    g_record.open(arguments[1]);
    Site site({ .workers = 10, .cores = 8, .hasPress = true });
    if (!site.isReady())
        return 2;
    const string path = string("/jobs/") + job;
    const string body = "{\"spec\":\"lasts\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memMb\":256,"
                        "\"estimateMs\":1000,\"requires\":\"press\",\"longRunning\":true}]}";
    if (request(site.node(0), "POST", path, body).status != 200)
        return 2;
    sleepMs(7000);
    if (g_history.count(job, "start") != 1)
        return 2;
    const std::int64_t until = sinceStartMs() + flapMs;
    while (isTrouble() && sinceStartMs() < until) {
        site.lastWorker().crash();
        sleepMs(stepMs);
        site.lastWorker().start();
        sleepMs(stepMs);
    }
    sleepMs(12'000);
    const string state = member(request(site.node(1), "GET", path).body, "state");
    const int failedEnds = g_history.count(job, "failed");
    g_record.line("runs that ended failed: %d; the job is shown as %s", failedEnds, state.c_str());
    return state == "failed" && failedEnds == 0 ? 1 : 0;
}
