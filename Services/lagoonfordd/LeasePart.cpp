#include <utility>

#include "LeasePart.h"

#include <LibLog/Logging.h>

#include <LibCore/Error.h>
#include <LibCore/Json.h>
#include <LibCore/SteadyClock.h>
#include <LibLease/LeaseMessageCodec.h>
#include <LibLease/LeaseRecordCodec.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <variant>

namespace Daemon {

namespace asio = boost::asio;

static constexpr Core::Duration appendTimeout = std::chrono::milliseconds(900);
static constexpr Core::Duration longestSleep = std::chrono::milliseconds(200);
static const auto partLogger = Log::logger("lease");

LeasePart::LeasePart(Node &node)
    : StoppablePart("lease", node, node.leaseWakeup())
    , m_stream(domainStream(node.settings().failureDomain))
{
}

asio::awaitable<Core::Instant> LeasePart::step(Core::Instant now)
{
    if (node().lease().hasCaughtUp()) {
        for (const Lease::LeaseAction &action : node().membership().poll(now))
            perform(action);
    }
    announce(Core::steadyNow());
    co_return std::min(node().lease().nextWakeUp(now), now + longestSleep);
}

asio::awaitable<void> LeasePart::finish()
{
    // Released explicitly, so that the next placer doesn't wait for the lease to expire.
    const Core::Instant now = Core::steadyNow();
    node().lease().release(now);
    for (const Lease::LeaseAction &action : node().membership().poll(now)) {
        if (const auto *record = std::get_if<Lease::AppendRecord>(&action))
            co_await append(record->record);
    }
    announce(Core::steadyNow());
}

void LeasePart::perform(const Lease::LeaseAction &action)
{
    if (const auto *record = std::get_if<Lease::AppendRecord>(&action))
        asio::co_spawn(node().executor(), append(record->record), asio::detached);
    else
        asio::co_spawn(node().executor(), ask(std::get<Lease::SendPromiseRequest>(action)),
                       asio::detached);
}

asio::awaitable<void> LeasePart::append(Lease::LeaseRecord record)
{
    const std::string id = Lease::recordId(record);
    Lease::AppendOutcome outcome = Lease::AppendOutcome::Unknown;
    try {
        const std::string body = Core::Json::write(Lease::LeaseRecordCodec::encode(record));
        std::vector<std::string> bodies;
        bodies.push_back(body);
        co_await node().log().append(m_stream, std::move(bodies),
                                     Core::steadyNow() + appendTimeout);
        outcome = Lease::AppendOutcome::Appended;
    } catch (const Core::NotDoneError &error) {
        outcome = Lease::AppendOutcome::NotAppended;
        LOG4CXX_WARN(partLogger, "record " << id << " not appended: " << error.what());
    } catch (const Core::Error &error) {
        LOG4CXX_WARN(partLogger, "record " << id << " in doubt: " << error.what());
    }
    node().lease().onAppendOutcome(id, outcome);
    node().domainWakeup().wake();
    node().leaseWakeup().wake();
}

asio::awaitable<void> LeasePart::ask(Lease::SendPromiseRequest action)
{
    const Core::Instant deadline = Core::steadyNow() + node().settings().leaseLength;
    try {
        const Json::Value answer = co_await node().peers().call(
            action.to.vm, Lease::LeaseMessageCodec::methodName,
            Lease::LeaseMessageCodec::encode(action.request), deadline);
        node().membership().onPromiseResponse(Lease::LeaseMessageCodec::decodeResponse(answer),
                                              Core::steadyNow());
        node().leaseWakeup().wake();
    } catch (const Core::Error &error) {
        LOG4CXX_DEBUG(partLogger, error.what());
    }
}

void LeasePart::announce(Core::Instant now)
{
    const bool isHolder = node().lease().isHolder(now);
    if (isHolder == m_wasHolder)
        return;
    m_wasHolder = isHolder;
    node().metrics().setPlacer(isHolder);
    LOG4CXX_INFO(partLogger,
                 (isHolder ? "holds" : "lost") << " the lease, epoch " << node().lease().epoch());
    node().placerWakeup().wake();
}

} // namespace Daemon
