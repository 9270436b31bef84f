#include <LibSite/OwnerElection.h>

#include <LibCore/SteadyClock.h>
#include <LibLog/Logging.h>

#include <algorithm>

namespace Site {

namespace asio = boost::asio;

static constexpr Core::Duration appendTimeout = std::chrono::milliseconds(900);
static constexpr Core::Duration refreshTimeout = std::chrono::milliseconds(900);
/// How often the node checks whether it may claim the jobs.
static constexpr Core::Duration claimCheckInterval = std::chrono::milliseconds(50);
static const auto partLogger = Log::essentialLogger("owner");

OwnerElection::OwnerElection(SiteState &state, KeyedLog &log, WorkerGateway &workers,
                             const SiteDecoder &decoder, JobFollower &follower,
                             const asio::any_io_executor &executor)
    : m_state(state)
    , m_log(log)
    , m_workers(workers)
    , m_decoder(decoder)
    , m_follower(follower)
    , m_executor(executor)
    , m_wakeup(executor)
{
}

asio::awaitable<void> OwnerElection::run()
{
    m_isStopping = false;
    while (!m_isStopping) {
        co_await waitUntilClaimable();
        if (m_isStopping || m_state.isLeaving)
            continue;
        const bool isClaimed = co_await claim();
        if (!isClaimed)
            continue;
        co_await m_session->run();
        m_session.reset();
    }
}

void OwnerElection::requestStop()
{
    m_isStopping = true;
    m_wakeup.wake();
    stepDown();
}

void OwnerElection::stepDown()
{
    if (m_session)
        m_session->release();
}

bool OwnerElection::isClaimable() const
{
    const std::optional<Core::Instant> claimAt = m_state.ownerMonitor.claimAt();
    return m_follower.isDetailed() && !m_state.isLeaving && claimAt
        && *claimAt <= Core::steadyNow();
}

asio::awaitable<void> OwnerElection::waitUntilClaimable()
{
    while (!m_isStopping) {
        if (isClaimable())
            co_return;
        co_await m_wakeup.sleepUntil(Core::steadyNow() + claimCheckInterval);
    }
}

static std::int64_t inMilliseconds(Core::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

Core::Duration OwnerElection::longestLeaseOf(const Jobs::OwnerClaim &claim) const
{
    const Jobs::SchedulerSettings &settings = m_state.settings.scheduler;
    // A claim of a former version doesn't bound its leases: the owner renewed them until its
    // ownership was no longer proven.
    const Core::Duration granted = claim.maxLeaseAfterProofMs == 0
        ? settings.ownershipProofTimeout + settings.lease
        : std::chrono::milliseconds(claim.maxLeaseAfterProofMs);
    // The last start may have reached a worker's next process, which grants what it can for a
    // deadline on another clock.
    return claim.areCommandsBound
        ? granted
        : std::max(granted,
                   settings.ownershipProofTimeout + settings.startDeliveryTime + settings.maxLease);
}

Jobs::OwnerClaim OwnerElection::makeClaim(const std::optional<Jobs::OwnerClaim> &former) const
{
    const Jobs::SchedulerSettings &settings = m_state.settings.scheduler;
    const std::int64_t term = former ? former->term + 1 : 0;
    Jobs::OwnerClaim claim = m_state.settings.claim(term, false);
    if (!former)
        return claim;
    // Leases of owners of a former version may outlast this one's, also if others came between.
    const Core::Duration longest = longestLeaseOf(*former);
    const Core::Duration remaining = m_state.ownerMonitor.lastOwnerWriteAt()
        + settings.longestOnOwnersClock(longest) - Core::steadyNow();
    if (remaining > settings.longestOnOwnersClock(settings.maxLeaseAfterProof))
        claim.maxLeaseAfterProofMs = inMilliseconds(std::min(longest, remaining));
    return claim;
}

Jobs::Ownership OwnerElection::makeOwnership(const std::optional<Jobs::OwnerClaim> &former,
                                             Core::Instant provenAt) const
{
    const Jobs::SchedulerSettings &settings = m_state.settings.scheduler;
    Jobs::Ownership ownership;
    ownership.token = m_state.ownerMonitor.claimOffset() + 1;
    ownership.provenAt = provenAt;
    ownership.recordedSuspensions = m_state.leaseSuspensions.workers();
    if (!former)
        return ownership;
    ownership.term = former->term + 1;
    const Core::Duration sinceFormerOwnerSeen
        = Core::steadyNow() - m_state.ownerMonitor.formerOwnerSeenAt();
    ownership.formerLeasesEndAt = Core::suspendAwareNow() - sinceFormerOwnerSeen
        + settings.longestOnOwnersClock(longestLeaseOf(*former));
    ownership.areFormerStartsRecorded = former->maxLeaseAfterProofMs != 0;
    ownership.areFormerCommandsBound = former->areCommandsBound;
    // An owner of a former version doesn't know what a worker's next process has taken over.
    if (former->areCommandsBound)
        ownership.formerLeaseEnds = m_state.leaseSuspensions.leaseEnds(former->term, settings);
    return ownership;
}

asio::awaitable<bool> OwnerElection::claim()
{
    // The owner may seem silent only because this node's own reads are delayed.
    const bool isCurrent = co_await m_follower.refresh(Core::steadyNow() + refreshTimeout);
    if (!isCurrent || !isClaimable())
        co_return false;
    const std::optional<Jobs::OwnerClaim> former = m_state.ownerMonitor.claim();
    const Core::Instant provenAt = Core::suspendAwareNow();
    const Jobs::OwnerClaim claim = makeClaim(former);
    std::vector<Jobs::StoredRecord> records = Jobs::encodeRecord(claim);
    std::string failure;
    try {
        const Core::Instant deadline = Core::steadyNow() + appendTimeout;
        co_await m_log.appendAt(std::move(records), m_follower.nextOffset(), deadline);
    } catch (const Core::Error &error) {
        failure = error.what();
    }
    // Whatever the outcome of the append, the log shows whose claim is valid.
    const bool isRead = co_await m_follower.refresh(Core::steadyNow() + refreshTimeout);
    const bool isOurs
        = m_state.ownerMonitor.isOwner() && m_state.ownerMonitor.claim()->term == claim.term;
    LOG4CXX_INFO(partLogger,
                 "event=claim term=" << claim.term << " won=" << isOurs
                                     << " former=" << (former ? former->node : "none")
                                     << " reason=\"" << failure << '"');
    if (!isRead || !isOurs)
        co_return false;
    const std::int64_t epoch = m_state.ownerMonitor.claimOffset() + 1;
    const bool isFenced = co_await fence(epoch);
    if (!isFenced)
        co_return false;
    // The former owner is fenced off, so this read returns everything that it has written.
    const bool isComplete = co_await m_follower.refresh(Core::steadyNow() + refreshTimeout);
    if (!isComplete || m_state.ownerMonitor.claimOffset() + 1 != epoch || m_state.isLeaving)
        co_return false;
    m_session = std::make_unique<OwnerSession>(m_state, m_log, m_workers, m_decoder, m_follower,
                                               m_executor, makeOwnership(former, provenAt));
    co_return true;
}

asio::awaitable<bool> OwnerElection::fence(std::int64_t epoch)
{
    std::string failure;
    try {
        const FencedWriter writer { epoch, 0 };
        std::vector<Jobs::StoredRecord> noRecords;
        co_await m_log.appendFenced(std::move(noRecords), writer,
                                    Core::steadyNow() + appendTimeout);
        co_return true;
    } catch (const Core::Error &error) {
        failure = error.what();
    }
    LOG4CXX_WARN(partLogger,
                 "event=fence-failed epoch=" << epoch << " reason=\"" << failure << '"');
    co_return false;
}

} // namespace Site
