#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Peer {

/// Cuts a stream of bytes into messages, each ended by a newline.
class FrameBuffer
{
public:
    /// Adds received bytes.
    void append(std::string_view bytes);

    /// Takes the next whole message, if there is one.
    /// \throws Core::FormatError if a message is larger than maximumFrameBytes.
    std::optional<std::string> takeFrame();

private:
    std::string m_bytes;
    /// How many bytes at the front were taken already.
    std::size_t m_taken = 0;
    /// Up to where no newline was found.
    std::size_t m_searched = 0;
};

} // namespace Peer
