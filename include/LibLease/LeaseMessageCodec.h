#pragma once

#include <LibLease/LeaseMessages.h>

#include <json/value.h>

namespace Lease {

/// The JSON form of the messages between entry VMs: parameters and result of the JSON-RPC method
/// \c methodName.
class LeaseMessageCodec
{
public:
    static constexpr const char *methodName = "lease.renew";
    /// A request for a longer promise is malformed: it could keep a domain without a placer.
    static constexpr Core::Duration maximumLeaseLength = std::chrono::minutes(1);

    static Json::Value encode(const PromiseRequest &request);
    static Json::Value encode(const PromiseResponse &answer);

    /// \throws Core::FormatError if the message is malformed.
    static PromiseRequest decodeRequest(const Json::Value &value);
    /// \throws Core::FormatError if the message is malformed.
    static PromiseResponse decodeResponse(const Json::Value &value);
};

} // namespace Lease
