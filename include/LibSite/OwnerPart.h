#pragma once

#include <LibSite/JobFollower.h>
#include <LibSite/KeyedLog.h>
#include <LibSite/OwnerSession.h>
#include <LibSite/SiteDecoder.h>
#include <LibSite/SiteState.h>
#include <LibSite/WorkerGateway.h>
#include <LibSupervision/Part.h>
#include <LibSupervision/Wakeup.h>

#include <boost/asio/any_io_executor.hpp>

#include <memory>

namespace Site {

/// Claims the site's jobs when nobody owns them, and schedules them until another node does.
class OwnerPart final : public Supervision::Part
{
public:
    OwnerPart(SiteState &state, KeyedLog &log, WorkerGateway &workers, const SiteDecoder &decoder,
              JobFollower &follower, const boost::asio::any_io_executor &executor);

    std::string name() const override { return "owner"; }
    boost::asio::awaitable<void> run() override;
    void requestStop() override;

    /// Gives the jobs up, so that another node can claim them at once.
    void beginLeaving();

private:
    bool isClaimable() const;
    boost::asio::awaitable<void> waitUntilClaimable();
    boost::asio::awaitable<bool> claim();
    boost::asio::awaitable<bool> fence(std::int64_t epoch);
    Jobs::Ownership ownership(Core::Instant formerSign, std::int64_t formerTerm) const;

    SiteState &m_state;
    KeyedLog &m_log;
    WorkerGateway &m_workers;
    const SiteDecoder &m_decoder;
    JobFollower &m_follower;
    boost::asio::any_io_executor m_executor;
    Supervision::Wakeup m_wakeup;
    std::unique_ptr<OwnerSession> m_session;
    bool m_isStopping = false;
};

} // namespace Site
