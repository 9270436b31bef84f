#pragma once

#include <stdexcept>
#include <string>

namespace Core {

/// The base of all exceptions of this project: the reason, the operation and the peer.
class Error : public std::runtime_error
{
public:
    /// \p step names the operation, such as "append"; \p peer the VM, address, file or stream.
    Error(std::string step, std::string peer, const std::string &reason);

    const std::string &step() const { return m_step; }
    const std::string &peer() const { return m_peer; }

private:
    std::string m_step;
    std::string m_peer;
};

/// The peer sent no answer before the deadline, or the connection broke after bytes were sent.
/// The operation may or may not have taken effect.
class OutcomeUnknownError : public Error
{
public:
    using Error::Error;
};

/// The operation certainly had no effect: nothing was sent, or the peer refused it.
class NotDoneError : public Error
{
public:
    using Error::Error;
};

/// A text or message that doesn't follow its format.
class FormatError : public Error
{
public:
    using Error::Error;
};

} // namespace Core
