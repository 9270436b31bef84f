#pragma once

#include <LibLease/LeaseMessages.h>

#include <json/value.h>

namespace Lease {

/// Encodes the messages between entry VMs as JSON: the parameters and the result of the JSON-RPC
/// method \c methodName.
class LeaseMessageCodec
{
public:
    static constexpr const char *methodName = "lease.renew";
    /// Requests for a longer promise are rejected, because such a promise could leave a failure
    /// domain without a placer.
    static constexpr Core::Duration maximumLeaseLength = std::chrono::minutes(1);

    static Json::Value encode(const PromiseRequest &request);
    static Json::Value encode(const PromiseResponse &response);

    /// \throws Core::FormatError if the message is malformed.
    static PromiseRequest decodeRequest(const Json::Value &value);
    /// \throws Core::FormatError if the message is malformed.
    static PromiseResponse decodeResponse(const Json::Value &value);
};

} // namespace Lease
