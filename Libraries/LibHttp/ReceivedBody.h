#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <boost/system/error_code.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

namespace Http {

/// A body of text whose room grows with what has been received. That of Beast's `string_body` is as
/// large as the announced length from the start, so that blocks which clients have filled in part
/// take up to three times their bytes.
struct ReceivedBody
{
    using value_type = std::string;

    /// The name is prescribed by Beast.
    class reader // NOLINT(readability-identifier-naming)
    {
    public:
        template<bool isRequest, class Fields>
        reader(boost::beast::http::header<isRequest, Fields> &, value_type &body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t> &length, boost::system::error_code &error)
        {
            m_length = length;
            error = {};
        }

        template<class Buffers>
        std::size_t put(const Buffers &buffers, boost::system::error_code &error)
        {
            const std::size_t bytes = boost::beast::buffer_bytes(buffers);
            makeRoom(m_body.size() + bytes);
            for (const boost::asio::const_buffer part : boost::beast::buffers_range_ref(buffers))
                m_body.append(static_cast<const char *>(part.data()), part.size());
            error = {};
            return bytes;
        }

        void finish(boost::system::error_code &error) { error = {}; }

    private:
        void makeRoom(std::size_t bytes)
        {
            if (bytes <= m_body.capacity())
                return;
            std::size_t room = std::max(bytes, 2 * m_body.capacity());
            if (m_length)
                room = std::min(room, std::max(bytes, static_cast<std::size_t>(*m_length)));
            m_body.reserve(room);
        }

        value_type &m_body;
        boost::optional<std::uint64_t> m_length;
    };
};

} // namespace Http
