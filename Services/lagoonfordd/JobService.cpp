#include <utility>

#include "JobService.h"

#include <LibLog/Logging.h>

#include <LibCore/Error.h>
#include <LibCore/Json.h>
#include <LibCore/StableHash.h>
#include <LibCore/SteadyClock.h>
#include <LibCore/TextValues.h>
#include <LibCore/WallClock.h>
#include <LibTask/TaskRecordCodec.h>

#include <boost/asio/use_awaitable.hpp>

#include <map>
#include <set>

namespace Daemon {

namespace asio = boost::asio;
namespace http = boost::beast::http;

static constexpr Core::Duration appendTimeout = std::chrono::seconds(3);
static constexpr Core::Duration peerTimeout = std::chrono::milliseconds(500);
static constexpr std::size_t longestPayload = 16 * 1024;
static const auto partLogger = Log::logger("jobs");

static std::int64_t amountMember(const Json::Value &value, const char *name, bool isOptional)
{
    if (isOptional && !value.isMember(name))
        return 0;
    const std::int64_t amount = Core::Json::integerMember(value, name);
    if (amount < 0)
        throw Core::FormatError("read job", name, "the number is negative");
    return amount;
}

static std::string nameMember(const Json::Value &value, const char *name)
{
    std::string text = Core::Json::stringMember(value, name);
    if (!Core::isName(text))
        throw Core::FormatError("read job", name,
                                "allowed: letters, digits, '-', '_' and '.', at most 64");
    return text;
}

static Task::TaskSpec specFromJson(const Json::Value &value)
{
    if (!value.isObject())
        throw Core::FormatError("read job", "body", "the body is no JSON object");
    Task::TaskSpec spec;
    spec.id = Core::TaskId(nameMember(value, "id"));
    spec.team = Core::TeamId(nameMember(value, "team"));
    spec.taskClass = Core::TaskClassId(nameMember(value, "class"));
    spec.declared.milliCores = amountMember(value, "milliCores", false);
    spec.declared.mebibytes = amountMember(value, "mebibytes", false);
    spec.declared.accelerators = amountMember(value, "accelerators", true);
    spec.expectedRunTime = std::chrono::milliseconds(amountMember(value, "expectedRunMs", true));
    if (value.isMember("payload"))
        spec.payload = Core::Json::stringMember(value, "payload");
    if (spec.payload.size() > longestPayload)
        throw Core::FormatError("read job", "payload", "the text is longer than 16 KiB");
    return spec;
}

JobService::JobService(Node &node)
    : m_node(node)
{
}

asio::awaitable<HttpResponse> JobService::submit(HttpRequest request)
{
    Task::TaskSpec spec;
    std::string formatError;
    try {
        spec = specFromJson(Core::Json::parse(request.body(), "the body"));
    } catch (const Core::FormatError &error) {
        formatError = error.what();
    }
    if (!formatError.empty())
        co_return errorResponse(http::status::bad_request, formatError);
    if (const Task::TaskEntry *known = m_node.placer().table().find(spec.id)) {
        if (known->spec != spec)
            co_return errorResponse(http::status::conflict, "another job has this id");
        co_return jsonResponse(http::status::created, describe(spec.id));
    }
    const std::string reason = reasonNeverFits(spec);
    if (!reason.empty()) {
        LOG4CXX_INFO(partLogger, "refused " << spec.id << ": " << reason);
        co_return errorResponse(http::status::unprocessable_entity, "not run: " + reason);
    }
    const Core::FailureDomainId domain = chooseDomain(spec);
    if (domain.isEmpty())
        co_return notRunResponse("every failure domain where it may run is out",
                                 std::chrono::seconds(5));
    Json::Value success(Json::objectValue);
    success["id"] = spec.id.text();
    success["state"] = "submitted";
    success["domain"] = domain.text();
    Task::Submitted submitted;
    submitted.spec = spec;
    submitted.submittedAtUnixMs = Core::unixMillisecondsNow();
    const Task::TaskRecord record = Task::TaskRecord::create(0, submitted);
    m_node.metrics().countJob("submitted");
    co_return co_await append(domain, record,
                              "submitted " + spec.id.text() + " to " + domain.text(), success);
}

asio::awaitable<HttpResponse> JobService::append(Core::FailureDomainId failureDomain,
                                                 Task::TaskRecord record, std::string what,
                                                 Json::Value success)
{
    std::vector<std::string> bodies { Core::Json::write(Task::encode(record)) };
    std::string unknown;
    try {
        co_await m_node.log().append(domainStream(failureDomain), std::move(bodies),
                                     Core::steadyNow() + appendTimeout);
    } catch (const Core::NotDoneError &error) {
        LOG4CXX_WARN(partLogger, "not " << what << ": " << error.what());
        co_return notRunResponse("the platform's log can't be reached", std::chrono::seconds(2));
    } catch (const Core::Error &error) {
        unknown = error.what();
    }
    if (!unknown.empty()) {
        LOG4CXX_WARN(partLogger, "in doubt: " << what << ": " << unknown);
        co_return unknownResponse("the log gave no answer; repeat with the same id");
    }
    LOG4CXX_INFO(partLogger, what);
    m_node.domainWakeup().wake();
    co_return jsonResponse(http::status::created, success);
}

asio::awaitable<HttpResponse> JobService::find(Core::TaskId task)
{
    const Json::Value found = co_await findAnywhere(task);
    if (found.isNull())
        co_return errorResponse(http::status::not_found, "no job has this id");
    co_return jsonResponse(http::status::ok, found);
}

asio::awaitable<HttpResponse> JobService::cancel(Core::TaskId task)
{
    const Json::Value found = co_await findAnywhere(task);
    if (found.isNull())
        co_return errorResponse(http::status::not_found, "no job has this id");
    const Core::FailureDomainId domain(Core::Json::stringMember(found, "domain"));
    Json::Value success(Json::objectValue);
    success["id"] = task.text();
    success["state"] = "cancel-requested";
    m_node.metrics().countJob("cancel-requested");
    co_return co_await append(domain, Task::TaskRecord::create(0, Task::CancelRequested { task }),
                              "cancel requested of " + task.text(), success);
}

asio::awaitable<HttpResponse> JobService::list()
{
    Json::Value domains(Json::objectValue);
    domains[m_node.settings().failureDomain.text()] = onList();
    for (const Platform::VmEntry &peer : m_node.peerVms()) {
        if (domains.isMember(peer.failureDomain.text()))
            continue;
        try {
            domains[peer.failureDomain.text()] = co_await m_node.peers().call(
                peer.id, listMethodName, Json::Value(Json::objectValue),
                Core::steadyNow() + peerTimeout);
        } catch (const Core::Error &error) {
            LOG4CXX_DEBUG(partLogger, error.what());
        }
    }
    co_return jsonResponse(http::status::ok, domains);
}

asio::awaitable<Json::Value> JobService::findAnywhere(Core::TaskId task)
{
    Json::Value parameters(Json::objectValue);
    parameters["id"] = task.text();
    Json::Value best = onFind(parameters);
    if (!best.isNull() && best["state"] != Task::stateName(Task::TaskState::Transferred))
        co_return best;
    std::set<Core::FailureDomainId> asked { m_node.settings().failureDomain };
    for (const Platform::VmEntry &peer : m_node.peerVms()) {
        if (asked.contains(peer.failureDomain))
            continue;
        Json::Value answer;
        try {
            answer = co_await m_node.peers().call(peer.id, findMethodName, parameters,
                                                  Core::steadyNow() + peerTimeout);
        } catch (const Core::Error &error) {
            LOG4CXX_DEBUG(partLogger, error.what());
            continue;
        }
        asked.insert(peer.failureDomain);
        if (answer.isNull())
            continue;
        if (answer["state"] != Task::stateName(Task::TaskState::Transferred))
            co_return answer;
        best = answer;
    }
    co_return best;
}

Json::Value JobService::onFind(const Json::Value &parameters) const
{
    return describe(Core::TaskId(Core::Json::stringMember(parameters, "id")));
}

Json::Value JobService::onList() const
{
    std::map<std::string, int> counts;
    for (const auto &[id, entry] : m_node.placer().table().entries())
        ++counts[Task::stateName(entry.state)];
    Json::Value value(Json::objectValue);
    for (const auto &[state, count] : counts)
        value[state] = count;
    return value;
}

Json::Value JobService::describe(const Core::TaskId &task) const
{
    const Task::TaskEntry *entry = m_node.placer().table().find(task);
    if (entry == nullptr)
        return {};
    const Task::TaskState state = m_node.placer().state(task).value_or(entry->state);
    Json::Value value(Json::objectValue);
    value["id"] = task.text();
    value["state"] = Task::stateName(state);
    value["domain"] = m_node.settings().failureDomain.text();
    value["team"] = entry->spec.team.text();
    value["class"] = entry->spec.taskClass.text();
    value["attempts"] = entry->lastAttempt;
    if (entry->openAttempt)
        value["worker"] = entry->openAttempt->worker.text();
    value["explanation"] = m_node.placer().explain(task);
    return value;
}

Core::FailureDomainId JobService::chooseDomain(const Task::TaskSpec &spec) const
{
    // FIXME: A submission of unknown outcome that is repeated after its failure domain was taken
    //        out goes to another stream. If the first one is appended late, the task has two
    //        owners.
    const Rules::RuleSet &rules = m_node.ruleReplica().current().rules;
    Core::FailureDomainId best;
    std::uint64_t bestWeight = 0;
    for (const Core::FailureDomainId &domain : m_node.failureDomains()) {
        if (rules.isOut(domain) || !rules.mayRunIn(spec.taskClass, domain))
            continue;
        const std::uint64_t weight = Core::stableHash(domain.text() + '/' + spec.id.text());
        if (best.isEmpty() || weight > bestWeight) {
            best = domain;
            bestWeight = weight;
        }
    }
    return best;
}

std::string JobService::reasonNeverFits(const Task::TaskSpec &spec) const
{
    const Rules::RuleSet &rules = m_node.ruleReplica().current().rules;
    std::string reason;
    for (const Platform::VmEntry &vm : m_node.vms()) {
        if (vm.kind != Platform::VmKind::Worker
            || !rules.mayRunIn(spec.taskClass, vm.failureDomain))
            continue;
        const std::string dimension = spec.declared.firstDimensionAbove(vm.capacity);
        if (dimension.empty())
            return {};
        reason = "no worker where it may run has enough " + dimension;
    }
    return reason;
}

} // namespace Daemon
