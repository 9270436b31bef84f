#pragma once

#include <json/value.h>

#include <cstdint>
#include <string>

namespace Control {

/// A daemon's response to an HTTP request.
struct DaemonAnswer
{
    unsigned status = 0;
    /// The body; null if it isn't JSON.
    Json::Value body;
    std::string outcome;

    bool operator==(const DaemonAnswer &) const = default;
};

/// Sends HTTP requests to one daemon.
class DaemonClient
{
public:
    DaemonClient(std::string address, std::uint16_t port);

    /// \throws Core::NotDoneError if nothing was sent, and Core::OutcomeUnknownError if no response
    /// arrived.
    DaemonAnswer get(const std::string &target) const;
    DaemonAnswer post(const std::string &target, const Json::Value &body) const;
    DaemonAnswer remove(const std::string &target) const;

private:
    DaemonAnswer call(const std::string &method, const std::string &target,
                      const std::string &body) const;
    std::string peerName() const;

    std::string m_address;
    std::uint16_t m_port;
};

} // namespace Control
