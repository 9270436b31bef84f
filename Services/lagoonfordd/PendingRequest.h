#pragma once

#include "HttpMessages.h"
#include <LibSupervision/Wakeup.h>

#include <LibRouting/Outcome.h>
#include <LibRouting/RequestInfo.h>

#include <map>
#include <optional>

namespace Daemon {

/// A caller's request that has no final answer yet.
struct PendingRequest
{
    PendingRequest(const boost::asio::any_io_executor &executor, Routing::RequestInfo requestInfo,
                   HttpRequest request)
        : info(std::move(requestInfo))
        , http(std::move(request))
        , finished(executor)
    {
    }

    Routing::RequestInfo info;
    HttpRequest http;
    /// Whole answers by attempt number, until the router decides which one the caller gets.
    std::map<int, HttpResponse> answers;
    std::optional<Routing::Outcome> outcome;
    Supervision::Wakeup finished;
};

} // namespace Daemon
