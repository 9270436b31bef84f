#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Peer {

/// Splits a byte stream into messages that are terminated by a newline.
class FrameBuffer
{
public:
    /// Appends received bytes.
    void append(std::string_view bytes);

    /// Removes and returns the next complete message, if there is one.
    /// \throws Core::FormatError if the message is larger than maximumFrameBytes.
    std::optional<std::string> takeFrame();

private:
    std::string m_bytes;
    /// The number of bytes at the front that belong to messages already taken.
    std::size_t m_consumed = 0;
    /// The position up to which there is no newline after the consumed bytes.
    std::size_t m_searchedEnd = 0;
};

} // namespace Peer
