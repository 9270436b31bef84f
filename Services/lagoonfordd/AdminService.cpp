#include <utility>

#include "AdminService.h"

#include <LibLog/Logging.h>

#include <LibCore/Error.h>
#include <LibCore/Json.h>
#include <LibCore/SteadyClock.h>
#include <LibLease/LeaseRecordCodec.h>
#include <LibRules/RulesError.h>
#include <LibRules/RulesParser.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Daemon {

namespace asio = boost::asio;
namespace http = boost::beast::http;

static constexpr Core::Duration appendTimeout = std::chrono::seconds(2);
static constexpr Core::Duration outcomeTimeout = std::chrono::seconds(4);
/// How long a publication waits for the entry VMs. One that hasn't received the version by then
/// starts no further task, since its rules aren't fresh any more.
static constexpr Core::Duration inForceTimeout = std::chrono::seconds(3);
static constexpr Core::Duration checkInterval = std::chrono::milliseconds(50);
static const auto partLogger = Log::logger("admin");

AdminService::AdminService(Node &node)
    : m_node(node)
{
}

HttpResponse AdminService::status() const
{
    const Core::Instant now = Core::steadyNow();
    Json::Value value = m_node.ownState(now).toJson();
    value["ready"] = m_node.isReady(now);
    value["member"] = m_node.membership().isMember(now);
    value["epoch"] = Json::UInt64(m_node.lease().epoch());
    value["rulesFresh"] = m_node.freshness().isFresh(now);
    const auto holder = m_node.lease().recordedHolder();
    value["holder"] = holder ? holder->vm.text() : "";
    Json::Value peers(Json::arrayValue);
    for (const auto &[id, peerState] : m_node.peerStates()) {
        Json::Value peer = peerState.state.toJson();
        peer["inReach"] = m_node.isReachable(peerState, now);
        peers.append(peer);
    }
    value["peers"] = peers;
    Json::Value out(Json::objectValue);
    for (const auto &[domain, rule] : m_node.ruleReplica().current().rules.domainsOut)
        out[domain.text()] = rule.requestedBy;
    value["domainsOut"] = out;
    return jsonResponse(http::status::ok, value);
}

HttpResponse AdminService::showRules() const
{
    const Rules::RuleVersion &current = m_node.ruleReplica().current();
    Json::Value value(Json::objectValue);
    value["version"] = Json::UInt64(current.number);
    value["text"] = current.text;
    value["by"] = current.publishedBy;
    return jsonResponse(http::status::ok, value);
}

asio::awaitable<HttpResponse> AdminService::publishRules(HttpRequest request)
{
    Rules::RuleRecord record;
    std::string formatError;
    try {
        const Json::Value body = Core::Json::parse(request.body(), "the body");
        record.text = Core::Json::stringMember(body, "text");
        record.publishedBy = Core::Json::stringMember(body, "by");
        const std::int64_t base = Core::Json::integerMember(body, "base");
        if (base < 0)
            throw Core::FormatError("publish rules", "base", "the number is negative");
        record.baseVersion = static_cast<Rules::Version>(base);
        Rules::parseRules(record.text, "rules");
    } catch (const Core::FormatError &error) {
        formatError = error.what();
    }
    if (!formatError.empty())
        co_return errorResponse(http::status::bad_request, formatError);
    record.id = m_node.makeId("change");
    bool isInDoubt = false;
    try {
        std::vector<std::string> bodies;
        bodies.push_back(Core::Json::write(record.toJson()));
        co_await m_node.log().append(rulesStream, std::move(bodies),
                                     Core::steadyNow() + appendTimeout);
    } catch (const Core::NotDoneError &error) {
        LOG4CXX_WARN(partLogger, "change not recorded: " << error.what());
        co_return notRunResponse("the platform's log can't be reached", std::chrono::seconds(2));
    } catch (const Core::Error &error) {
        LOG4CXX_WARN(partLogger, "change in doubt: " << error.what());
        isInDoubt = true;
    }
    const Rules::PublishOutcome outcome
        = co_await awaitOutcome(record.id, Core::steadyNow() + outcomeTimeout);
    if (outcome == Rules::PublishOutcome::Pending)
        co_return unknownResponse(isInDoubt ? "the log gave no answer; the change may still land"
                                            : "recorded, but not read back yet");
    Json::Value answer(Json::objectValue);
    const Rules::RuleVersion &current = m_node.ruleReplica().current();
    if (outcome == Rules::PublishOutcome::Rejected) {
        answer["error"] = "another change came first";
        answer["version"] = Json::UInt64(current.number);
        answer["by"] = current.publishedBy;
        answer["text"] = current.text;
        co_return jsonResponse(http::status::conflict, answer);
    }
    answer["version"] = Json::UInt64(record.baseVersion + 1);
    LOG4CXX_INFO(partLogger,
                 "version " << record.baseVersion + 1 << " accepted, by " << record.publishedBy);
    co_await awaitInForce(record.baseVersion + 1, answer);
    co_return jsonResponse(http::status::ok, answer);
}

