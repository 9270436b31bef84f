#include <utility>

#include "RulesFollower.h"

#include "RulesAnswer.h"
#include <LibLog/Logging.h>

#include <LibCore/Error.h>
#include <LibCore/Json.h>
#include <LibCore/SteadyClock.h>

#include <boost/asio/use_awaitable.hpp>

#include <functional>

namespace Daemon {

namespace asio = boost::asio;

static constexpr Core::Duration readTimeout = std::chrono::milliseconds(800);
static constexpr Core::Duration peerTimeout = std::chrono::milliseconds(300);
static constexpr std::size_t recordsPerRead = 256;
static constexpr std::size_t longestSnapshotDelayMs = 5'000;
static const auto partLogger = Log::logger("rules");

RulesFollower::RulesFollower(Node &node)
    : StoppablePart("rules", node, node.rulesWakeup())
{
}

asio::awaitable<Core::Instant> RulesFollower::step(Core::Instant now)
{
    const bool isReachable = co_await readToEnd();
    if (isReachable != m_isLogReachable)
        LOG4CXX_WARN(partLogger, (isReachable ? "log in reach again" : "log out of reach"));
    m_isLogReachable = isReachable;
    if (!isReachable || !node().ruleReplica().isReady())
        co_await askPeers();
    announce();
    if (isReachable)
        co_await writeSnapshotIfDue(now);
    co_return now + node().settings().pollInterval;
}

asio::awaitable<bool> RulesFollower::readToEnd()
{
    Rules::RuleReplica &replica = node().ruleReplica();
    while (true) {
        const Core::Instant readBegan = Core::steadyNow();
        Platform::LogPage page;
        try {
            page = co_await node().log().read(rulesStream, replica.nextOffset(), recordsPerRead,
                                              readBegan + readTimeout);
        } catch (const Core::Error &error) {
            LOG4CXX_DEBUG(partLogger, error.what());
            co_return false;
        }
        apply(page);
        if (replica.nextOffset() < page.end)
            continue;
        if (replica.isReady())
            node().freshness().onEndRead(readBegan);
        co_return true;
    }
}

void RulesFollower::apply(const Platform::LogPage &page)
{
    Rules::RuleReplica &replica = node().ruleReplica();
    m_firstRetained = page.firstRetained;
    if (replica.nextOffset() < page.firstRetained || page.end < replica.nextOffset())
        replica.startReadingAt(page.firstRetained);
    for (const Platform::LogRecord &record : page.records) {
        std::optional<Rules::RuleRecord> decoded;
        try {
            decoded = Rules::RuleRecord::fromJson(Core::Json::parse(record.body, rulesStream));
        } catch (const Core::FormatError &error) {
            LOG4CXX_ERROR(partLogger, "skips offset " << record.offset << ": " << error.what());
        }
        if (decoded)
            replica.apply(record.offset, *decoded, Core::steadyNow());
        else
            replica.skip(record.offset);
    }
}

asio::awaitable<void> RulesFollower::askPeers()
{
    for (const Platform::VmEntry &peer : node().peerVms()) {
        const Core::Instant askedAt = Core::steadyNow();
        try {
            const Json::Value answer = co_await node().peers().call(
                peer.id, RulesAnswer::methodName, RulesAnswer::request(node().ruleReplica()),
                askedAt + peerTimeout);
            RulesAnswer::fromJson(answer).applyTo(node().ruleReplica(), node().freshness(),
                                                  askedAt);
        } catch (const Core::Error &error) {
            LOG4CXX_DEBUG(partLogger, error.what());
        }
    }
}

asio::awaitable<void> RulesFollower::writeSnapshotIfDue(Core::Instant now)
{
    const bool isDue
        = node().ruleReplica().isSnapshotDue(m_firstRetained, node().settings().snapshotAge, now);
    if (!isDue) {
        const std::size_t spread = std::hash<std::string>()(node().run()) % longestSnapshotDelayMs;
        m_snapshotNotBefore = now + std::chrono::milliseconds(spread);
        co_return;
    }
    if (now < m_snapshotNotBefore)
        co_return;
    const Rules::RuleRecord snapshot = node().ruleReplica().makeSnapshot(node().makeId("rules"));
    try {
        std::vector<std::string> bodies;
        bodies.push_back(Core::Json::write(snapshot.toJson()));
        co_await node().log().append(rulesStream, std::move(bodies),
                                     Core::steadyNow() + readTimeout);
        LOG4CXX_INFO(partLogger, "snapshot of version " << snapshot.baseVersion << " written");
    } catch (const Core::Error &error) {
        LOG4CXX_WARN(partLogger, "snapshot not written: " << error.what());
    }
}

void RulesFollower::announce()
{
    const bool isFresh = node().freshness().isFresh(Core::steadyNow());
    node().placer().setRulesFresh(isFresh && node().ruleReplica().isReady());
    const Rules::RuleVersion &current = node().ruleReplica().current();
    if (current.number == m_announced)
        return;
    m_announced = current.number;
    LOG4CXX_INFO(partLogger,
                 "version " << current.number << " by " << current.publishedBy << " in force");
    node().applyRules();
}

} // namespace Daemon
