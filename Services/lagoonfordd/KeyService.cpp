#include <utility>

#include "KeyService.h"

#include <LibLog/Logging.h>

#include <LibCore/Error.h>
#include <LibCore/SteadyClock.h>
#include <LibCore/WallClock.h>

#include <boost/asio/use_awaitable.hpp>

#include <charconv>

namespace Daemon {

namespace asio = boost::asio;

static constexpr Core::Duration finishTimeout = std::chrono::seconds(2);
/// Maximum number of calls, redirects included, before the request is refused.
static constexpr int mostQuestions = 3;
static const auto partLogger = Log::logger("keys");

std::optional<std::int64_t> issueTimeOf(const std::string &key)
{
    static constexpr std::size_t uuidLength = 36;
    static constexpr std::size_t versionPosition = 14;
    if (key.size() != uuidLength || key[8] != '-' || key[versionPosition] != '7')
        return std::nullopt;
    const std::string digits = key.substr(0, 8) + key.substr(9, 4);
    std::int64_t milliseconds = 0;
    const auto [end, error]
        = std::from_chars(digits.data(), digits.data() + digits.size(), milliseconds, 16);
    if (error != std::errc() || end != digits.data() + digits.size())
        return std::nullopt;
    return milliseconds;
}

static Routing::KeyTableSettings tableSettings(const Settings::Settings &settings)
{
    Routing::KeyTableSettings table;
    table.lifetime = settings.keyLifetime;
    return table;
}

KeyService::KeyService(Node &node)
    : m_node(node)
    , m_ownership(node.settings().vmId, node.settings().failureDomain, node.settings().keyLifetime)
    , m_table(tableSettings(node.settings()))
{
}

void KeyService::refresh(Core::Instant now)
{
    m_table.expire(now);
    const std::vector<const Lease::DomainView *> views = m_node.membership().effectiveViews(now);
    // Owners of an earlier view may still decide until all members use a later one.
    const bool isSettled = views.size() == 1 && m_node.membership().isMember(now);
    if (!isSettled)
        return;
    const Lease::DomainView &view = *views.front();
    if (view.version != m_settledVersion) {
        m_settledVersion = view.version;
        m_settledAt = now;
    }
    Routing::MembershipView membership;
    membership.version = view.version;
    membership.failureDomains = m_node.failureDomains();
    membership.members = view.members;
    membership.ownerSince = m_settledAt;
    membership.leaseUntil = m_node.membership().memberUntil();
    m_ownership.setView(membership, now);
}

asio::awaitable<Routing::KeyDecision> KeyService::begin(KeyBegin begin, Core::Instant deadline)
{
    const Core::FailureDomainId home = m_ownership.homeOf(begin.team, begin.key);
    if (home.isEmpty())
        co_return Routing::RefusedKey { "this VM isn't a member of its failure domain yet" };
    const bool isHome = home == m_node.settings().failureDomain;
    Core::VmId owner = isHome ? m_ownership.ownerOf(begin.team, begin.key) : someVmOf(home);
    for (int question = 0; question < mostQuestions && !owner.isEmpty(); ++question) {
        KeyAnswer answer;
        try {
            answer = co_await ask(owner, begin, deadline);
        } catch (const Core::Error &error) {
            LOG4CXX_WARN(partLogger, "owner of a key not reached: " << error.what());
            break;
        }
        const auto *redirect = std::get_if<KeyRedirect>(&answer);
        if (redirect == nullptr)
            co_return std::get<Routing::KeyDecision>(answer);
        owner = redirect->owner;
    }
    co_return Routing::RefusedKey { "the owner of the key can't be reached" };
}

asio::awaitable<KeyAnswer> KeyService::ask(Core::VmId vm, KeyBegin begin, Core::Instant deadline)
{
    if (vm == m_node.settings().vmId)
        co_return onBegin(begin, Core::steadyNow());
    const Json::Value answer
        = co_await m_node.peers().call(vm, KeyBegin::methodName, begin.toJson(), deadline);
    co_return keyAnswerFromJson(answer);
}

asio::awaitable<void> KeyService::finish(KeyFinish finish)
{
    const Core::FailureDomainId home = m_ownership.homeOf(finish.team, finish.key);
    if (home != m_node.settings().failureDomain) {
        // The call goes to every VM of the home failure domain, since any may be the owner; the
        // others ignore it.
        for (const Platform::VmEntry &vm : m_node.peerVms()) {
            if (vm.failureDomain != home)
                continue;
            try {
                co_await m_node.peers().call(vm.id, KeyFinish::methodName, finish.toJson(),
                                             Core::steadyNow() + finishTimeout);
            } catch (const Core::Error &error) {
                LOG4CXX_DEBUG(partLogger, error.what());
            }
        }
        co_return;
    }
    const Core::VmId owner = m_ownership.ownerOf(finish.team, finish.key);
    if (owner == m_node.settings().vmId) {
        onFinish(finish, Core::steadyNow());
        co_return;
    }
    try {
        co_await m_node.peers().call(owner, KeyFinish::methodName, finish.toJson(),
                                     Core::steadyNow() + finishTimeout);
    } catch (const Core::Error &error) {
        LOG4CXX_WARN(partLogger, "end of a keyed request not told: " << error.what());
    }
}

KeyAnswer KeyService::onBegin(const KeyBegin &begin, Core::Instant now)
{
    const Core::VmId owner = m_ownership.ownerOf(begin.team, begin.key);
    if (owner != m_node.settings().vmId && !owner.isEmpty())
        return KeyRedirect { owner };
    std::optional<Core::Instant> issuedAt;
    if (begin.issuedAtUnixMs)
        issuedAt
            = now - std::chrono::milliseconds(Core::unixMillisecondsNow() - *begin.issuedAtUnixMs);
    return m_table.begin(begin.team, begin.key, begin.request, issuedAt, m_ownership, now);
}

void KeyService::onFinish(const KeyFinish &finish, Core::Instant now)
{
    if (finish.outcome)
        m_table.finish(finish.team, finish.key, finish.request, *finish.outcome, now);
    else
        m_table.finishNotRun(finish.team, finish.key, finish.request);
}

Core::VmId KeyService::someVmOf(const Core::FailureDomainId &failureDomain) const
{
    const Core::Instant now = Core::steadyNow();
    for (const auto &[id, peerState] : m_node.peerStates()) {
        if (peerState.state.failureDomain == failureDomain && m_node.isReachable(peerState, now))
            return id;
    }
    return {};
}

} // namespace Daemon
