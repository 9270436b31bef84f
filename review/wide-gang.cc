// Gangs of many small tasks for which one worker has room, on a site without any disturbance. No
// member may end `alone`.
#include "Site2.hh"

static constexpr int gangs = 4;

int main(int, char **arguments)
{
    g_record.open(arguments[1]);
    Site site({ .workers = 6, .cores = 64, .hasPress = false });
    if (!site.isReady())
        return 2;
    const string size = isTrouble() ? "320" : "40";
    const string body = "{\"spec\":\"work=1000 gang=" + size + "\",\"steps\":[{\"count\":" + size
        + ",\"cpu\":200,\"memMb\":25,\"estimateMs\":1000,\"gang\":true}]}";
    int alone = 0;
    for (int i = 0; i < gangs; ++i) {
        const string job = "00000000000000c" + std::to_string(i);
        if (request(site.node(0), "POST", "/jobs/" + job, body).status != 200)
            return 2;
        sleepMs(9000);
        request(site.node(1), "GET", "/jobs/" + job);
        g_record.line("gang %s: members started %d, done %d, alone %d, broken %d", job.c_str(),
                      g_history.count(job, "start"), g_history.count(job, "done"),
                      g_history.count(job, "alone"), g_history.count(job, "broken"));
        alone += g_history.count(job, "alone");
    }
    return alone > 0 ? 1 : 0;
}
