/// A worker as the pages describe it. `crash()` and `boot()` end and start its process as seen from
/// outside: ports, connections and all that it knew are gone.
#pragma once

#include "Record.hh"
#include "Store.hh"

#include <algorithm>
#include <functional>
#include <set>

namespace StandIn {

/// How a task behaves wherever it runs.
struct TaskPlan
{
    /// 0: runs until it is stopped.
    int durationMs = 0;
    std::string end = "done";
};

struct WorkerSettings
{
    std::string id;
    std::string ip;
    std::string zone = "zone-a";
    std::string service = "calendario";
    int milliCores = 32000;
    int mebibytes = 128000;
    int heartbeatMs = 1500;
    int holdMaxMs = 6000;
};

/// One start or end that a worker has seen, for the judge.
struct RunEvent
{
    double at = 0;
    std::string worker;
    std::string task;
    std::int64_t run = 0;
    /// `start`, how the run ended, or `noted-` and how it ended, when that end is taken note of.
    std::string what;
};

/// All that the workers of a case have seen.
class RunHistory
{
public:
    explicit RunHistory(Record &record)
        : m_record(record)
    {
    }

    void add(const std::string &worker, const std::string &task, std::int64_t run,
             const std::string &what)
    {
        m_record.note("worker " + worker + ": " + what + ' ' + task + " run "
                      + std::to_string(run));
        const std::lock_guard lock(m_mutex);
        m_events.push_back({ m_record.now(), worker, task, run, what });
    }

    std::vector<RunEvent> events()
    {
        const std::lock_guard lock(m_mutex);
        return m_events;
    }

    int count(const std::string &what, const std::string &jobOrTask)
    {
        int found = 0;
        for (const RunEvent &event : events())
            found += event.what == what && event.task.starts_with(jobOrTask) ? 1 : 0;
        return found;
    }

private:
    Record &m_record;
    std::mutex m_mutex;
    std::vector<RunEvent> m_events;
};

class Worker
{
public:
    using Plan = std::function<TaskPlan(const std::string &task, std::int64_t run)>;

    Worker(const WorkerSettings &settings, Store &store, Record &record, RunHistory &history,
           Plan plan)
        : m_settings(settings)
        , m_store(store)
        , m_record(record)
        , m_history(history)
        , m_plan(std::move(plan))
    {
    }

    ~Worker() { end(); }

    /// Starts a process. \p firstHeartbeatMs is the time until its first entry in the store.
    void boot(int firstHeartbeatMs = 0)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_runs.clear();
            m_ended.clear();
            m_highest.clear();
            m_lastNumber = 0;
            m_sequence = 0;
            m_token = 0;
            m_leaseUntil = 0;
            m_state = "ready";
            m_bootedAt = Clock::now();
            m_born = std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count();
            m_isUp = true;
        }
        m_server.start(m_settings.ip, m_port,
                       [this](const Request &request) { return answer(request); });
        m_port = m_server.port();
        m_nextHeartbeatAt = Clock::now() + std::chrono::milliseconds(firstHeartbeatMs);
        m_ticker = std::thread([this] { tick(); });
        m_record.note("worker " + m_settings.id + ": starts, born " + std::to_string(m_born));
    }

    /// Its machine loses power: connections to it stay open and silent.
    void losePower()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isUp = false;
            for (const auto &[task, run] : m_runs)
                m_history.add(m_settings.id, task, run.run, "gone");
            m_runs.clear();
        }
        m_server.goDark();
        m_changed.notify_all();
        m_ticker.join();
        m_record.note("worker " + m_settings.id + ": loses power");
    }

    /// Reports that it drains, and leaves for good after \p ms.
    void leave(int ms)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_state = "draining";
            m_remainingMs = ms;
        }
        heartbeat();
        m_record.note("worker " + m_settings.id + ": drains");
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
        end();
        m_store.put("keyed.servers", m_settings.id, "");
        m_record.note("worker " + m_settings.id + ": has left");
    }

    const std::string &id() const { return m_settings.id; }

    /// Returns right after the worker has written its entry.
    void waitForHeartbeat()
    {
        const auto written = [this] {
            const std::lock_guard lock(m_mutex);
            return m_sequence;
        };
        const std::int64_t before = written();
        while (written() == before)
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }

    bool isRunning(const std::string &jobOrTask)
    {
        const std::lock_guard lock(m_mutex);
        return m_isUp && std::any_of(m_runs.begin(), m_runs.end(), [&](const auto &entry) {
                   return entry.first.starts_with(jobOrTask);
               });
    }

    std::size_t runCount()
    {
        const std::lock_guard lock(m_mutex);
        return m_runs.size();
    }

    /// The number of ends that this process has listed.
    std::int64_t lastNumber()
    {
        const std::lock_guard lock(m_mutex);
        return m_lastNumber;
    }

