#include <LibSite/OperatorFollower.h>

#include <LibCore/SteadyClock.h>
#include <LibLog/Logging.h>

namespace Site {

namespace asio = boost::asio;

/// How long the store may hold a read back until there is something to read.
static constexpr std::int64_t readWaitMs = 1200;
static constexpr Core::Duration retrySpacing = std::chrono::milliseconds(250);
static constexpr Core::Duration readSpacing = std::chrono::milliseconds(20);
static const auto partLogger = Log::logger("operators");

OperatorFollower::OperatorFollower(SiteState &state, KeyedLog &log, const SiteDecoder &decoder,
                                   const asio::any_io_executor &executor)
    : m_state(state)
    , m_decoder(decoder)
    , m_follower(log, Topic::Operators, *this)
    , m_wakeup(executor)
{
}

asio::awaitable<void> OperatorFollower::run()
{
    m_isStopping = false;
    while (!m_isStopping) {
        Core::Duration pause = readSpacing;
        try {
            // Without a first catalogue there is nothing to wait for but its arrival.
            co_await m_follower.readOnce(readWaitMs);
        } catch (const Core::Error &error) {
            LOG4CXX_DEBUG(partLogger, "event=read-failed reason=\"" << error.what() << '"');
            pause = retrySpacing;
        }
        co_await m_wakeup.sleepUntil(Core::steadyNow() + pause);
    }
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
    // A snapshot read from a lagging replica must not bring back an older version.
    if (m_state.catalogue && m_state.catalogue->version >= catalogue.version)
        return;
    m_state.catalogue = catalogue;
    LOG4CXX_INFO(partLogger,
                 "event=catalogue version=" << catalogue.version
                                            << " queues=" << catalogue.queues.size());
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
