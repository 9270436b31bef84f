/// A small blocking HTTP/1.1 server and client for loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace StandIn {

using Clock = std::chrono::steady_clock;

struct Request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

struct Response
{
    /// 0: no answer, and the connection ends.
    int status = 200;
    std::string body;
};

inline sockaddr_in socketAddress(const std::string &ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline std::string decodePercent(const std::string &text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

/// Reads one message: the first line, the headers and a body of the announced length. Returns false
/// at the end of the connection.
inline bool readMessage(int fd, std::string &buffer, std::string &firstLine,
                        std::map<std::string, std::string> &headers, std::string &body)
{
    const auto readMore = [&] {
        char bytes[65536];
        const ssize_t count = recv(fd, bytes, sizeof bytes, 0);
        if (count <= 0)
            return false;
        buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!readMore())
            return false;
    }
    const std::string head = buffer.substr(0, end);
    buffer.erase(0, end + 4);
    std::size_t position = head.find("\r\n");
    firstLine = head.substr(0, position);
    headers.clear();
    while (position != std::string::npos) {
        const std::size_t begin = position + 2;
        position = head.find("\r\n", begin);
        const std::string line = head.substr(begin, position - begin);
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::string name = line.substr(0, colon);
        for (char &letter : name)
            letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ')
            ++value;
        headers[name] = line.substr(value);
    }
    std::size_t length = 0;
    if (headers.contains("content-length"))
        length = std::stoul(headers["content-length"]);
    while (buffer.size() < length) {
        if (!readMore())
            return false;
    }
    body = buffer.substr(0, length);
    buffer.erase(0, length);
    return true;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/// Serves each connection on a thread of its own. `stop()` is what the end of a process looks like
/// from outside: the port is closed and all connections are reset.
class HttpServer
{
public:
    using Handler = std::function<Response(const Request &)>;

    ~HttpServer()
    {
        m_isOver = true;
        stop();
    }

    /// \p port 0 picks a free one.
    void start(const std::string &ip, int port, Handler handler)
    {
        m_handler = std::move(handler);
        m_isStopping = false;
        m_listener = socket(AF_INET, SOCK_STREAM, 0);
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address = socketAddress(ip, port);
        if (bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
            || listen(m_listener, 256) != 0)
            throw std::runtime_error("can't listen on " + ip + ": " + std::strerror(errno));
        socklen_t size = sizeof address;
        getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
        m_acceptor = std::thread([this] { acceptConnections(); });
    }

    void stop()
    {
        if (!m_acceptor.joinable())
            return;
        m_isStopping = true;
        m_acceptor.join();
        close(m_listener);
        {
            const std::lock_guard lock(m_mutex);
            for (const int fd : m_connections) {
                reset(fd);
                shutdown(fd, SHUT_RDWR);
            }
        }
        while (m_active > 0)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }

    /// Closes the port, but leaves all connections open and silent, like a machine that has lost
    /// power. After the next `start()` they are reset when something arrives on them.
    void goDark()
    {
        m_isStopping = true;
        m_acceptor.join();
        close(m_listener);
        ++m_generation;
    }

    int port() const { return m_port; }

private:
    /// How long a connection of a dark server stays open.
    static constexpr int darkMs = 8000;

    void acceptConnections()
    {
        while (!m_isStopping) {
            pollfd waiting { m_listener, POLLIN, 0 };
            if (poll(&waiting, 1, 5) <= 0)
                continue;
            const int fd = accept(m_listener, nullptr, nullptr);
            if (fd < 0)
                continue;
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::lock_guard lock(m_mutex);
                m_connections.insert(fd);
            }
            ++m_active;
            const int generation = m_generation;
            std::thread([this, fd, generation] { serve(fd, generation); }).detach();
        }
    }

    void serve(int fd, int generation)
    {
        std::string buffer;
        std::string firstLine;
        Request request;
        while (readMessage(fd, buffer, firstLine, request.headers, request.body)) {
            if (generation != m_generation) {
                while (m_isStopping && !m_isOver)
                    std::this_thread::sleep_for(std::chrono::milliseconds(5));
                reset(fd);
                break;
            }
            if (m_isStopping)
                break;
            parseFirstLine(firstLine, request);
            const Response response = m_handler(request);
            if (generation != m_generation) {
                for (int waited = 0; waited < darkMs && !m_isOver; waited += 10)
                    std::this_thread::sleep_for(std::chrono::milliseconds(10));
                break;
            }
            if (m_isStopping || response.status == 0)
                break;
            const std::string head = "HTTP/1.1 " + std::to_string(response.status)
                + " X\r\nContent-Type: application/json\r\nContent-Length: "
                + std::to_string(response.body.size()) + "\r\n\r\n";
            if (!sendAll(fd, head + response.body))
                break;
        }
        {
            const std::lock_guard lock(m_mutex);
            m_connections.erase(fd);
            close(fd);
        }
        --m_active;
    }

    static void reset(int fd)
    {
        const linger discard { 1, 0 };
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
    }

    static void parseFirstLine(const std::string &line, Request &request)
    {
        const std::size_t first = line.find(' ');
        const std::size_t second = line.find(' ', first + 1);
        request.method = line.substr(0, first);
        std::string target = line.substr(first + 1, second - first - 1);
        const std::size_t question = target.find('?');
        request.path = target.substr(0, question);
        request.query.clear();
        while (question != std::string::npos && question + 1 < target.size()) {
            target = target.substr(target.find('?') + 1);
            std::size_t begin = 0;
            while (begin <= target.size()) {
                std::size_t end = target.find('&', begin);
                if (end == std::string::npos)
                    end = target.size();
                const std::string pair = target.substr(begin, end - begin);
                const std::size_t equals = pair.find('=');
                if (equals != std::string::npos)
                    request.query[pair.substr(0, equals)] = decodePercent(pair.substr(equals + 1));
                begin = end + 1;
            }
            break;
        }
    }

    Handler m_handler;
    std::thread m_acceptor;
    std::atomic<bool> m_isStopping { false };
    std::atomic<bool> m_isOver { false };
    std::atomic<int> m_generation { 0 };
    std::atomic<int> m_active { 0 };
    int m_listener = -1;
    int m_port = 0;
    std::mutex m_mutex;
    std::set<int> m_connections;
};

/// Sends one request on a new connection. Status 0: no answer in time.
inline Response call(const std::string &ip, int port, const std::string &method,
                     const std::string &path, const std::string &host, const std::string &body,
                     int timeoutMs)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const timeval timeout { timeoutMs / 1000, (timeoutMs % 1000) * 1000 };
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    sockaddr_in address = socketAddress(ip, port);
    Response response;
    response.status = 0;
    if (connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0) {
        const std::string message = method + ' ' + path + " HTTP/1.1\r\nHost: " + host
            + "\r\nContent-Type: application/json\r\nX-Deadline-Ms: " + std::to_string(timeoutMs)
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        std::string buffer;
        std::string firstLine;
        std::map<std::string, std::string> headers;
        if (sendAll(fd, message) && readMessage(fd, buffer, firstLine, headers, response.body))
            response.status = std::stoi(firstLine.substr(firstLine.find(' ') + 1));
    }
    close(fd);
    return response;
}

} // namespace StandIn
