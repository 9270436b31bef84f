#pragma once

#include "Recorder.h"

#include <boost/asio/ip/tcp.hpp>

namespace Load {

/// Compares what callers were told with what the backend servers' stand-ins say they executed,
/// read from their control ports. The value has `total` and the count of each kind of untruth.
/// \throws Core::Error if a stand-in can't be asked.
Json::Value checkExecutions(const std::vector<RequestResult> &results,
                            const std::vector<boost::asio::ip::tcp::endpoint> &controls);

} // namespace Load
