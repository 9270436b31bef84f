#pragma once

#include <LibSite/LogFollower.h>
#include <LibSite/SiteDecoder.h>
#include <LibSite/SiteState.h>
#include <LibSupervision/Part.h>
#include <LibSupervision/Wakeup.h>

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <set>

namespace Site {

/// Keeps a node's copy of the operators' records up to date: the catalogue and the failure domains
/// that are out of service.
class OperatorFollower final : public Supervision::Part, private RecordSink
{
public:
    OperatorFollower(SiteState &state, KeyedLog &log, const SiteDecoder &decoder,
                     const boost::asio::any_io_executor &executor);

    std::string name() const override { return "operators"; }
    boost::asio::awaitable<void> run() override;
    void requestStop() override;

    /// Reads the operators' records unless the copy is current. Concurrent calls share a read.
    /// Returns when the copy is current, when the read has ended (successfully or not), or at
    /// \p deadline (steady clock).
    boost::asio::awaitable<void> refresh(Core::Instant deadline);

private:
    void beginSnapshot() override;
    void endSnapshot() override;
    void apply(const LoggedRecord &record) override;
    void applyCatalogue(const Jobs::Catalogue &catalogue);
    void notifyOwner();
    boost::asio::awaitable<bool> readOnce(std::int64_t waitMs);
    /// Reads to the end of the log for the pending calls of `refresh()`.
    boost::asio::awaitable<void> readForCallers();
    bool isCurrent() const;
    void wakeWaiters();

    SiteState &m_state;
    const SiteDecoder &m_decoder;
    LogFollower m_follower;
    boost::asio::any_io_executor m_executor;
    Supervision::Wakeup m_wakeup;
    /// Wakeups of the pending calls of `refresh()`.
    std::set<Supervision::Wakeup *> m_waiters;
    bool m_isStopping = false;
    bool m_isInSnapshot = false;
    bool m_isRefreshing = false;
    /// Number of reads for `refresh()` that have ended, failed ones included. Reads after which a
    /// snapshot is needed don't count.
    std::int64_t m_finishedRefreshes = 0;
    Core::Instant m_lastRefreshAt = {};
};

} // namespace Site
