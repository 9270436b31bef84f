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
/// the process. Runs in the thread of the test and answers renewals only.
class RestartingWorker
{
public:
    explicit RestartingWorker(boost::asio::io_context &context);

    std::string address() const;
    /// When the present process started, as it says itself.
    std::int64_t processStartUnixMs() const { return m_processStartUnixMs; }
    void restart();
    /// The process ends when it has received the next renewal, and another one starts.
    void restartOnNextRenewal() { m_restartsOnNextRenewal = true; }
    /// The next renewal gets no answer until answerHeld() is called.
    void holdNextRenewal() { m_holdsNextRenewal = m_holdsAnswer = true; }
    void answerHeld() { m_holdsAnswer = false; }

    /// A renewal that a process has received.
    struct Renewal
    {
        std::int64_t processStartUnixMs = 0;
        std::int64_t acknowledgedEnd = 0;

        bool operator==(const Renewal &) const = default;
    };
    const std::vector<Renewal> &renewals() const { return m_renewals; }

private:
    using Socket = boost::asio::ip::tcp::socket;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(std::shared_ptr<Socket> socket);
    std::string report() const;

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<Socket>> m_connections;
    std::int64_t m_processStartUnixMs = 1000;
    std::vector<Renewal> m_renewals;
    bool m_restartsOnNextRenewal = false;
    bool m_holdsNextRenewal = false;
    bool m_holdsAnswer = false;
};