asio::awaitable<Rules::PublishOutcome> AdminService::awaitOutcome(std::string recordId,
                                                                  Core::Instant deadline)
{
    asio::steady_timer timer(m_node.executor());
    while (true) {
        const Rules::PublishOutcome outcome = m_node.ruleReplica().outcome(recordId);
        if (outcome != Rules::PublishOutcome::Pending || Core::steadyNow() > deadline)
            co_return outcome;
        m_node.rulesWakeup().wake();
        timer.expires_after(checkInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> AdminService::awaitInForce(Rules::Version version, Json::Value &answer)
{
    const Core::Instant acceptedAt = Core::steadyNow();
    asio::steady_timer timer(m_node.executor());
    while (true) {
        const Core::Instant now = Core::steadyNow();
        Json::Value inForce(Json::arrayValue);
        Json::Value pending(Json::arrayValue);
        inForce.append(m_node.settings().vmId.text());
        for (const Platform::VmEntry &peer : m_node.peerVms()) {
            const auto known = m_node.peerStates().find(peer.id);
            const bool hasVersion
                = known != m_node.peerStates().end() && known->second.state.rulesVersion >= version;
            (hasVersion ? inForce : pending).append(peer.id.text());
        }
        answer["inForce"] = inForce;
        answer["pending"] = pending;
        // An entry VM that doesn't answer starts nothing once its rules aren't fresh any more.
        if (pending.empty() || now - acceptedAt > inForceTimeout)
            co_return;
        timer.expires_after(checkInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<HttpResponse> AdminService::takeOver(HttpRequest request)
{
    Lease::OperatorTakeoverRecord record;
    std::string formatError;
    try {
        const Json::Value body = Core::Json::parse(request.body(), "the body");
        record.requestedBy = Core::Json::stringMember(body, "by");
    } catch (const Core::FormatError &error) {
        formatError = error.what();
    }
    if (!formatError.empty() || record.requestedBy.empty())
        co_return errorResponse(http::status::bad_request, "the body must say by whom");
    record.id = m_node.makeId("takeover");
    record.epoch = m_node.lease().epoch();
    record.baseVersion = m_node.lease().replica().state().view.version;
    const std::string body
        = Core::Json::write(Lease::LeaseRecordCodec::encode(Lease::LeaseRecord(record)));
    try {
        std::vector<std::string> bodies;
        bodies.push_back(body);
        co_await m_node.log().append(domainStream(m_node.settings().failureDomain),
                                     std::move(bodies), Core::steadyNow() + appendTimeout);
    } catch (const Core::NotDoneError &) {
        co_return notRunResponse("the platform's log can't be reached", std::chrono::seconds(2));
    } catch (const Core::Error &) {
        co_return unknownResponse("the log gave no answer; the word may still land");
    }
    LOG4CXX_WARN(partLogger,
                 "takeover of epoch " << record.epoch << " on the word of " << record.requestedBy);
    m_node.domainWakeup().wake();
    Json::Value answer(Json::objectValue);
    answer["epoch"] = Json::UInt64(record.epoch);
    co_return jsonResponse(http::status::ok, answer);
}

} // namespace Daemon
