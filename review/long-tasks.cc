// Two jobs whose tasks take ten minutes each, on a small site without any disturbance. The tasks
// work steadily; a worker reports their progress in whole percent, so the figure moves only every
// six seconds. One job needs a label that one worker has. LOST: this job must not be without a run
// for 3 s while there is room for it. What happens to the other job is only recorded.
#include "Site2.hh"

static constexpr const char *withLabel = "00000000000000b1";
static constexpr const char *withoutLabel = "00000000000000b2";
static constexpr int tasks = 3;
static constexpr std::int64_t finishMs = 14'000;
static constexpr std::int64_t longestAllowedMs = 3000;

/// The longest time, from \p fromMs on, in which no task of the first job ran.
static std::int64_t longestGap(std::int64_t fromMs)
{
    std::set<std::pair<string, std::int64_t>> running;
    std::int64_t longest = 0;
    std::int64_t idleSince = fromMs;
    for (const RunEvent &event : g_history.events()) {
        if (event.kind == "noted" || !event.task.starts_with(withLabel))
            continue;
        if (event.kind == "start") {
            if (running.empty())
                longest = std::max(longest, event.atMs - std::max(idleSince, fromMs));
            running.insert({ event.task, event.run });
        } else {
            running.erase({ event.task, event.run });
            idleSince = event.atMs;
        }
    }
    if (running.empty())
        longest = std::max(longest, sinceStartMs() - std::max(idleSince, fromMs));
    return longest;
}

int main(int, char **arguments)
{
    g_record.open(arguments[1]);
    const std::int64_t workMs = isTrouble() ? 600'000 : 30'000;
    Site site({ .workers = 3, .cores = 8, .hasPress = true });
    if (!site.isReady())
        return 2;
    const string step = "{\"spec\":\"work=" + std::to_string(workMs)
        + "\",\"steps\":[{\"count\":" + std::to_string(tasks)
        + ",\"cpu\":1000,\"memMb\":256,\"estimateMs\":" + std::to_string(workMs);
    const Message accepted = request(site.node(0), "POST", string("/jobs/") + withLabel,
                                     step + ",\"requires\":\"press\"}]}");
    request(site.node(0), "POST", string("/jobs/") + withoutLabel, step + "}]}");
    // The traffic ends with these two jobs.
    sleepMs(finishMs);
    const std::int64_t judgedFrom = sinceStartMs();
    sleepMs(isTrouble() ? 60'000 : 10'000);
    const std::int64_t gap = longestGap(judgedFrom);
    for (const char *job : { withLabel, withoutLabel }) {
        request(site.node(1), "GET", string("/jobs/") + job);
        g_record.line("job %s: starts %d, stopped by the owner %d, done %d", job,
                      g_history.count(job, "start"), g_history.count(job, "stopped"),
                      g_history.count(job, "done"));
    }
    g_record.line("the job with the label was without any run for up to %lld ms",
                  static_cast<long long>(gap));
    if (accepted.status != 200 || g_history.count(withLabel, "start") < tasks)
        return 2;
    return gap > longestAllowedMs ? 1 : 0;
}
