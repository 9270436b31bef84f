#include "HttpMessages.h"

#include <LibCore/Json.h>

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>

namespace Daemon {

namespace http = boost::beast::http;

static constexpr std::array connectionFields
    = { http::field::connection,     http::field::keep_alive,       http::field::transfer_encoding,
        http::field::content_length, http::field::upgrade,          http::field::te,
        http::field::trailer,        http::field::proxy_connection, http::field::host };

std::string fieldText(const http::fields &fields, const std::string &name)
{
    const auto found = fields.find(name);
    if (found == fields.end())
        return {};
    return std::string(found->value());
}

void copyEndToEndFields(const http::fields &from, http::fields &to)
{
    for (const auto &field : from) {
        const bool isOfConnection
            = std::find(connectionFields.begin(), connectionFields.end(), field.name())
            != connectionFields.end();
        if (!isOfConnection)
            to.insert(field.name_string(), field.value());
    }
}

HttpResponse textResponse(http::status status, const std::string &text)
{
    HttpResponse response(status, 11);
    response.set(http::field::content_type, "text/plain; charset=utf-8");
    response.body() = text;
    response.prepare_payload();
    return response;
}

HttpResponse jsonResponse(http::status status, const Json::Value &value)
{
    HttpResponse response = textResponse(status, Core::Json::write(value) + '\n');
    response.set(http::field::content_type, "application/json");
    return response;
}

HttpResponse errorResponse(http::status status, const std::string &message)
{
    Json::Value value(Json::objectValue);
    value["error"] = message;
    return jsonResponse(status, value);
}

HttpResponse notRunResponse(const std::string &reason, Core::Duration retryAfter)
{
    HttpResponse response = errorResponse(http::status::service_unavailable, "not run: " + reason);
    response.set(Field::outcome, "not-run");
    response.set(Field::reason, reason);
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter).count();
    response.set(http::field::retry_after, std::to_string(std::max<std::int64_t>(seconds, 1)));
    return response;
}

HttpResponse unknownResponse(const std::string &reason)
{
    HttpResponse response
        = errorResponse(http::status::gateway_timeout, "outcome unknown: " + reason);
    response.set(Field::outcome, "unknown");
    response.set(Field::reason, reason);
    return response;
}

} // namespace Daemon
