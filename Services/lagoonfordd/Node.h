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
#include <LibRules/RuleBook.h>
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

/// The name of the stream of \p failureDomain.
std::string domainStream(const Core::FailureDomainId &failureDomain);
inline constexpr const char *rulesStream = "rules";

/// What one entry VM knows and decides with: the decision modules, the links to the outside, and
/// the latest word of every peer. The parts of the daemon work on it, all in one thread.
class Node
{
public:
    Node(const Settings::Settings &settings, const boost::asio::any_io_executor &executor);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /// A peer's latest answer and when it was asked.
    struct PeerWord
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

    Rules::RuleBook &ruleBook() { return m_ruleBook; }
    Rules::FreshnessGate &freshness() { return m_freshness; }
    Lease::LeaseManager &lease() { return m_lease; }
    Lease::MembershipManager &membership() { return m_membership; }
    const Lease::SlotShares &shares() const { return m_shares; }
    Task::DomainPlacer &placer() { return *m_placer; }
    /// Begins the life of tasks anew, because the stream is read from another place.
    void resetPlacer();

    /// The rules came into force, or the VMs changed.
    void applyRules();
    void setVms(const std::vector<Platform::VmEntry> &vms);
    const std::vector<Platform::VmEntry> &vms() const { return m_vms; }
    /// The entry VMs that are known, without this one.
    std::vector<Platform::VmEntry> peerVms() const;
    /// The failure domains of all known VMs.
    std::vector<Core::FailureDomainId> failureDomains() const;

    void setPeerWord(const PeerWord &word);
    const std::map<Core::VmId, PeerWord> &peerWords() const { return m_peerWords; }
    /// True if the peer answered lately.
    bool isInReach(const PeerWord &word, Core::Instant now) const;
    VmState ownState(Core::Instant now) const;
    /// Hands what peers said to the lease and the placer.
    void applyPeerWords(Core::Instant now);

    /// True while requests can be answered here.
    bool isReady(Core::Instant now) const;
    bool isLeaving() const { return m_isLeaving; }
    void beginLeaving() { m_isLeaving = true; }

    void setQueued(std::uint64_t queued) { m_queued = queued; }
    /// An id that no other entry VM and no earlier run makes.
    std::string makeId(const std::string &prefix);

    /// Wakes the parts that drive the machines.
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
    Rules::RuleBook m_ruleBook;
    Rules::FreshnessGate m_freshness;
    Lease::LeaseManager m_lease;
    Lease::MembershipManager m_membership;
    Lease::SlotShares m_shares;
    std::unique_ptr<Task::SchedulerFactory> m_schedulers;
    std::unique_ptr<Task::DomainPlacer> m_placer;
    std::vector<Platform::VmEntry> m_vms;
    std::map<Core::VmId, PeerWord> m_peerWords;
    Supervision::Wakeup m_leaseWakeup;
    Supervision::Wakeup m_placerWakeup;
    Supervision::Wakeup m_rulesWakeup;
    Supervision::Wakeup m_domainWakeup;
    bool m_isLeaving = false;
    std::uint64_t m_queued = 0;
    std::uint64_t m_lastId = 0;
};

} // namespace Daemon