private:
    struct Run
    {
        std::int64_t run = 0;
        Clock::time_point beganAt;
        TaskPlan plan;
        int milliCores = 0;
    };

    struct Ended
    {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
    };

    void end()
    {
        {
            const std::lock_guard lock(m_mutex);
            if (!m_isUp)
                return;
            m_isUp = false;
            for (const auto &[task, run] : m_runs)
                m_history.add(m_settings.id, task, run.run, "gone");
            m_runs.clear();
        }
        m_changed.notify_all();
        m_ticker.join();
        m_server.stop();
    }

    std::int64_t clockMs() const
    {
        return 1000
            + std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_bootedAt)
                  .count();
    }

    void heartbeat()
    {
        Json::Value value(Json::objectValue);
        {
            const std::lock_guard lock(m_mutex);
            value["service"] = m_settings.service;
            value["addr"] = m_settings.ip + ':' + std::to_string(m_port);
            value["zone"] = m_settings.zone;
            value["version"] = "v1";
            value["slots"] = 8;
            value["state"] = m_state;
            value["coldLeftMs"] = 0;
            value["freeCapacity"]["cpu"] = m_settings.milliCores;
            value["freeCapacity"]["memMb"] = m_settings.mebibytes;
            value["freeCapacity"]["gpu"] = 0;
            value["labels"].append("a");
            value["labels"].append("r1-1");
            if (m_state == "draining")
                value["remainingMs"] = m_remainingMs;
            value["clockMs"] = Json::Int64(clockMs());
            value["sequence"] = Json::Int64(++m_sequence);
            value["born"] = Json::Int64(m_born);
        }
        m_store.put("keyed.servers", m_settings.id, writeJson(value));
    }

    void tick()
    {
        while (true) {
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
            bool isHeartbeatDue = false;
            {
                const std::lock_guard lock(m_mutex);
                if (!m_isUp)
                    return;
                endRuns();
                isHeartbeatDue = Clock::now() >= m_nextHeartbeatAt;
            }
            if (isHeartbeatDue) {
                m_nextHeartbeatAt
                    = Clock::now() + std::chrono::milliseconds(m_settings.heartbeatMs);
                heartbeat();
            }
        }
    }

    void endRuns()
    {
        const bool isLapsed = clockMs() > m_leaseUntil;
        for (auto it = m_runs.begin(); it != m_runs.end();) {
            const Run run = it->second;
            const bool isOver = run.plan.durationMs > 0
                && Clock::now() >= run.beganAt + std::chrono::milliseconds(run.plan.durationMs);
            const std::string task = it->first;
            if (!isOver && !isLapsed) {
                ++it;
                continue;
            }
            it = m_runs.erase(it);
            list(task, run.run, isOver ? run.plan.end : "lapsed");
        }
    }

    void list(const std::string &task, std::int64_t run, const std::string &how)
    {
        m_ended.push_back({ ++m_lastNumber, task, run, how });
        m_highest[task] = std::max(m_highest[task], run);
        m_history.add(m_settings.id, task, run, how);
        m_changed.notify_all();
    }

    Response refuse(const std::string &reason) const
    {
        return { 409,
                 "{\"clockMs\":" + std::to_string(clockMs()) + ",\"reason\":\"" + reason + "\"}" };
    }

    Response answer(const Request &request)
    {
        if (request.path == "/health")
            return { 200, "{}" };
        const auto expected = request.headers.find("x-expect-instance");
        if (expected != request.headers.end() && expected->second != m_settings.id)
            return { 421, "{}" };
        const Json::Value value = parseJson(request.body);
        std::unique_lock lock(m_mutex);
        if (!m_isUp)
            return { 0, "" };
        const std::int64_t token = value["fenceToken"].asInt64();
        if (token < m_token)
            return refuse("fence");
        m_token = token;
        if (request.path == "/run-start")
            return answerStart(value);
        if (request.path == "/run-stop")
            return answerStop(value);
        if (request.path == "/hold")
            return answerHold(value, lock);
        if (request.path == "/pace")
            return { 200, "{\"clockMs\":" + std::to_string(clockMs()) + '}' };
        return { 400, "{}" };
    }

    void extendLease(const Json::Value &value)
    {
        if (value["expiresMs"].isIntegral())
            m_leaseUntil = std::max(
                m_leaseUntil,
                std::min(value["expiresMs"].asInt64(), clockMs() + m_settings.holdMaxMs));
    }

    Response answerStart(const Json::Value &value)
    {
        const std::string task = value["task"].asString();
        const std::int64_t run = value["runId"].asInt64();
        m_record.note("worker " + m_settings.id + ": asked to start " + task + " run "
                      + std::to_string(run) + " expiresMs " + value["expiresMs"].asString()
                      + " at its clock " + std::to_string(clockMs()));
        const auto known = m_runs.find(task);
        if (known != m_runs.end() && known->second.run == run)
            return { 200, "{\"clockMs\":" + std::to_string(clockMs()) + '}' };
        if (m_highest.contains(task) && run <= m_highest[task]) {
            extendLease(value);
            return refuse("old");
        }
        if (value["expiresMs"].asInt64() <= clockMs())
            return refuse("late");
        extendLease(value);
        m_runs[task] = { run, Clock::now(), m_plan(task, run), 0 };
        m_history.add(m_settings.id, task, run, "start");
        return { 200, "{\"clockMs\":" + std::to_string(clockMs()) + '}' };
    }

    Response answerStop(const Json::Value &value)
    {
        const std::string task = value["task"].asString();
        const std::int64_t run = value["runId"].asInt64();
        const auto known = m_runs.find(task);
        m_highest[task] = std::max(m_highest[task], run);
        if (known != m_runs.end() && known->second.run <= run) {
            const std::int64_t stopped = known->second.run;
            m_runs.erase(known);
            list(task, stopped, "stopped");
        }
        return { 200, "{\"clockMs\":" + std::to_string(clockMs()) + '}' };
    }

    Response answerHold(const Json::Value &value, std::unique_lock<std::mutex> &lock)
    {
        extendLease(value);
        const std::int64_t lastSeen = value["lastSeen"].asInt64();
        for (const Ended &ended : m_ended) {
            if (ended.number > lastSeen)
                continue;
            m_record.note("worker " + m_settings.id + ": end " + std::to_string(ended.number)
                          + " is taken note of by lastSeen " + std::to_string(lastSeen));
            m_history.add(m_settings.id, ended.task, ended.run, "noted-" + ended.how);
        }
        std::erase_if(m_ended, [&](const Ended &ended) { return ended.number <= lastSeen; });
        const auto until
            = Clock::now() + std::chrono::milliseconds(std::min(value["waitMs"].asInt(), 2000));
        m_changed.wait_until(lock, until, [&, boot = m_born] {
            return !m_isUp || m_born != boot || !m_ended.empty();
        });
        if (!m_isUp)
            return { 0, "" };
        Json::Value report(Json::objectValue);
        report["clockMs"] = Json::Int64(clockMs());
        report["born"] = Json::Int64(m_born);
        report["running"] = Json::Value(Json::arrayValue);
        report["ended"] = Json::Value(Json::arrayValue);
        for (const auto &[task, run] : m_runs) {
            Json::Value row(Json::arrayValue);
            const auto ranMs
                = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - run.beganAt)
                      .count();
            row.append(task);
            row.append(Json::Int64(run.run));
            row.append("");
            row.append(run.plan.durationMs > 0 ? Json::Int64(
                           std::min<std::int64_t>(99, ranMs * 100 / run.plan.durationMs))
                                               : Json::Int64(ranMs < 300 ? 0 : 100));
            row.append(1);
            report["running"].append(row);
        }
        for (const Ended &ended : m_ended) {
            if (report["ended"].size() >= 500)
                break;
            Json::Value row(Json::arrayValue);
            row.append(Json::Int64(ended.number));
            row.append(ended.task);
            row.append(Json::Int64(ended.run));
            row.append(ended.how);
            row.append("");
            report["ended"].append(row);
        }
        return { 200, writeJson(report) };
    }

    WorkerSettings m_settings;
    Store &m_store;
    Record &m_record;
    RunHistory &m_history;
    Plan m_plan;
    HttpServer m_server;
    int m_port = 0;
    std::thread m_ticker;
    Clock::time_point m_nextHeartbeatAt;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isUp = false;
    std::map<std::string, Run> m_runs;
    std::vector<Ended> m_ended;
    /// The highest run of each task that was stopped or has ended here.
    std::map<std::string, std::int64_t> m_highest;
    std::int64_t m_lastNumber = 0;
    std::int64_t m_sequence = 0;
    std::int64_t m_token = 0;
    std::int64_t m_leaseUntil = 0;
    std::int64_t m_born = 0;
    Clock::time_point m_bootedAt;
    std::string m_state = "ready";
    int m_remainingMs = 0;
};

} // namespace StandIn
