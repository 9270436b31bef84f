#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

/// Many workers behind one socket, each with its own loopback address. They run in the thread of
/// the test.
class LoopbackWorkers
{
public:
    explicit LoopbackWorkers(boost::asio::io_context &context);

    /// IP address and port of worker \p index, counted from 0.
    std::string address(std::size_t index) const;
    /// Each worker whose index is a multiple of \p interval gets no answer from now on; 0 for none.
    void silenceEach(std::size_t interval) { m_silentInterval = interval; }

    /// All workers answer every call with this body.
    void answerWith(std::string body) { m_body = std::move(body); }
    /// All workers answer every call with this status and an empty body.
    void answerWithStatus(unsigned status) { m_status = status; }

    /// The process's open connections to the workers, without the workers' own ends of them.
    std::size_t openConnections() const;

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    bool isSilent(const boost::asio::ip::address &address) const;

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::size_t m_silentInterval = 0;
    unsigned m_status = 0;
    std::string m_body;
};
