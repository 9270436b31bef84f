#include <LibSite/OperatorFollower.h>

#include <LibCore/SteadyClock.h>
#include <LibLog/Logging.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Site {

namespace asio = boost::asio;

/// How long the store may wait for a record before it answers a read.
static constexpr std::int64_t readWaitMs = 700;
static constexpr Core::Duration retryDelay = std::chrono::milliseconds(250);
static constexpr Core::Duration readPause = std::chrono::milliseconds(20);
// An answer without records shows the copy complete only as of the time when its read was sent, and
// the next answer may take as long again. At least 150 ms remain for the calls themselves.
static_assert(2 * std::chrono::milliseconds(readWaitMs) + readPause
              <= maxCatalogueAge - std::chrono::milliseconds(150));
/// Minimum time between the starts of two reads for callers; callers that arrive in between share
/// the next one.
static constexpr Core::Duration minRefreshInterval = std::chrono::milliseconds(20);
static const auto partLogger = Log::logger("operators");

OperatorFollower::OperatorFollower(SiteState &state, KeyedLog &log, const SiteDecoder &decoder,
                                   const asio::any_io_executor &executor)
    : m_state(state)
    , m_decoder(decoder)
    , m_follower(log, Topic::Operators, *this)
    , m_executor(executor)
    , m_wakeup(executor)
{
}

asio::awaitable<void> OperatorFollower::run()
{
    m_isStopping = false;
    std::int64_t waitMs = 0;
    while (!m_isStopping) {
        Core::Duration pause = readPause;
        try {
            const bool isSnapshotPage = m_follower.needsSnapshot();
            co_await readOnce(waitMs);
            waitMs = isSnapshotPage ? 0 : readWaitMs;
        } catch (const Core::Error &error) {
            LOG4CXX_DEBUG(partLogger, "event=read-failed reason=\"" << error.what() << '"');
            pause = retryDelay;
            // The next read doesn't wait, so that the copy is current as soon as the store answers.
            waitMs = 0;
        }
        co_await m_wakeup.sleepUntil(Core::steadyNow() + pause);
    }
}

asio::awaitable<bool> OperatorFollower::readOnce(std::int64_t waitMs)
{
    const Core::Instant sentAt = Core::suspendAwareNow();
    const bool isAtEnd = co_await m_follower.readOnce(waitMs);
    if (isAtEnd) {
        m_state.catalogueFreshness.markCompleteAsOf(sentAt);
        wakeWaiters();
    }
    co_return isAtEnd;
}

bool OperatorFollower::isCurrent() const
{
    return m_state.catalogueFreshness.isCurrent(Core::suspendAwareNow());
}

void OperatorFollower::wakeWaiters()
{
    for (Supervision::Wakeup *waiter : m_waiters)
        waiter->wake();
}

asio::awaitable<void> OperatorFollower::readForCallers()
{
    asio::steady_timer timer(m_executor);
    timer.expires_at(Core::toSteadyTimePoint(m_lastRefreshAt + minRefreshInterval));
    co_await timer.async_wait(asio::use_awaitable);
    m_lastRefreshAt = Core::steadyNow();
    try {
        bool isAtEnd = false;
        std::int64_t from = -1;
        // Stops after a page that doesn't advance the offset.
        while (!isAtEnd && !m_follower.needsSnapshot() && m_follower.nextOffset() != from) {
            from = m_follower.nextOffset();
            isAtEnd = co_await readOnce(0);
        }
    } catch (const Core::Error &error) {
        LOG4CXX_DEBUG(partLogger, "event=look-failed reason=\"" << error.what() << '"');
    }
    // Only run() reads snapshots; callers wait until the snapshot is complete.
    if (!m_follower.needsSnapshot())
        ++m_finishedRefreshes;
    m_isRefreshing = false;
    wakeWaiters();
}

asio::awaitable<void> OperatorFollower::refresh(Core::Instant deadline)
{
    const std::int64_t finishedBefore = m_finishedRefreshes;
    Supervision::Wakeup wakeup(m_executor);
    m_waiters.insert(&wakeup);
    while (!isCurrent() && m_finishedRefreshes == finishedBefore && Core::steadyNow() < deadline) {
        if (!m_isRefreshing && !m_follower.needsSnapshot()) {
            m_isRefreshing = true;
            asio::co_spawn(m_executor, readForCallers(), asio::detached);
        }
        co_await wakeup.sleepUntil(deadline);
    }
    m_waiters.erase(&wakeup);
}

void OperatorFollower::requestStop()
{
    m_isStopping = true;
    m_wakeup.wake();
}

void OperatorFollower::beginSnapshot()
{
    m_isInSnapshot = true;
    m_state.outOfService.clear();
}

void OperatorFollower::endSnapshot()
{
    m_isInSnapshot = false;
    notifyOwner();
}

void OperatorFollower::notifyOwner()
{
    if (!m_isInSnapshot && m_state.owner)
        m_state.owner->onOperatorChange();
}

void OperatorFollower::applyCatalogue(const Jobs::Catalogue &catalogue)
{
    // A snapshot read from a lagging replica of the store must not restore an older version.
    if (m_state.catalogue && m_state.catalogue->version >= catalogue.version)
        return;
    m_state.catalogue = catalogue;
    if (std::optional<std::vector<Jobs::Customer>> &customers = m_state.catalogue->customers) {
        m_state.keys = KeyDirectory(*customers);
        // From now on only the digests are needed.
        for (Jobs::Customer &customer : *customers)
            customer.keys.clear();
    } else {
        m_state.keys = KeyDirectory();
    }
    LOG4CXX_INFO(
        partLogger,
        "event=catalogue version="
            << catalogue.version << " queues=" << catalogue.queues.size() << " customers="
            << (catalogue.customers ? std::to_string(catalogue.customers->size()) : "none"));
}

void OperatorFollower::apply(const LoggedRecord &record)
{
    try {
        const OperatorChange change = m_decoder.decodeOperatorRecord(record.record);
        if (const auto *catalogue = std::get_if<CatalogueChange>(&change))
            applyCatalogue(catalogue->catalogue);
        if (const auto *domain = std::get_if<DomainChange>(&change)) {
            if (domain->isOutOfService)
                m_state.outOfService.insert(domain->domain);
            else
                m_state.outOfService.erase(domain->domain);
            LOG4CXX_INFO(partLogger,
                         "event=domain domain=" << domain->domain
                                                << " out_of_service=" << domain->isOutOfService);
        }
        notifyOwner();
    } catch (const Core::FormatError &error) {
        LOG4CXX_WARN(partLogger,
                     "event=unreadable-record key=" << record.record.key << " reason=\""
                                                    << error.what() << '"');
    }
}

} // namespace Site
