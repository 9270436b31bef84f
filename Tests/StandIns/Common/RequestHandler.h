#pragma once

#include "Common/Faults.h"
#include "Common/Http.h"

#include <utility>

#include <boost/asio/awaitable.hpp>

#include <cstddef>

namespace StandIn {

/// Handles the requests of a server.
class RequestHandler
{
public:
    RequestHandler() = default;
    RequestHandler(const RequestHandler &) = delete;
    RequestHandler &operator=(const RequestHandler &) = delete;
    virtual ~RequestHandler() = default;

    /// A Core::FormatError results in status 400.
    virtual boost::asio::awaitable<Reply> handle(Request request) = 0;

    /// Returns the faults that apply to \p request.
    virtual Faults faultsFor(const Request & /*request*/) { return {}; }

    /// Called with the number of open connections whenever it changes.
    virtual void connectionsChanged(std::size_t /*open*/) { }
};

} // namespace StandIn
