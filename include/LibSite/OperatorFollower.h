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

/// Keeps a node's catalogue and its list of failure domains out of service up to date.
class OperatorFollower final : public Supervision::Part, private RecordSink
{
public:
    OperatorFollower(SiteState &state, KeyedLog &log, const SiteDecoder &decoder,
                     const boost::asio::any_io_executor &executor);

    std::string name() const override { return "operators"; }
    boost::asio::awaitable<void> run() override;
    void requestStop() override;

    /// Looks at the store unless the copy is current. Callers share looks. Returns when the copy
    /// is current or a look has failed.
    boost::asio::awaitable<void> refresh(Core::Instant deadline);

private:
    void beginSnapshot() override;
    void endSnapshot() override;
    void apply(const LoggedRecord &record) override;
    void applyCatalogue(const Jobs::Catalogue &catalogue);
    void notifyOwner();
    boost::asio::awaitable<bool> readOnce(std::int64_t waitMs);
    boost::asio::awaitable<void> look();
    bool isCurrent() const;
    void wakeWaiting();

    SiteState &m_state;
    const SiteDecoder &m_decoder;
    LogFollower m_follower;
    boost::asio::any_io_executor m_executor;
    Supervision::Wakeup m_wakeup;
    std::set<Supervision::Wakeup *> m_waiting;
    bool m_isStopping = false;
    bool m_isInSnapshot = false;
    bool m_isLooking = false;
    /// Looks that have ended, also those that failed.
    std::int64_t m_looks = 0;
    Core::Instant m_lastLookAt = {};
};

} // namespace Site
