/// A small site: the store, the nodes as processes of their own, and a caller.
#pragma once

#include "Worker.hh"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <cstdlib>
#include <filesystem>
#include <memory>
#include <optional>

namespace StandIn {

inline void sleepMs(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// False if the environment asks for the same run without its disruption.
inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

struct SiteSettings
{
    int nodes = 3;
    int holdMaxMs = 6000;
    int maxAttempts = 3;
};

/// A port of an address that nothing listens on.
inline int freePort(const std::string &ip)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = socketAddress(ip, 0);
    bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address);
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    close(fd);
    return ntohs(address.sin_port);
}

/// The first three bytes of the nodes' addresses, in 127.0.0.0/8. Each process has its own, since
/// the port of the nodes' metrics is fixed.
inline std::string nodeSubnet()
{
    const int pid = getpid();
    return "127." + std::to_string(1 + pid % 250) + '.' + std::to_string(1 + pid / 250 % 250) + '.';
}

class Site
{
public:
    static constexpr const char *host = "clubs.example";
    static constexpr const char *prefix = "/plans/";

    Site(const SiteSettings &settings, Record &record)
        : m_settings(settings)
        , m_record(record)
        , m_history(record)
        , m_store("127.0.0.1")
    {
        std::string name = std::filesystem::temp_directory_path() / "review-XXXXXX";
        m_folder = mkdtemp(name.data());
        Json::Value manifest(Json::objectValue);
        manifest["version"] = 1;
        Json::Value route(Json::objectValue);
        route["name"] = "plans";
        route["host"] = host;
        route["pathPrefix"] = prefix;
        route["kind"] = "unsafe";
        route["timeoutMs"] = 3000;
        route["sloMs"] = 1000;
        route["priority"] = 0;
        route["service"] = "calendario";
        route["maxAttempts"] = settings.maxAttempts;
        route["stretch"] = 2.0;
        manifest["routes"].append(route);
        Json::Value service(Json::objectValue);
        service["name"] = "calendario";
        service["healthPath"] = "/health";
        service["maxConns"] = 64;
        service["rejectsOverload"] = true;
        service["spare"] = false;
        manifest["services"].append(service);
        manifest["limits"]["headerBytes"] = 16384;
        manifest["limits"]["bodyBytes"] = 262144;
        manifest["limits"]["headerTimeoutMs"] = 3000;
        manifest["limits"]["idleTimeoutMs"] = 15000;
        m_store.put("keyed.op", "config", writeJson(manifest));
        for (int i = 0; i < settings.nodes; ++i) {
            Node node;
            node.name = "front-" + std::to_string(i + 1);
            node.ip = nodeSubnet() + std::to_string(i + 1);
            node.port = freePort(node.ip);
            node.readyPort = freePort(node.ip);
            m_nodes.push_back(node);
        }
    }

    ~Site()
    {
        m_workers.clear();
        for (Node &node : m_nodes)
            killNode(node, SIGKILL);
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }

    void addWorkers(int count, const Worker::Plan &plan, int milliCores = 32000)
    {
        for (int i = 0; i < count; ++i) {
            WorkerSettings settings;
            settings.id = "i-" + std::to_string(i + 1);
            settings.ip = "127.0.0.1";
            settings.milliCores = milliCores;
            settings.holdMaxMs = m_settings.holdMaxMs;
            m_workers.push_back(
                std::make_unique<Worker>(settings, m_store, m_record, m_history, plan));
            m_workers.back()->boot();
        }
    }

    std::vector<std::unique_ptr<Worker>> &workers() { return m_workers; }
    RunHistory &history() { return m_history; }
    Store &store() { return m_store; }
    int nodeCount() const { return static_cast<int>(m_nodes.size()); }

    void startNodes()
    {
        for (int i = 0; i < nodeCount(); ++i)
            startNode(i);
    }

