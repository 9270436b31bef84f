#include <utility>

#include "DomainFollower.h"

#include "StreamRecovery.h"
#include <LibLog/Logging.h>

#include <LibCore/Error.h>
#include <LibCore/Json.h>
#include <LibCore/SteadyClock.h>
#include <LibLease/LeaseRecordCodec.h>
#include <LibTask/TaskRecordCodec.h>

#include <boost/asio/use_awaitable.hpp>

namespace Daemon {

namespace asio = boost::asio;

static constexpr Core::Duration readTimeout = std::chrono::milliseconds(800);
static constexpr std::size_t recordsPerRead = 1'000;
static const auto partLogger = Log::logger("domain");

DomainFollower::DomainFollower(Node &node)
    : StoppablePart("domain", node, node.domainWakeup())
    , m_stream(domainStream(node.settings().failureDomain))
{
}

asio::awaitable<Core::Instant> DomainFollower::step(Core::Instant now)
{
    bool isReachable = true;
    try {
        co_await readToEnd();
    } catch (const Core::FormatError &) {
        // A record of a newer format than this program knows must not be skipped, so the part
        // fails.
        throw;
    } catch (const Core::Error &error) {
        LOG4CXX_DEBUG(partLogger, error.what());
        node().lease().onLogUnreachable();
        isReachable = false;
    }
    if (isReachable != m_isLogReachable)
        LOG4CXX_WARN(partLogger, (isReachable ? "log in reach again" : "log out of reach"));
    m_isLogReachable = isReachable;
    node().leaseWakeup().wake();
    node().placerWakeup().wake();
    co_return now + node().settings().pollInterval;
}

asio::awaitable<void> DomainFollower::readToEnd()
{
    std::vector<Platform::LogRecord> backlog;
    if (!m_hasStarted)
        m_nextOffset = 0;
    while (true) {
        const Core::Instant readBegan = Core::steadyNow();
        const Platform::LogPage page = co_await node().log().read(
            m_stream, m_nextOffset, recordsPerRead, readBegan + readTimeout);
        const bool isBehind = m_nextOffset < page.firstRetained || page.end < m_nextOffset;
        if (m_hasStarted && isBehind) {
            LOG4CXX_WARN(partLogger, "fell behind retention; starts over");
            m_hasStarted = false;
            m_nextOffset = 0;
            continue;
        }
        if (backlog.empty() && !m_hasStarted)
            m_nextOffset = page.firstRetained;
        for (const Platform::LogRecord &record : page.records) {
            m_nextOffset = record.offset + 1;
            if (m_hasStarted)
                applyRecord(record);
            else
                backlog.push_back(record);
        }
        if (m_nextOffset < page.end)
            continue;
        if (!m_hasStarted)
            startOver(backlog, backlog.empty() ? page.firstRetained : backlog.front().offset);
        node().lease().onCaughtUp(page.end, readBegan);
        node().placer().onLogEndReached(page.firstRetained, page.end, readBegan);
        co_return;
    }
}

void DomainFollower::startOver(const std::vector<Platform::LogRecord> &records,
                               std::uint64_t firstRetained)
{
    node().resetPlacer();
    const StreamRecovery recovery = StreamRecovery::create(records, firstRetained);
    if (!recovery.isComplete())
        throw Core::Error("recover tasks", m_stream, "no snapshot covers what retention took");
    recovery.applyTo(node().lease(), node().placer(), Core::steadyNow());
    m_hasStarted = true;
    LOG4CXX_INFO(partLogger,
                 "read " << records.size() << " records from offset " << firstRetained << ", "
                         << node().placer().table().entries().size() << " tasks");
}

void DomainFollower::applyRecord(const Platform::LogRecord &record)
{
    const Json::Value value = Core::Json::parse(record.body, m_stream);
    const Core::Instant now = Core::steadyNow();
    if (const auto leaseRecord = Lease::LeaseRecordCodec::decode(value)) {
        const std::uint64_t epochBefore = node().lease().epoch();
        node().lease().onRecord(record.offset, *leaseRecord, now);
        if (node().lease().epoch() > epochBefore) {
            node().placer().onLeaseClaim(record.offset, node().lease().epoch());
            LOG4CXX_INFO(partLogger,
                         "epoch " << node().lease().epoch() << " at offset " << record.offset
                                  << ", holder " << node().lease().recordedHolder()->vm);
        }
    } else if (const auto taskRecord = Task::decode(value)) {
        node().placer().onRecord(record.offset, *taskRecord, now);
    }
}

} // namespace Daemon
