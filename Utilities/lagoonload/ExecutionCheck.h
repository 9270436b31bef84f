#pragma once

#include "Recorder.h"

#include <boost/asio/ip/tcp.hpp>

namespace Load {

/// Compares the outcomes that callers got with the executions that the backend servers' stand-ins
/// report at their control ports. The result has `total` and the count of each kind of
/// contradiction. \throws Core::Error if a stand-in can't be reached.
Json::Value checkExecutions(const std::vector<RequestResult> &results,
                            const std::vector<boost::asio::ip::tcp::endpoint> &controls);

} // namespace Load
