#include "ExecutionCheck.h"

#include "EntryVmClient.h"

#include <LibCore/Error.h>
#include <LibCore/Json.h>
#include <LibCore/SteadyClock.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

namespace Load {

namespace asio = boost::asio;

static constexpr Core::Duration controlTimeLimit = std::chrono::seconds(5);

/// Number of executions by request ID.
using Counts = std::map<std::string, int>;

static void addCounts(Counts &counts, const asio::ip::tcp::endpoint &control)
{
    asio::io_context context;
    EntryVmClient client(context.get_executor(), control);
    EntryVmRequest request { "GET", "/control/executions", {}, {} };
    auto pending = asio::co_spawn(
        context, client.call(std::move(request), Core::steadyNow() + controlTimeLimit),
        asio::use_future);
    context.run();
    const Json::Value executions = Core::Json::parse(pending.get().body, "backend stand-in");
    for (const std::string &id : executions.getMemberNames())
        counts[id] += executions[id].asInt();
}

Json::Value checkExecutions(const std::vector<RequestResult> &results,
                            const std::vector<asio::ip::tcp::endpoint> &controls)
{
    Counts counts;
    for (const auto &control : controls)
        addCounts(counts, control);
    int notRunButRan = 0;
    int answeredButNeverRan = 0;
    int ranMoreThanOnce = 0;
    for (const RequestResult &result : results) {
        const auto found = counts.find(result.id);
        const int executions = found == counts.end() ? 0 : found->second;
        const bool isPromisedNotRun = result.ending == Ending::NotRun
            || result.ending == Ending::NoEntryVm || result.ending == Ending::NotSent;
        notRunButRan += isPromisedNotRun && executions > 0 ? 1 : 0;
        answeredButNeverRan += result.ending == Ending::Answered && executions == 0 ? 1 : 0;
        ranMoreThanOnce += !result.isIdempotent && executions > 1 ? 1 : 0;
    }
    Json::Value value;
    value["notRunButRan"] = notRunButRan;
    value["answeredButNeverRan"] = answeredButNeverRan;
    value["nonIdempotentRanMoreThanOnce"] = ranMoreThanOnce;
    value["total"] = notRunButRan + answeredButNeverRan + ranMoreThanOnce;
    return value;
}

} // namespace Load
