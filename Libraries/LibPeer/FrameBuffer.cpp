#include "FrameBuffer.h"

#include "PeerLimits.h"

#include <LibCore/Error.h>

namespace Peer {

void FrameBuffer::append(std::string_view bytes)
{
    m_bytes.erase(0, m_consumed);
    m_searchedEnd -= m_consumed;
    m_consumed = 0;
    m_bytes.append(bytes);
}

std::optional<std::string> FrameBuffer::takeFrame()
{
    const std::size_t end = m_bytes.find('\n', m_searchedEnd);
    const std::size_t length = (end == std::string::npos ? m_bytes.size() : end) - m_consumed;
    if (length > maximumFrameBytes)
        throw Core::FormatError("read message", "peer", "the message is too long");
    if (end == std::string::npos) {
        m_searchedEnd = m_bytes.size();
        return std::nullopt;
    }
    std::string frame = m_bytes.substr(m_consumed, length);
    m_consumed = end + 1;
    m_searchedEnd = m_consumed;
    return frame;
}

} // namespace Peer
