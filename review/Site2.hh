// Stand-ins for the scripts of the second review: the platform's store, workers and clients, and a
// record of what they saw. Only POSIX sockets and the standard library are used.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

using Clock = std::chrono::steady_clock;
using std::string;

inline Clock::time_point g_began = Clock::now();
inline std::int64_t sinceStartMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - g_began).count();
}
inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}
inline void sleepMs(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

/// Writes one line of the record.
class Record
{
public:
    void open(const string &path) { m_file = fopen(path.c_str(), "w"); }
    __attribute__((format(printf, 2, 3))) void line(const char *format, ...)
    {
        std::lock_guard lock(m_mutex);
        if (!m_file)
            return;
        fprintf(m_file, "%8.3f ", static_cast<double>(sinceStartMs()) / 1000);
        va_list list;
        va_start(list, format);
        vfprintf(m_file, format, list);
        va_end(list);
        fputc('\n', m_file);
        fflush(m_file);
    }

private:
    std::mutex m_mutex;
    FILE *m_file = nullptr;
};
/// Threads of connections may outlive `main()`, so nothing that they use is destroyed.
inline Record &g_record = *new Record;

// JSON, as far as the messages need it.

/// The text of a member of a flat object, or of an object whose nested values don't repeat its
/// name: the number or the raw string between the quotes. Empty if there is none.
inline string member(const string &json, const string &name)
{
    const string quoted = '"' + name + "\":";
    std::size_t at = json.find(quoted);
    if (at == string::npos)
        return {};
    at += quoted.size();
    if (json[at] == '"') {
        const std::size_t end = json.find('"', at + 1);
        return json.substr(at + 1, end - at - 1);
    }
    const std::size_t end = json.find_first_of(",}]", at);
    return json.substr(at, end - at);
}
inline std::int64_t number(const string &json, const string &name)
{
    const string text = member(json, name);
    return text.empty() ? 0 : atoll(text.c_str());
}
inline string base64(const string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t k = 0; k < 3; ++k)
            value = value << 8
                | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            text += i + k <= bytes.size() ? digits[value >> (18 - 6 * k) & 63] : '=';
    }
    return text;
}

// HTTP.

struct Message
{
    string method;
    string target;
    int status = 0;
    std::map<string, string> fields;
    string body;
};

/// Reads one message. Returns false if the connection ends before.
inline bool readMessage(int socket, string &buffer, Message &message, bool isRequest)
{
    std::size_t end;
    while ((end = buffer.find("\r\n\r\n")) == string::npos) {
        char bytes[16384];
        const ssize_t count = recv(socket, bytes, sizeof bytes, 0);
        if (count <= 0)
            return false;
        buffer.append(bytes, static_cast<std::size_t>(count));
    }
    const string head = buffer.substr(0, end + 2);
    buffer.erase(0, end + 4);
    const std::size_t line = head.find("\r\n");
    const string first = head.substr(0, line);
    message = {};
    if (isRequest) {
        const std::size_t space = first.find(' ');
        message.method = first.substr(0, space);
        message.target = first.substr(space + 1, first.rfind(' ') - space - 1);
    } else {
        message.status = atoi(first.substr(first.find(' ') + 1).c_str());
    }
    for (std::size_t at = line + 2; at < head.size();) {
        const std::size_t next = head.find("\r\n", at);
        const string field = head.substr(at, next - at);
        const std::size_t colon = field.find(':');
        string name = field.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), ::tolower);
        const std::size_t value = field.find_first_not_of(' ', colon + 1);
        message.fields[name] = value == string::npos ? "" : field.substr(value);
        at = next + 2;
    }
    const std::size_t length
        = static_cast<std::size_t>(atoll(message.fields["content-length"].c_str()));
    while (buffer.size() < length) {
        char bytes[65536];
        const ssize_t count = recv(socket, bytes, sizeof bytes, 0);
        if (count <= 0)
            return false;
        buffer.append(bytes, static_cast<std::size_t>(count));
    }
    message.body = buffer.substr(0, length);
    buffer.erase(0, length);
    return true;
}

