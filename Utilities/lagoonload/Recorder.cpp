#include "Recorder.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <sstream>

namespace Load {

static constexpr std::array<const char *, 7> endingNames { "answered",     "notRun",   "unknown",
                                                           "backendError", "noAnswer", "noDoor",
                                                           "notSent" };

static double toMilliseconds(Core::Duration duration)
{
    return static_cast<double>(duration.count()) / 1000.0;
}

/// Returns the quantile \p part of the samples, from 0 to 1 (nearest-rank method).
static double percentile(const std::vector<Core::Duration> &sorted, double part)
{
    const auto rank = static_cast<std::size_t>(std::ceil(part * double(sorted.size())));
    return toMilliseconds(sorted[std::max<std::size_t>(rank, 1) - 1]);
}

static Json::Value summarize(std::vector<Core::Duration> samples)
{
    Json::Value value;
    value["samples"] = Json::UInt64(samples.size());
    if (samples.empty())
        return value;
    std::sort(samples.begin(), samples.end());
    value["p50"] = percentile(samples, 0.5);
    value["p90"] = percentile(samples, 0.9);
    value["p99"] = percentile(samples, 0.99);
    value["p999"] = percentile(samples, 0.999);
    value["max"] = toMilliseconds(samples.back());
    return value;
}

namespace {

/// The counts and latencies of a subset of the requests.
struct Group
{
    std::array<int, endingNames.size()> endings {};
    int answeredInTime = 0;
    int foreign = 0;
    int sendings = 0;
    std::vector<Core::Duration> latencies;

    void add(const RequestResult &result)
    {
        ++endings.at(static_cast<std::size_t>(result.ending));
        sendings += result.sendings;
        foreign += result.isForeign ? 1 : 0;
        if (result.ending != Ending::Answered)
            return;
        latencies.push_back(result.latency);
        answeredInTime += result.isInTime ? 1 : 0;
    }

    Json::Value report() const
    {
        Json::Value value;
        for (std::size_t index = 0; index < endings.size(); ++index)
            value[endingNames.at(index)] = endings.at(index);
        value["answeredInTime"] = answeredInTime;
        value["foreignAnswers"] = foreign;
        value["sendings"] = sendings;
        value["latencyMs"] = summarize(latencies);
        return value;
    }
};

} // namespace

Json::Value Recorder::report() const
{
    Group all;
    std::map<std::string, Group> byClass;
    std::map<std::string, Group> byTeam;
    for (const RequestResult &result : m_requests) {
        all.add(result);
        byClass[result.taskClass].add(result);
        byTeam[result.team].add(result);
    }
    Json::Value value;
    value["requests"] = all.report();
    value["classes"] = Json::Value(Json::objectValue);
    for (const auto &[name, group] : byClass)
        value["classes"][name] = group.report();
    value["teams"] = Json::Value(Json::objectValue);
    for (const auto &[name, group] : byTeam)
        value["teams"][name] = group.report();
    value["jobs"] = reportJobs();
    return value;
}

Json::Value Recorder::reportJobs() const
{
    Json::Value value;
    std::vector<Core::Duration> accepted;
    std::vector<Core::Duration> running;
    std::vector<Core::Duration> ended;
    value["states"] = Json::Value(Json::objectValue);
    for (const JobResult &job : m_jobs) {
        const std::string state = job.state.empty() ? "unseen" : job.state;
        value["states"][state] = value["states"].get(state, 0).asInt() + 1;
        if (job.isAccepted)
            accepted.push_back(job.untilAccepted);
        if (job.untilRunning.count() >= 0)
            running.push_back(job.untilRunning);
        if (job.untilEnded.count() >= 0)
            ended.push_back(job.untilEnded);
    }
    value["submitted"] = Json::UInt64(m_jobs.size());
    value["acceptedMs"] = summarize(accepted);
    value["runningMs"] = summarize(running);
    value["endedMs"] = summarize(ended);
    return value;
}

static void printLatency(std::ostringstream &text, const std::string &name,
                         const Json::Value &latency)
{
    std::array<char, 200> line {};
    std::snprintf(line.data(), line.size(),
                  "  %-20s %8d  p50 %9.2f  p90 %9.2f  p99 %9.2f  max %9.2f ms\n", name.c_str(),
                  latency["samples"].asInt(), latency["p50"].asDouble(), latency["p90"].asDouble(),
                  latency["p99"].asDouble(), latency["max"].asDouble());
    text << line.data();
}

std::string toText(const Json::Value &report)
{
    std::ostringstream text;
    const Json::Value &requests = report["requests"];
    text << "requests:";
    for (const char *name : endingNames)
        text << ' ' << name << ' ' << requests[name].asInt();
    text << "; in time " << requests["answeredInTime"].asInt() << ", foreign answers "
         << requests["foreignAnswers"].asInt() << ", sendings " << requests["sendings"].asInt()
         << '\n';
    printLatency(text, "all answered", requests["latencyMs"]);
    for (const std::string &name : report["classes"].getMemberNames())
        printLatency(text, "class " + name, report["classes"][name]["latencyMs"]);
    for (const std::string &name : report["teams"].getMemberNames())
        printLatency(text, "team " + name, report["teams"][name]["latencyMs"]);
    const Json::Value &jobs = report["jobs"];
    if (jobs["submitted"].asInt() == 0)
        return text.str();
    text << "jobs: submitted " << jobs["submitted"].asInt();
    for (const std::string &state : jobs["states"].getMemberNames())
        text << ", " << state << ' ' << jobs["states"][state].asInt();
    text << '\n';
    printLatency(text, "until accepted", jobs["acceptedMs"]);
    printLatency(text, "until running", jobs["runningMs"]);
    printLatency(text, "until ended", jobs["endedMs"]);
    return text.str();
}

} // namespace Load
