#pragma once

#include <LibCore/Time.h>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <json/value.h>

#include <string>

namespace Daemon {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// Header fields between callers and entry VMs; see docs/operators/REQUESTS.md.
namespace Field {
inline constexpr const char *team = "Lagoonford-Team";
inline constexpr const char *deadlineMs = "Lagoonford-Deadline-Ms";
inline constexpr const char *requestId = "Lagoonford-Request-Id";
inline constexpr const char *idempotent = "Lagoonford-Idempotent";
inline constexpr const char *outcome = "Lagoonford-Outcome";
inline constexpr const char *reason = "Lagoonford-Reason";
inline constexpr const char *spilled = "Lagoonford-Spilled";
inline constexpr const char *key = "Idempotency-Key";
} // namespace Field

/// Returns the value of a header field; empty if it is missing.
std::string fieldText(const boost::beast::http::fields &fields, const std::string &name);

/// Copies the end-to-end header fields, but not the hop-by-hop ones (RFC 9110, section 7.6.1).
void copyEndToEndFields(const boost::beast::http::fields &from, boost::beast::http::fields &to);

HttpResponse textResponse(boost::beast::http::status status, const std::string &text);
HttpResponse jsonResponse(boost::beast::http::status status, const Json::Value &value);
/// Returns an error as JSON: `{"error": message}`.
HttpResponse errorResponse(boost::beast::http::status status, const std::string &message);

/// Returns the answer to a request that certainly hasn't run, with Retry-After.
HttpResponse notRunResponse(const std::string &reason, Core::Duration retryAfter);
/// Returns the answer to a request that may have run.
HttpResponse unknownResponse(const std::string &reason);

} // namespace Daemon