inline bool sendAll(int socket, const string &bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        const ssize_t count
            = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

struct Reply
{
    int status = 200;
    string body;
    /// Nothing is answered, and the connection stays open.
    bool isLost = false;
    /// The connection is closed instead of an answer.
    bool isBroken = false;
};

inline sockaddr_in addressOf(const string &ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// A server with a thread for each connection.
class Server
{
public:
    using Handler = std::function<Reply(const Message &)>;
    /// Further channels wait until one of this many has been closed.
    std::size_t maxChannels = 10'000;

    ~Server() { stop(); }

    /// Returns the port, 0 if it can't listen.
    int start(const string &ip, int port, Handler handler)
    {
        m_handler = std::move(handler);
        const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address = addressOf(ip, port);
        if (bind(listener, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
            || listen(listener, 512) != 0) {
            close(listener);
            return 0;
        }
        socklen_t size = sizeof address;
        getsockname(listener, reinterpret_cast<sockaddr *>(&address), &size);
        m_state = std::make_shared<State>();
        m_state->listener = listener;
        m_thread = std::thread([this, state = m_state] { accept(state); });
        return ntohs(address.sin_port);
    }
    /// Resets all connections and refuses new ones, as a process that has been killed does.
    void stop()
    {
        if (!m_state)
            return;
        {
            std::lock_guard lock(m_state->mutex);
            m_state->isStopped = true;
            m_state->closed.notify_all();
            shutdown(m_state->listener, SHUT_RDWR);
            for (const int socket : m_state->sockets) {
                const linger reset { 1, 0 };
                setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
                shutdown(socket, SHUT_RDWR);
            }
        }
        m_thread.join();
        close(m_state->listener);
        m_state.reset();
    }

private:
    struct State
    {
        std::mutex mutex;
        std::condition_variable closed;
        std::set<int> sockets;
        int listener = -1;
        bool isStopped = false;
    };

    void accept(const std::shared_ptr<State> &state)
    {
        while (true) {
            const int socket = accept4(state->listener, nullptr, nullptr, SOCK_CLOEXEC);
            std::unique_lock lock(state->mutex);
            if (state->isStopped || socket < 0) {
                if (socket >= 0)
                    close(socket);
                if (state->isStopped)
                    return;
                continue;
            }
            const int on = 1;
            setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            state->sockets.insert(socket);
            std::thread([state, socket, handler = m_handler] {
                serve(state, socket, handler);
            }).detach();
            state->closed.wait(lock, [&] {
                return state->isStopped || state->sockets.size() < maxChannels;
            });
        }
    }
    static void serve(const std::shared_ptr<State> &state, int socket, const Handler &handler)
    {
        string buffer;
        Message request;
        while (readMessage(socket, buffer, request, true)) {
            const Reply reply = handler(request);
            if (reply.isBroken)
                break;
            if (reply.isLost)
                continue;
            const string text = "HTTP/1.1 " + std::to_string(reply.status)
                + " x\r\nContent-Type: application/json\r\nContent-Length: "
                + std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body;
            if (!sendAll(socket, text))
                break;
        }
        std::lock_guard lock(state->mutex);
        state->sockets.erase(socket);
        close(socket);
        state->closed.notify_all();
    }

    Handler m_handler;
    std::shared_ptr<State> m_state;
    std::thread m_thread;
};

/// One request on a connection of its own. Status 0: no whole answer.
inline Message call(const string &ip, int port, const string &method, const string &target,
                    const string &host, const string &body, int timeoutMs)
{
    Message answer;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval time { timeoutMs / 1000, timeoutMs % 1000 * 1000 };
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
    setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof time);
    const sockaddr_in address = addressOf(ip, port);
    if (connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0) {
        const string request = method + ' ' + target + " HTTP/1.1\r\nHost: " + host
            + "\r\nX-Deadline-Ms: " + std::to_string(timeoutMs)
            + "\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
        string buffer;
        if (!sendAll(socket, request) || !readMessage(socket, buffer, answer, false))
            answer.status = 0;
    }
    close(socket);
    return answer;
}

// The platform's store.

class Store
{
public:
    /// Faults; each is off at first.
    std::atomic<bool> isDown { false };
    std::atomic<int> extraDelayMs { 0 };
    /// Per mille of the appends that are done and not answered.
    std::atomic<int> lostAnswers { 0 };
    /// Those are done 1 to 6 s later.
    std::atomic<bool> areLostDoneLate { false };

    static constexpr int doorCount = 8;
    /// The store answers nothing at this door.
    std::atomic<bool> isDoorCut[doorCount] = {};

    /// Starts a door; the nodes of a site can have different ones.
    int start(const string &ip, int door = 0)
    {
        return m_servers[door].start(ip, 0, [this, door](const Message &request) {
            const Reply reply = isDoorCut[door] ? Reply { 0, "", true, false } : answer(request);
            return isDoorCut[door] ? Reply { 0, "", true, false } : reply;
        });
    }

    void put(const string &topic, const string &key, const string &value)
    {
        std::lock_guard lock(m_mutex);
        append(topic, { { key, value } });
    }

private:
    struct Entry
    {
        string key;
        string value;
    };
    struct Topic
    {
        std::vector<Entry> log;
        std::map<string, std::size_t> newest;
        std::map<string, std::int64_t> epochs;
        std::map<string, std::int64_t> sequences;
        std::map<string, std::vector<std::pair<std::int64_t, string>>> answers;
    };

    static string query(const string &target, const string &name)
    {
        for (std::size_t at = target.find('?'); at != string::npos; at = target.find('&', at + 1)) {
            if (target.compare(at + 1, name.size() + 1, name + '=') != 0)
                continue;
            const std::size_t begin = at + name.size() + 2;
            const string text = target.substr(begin, target.find('&', begin) - begin);
            string plain;
            for (std::size_t i = 0; i < text.size(); ++i) {
                if (text[i] == '%') {
                    plain += static_cast<char>(strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
                    i += 2;
                } else {
                    plain += text[i];
                }
            }
            return plain;
        }
        return {};
    }
    std::size_t append(const string &name, std::vector<Entry> entries)
    {
        Topic &topic = m_topics[name];
        const std::size_t offset = topic.log.size();
        for (Entry &entry : entries) {
            if (entry.value.empty())
                topic.newest.erase(entry.key);
            else
                topic.newest[entry.key] = topic.log.size();
            topic.log.push_back(std::move(entry));
        }
        m_changed.notify_all();
        return offset;
    }
    Reply appendOf(const Message &request)
    {
        std::vector<Entry> entries;
        const string &body = request.body;
        for (std::size_t at = 0; at + 4 <= body.size();) {
            std::uint32_t length;
            memcpy(&length, body.data() + at, 4);
            length = ntohl(length);
            const std::size_t key = static_cast<unsigned char>(body[at + 4]);
            entries.push_back({ body.substr(at + 5, key), body.substr(at + 5 + key, length - 1 - key) });
            at += 4 + length;
        }
        std::lock_guard lock(m_mutex);
        const string name = query(request.target, "topic");
        Topic &topic = m_topics[name];
        const auto end = [&] { return std::to_string(topic.log.size()); };
        const string at = query(request.target, "at");
        if (!at.empty() && at != end())
            return { 412, "{\"end\":" + end() + "}" };
        const string producer = query(request.target, "producer");
        const std::int64_t epoch = atoll(query(request.target, "epoch").c_str());
        const std::int64_t sequence = atoll(query(request.target, "sequence").c_str());
        if (!producer.empty()) {
            std::int64_t &last = topic.epochs[producer];
            if (epoch < last)
                return { 409, "{\"reason\":\"fenced\"}" };
            if (epoch > last)
                topic.answers[producer].clear();
            else {
                for (const auto &[former, text] : topic.answers[producer])
                    if (former == sequence && !entries.empty())
                        return { 200, text };
                if (!entries.empty() && topic.sequences.contains(producer)
                    && sequence != topic.sequences[producer] + 1)
                    return { 409, "{\"reason\":\"seq\",\"sequence\":"
                                      + std::to_string(topic.sequences[producer] + 1) + "}" };
            }
            last = epoch;
            topic.sequences[producer] = sequence;
        }
        if (entries.empty())
            return { 200, "{\"end\":" + end() + "}" };
        const std::size_t offset = append(name, std::move(entries));
        const string text
            = "{\"offset\":" + std::to_string(offset) + ",\"end\":" + end() + "}";
        if (!producer.empty()) {
            auto &answers = topic.answers[producer];
            answers.emplace_back(sequence, text);
            if (answers.size() > 5)
                answers.erase(answers.begin());
        }
        return { 200, text };
    }
    Reply readOf(const Message &request)
    {
        std::unique_lock lock(m_mutex);
        Topic &topic = m_topics[query(request.target, "topic")];
        const std::size_t from = strtoul(query(request.target, "from").c_str(), nullptr, 10);
        const int waitMs = atoi(query(request.target, "waitMs").c_str());
        m_changed.wait_for(lock, std::chrono::milliseconds(waitMs),
                           [&] { return topic.log.size() > from || isDown; });
        const auto number64 = [](std::uint64_t value) {
            string bytes;
            for (int shift = 56; shift >= 0; shift -= 8)
                bytes += static_cast<char>(value >> shift);
            return bytes;
        };
        string body = number64(topic.log.size()) + number64(0);
        for (std::size_t i = from; i < topic.log.size() && body.size() < 250'000; ++i) {
            const Entry &entry = topic.log[i];
            const std::uint32_t length
                = htonl(static_cast<std::uint32_t>(1 + entry.key.size() + entry.value.size()));
            body.append(reinterpret_cast<const char *>(&length), 4);
            body += static_cast<char>(entry.key.size());
            body += entry.key + entry.value;
        }
        return { 200, body };
    }
    Reply newestOf(const Message &request)
    {
        std::lock_guard lock(m_mutex);
        Topic &topic = m_topics[query(request.target, "topic")];
        const string after = query(request.target, "after");
        string items;
        int count = 0;
        auto it = after.empty() ? topic.newest.begin() : topic.newest.upper_bound(after);
        for (; it != topic.newest.end() && count < 500 && items.size() < 1'000'000; ++it, ++count)
            items += (items.empty() ? "" : ",") + string("{\"key\":\"") + it->first
                + "\",\"value\":\"" + base64(topic.log[it->second].value)
                + "\",\"offset\":" + std::to_string(it->second) + "}";
        return { 200, "{\"items\":[" + items + "],\"hasMore\":"
                          + (it == topic.newest.end() ? "false" : "true")
                          + ",\"end\":" + std::to_string(topic.log.size()) + "}" };
    }
    Reply answer(const Message &request)
    {
        sleepMs(4 + extraDelayMs);
        if (isDown)
            return { 0, "", true, false };
        if (request.target.starts_with("/log-append")) {
            if (rand() % 1000 >= lostAnswers)
                return appendOf(request);
            if (areLostDoneLate)
                std::thread([this, request] {
                    sleepMs(1000 + rand() % 5000);
                    appendOf(request);
                }).detach();
            else
                appendOf(request);
            return { 0, "", true, false };
        }
        const Reply reply
            = request.target.starts_with("/log-read") ? readOf(request) : newestOf(request);
        return isDown ? Reply { 0, "", true, false } : reply;
    }

    Server m_servers[doorCount];
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<string, Topic> m_topics;
};

// Workers.

struct Run
{
    string task;
    std::int64_t number = 0;
    string spec;
    std::int64_t beganMs = 0;
    std::int64_t doneBefore = 0;
    std::int64_t cpu = 0;
};

/// What all workers and clients of a site saw of a task's run.
struct RunEvent
{
    std::int64_t atMs = 0;
    string worker;
    string task;
    std::int64_t run = 0;
    /// "start", an end's kind, "crash" (the worker's process ended), or "noted" (the end was
    /// acknowledged).
    string kind;
};

class History
{
public:
    void add(const string &worker, const string &task, std::int64_t run, const string &kind)
    {
        g_record.line("%s %s run %lld on %s", kind.c_str(), task.c_str(),
                      static_cast<long long>(run), worker.c_str());
        std::lock_guard lock(m_mutex);
        m_events.push_back({ sinceStartMs(), worker, task, run, kind });
    }
    std::vector<RunEvent> events()
    {
        std::lock_guard lock(m_mutex);
        return m_events;
    }
    int count(const string &task, const string &kind)
    {
        std::lock_guard lock(m_mutex);
        return static_cast<int>(
            std::count_if(m_events.begin(), m_events.end(), [&](const RunEvent &event) {
                return event.kind == kind && event.task.starts_with(task);
            }));
    }

private:
    std::mutex m_mutex;
    std::vector<RunEvent> m_events;
};
inline History &g_history = *new History;

/// What a task does, by the words of its job's `spec`:
/// `work=MS` ends `done` after so long; `lasts` never ends; `failAt=MS` ends `failed` after so
/// long.
inline std::int64_t wordOf(const string &spec, const string &name)
{
    const std::size_t at = spec.find(name + '=');
    return at == string::npos ? 0 : atoll(spec.c_str() + at + name.size() + 1);
}

/// The gangs of a site: the members of one run work only once all are there, and end together.
class Gangs
{
public:
    static constexpr std::int64_t timeoutMs = 3000;

    void join(const string &gang, const string &task, int size)
    {
        std::lock_guard lock(m_mutex);
        Gang &found = m_gangs[gang];
        found.members.insert(task);
        if (static_cast<int>(found.members.size()) == size && found.completeAtMs < 0)
            found.completeAtMs = sinceStartMs();
    }
    /// A member has ended as \p kind.
    void end(const string &gang, const string &kind)
    {
        std::lock_guard lock(m_mutex);
        Gang &found = m_gangs[gang];
        if (found.end.empty())
            found.end = kind == "done" ? "done" : "broken";
    }
    /// How the members that are left end now; empty while they go on.
    string endOf(const string &gang, std::int64_t joinedAtMs, std::int64_t workMs)
    {
        std::lock_guard lock(m_mutex);
        Gang &found = m_gangs[gang];
        if (!found.end.empty())
            return found.completeAtMs < 0 ? "broken" : found.end;
        if (found.completeAtMs < 0)
            return sinceStartMs() >= joinedAtMs + timeoutMs ? "alone" : "";
        return workMs > 0 && sinceStartMs() >= found.completeAtMs + workMs ? "done" : "";
    }

private:
    struct Gang
    {
        std::set<string> members;
        std::int64_t completeAtMs = -1;
        string end;
    };
    std::mutex m_mutex;
    std::map<string, Gang> m_gangs;
};
inline Gangs &g_gangs = *new Gangs;
inline string gangOf(const string &task, std::int64_t run)
{
    return task.substr(0, task.rfind('.')) + '#' + std::to_string(run);
}

class Worker
{
public:
    /// Faults; each is off at first. A worker that is cut off runs on, but nothing reaches it, and
    /// it reaches nothing.
    std::atomic<bool> isCut { false };
    /// Per mille of the orders that get no answer and are carried out 2 to 12 s later.
    std::atomic<int> lateOrders { 0 };
    static constexpr std::int64_t holdMaxMs = 6000;
    static constexpr std::int64_t heartbeatMs = 1500;
    static constexpr std::size_t channels = 64;

    Worker(Store &store, string id, string ip, string zone, std::vector<string> labels,
           int cores = 8, string service = "svc")
        : m_store(store)
        , m_id(std::move(id))
        , m_ip(std::move(ip))
        , m_zone(std::move(zone))
        , m_service(std::move(service))
        , m_labels(std::move(labels))
        , m_cores(cores)
    {
    }
    ~Worker() { crash(); }

    const string &id() const { return m_id; }
    /// Starts the process, under the same id as before.
    void start()
    {
        {
            std::lock_guard lock(m_mutex);
            m_bornMs = unixMs();
            m_bornAt = sinceStartMs() - 1;
            m_running.clear();
            m_ended.clear();
            m_highest.clear();
            m_nextEnd = 1;
            m_fence = 0;
            m_leaseEnd = 0;
            m_isUp = true;
            m_sequence = 0;
        }
        m_server.maxChannels = channels;
        m_port = m_server.start(m_ip, m_port, [this](const Message &request) {
            return receive(request);
        });
        g_record.line("worker %s starts", m_id.c_str());
        m_thread = std::thread([this] { live(); });
    }
    /// Ends the process: it loses its runs and sends nothing.
    void crash()
    {
        {
            std::lock_guard lock(m_mutex);
            if (!m_isUp)
                return;
            m_isUp = false;
            m_changed.notify_all();
        }
        m_server.stop();
        m_thread.join();
        std::lock_guard lock(m_mutex);
        g_record.line("worker %s crashes", m_id.c_str());
        for (const auto &[task, run] : m_running) {
            g_history.add(m_id, task, run.number, "crash");
            if (wordOf(run.spec, "gang") > 0)
                g_gangs.end(gangOf(task, run.number), "crash");
        }
        m_running.clear();
    }
    /// Ends a run as `failed`, as a task that fails by its own fault does. Returns false if the
    /// task doesn't run here.
    bool fail(const string &task)
    {
        std::lock_guard lock(m_mutex);
        const auto run = m_running.find(task);
        if (run == m_running.end())
            return false;
        end(run, "failed");
        return true;
    }
    std::vector<string> runningTasks()
    {
        std::lock_guard lock(m_mutex);
        std::vector<string> tasks;
        for (const auto &[task, run] : m_running)
            tasks.push_back(task);
        return tasks;
    }

private:
    using Runs = std::map<string, Run>;
    struct End
    {
        std::int64_t number;
        string task;
        std::int64_t run;
        string kind;
    };

    std::int64_t clockMs() const { return sinceStartMs() - m_bornAt; }
    void end(Runs::iterator run, const string &kind)
    {
        m_ended.push_back({ m_nextEnd++, run->first, run->second.number, kind });
        m_highest[run->first] = std::max(m_highest[run->first], run->second.number);
        g_history.add(m_id, run->first, run->second.number, kind);
        if (wordOf(run->second.spec, "gang") > 0)
            g_gangs.end(gangOf(run->first, run->second.number), kind);
        m_running.erase(run);
        m_changed.notify_all();
    }
    string entry()
    {
        string labels;
        for (const string &label : m_labels)
            labels += (labels.empty() ? "\"" : ",\"") + label + '"';
        return "{\"service\":\"" + m_service + "\",\"addr\":\"" + m_ip + ':'
            + std::to_string(m_port) + "\",\"zone\":\"" + m_zone
            + "\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,"
              "\"freeCapacity\":{\"cpu\":"
            + std::to_string(m_cores * 1000) + ",\"memMb\":64000,\"gpu\":0},\"labels\":[" + labels
            + "],\"clockMs\":" + std::to_string(clockMs()) + ",\"born\":" + std::to_string(m_bornMs)
            + ",\"sequence\":" + std::to_string(++m_sequence) + "}";
    }
    /// The process: publishes the entry and ends runs whose time has come.
    void live()
    {
        std::int64_t nextBeat = 0;
        std::unique_lock lock(m_mutex);
        while (m_isUp) {
            if (sinceStartMs() >= nextBeat && !isCut) {
                m_store.put("keyed.servers", m_id, entry());
                nextBeat = sinceStartMs() + heartbeatMs;
            }
            for (auto it = m_running.begin(); it != m_running.end();) {
                const auto run = it++;
                const std::int64_t ran = sinceStartMs() - run->second.beganMs;
                const std::int64_t failAt = wordOf(run->second.spec, "failAt");
                const std::int64_t work = wordOf(run->second.spec, "work");
                const bool isOfGang = wordOf(run->second.spec, "gang") > 0;
                if (clockMs() >= m_leaseEnd) {
                    end(run, "lapsed");
                    continue;
                }
                if (isOfGang) {
                    const string kind = g_gangs.endOf(gangOf(run->first, run->second.number),
                                                      run->second.beganMs, work);
                    if (!kind.empty())
                        end(run, kind);
                    continue;
                }
                else if (failAt > 0 && ran >= failAt)
                    end(run, "failed");
                else if (work > 0 && ran >= work)
                    end(run, "done");
            }
            m_changed.wait_for(lock, std::chrono::milliseconds(10));
        }
    }
    string reportBody()
    {
        string running;
        for (const auto &[task, run] : m_running) {
            const std::int64_t ran = sinceStartMs() - run.beganMs;
            const std::int64_t work = wordOf(run.spec, "work");
            const std::int64_t percent
                = work > 0 ? std::min<std::int64_t>(99, ran * 100 / work) : ran > 300 ? 100 : 10;
            running += (running.empty() ? "[\"" : ",[\"") + task + "\","
                + std::to_string(run.number) + ",\"\"," + std::to_string(percent) + ",0]";
        }
        string ended;
        for (const End &end : m_ended)
            ended += (ended.empty() ? "[" : ",[") + std::to_string(end.number) + ",\"" + end.task
                + "\"," + std::to_string(end.run) + ",\"" + end.kind + "\",\"\"]";
        return "{\"clockMs\":" + std::to_string(clockMs()) + ",\"born\":"
            + std::to_string(m_bornMs) + ",\"running\":[" + running + "],\"ended\":[" + ended
            + "]}";
    }
    Reply refusal(const string &reason) const
    {
        return { 409, "{\"clockMs\":" + std::to_string(clockMs()) + ",\"reason\":\"" + reason
                          + "\"}" };
    }
    void extendLease(std::int64_t expiresMs)
    {
        m_leaseEnd = std::max(m_leaseEnd, std::min(expiresMs, clockMs() + holdMaxMs));
    }
    Reply start(const string &body)
    {
        const string task = member(body, "task");
        const std::int64_t run = number(body, "runId");
        const std::int64_t expiresMs = number(body, "expiresMs");
        const Reply done { 200, "{\"clockMs\":" + std::to_string(clockMs()) + "}" };
        if (expiresMs <= clockMs())
            return refusal("late");
        extendLease(expiresMs);
        const auto running = m_running.find(task);
        if (running != m_running.end() && running->second.number == run)
            return done;
        if (running != m_running.end() || run <= m_highest[task])
            return refusal("old");
        const string spec = member(body, "spec");
        m_running[task] = { task, run, spec, sinceStartMs(), 0, 0 };
        g_history.add(m_id, task, run, "start");
        if (wordOf(spec, "gang") > 0)
            g_gangs.join(gangOf(task, run), task, static_cast<int>(wordOf(spec, "gang")));
        return done;
    }
    Reply receive(const Message &request)
    {
        if (isCut)
            return { 0, "", true, false };
        if (rand() % 1000 < lateOrders) {
            std::unique_lock lock(m_mutex);
            const std::int64_t born = m_bornMs;
            // Ends before the stand-ins do; see the scripts.
            std::thread([this, request, born] {
                sleepMs(2000 + rand() % 10000);
                {
                    std::lock_guard late(m_mutex);
                    if (!m_isUp || m_bornMs != born)
                        return;
                }
                answer(request);
            }).detach();
            return { 0, "", true, false };
        }
        const Reply reply = answer(request);
        return isCut ? Reply { 0, "", true, false } : reply;
    }
    Reply answer(const Message &request)
    {
        std::unique_lock lock(m_mutex);
        if (!m_isUp)
            return { 0, "", false, true };
        const auto instance = request.fields.find("x-expect-instance");
        if (instance != request.fields.end() && instance->second != m_id)
            return { 421, "{\"clockMs\":" + std::to_string(clockMs()) + "}" };
        const std::int64_t token = number(request.body, "fenceToken");
        if (token < m_fence)
            return refusal("fence");
        m_fence = token;
        if (request.target == "/run-start")
            return start(request.body);
        const Reply done { 200, "{\"clockMs\":" + std::to_string(clockMs()) + "}" };
        if (request.target == "/run-stop") {
            const string task = member(request.body, "task");
            const std::int64_t run = number(request.body, "runId");
            m_highest[task] = std::max(m_highest[task], run);
            const auto running = m_running.find(task);
            if (running != m_running.end() && running->second.number <= run)
                end(running, "stopped");
            return done;
        }
        if (request.target != "/hold")
            return done;
        const std::int64_t lastSeen = number(request.body, "lastSeen");
        std::erase_if(m_ended, [&](const End &end) {
            if (end.number > lastSeen)
                return false;
            g_history.add(m_id, end.task, end.run, "noted");
            return true;
        });
        const std::int64_t expiresMs = number(request.body, "expiresMs");
        if (expiresMs > 0)
            extendLease(expiresMs);
        const std::int64_t born = m_bornMs;
        m_changed.wait_for(lock, std::chrono::milliseconds(number(request.body, "waitMs")), [&] {
            return !m_ended.empty() || !m_isUp || m_bornMs != born;
        });
        if (!m_isUp || m_bornMs != born)
            return { 0, "", false, true };
        return { 200, reportBody() };
    }

    Store &m_store;
    string m_id;
    string m_ip;
    string m_zone;
    string m_service;
    std::vector<string> m_labels;
    int m_cores;
    int m_port = 0;
    Server m_server;
    std::thread m_thread;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isUp = false;
    std::int64_t m_bornMs = 0;
    std::int64_t m_bornAt = 0;
    std::int64_t m_sequence = 0;
    std::int64_t m_fence = 0;
    std::int64_t m_leaseEnd = 0;
    std::int64_t m_nextEnd = 1;
    Runs m_running;
    std::vector<End> m_ended;
    std::map<string, std::int64_t> m_highest;
};

// The project's own program.

class Node
{
public:
    static constexpr int callerPort = 18161;
    static constexpr int readinessPort = 18167;

    Node(string folder, string name, string ip, string zone, string store, string graceS)
        : m_folder(std::move(folder))
        , m_name(std::move(name))
        , m_ip(std::move(ip))
        , m_zone(std::move(zone))
        , m_store(std::move(store))
        , m_graceS(std::move(graceS))
    {
    }
    ~Node() { kill(SIGKILL); }

    const string &ip() const { return m_ip; }
    void start()
    {
        const string path = m_folder + '/' + m_name + ".ini";
        FILE *file = fopen(path.c_str(), "w");
        fprintf(file,
                "[node]\nname = %s\nfailure-domain = %s\n[doors]\ncallers = %s:%d\nreadiness = "
                "%s:%d\naddress = %s\n[peers]\nport = 17720\n[limits]\ndescriptors = "
                "4100\nmemory-mb = 260\nprocessor-share = 0.25\n[link]\nmegabits-per-second = "
                "1000.0\n[store]\naddress = %s\n[bounds]\nlease-ms = 6000\ndrain-ms = "
                "2000\nretention-s = 120\nrevoke-ms = \nstrict-revoke = \nshutdown-s = "
                "%s\n[log]\nlevel = INFO\n",
                m_name.c_str(), m_zone.c_str(), m_ip.c_str(), callerPort, m_ip.c_str(),
                readinessPort, m_ip.c_str(), m_store.c_str(), m_graceS.c_str());
        fclose(file);
        const string log = logPath();
        m_process = fork();
        if (m_process == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(output, 1);
            dup2(output, 2);
            setenv("LAGOONFORD_NODE_FILE", path.c_str(), 1);
            execl("target/platform/lagoonford-node", "target/platform/lagoonford-node", nullptr);
            _exit(127);
        }
        g_record.line("node %s starts", m_name.c_str());
    }
    void signal(int number)
    {
        g_record.line("node %s gets signal %d", m_name.c_str(), number);
        ::kill(m_process, number);
    }
    void kill(int number)
    {
        if (m_process <= 0)
            return;
        g_record.line("node %s is killed", m_name.c_str());
        ::kill(m_process, number);
        waitpid(m_process, nullptr, 0);
        m_process = 0;
    }
    bool isReady() const
    {
        return call(m_ip, readinessPort, "GET", "/readiness", "x", "", 500).status == 200;
    }
    bool isAlive() const
    {
        siginfo_t info {};
        return m_process > 0
            && waitid(P_PID, static_cast<id_t>(m_process), &info, WEXITED | WNOHANG | WNOWAIT) == 0
            && info.si_pid == 0;
    }

    const string &name() const { return m_name; }
    string logPath() const { return m_folder + '/' + m_name + ".log"; }

private:
    string m_folder;
    string m_name;
    string m_ip;
    string m_zone;
    string m_store;
    string m_graceS;
    pid_t m_process = 0;
};

/// A client's call to a node, with a line in the record.
inline Message request(const Node &node, const string &method, const string &path,
                       const string &body = "", int timeoutMs = 3000)
{
    Message answer = call(node.ip(), Node::callerPort, method, path, "jobs.example", body,
                          timeoutMs);
    g_record.line("%s %s %s -> %d %s", node.ip().c_str(), method.c_str(), path.c_str(),
                  answer.status, answer.body.c_str());
    return answer;
}
inline bool isTrouble()
{
    const char *value = getenv("TROUBLE");
    return !value || string(value) != "0";
}
inline string temporaryFolder()
{
    char folder[] = "/tmp/review2-XXXXXX";
    return mkdtemp(folder);
}
/// Addresses that other runs on this machine are unlikely to use.
inline string ipOf(int index)
{
    const int run = getpid();
    return "127." + std::to_string(100 + run / 250 % 100) + '.' + std::to_string(run % 250 + 1)
        + '.' + std::to_string(index);
}
inline const char *manifest
    = "{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":\"jobs.example\",\"pathPrefix\":\"/"
      "jobs/\",\"kind\":\"unsafe\",\"timeoutMs\":3000,\"sloMs\":1000,\"priority\":0,\"service\":"
      "\"svc\",\"maxAttempts\":3,\"stretch\":2.0}],\"services\":[{\"name\":\"svc\","
      "\"healthPath\":\"/health\",\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\"coldS\":0.0,"
      "\"coldPerS\":0.0,\"rejectsOverload\":true,\"spare\":false}],\"limits\":{\"headerBytes\":"
      "16384,\"bodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

/// A small deployment: the store, workers and three nodes.
class Site
{
public:
    struct Size
    {
        int workers = 10;
        int cores = 8;
        /// The last worker has the label `press` as well.
        bool hasPress = false;
        /// The bound `graceS` of the settings.
        string graceS = "6";
    };

    explicit Site(const Size &size)
        : m_folder(temporaryFolder())
    {
        const int port = m_store.start(ipOf(200));
        m_store.put("keyed.op", "config", manifest);
        for (int i = 0; i < size.workers; ++i) {
            std::vector<string> labels { "a", "r1-" + std::to_string(i / 5) };
            if (size.hasPress && i == size.workers - 1)
                labels.push_back("press");
            m_workers.push_back(new Worker(m_store, "i-" + std::to_string(i), ipOf(100 + i),
                                           "z-a", labels, size.cores));
            m_workers.back()->start();
        }
        for (int i = 0; i < 3; ++i) {
            m_nodes.push_back(std::make_unique<Node>(m_folder, "n" + std::to_string(i), ipOf(1 + i),
                                                     "z-a",
                                                     ipOf(200) + ':' + std::to_string(port),
                                                     size.graceS));
            m_nodes.back()->start();
        }
    }
    ~Site()
    {
        m_nodes.clear();
        for (Worker *worker : m_workers)
            worker->crash();
        const string command = "rm -rf " + m_folder;
        if (system(command.c_str()) != 0)
            g_record.line("the temporary folder is left");
    }

    /// Returns false if the nodes aren't ready in time. Afterwards one of them has had the time to
    /// reach the workers.
    bool isReady()
    {
        const auto isNodeReady = [](const auto &node) { return node->isReady(); };
        for (int i = 0; i < 100; ++i) {
            if (std::all_of(m_nodes.begin(), m_nodes.end(), isNodeReady)) {
                sleepMs(4000);
                return true;
            }
            sleepMs(100);
        }
        return false;
    }
    Store &store() { return m_store; }
    Worker &worker(int index) { return *m_workers[static_cast<std::size_t>(index)]; }
    Worker &lastWorker() { return *m_workers.back(); }
    const std::vector<Worker *> &workers() { return m_workers; }
    const std::vector<std::unique_ptr<Node>> &nodes() const { return m_nodes; }
    const Node &node(int index) const { return *m_nodes[static_cast<std::size_t>(index)]; }

private:
    string m_folder;
    Store &m_store = *new Store;
    std::vector<Worker *> m_workers;
    std::vector<std::unique_ptr<Node>> m_nodes;
};

/// For how long each task of a job with one step was without a run, at most, after its first one
/// and from \p fromMs on.
inline std::int64_t longestAbsence(const string &job, int tasks, std::int64_t fromMs)
{
    std::int64_t longest = 0;
    for (int i = 0; i < tasks; ++i) {
        const string name = job + ".0.0." + std::to_string(i);
        std::int64_t endedAt = -1;
        std::int64_t away = 0;
        for (const RunEvent &event : g_history.events()) {
            if (event.task != name || event.kind == "noted")
                continue;
            if (event.kind == "start" && endedAt >= 0 && event.atMs >= fromMs)
                away = std::max(away, event.atMs - endedAt);
            endedAt = event.kind == "start" ? -1 : event.atMs;
        }
        if (endedAt >= 0)
            away = std::max(away, sinceStartMs() - endedAt);
        if (away > 0)
            g_record.line("task %d was without a run for up to %lld ms", i,
                          static_cast<long long>(away));
        longest = std::max(longest, away);
    }
    return longest;
}
