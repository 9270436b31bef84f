#pragma once

#include "Metrics.h"
#include "VmState.h"
#include <LibSupervision/Wakeup.h>

#include <LibCore/Identifier.h>
#include <LibLease/LeaseManager.h>
#include <LibLease/MembershipManager.h>
#include <LibLease/SlotShares.h>
#include <LibPeer/TcpPeerClient.h>
#include <LibPlatform/Http/HttpLogService.h>
#include <LibPlatform/Http/HttpVmDirectory.h>
#include <LibPlatform/Http/HttpWorkerControl.h>
#include <LibPlatform/VmEntry.h>
#include <LibRules/FreshnessGate.h>
#include <LibRules/RuleReplica.h>
#include <LibSettings/Settings.h>
#include <LibTask/DomainPlacer.h>
#include <LibTask/SchedulerFactory.h>

#include <boost/asio/any_io_executor.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Daemon {

/// Returns the name of the stream of \p failureDomain.
std::string domainStream(const Core::FailureDomainId &failureDomain);
inline constexpr const char *rulesStream = "rules";

/// The state of one entry VM that the parts of the daemon share: the decision modules, the clients
/// of the platform and of peers, and the latest state of each peer. Used in one thread only.
class Node
{
public:
    Node(const Settings::Settings &settings, const boost::asio::any_io_executor &executor);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /// A peer's latest answer, and when the call was sent.
    struct PeerState
    {
        VmState state;
        Core::Instant askedAt;
    };

    const Settings::Settings &settings() const { return m_settings; }
    const boost::asio::any_io_executor &executor() const { return m_executor; }
    const std::string &run() const { return m_run; }
    Metrics &metrics() { return m_metrics; }

    Platform::LogService &log() { return m_log; }
    Platform::WorkerControl &workers() { return m_workers; }
    Platform::VmDirectory &directory() { return m_directory; }
    Peer::TcpPeerClient &peers() { return m_peers; }

    Rules::RuleReplica &ruleReplica() { return m_ruleReplica; }
    Rules::FreshnessGate &freshness() { return m_freshness; }
    Lease::LeaseManager &lease() { return m_lease; }
    Lease::MembershipManager &membership() { return m_membership; }
    const Lease::SlotShares &shares() const { return m_shares; }
    Task::DomainPlacer &placer() { return *m_placer; }
    /// Replaces the placer by an empty one, since the stream is read again from another offset.
    void resetPlacer();

    /// Passes the rules to all decision modules after a change of the rules or of the VMs.
    void applyRules();
    void setVms(const std::vector<Platform::VmEntry> &vms);
    const std::vector<Platform::VmEntry> &vms() const { return m_vms; }
    /// Returns the known entry VMs except this one.
    std::vector<Platform::VmEntry> peerVms() const;
    /// Returns the failure domains of all known VMs.
    std::vector<Core::FailureDomainId> failureDomains() const;

    void setPeerState(const PeerState &peerState);
    const std::map<Core::VmId, PeerState> &peerStates() const { return m_peerStates; }
    /// True if the peer has answered a recent call.
    bool isReachable(const PeerState &peerState, Core::Instant now) const;
    VmState ownState(Core::Instant now) const;
    /// Passes the states of the reachable peers to the lease manager and the placer.
    void applyPeerStates(Core::Instant now);

    /// True while this VM can serve requests.
    bool isReady(Core::Instant now) const;
    bool isLeaving() const { return m_isLeaving; }
    void beginLeaving() { m_isLeaving = true; }

    void setQueued(std::uint64_t queued) { m_queued = queued; }
    /// Returns an ID that is unique over all entry VMs and all runs of their processes.
    std::string makeId(const std::string &prefix);

    /// Wake the parts that run the decision modules.
    Supervision::Wakeup &leaseWakeup() { return m_leaseWakeup; }
    Supervision::Wakeup &placerWakeup() { return m_placerWakeup; }
    Supervision::Wakeup &rulesWakeup() { return m_rulesWakeup; }
    Supervision::Wakeup &domainWakeup() { return m_domainWakeup; }

private:
    Settings::Settings m_settings;
    boost::asio::any_io_executor m_executor;
    std::string m_run;
    Metrics m_metrics;
    Platform::HttpLogService m_log;
    Platform::HttpWorkerControl m_workers;
    Platform::HttpVmDirectory m_directory;
    Peer::TcpPeerClient m_peers;
    Rules::RuleReplica m_ruleReplica;
    Rules::FreshnessGate m_freshness;
    Lease::LeaseManager m_lease;
    Lease::MembershipManager m_membership;
    Lease::SlotShares m_shares;
    std::unique_ptr<Task::SchedulerFactory> m_schedulers;
    std::unique_ptr<Task::DomainPlacer> m_placer;
    std::vector<Platform::VmEntry> m_vms;
    std::map<Core::VmId, PeerState> m_peerStates;
    Supervision::Wakeup m_leaseWakeup;
    Supervision::Wakeup m_placerWakeup;
    Supervision::Wakeup m_rulesWakeup;
    Supervision::Wakeup m_domainWakeup;
    bool m_isLeaving = false;
    std::uint64_t m_queued = 0;
    std::uint64_t m_lastId = 0;
};

} // namespace Daemon
