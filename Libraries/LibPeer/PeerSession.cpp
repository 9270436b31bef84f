#include "PeerSession.h"

#include "PeerLimits.h"

#include <LibCore/Error.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace Peer {

namespace asio = boost::asio;
using boost::system::error_code;

PeerSession::PeerSession(asio::ip::tcp::socket socket, std::shared_ptr<PeerDispatcher> dispatcher)
    : m_stream(std::move(socket))
    , m_dispatcher(std::move(dispatcher))
{
    error_code ignored;
    m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
}

asio::awaitable<void> PeerSession::run()
{
    try {
        while (!m_isStopping && co_await receive()) {
            while (const std::optional<std::string> frame = m_frames.takeFrame()) {
                if (m_isStopping || !co_await writeResponse(m_dispatcher->handle(*frame)))
                    co_return;
            }
        }
    } catch (const std::exception &) {
        // The message is malformed. Its sender doesn't follow the protocol, so the connection is
        // closed.
    }
    error_code ignored;
    m_stream.socket().close(ignored);
}

asio::awaitable<bool> PeerSession::receive()
{
    error_code error;
    std::array<char, readChunkBytes> chunk;
    m_stream.expires_after(serverIoTimeout);
    const std::size_t length = co_await m_stream.async_read_some(
        asio::buffer(chunk), asio::redirect_error(asio::use_awaitable, error));
    m_frames.append({ chunk.data(), length });
    co_return !error;
}

asio::awaitable<bool> PeerSession::writeResponse(std::string text)
{
    if (text.empty())
        co_return true;
    text += '\n';
    error_code error;
    m_isWriting = true;
    m_stream.expires_after(serverIoTimeout);
    co_await asio::async_write(m_stream, asio::buffer(text),
                               asio::redirect_error(asio::use_awaitable, error));
    m_isWriting = false;
    co_return !error;
}

void PeerSession::stop()
{
    m_isStopping = true;
    if (!m_isWriting)
        m_stream.cancel();
}

} // namespace Peer
