#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>
#include <cstddef>

namespace Http {

/// Sizes a connection's buffer for one incoming message.
///
/// A read takes at most as many bytes as the buffer has room for, and each read costs a turn of the
/// event loop. The room grows with what has arrived, so that a peer that only announces a long body
/// occupies no memory, and is given back after the message, so that idle connections hold none.
class ReceiveBuffer
{
public:
    /// \p maxRoom bounds the room in bytes.
    ReceiveBuffer(boost::beast::flat_buffer &buffer, std::size_t maxRoom)
        : m_buffer(buffer)
        , m_maxRoom(maxRoom)
    {
    }
    ReceiveBuffer(const ReceiveBuffer &) = delete;
    ReceiveBuffer &operator=(const ReceiveBuffer &) = delete;
    ~ReceiveBuffer() { m_buffer.shrink_to_fit(); }

    /// Makes room for the next read of the message that \p parser parses.
    template<bool isRequest>
    void makeRoom(const boost::beast::http::basic_parser<isRequest> &parser)
    {
        std::size_t room = m_room;
        if (parser.is_header_done()) {
            const auto remaining = parser.content_length_remaining();
            if (remaining)
                room = static_cast<std::size_t>(std::min<std::uint64_t>(room, *remaining));
        }
        m_buffer.reserve(m_buffer.size() + room);
        m_room = std::min(2 * m_room, m_maxRoom);
    }

private:
    /// Enough for a header with a short body.
    static constexpr std::size_t initialRoom = 1024;

    boost::beast::flat_buffer &m_buffer;
    std::size_t m_maxRoom;
    std::size_t m_room = initialRoom;
};

} // namespace Http
