#pragma once

#include <LibCore/Time.h>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <json/value.h>

#include <string>

namespace Daemon {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// The header fields that callers and entry VMs use; docs/operators/REQUESTS.md describes them.
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

/// The text of a header field; empty if it is missing.
std::string fieldText(const boost::beast::http::fields &fields, const std::string &name);

/// Copies the header fields that concern the whole way, not just one connection of it.
void copyEndToEndFields(const boost::beast::http::fields &from, boost::beast::http::fields &to);

HttpResponse textResponse(boost::beast::http::status status, const std::string &text);
HttpResponse jsonResponse(boost::beast::http::status status, const Json::Value &value);
/// An error as JSON: `{"error": message}`.
HttpResponse errorResponse(boost::beast::http::status status, const std::string &message);

/// The final answer to a request that certainly hasn't run, with when to come back.
HttpResponse notRunResponse(const std::string &reason, Core::Duration retryAfter);
/// The final answer to a request that may have run.
HttpResponse unknownResponse(const std::string &reason);

} // namespace Daemon
