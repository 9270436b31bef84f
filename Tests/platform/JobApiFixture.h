#pragma once

#include "JobApiHandler.h"
#include "PlatformRecordDecoder.h"

#include <LibCore/Json.h>
#include <LibSite/QueueResolver.h>
#include <LibSite/SiteFixture.h>

#include <boost/beast/http/field.hpp>
#include <json/value.h>

#include <string>
#include <thread>
#include <vector>

namespace http = boost::beast::http;

inline const std::string jobId = "5c0e7a21d94b36f8";

/// A node that follows an in-memory store, with the handler of callers' requests.
struct JobApiFixture : SiteFixture
{
    explicit JobApiFixture(const SiteSettings &settings
                           = { "one#1", {}, {}, std::chrono::seconds(2) })
        : node(settings, context, log, workers, platformDecoder)
        , queueResolver(node.state, node.operators)
        , handler(node.state, queueResolver, node.jobRequests)
    {
        asio::co_spawn(context, node.jobs.run(), asio::detached);
        asio::co_spawn(context, node.operators.run(), asio::detached);
    }

    /// A version of the catalogue with one queue for each path prefix, as the platform writes it.
    static Json::Value makeCatalogue(int version, const std::vector<std::string> &prefixes)
    {
        Json::Value catalogue(Json::objectValue);
        catalogue["version"] = version;
        for (const std::string &prefix : prefixes) {
            Json::Value &route = catalogue["routes"].append(Json::Value(Json::objectValue));
            route["name"] = prefix;
            route["host"] = "h.example";
            route["pathPrefix"] = prefix;
            route["service"] = "s";
            route["priority"] = 0;
            route["maxAttempts"] = 3;
            route["stretch"] = 1.5;
            route["sloMs"] = 250;
        }
        catalogue["services"][0]["name"] = "s";
        catalogue["services"][0]["rejectsOverload"] = true;
        catalogue["limits"]["headerBytes"] = 16384;
        catalogue["limits"]["bodyBytes"] = 262144;
        catalogue["limits"]["headerTimeoutMs"] = 3000;
        catalogue["limits"]["idleTimeoutMs"] = 15000;
        return catalogue;
    }
    void publish(const Json::Value &catalogue)
    {
        log.put(Topic::Operators, { "config", Core::Json::write(catalogue) });
    }
    void publish(int version, const std::vector<std::string> &prefixes)
    {
        publish(makeCatalogue(version, prefixes));
    }
    Http::ServerResponse call(http::verb method, const std::string &target,
                              const std::string &body = "",
                              const std::vector<std::string> &authorizations = {})
    {
        Http::ServerRequest request(method, target, 11);
        request.set(http::field::host, "h.example");
        request.set(http::field::content_type, "application/json");
        for (const std::string &authorization : authorizations)
            request.insert(http::field::authorization, authorization);
        request.body() = body;
        return await(handler.answer(std::move(request)));
    }
    /// Simulates a suspended VM: time passes, but the node runs nothing.
    static void suspendVm(int ms) { std::this_thread::sleep_for(milliseconds(ms)); }
    /// The status of the response to a count of waiting jobs.
    unsigned count(const std::string &queue) { return call(http::verb::get, queue).result_int(); }
    Http::ServerResponse submit(const std::string &queue,
                                const std::vector<std::string> &authorizations = {})
    {
        return call(http::verb::post, queue + jobId,
                    R"({"spec":"text","steps":[{"count":1,"cpu":500,"memMb":256}]})",
                    authorizations);
    }

    Adapter::PlatformRecordDecoder platformDecoder;
    TestNode node;
    QueueResolver queueResolver;
    Adapter::JobApiHandler handler;
};
