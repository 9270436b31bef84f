#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// A worker whose process ends and starts again under its ID and address. Its connections end with
/// the process. Runs in the thread of the test and answers renewals and starts.
class RestartingWorker
{
public:
    explicit RestartingWorker(boost::asio::io_context &context);

    std::string address() const;
    /// When the present process started, as it says itself.
    std::int64_t processStartUnixMs() const { return m_processStartUnixMs; }
    void restart();
    /// The process ends when it has received the next call, and another one starts.
    void restartOnNextCall() { restartOnCall(1); }
    /// The process ends when it has received so many further calls, and another one starts.
    void restartOnCall(int call) { m_callsUntilRestart = call; }
    /// The next call breaks its connection; the process goes on.
    void breakNextConnection() { m_breaksNextConnection = true; }
    /// The next renewal gets no answer until answerHeld() is called.
    void holdNextRenewal() { m_holdsNextRenewal = m_holdsAnswer = true; }
    void answerHeld() { m_holdsAnswer = false; }

    /// A renewal that a process has received.
    struct Renewal
    {
        std::int64_t processStartUnixMs = 0;
        std::int64_t acknowledgedEnd = 0;
        std::int64_t leaseDeadlineMs = 0;

        bool operator==(const Renewal &) const = default;
    };
    const std::vector<Renewal> &renewals() const { return m_renewals; }
    /// By start that a process has received, when that process started.
    const std::vector<std::int64_t> &starts() const { return m_starts; }

private:
    using Socket = boost::asio::ip::tcp::socket;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(std::shared_ptr<Socket> socket);
    std::string report() const;
    void note(const std::string &path, const std::string &body);

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<Socket>> m_connections;
    std::int64_t m_processStartUnixMs = 1000;
    std::vector<Renewal> m_renewals;
    std::vector<std::int64_t> m_starts;
    /// 0 if the process goes on.
    int m_callsUntilRestart = 0;
    bool m_breaksNextConnection = false;
    bool m_holdsNextRenewal = false;
    bool m_holdsAnswer = false;
};
