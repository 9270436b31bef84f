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
#include <optional>

namespace Site {

/// Claims the ownership of the site's jobs when no node has it, and runs an OwnerSession, which
/// schedules the jobs, until the ownership ends.
class OwnerElection final : public Supervision::Part
{
public:
    OwnerElection(SiteState &state, KeyedLog &log, WorkerGateway &workers,
                  const SiteDecoder &decoder, JobFollower &follower,
                  const boost::asio::any_io_executor &executor);

    std::string name() const override { return "owner"; }
    boost::asio::awaitable<void> run() override;
    void requestStop() override;

    /// Releases the ownership, if this node has it, so that another node can claim it at once.
    void stepDown();

private:
    bool isClaimable() const;
    boost::asio::awaitable<void> waitUntilClaimable();
    /// Claims the ownership and begins a session. Returns false if that failed.
    boost::asio::awaitable<bool> claim();
    /// Makes the store reject appends of lower epochs. Returns false if that failed.
    boost::asio::awaitable<bool> fence(std::int64_t epoch);
    /// \p provenAt is when the claim was sent, on the suspend-aware clock.
    Jobs::Ownership makeOwnership(const std::optional<Jobs::OwnerClaim> &former,
                                  Core::Instant provenAt) const;
    /// How long after the last append of the claim's owner leases of it may end, on a worker's
    /// clock.
    Core::Duration longestLeaseOf(const Jobs::OwnerClaim &claim) const;
    /// The record with which this node claims the jobs after \p former.
    Jobs::OwnerClaim makeClaim(const std::optional<Jobs::OwnerClaim> &former) const;

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
