#include "FrameBuffer.h"

#include "PeerLimits.h"

#include <LibCore/Error.h>

namespace Peer {

void FrameBuffer::append(std::string_view bytes)
{
    m_bytes.erase(0, m_taken);
    m_searched -= m_taken;
    m_taken = 0;
    m_bytes.append(bytes);
}

std::optional<std::string> FrameBuffer::takeFrame()
{
    const std::size_t end = m_bytes.find('\n', m_searched);
    const std::size_t length = (end == std::string::npos ? m_bytes.size() : end) - m_taken;
    if (length > maximumFrameBytes)
        throw Core::FormatError("read message", "peer", "the message is too long");
    if (end == std::string::npos) {
        m_searched = m_bytes.size();
        return std::nullopt;
    }
    std::string frame = m_bytes.substr(m_taken, length);
    m_taken = end + 1;
    m_searched = m_taken;
    return frame;
}

} // namespace Peer
