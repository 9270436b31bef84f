// The owner of the jobs freezes while the store is away. Both are over for long when a job is
// cancelled: its task must not run on once the cancelling has waited `ackMs` for its answer.
#include "Site2.hh"

#include <fstream>

static constexpr const char *job = "00000000000000f1";
static constexpr std::int64_t storeAwayMs = 4500;
static constexpr std::int64_t frozenMs = 4000;
static constexpr std::int64_t frozenAfterMs = 300;
/// `contactMs` and `ackMs`.
static constexpr std::int64_t calmMs = 3000 + 4000;
static constexpr std::int64_t cancelsMs = 20'000;

/// The position of the node that leads, by the nodes' own logs; -1 if none says so.
static int findOwner(const Site &site)
{
    for (std::size_t i = 0; i < site.nodes().size(); ++i) {
        std::ifstream log(site.nodes()[i]->logPath());
        for (string line; std::getline(log, line);) {
            if (line.find("event=own ") != string::npos)
                return static_cast<int>(i);
        }
    }
    return -1;
}

/// Hands in a short job each 50 ms, at each node in turn, as independent callers do.
static void callNodes(const Site &site, const std::atomic<bool> &isOver)
{
    for (int i = 0; !isOver; ++i) {
        const int index = i % static_cast<int>(site.nodes().size());
        std::thread([&site, i, index] {
            char path[40];
            snprintf(path, sizeof path, "/jobs/%016x", 0x1000 + i);
            request(site.node(index), "POST", path,
                    "{\"spec\":\"work=200\",\"steps\":[{\"count\":1,\"cpu\":200,\"memMb\":64,"
                    "\"estimateMs\":200}]}");
        }).detach();
        sleepMs(50);
    }
}

int main(int, char **arguments)
{
    g_record.open(arguments[1]);
    Site site({ .workers = 10, .cores = 8, .hasPress = false });
    if (!site.isReady())
        return 2;
    const string path = string("/jobs/") + job;
    const int owner = findOwner(site);
    if (owner < 0
        || request(site.node(0), "POST", path,
                   "{\"spec\":\"lasts\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memMb\":256,"
                   "\"estimateMs\":1000,\"longRunning\":true}]}")
                .status
            != 200)
        return 2;
    std::atomic<bool> isOver { false };
    std::thread callers([&] { callNodes(site, isOver); });
    sleepMs(5000);
    if (isTrouble()) {
        g_record.line("the store is away");
        site.store().isDown = true;
        sleepMs(frozenAfterMs);
        site.nodes()[static_cast<std::size_t>(owner)]->signal(SIGSTOP);
        sleepMs(frozenMs);
        site.nodes()[static_cast<std::size_t>(owner)]->signal(SIGCONT);
        sleepMs(storeAwayMs - frozenMs - frozenAfterMs);
        site.store().isDown = false;
        g_record.line("the store is back");
    }
    sleepMs(calmMs);
    g_record.line("the job is cancelled, at each node in turn until there is an answer");
    const std::int64_t until = sinceStartMs() + cancelsMs;
    int status = 0;
    for (int i = 0; sinceStartMs() < until && status != 200 && status != 410; ++i) {
        status = request(site.node(i % 3), "DELETE", path).status;
        sleepMs(300);
    }
    // Time for the stop, were the cancelling taken.
    sleepMs(5000);
    isOver = true;
    callers.join();
    // The last calls end.
    sleepMs(3500);
    const bool isRunning = g_history.count(job, "start") > g_history.count(job, "stopped")
            + g_history.count(job, "crash") + g_history.count(job, "lapsed");
    g_record.line("cancelling: last answer %d; the task %s", status,
                  isRunning ? "runs on" : "has been stopped");
    return isRunning ? 1 : 0;
}