    void startNode(int index)
    {
        Node &node = m_nodes[static_cast<std::size_t>(index)];
        const std::string path = m_folder + '/' + node.name + ".ini";
        std::ofstream(path) << "[node]\nname = " << node.name << "\nfailure-domain = zone-a\n"
                            << "[doors]\ncallers = " << node.ip << ':' << node.port
                            << "\nreadiness = " << node.ip << ':' << node.readyPort
                            << "\naddress = " << node.ip
                            << "\n[limits]\ndescriptors = 4100\nprocessor-share = 0.25\n"
                            << "[link]\nmegabits-per-second = 1000.0\n[store]\naddress = "
                            << m_store.address()
                            << "\n[bounds]\nlease-ms = " << m_settings.holdMaxMs
                            << "\ndrain-ms = 2000\nretention-s = 120\nshutdown-s = 6\n"
                            << "[log]\nlevel = INFO\n";
        const std::string log = m_folder + '/' + node.name + ".log";
        const pid_t pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(fd, 1);
            dup2(fd, 2);
            for (int other = 3; other < 4096; ++other)
                close(other);
            setenv("LAGOONFORD_NODE_FILE", path.c_str(), 1);
            execl("target/platform/lagoonford-node", "target/platform/lagoonford-node", nullptr);
            _exit(127);
        }
        node.pid = pid;
        m_record.note("platform: starts " + node.name + " as process " + std::to_string(pid));
    }

    void signalNode(int index, int signal)
    {
        Node &node = m_nodes[static_cast<std::size_t>(index)];
        m_record.note("platform: signal " + std::to_string(signal) + " to " + node.name);
        if (signal == SIGKILL)
            killNode(node, signal);
        else
            kill(node.pid, signal);
    }

    /// Waits until all nodes report themselves ready.
    bool waitReady(int timeoutMs)
    {
        const auto until = Clock::now() + std::chrono::milliseconds(timeoutMs);
        for (const Node &node : m_nodes) {
            while (
                StandIn::call(node.ip, node.readyPort, "GET", "/readiness", host, "", 1000).status
                != 200) {
                if (Clock::now() > until)
                    return false;
                sleepMs(100);
            }
        }
        m_record.note("platform: all nodes are ready");
        return true;
    }

    /// The index of the node that owns the jobs, from the store's record of the last claim.
    int owner()
    {
        const Json::Value value = parseJson(m_store.newest("keyed.jobs", "owner"));
        const std::string name = value["n"].asString();
        for (int i = 0; i < nodeCount(); ++i) {
            if (name.starts_with(m_nodes[static_cast<std::size_t>(i)].name + '#'))
                return i;
        }
        return -1;
    }

    Response send(int node, const std::string &method, const std::string &id,
                  const std::string &body = "", int timeoutMs = 3000)
    {
        const Node &target = m_nodes[static_cast<std::size_t>(node % nodeCount())];
        Response response
            = StandIn::call(target.ip, target.port, method, prefix + id, host, body, timeoutMs);
        m_record.note("caller: " + method + ' ' + id + " to " + target.name + " -> "
                      + std::to_string(response.status) + ' ' + response.body);
        return response;
    }

    /// The state that a node tells; empty without an answer of 200.
    std::string stateOf(int node, const std::string &id)
    {
        const Response response = send(node, "GET", id);
        return response.status == 200 ? parseJson(response.body)["state"].asString() : "";
    }

    bool waitForState(const std::string &id, const std::string &state, int timeoutMs)
    {
        const auto until = Clock::now() + std::chrono::milliseconds(timeoutMs);
        for (int i = 0; Clock::now() < until; ++i) {
            if (stateOf(i, id) == state)
                return true;
            sleepMs(200);
        }
        return false;
    }

    /// Resident memory of a node in MiB; 0 if it isn't running.
    int memoryMb(int index)
    {
        Node &node = m_nodes[static_cast<std::size_t>(index)];
        if (node.pid <= 0 || waitpid(node.pid, nullptr, WNOHANG) != 0)
            return 0;
        std::ifstream file("/proc/" + std::to_string(node.pid) + "/statm");
        long total = 0;
        long resident = 0;
        file >> total >> resident;
        return static_cast<int>(resident * sysconf(_SC_PAGESIZE) / 1048576);
    }

    const std::string &nodeName(int index) const
    {
        return m_nodes[static_cast<std::size_t>(index)].name;
    }

    /// Copies lines of the nodes' logs that contain a text into the record.
    void quoteLogs(const std::vector<std::string> &texts)
    {
        for (const Node &node : m_nodes) {
            std::ifstream file(m_folder + '/' + node.name + ".log");
            for (std::string line; std::getline(file, line);) {
                for (const std::string &text : texts) {
                    if (line.find(text) == std::string::npos)
                        continue;
                    m_record.note("log of " + node.name + ": " + line.substr(0, 300));
                    break;
                }
            }
        }
    }

private:
    struct Node
    {
        std::string name;
        std::string ip;
        int port = 0;
        int readyPort = 0;
        pid_t pid = 0;
    };

    static void killNode(Node &node, int signal)
    {
        if (node.pid <= 0)
            return;
        kill(node.pid, signal);
        waitpid(node.pid, nullptr, 0);
        node.pid = 0;
    }

    SiteSettings m_settings;
    Record &m_record;
    RunHistory m_history;
    Store m_store;
    std::string m_folder;
    std::vector<Node> m_nodes;
    std::vector<std::unique_ptr<Worker>> m_workers;
};

/// The exit codes of a case.
enum class Verdict { Held = 0, Broken = 1, CouldNotRun = 2 };

} // namespace StandIn
