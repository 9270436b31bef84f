#include <utility>

#include "Node.h"

#include <LibCore/SteadyClock.h>
#include <LibPlacement/InformedScheduler.h>

#include <algorithm>
#include <random>
#include <set>

namespace Daemon {

/// A peer that hasn't answered for this long isn't reachable.
static constexpr Core::Duration reachableFor = std::chrono::milliseconds(2500);
static constexpr int runNameDigits = 12;

namespace {

class InformedSchedulerFactory final : public Task::SchedulerFactory
{
public:
    explicit InformedSchedulerFactory(const Node &node)
        : m_node(node)
    {
    }

    std::unique_ptr<Placement::Scheduler> create() const override
    {
        Placement::SchedulerSettings settings;
        settings.failureDomain = m_node.settings().failureDomain;
        // The quotas are divided between the failure domains that are known when the placer takes
        // over.
        settings.failureDomainCount = static_cast<int>(m_node.failureDomains().size());
        return Placement::InformedScheduler::create(settings);
    }

private:
    const Node &m_node;
};

std::string makeRunName()
{
    static constexpr char digits[] = "0123456789abcdef";
    std::random_device device;
    std::uniform_int_distribution<int> digit(0, 15);
    std::string name;
    for (int count = 0; count < runNameDigits; ++count)
        name += digits[digit(device)];
    return name;
}

Lease::LeaseSettings leaseSettings(const Settings::Settings &settings, const std::string &run)
{
    Lease::LeaseSettings lease;
    lease.self = { settings.vmId, run };
    lease.leaseLength = settings.leaseLength;
    lease.renewInterval = settings.leaseLength * 3 / 10;
    lease.witnessTimeout = settings.leaseLength * 65 / 100;
    lease.joinDelay = settings.leaseLength / 2;
    lease.logSilenceBound = settings.logSilenceBound;
    lease.snapshotInterval = settings.snapshotAge;
    return lease;
}

Task::PlacerSettings placerSettings(const Settings::Settings &settings)
{
    Task::PlacerSettings placer;
    placer.domain = settings.failureDomain;
    placer.self = settings.vmId;
    placer.taskLeaseLength = settings.taskLeaseLength;
    placer.snapshotInterval = settings.snapshotAge;
    return placer;
}

std::vector<Platform::VmEntry> knownPeers(const Settings::Settings &settings)
{
    std::vector<Platform::VmEntry> vms;
    for (const Settings::KnownPeer &peer : settings.knownPeers) {
        Platform::VmEntry vm;
        vm.id = peer.id;
        vm.kind = Platform::VmKind::EntryVm;
        vm.failureDomain = peer.failureDomain;
        vm.address = peer.address;
        vm.port = peer.peerPort;
        vm.callerPort = peer.callerPort;
        vms.push_back(vm);
    }
    return vms;
}

} // namespace

std::string domainStream(const Core::FailureDomainId &failureDomain)
{
    return "domain." + failureDomain.text();
}

Node::Node(const Settings::Settings &settings, const boost::asio::any_io_executor &executor)
    : m_settings(settings)
    , m_executor(executor)
    , m_run(makeRunName())
    , m_log(executor, { settings.platformAddress, settings.platformPort })
    , m_workers(executor, { settings.platformAddress, settings.platformPort })
    , m_directory(executor, { settings.platformAddress, settings.platformPort })
    , m_peers(executor)
    , m_freshness(settings.rulesFreshness)
    , m_lease(leaseSettings(settings, m_run), Core::steadyNow())
    , m_membership(m_lease, {}, Core::steadyNow())
    , m_shares(m_membership)
    , m_schedulers(std::make_unique<InformedSchedulerFactory>(*this))
    , m_leaseWakeup(executor)
    , m_placerWakeup(executor)
    , m_rulesWakeup(executor)
    , m_domainWakeup(executor)
{
    resetPlacer();
    setVms(knownPeers(settings));
}

Node::~Node() = default;

void Node::resetPlacer()
{
    m_placer = std::make_unique<Task::DomainPlacer>(*m_schedulers, placerSettings(m_settings));
    m_placer->setWorkers(m_vms, Core::steadyNow());
    applyRules();
}

void Node::applyRules()
{
    const Rules::RuleVersion &current = m_ruleReplica.current();
    m_placer->setRules(current.rules, current.number);
    m_metrics.setRulesVersion(static_cast<double>(current.number));
    m_placerWakeup.wake();
}

void Node::setVms(const std::vector<Platform::VmEntry> &vms)
{
    m_vms = vms;
    std::vector<Peer::PeerAddress> addresses;
    for (const Platform::VmEntry &vm : peerVms())
        addresses.push_back({ vm.id, vm.address, vm.port });
    m_peers.setPeers(addresses);
    m_placer->setWorkers(m_vms, Core::steadyNow());
    m_placerWakeup.wake();
}

std::vector<Platform::VmEntry> Node::peerVms() const
{
    std::vector<Platform::VmEntry> peers;
    for (const Platform::VmEntry &vm : m_vms) {
        if (vm.kind == Platform::VmKind::EntryVm && vm.id != m_settings.vmId)
            peers.push_back(vm);
    }
    return peers;
}

std::vector<Core::FailureDomainId> Node::failureDomains() const
{
    std::set<Core::FailureDomainId> domains { m_settings.failureDomain };
    for (const Platform::VmEntry &vm : m_vms)
        domains.insert(vm.failureDomain);
    return { domains.begin(), domains.end() };
}

void Node::setPeerState(const PeerState &peerState)
{
    m_peerStates[peerState.state.vm] = peerState;
}

bool Node::isReachable(const PeerState &peerState, Core::Instant now) const
{
    return now - peerState.askedAt < reachableFor;
}

VmState Node::ownState(Core::Instant now) const
{
    VmState state;
    state.vm = m_settings.vmId;
    state.run = m_run;
    state.failureDomain = m_settings.failureDomain;
    state.isLeaving = m_isLeaving;
    state.isPlacer = m_lease.isHolder(now);
    state.free = m_placer->spareResources();
    state.rulesVersion = m_ruleReplica.current().number;
    state.queued = m_queued;
    return state;
}

void Node::applyPeerStates(Core::Instant now)
{
    std::vector<Lease::Incarnation> candidates;
    std::map<Core::FailureDomainId, Task::PeerDomain> domains;
    for (const Platform::VmEntry &vm : peerVms()) {
        const auto known = m_peerStates.find(vm.id);
        if (known == m_peerStates.end() || !isReachable(known->second, now))
            continue;
        const VmState &state = known->second.state;
        if (state.failureDomain == m_settings.failureDomain) {
            if (!state.isLeaving && vm.state == Platform::VmState::Live)
                candidates.push_back({ state.vm, state.run });
        } else if (state.isPlacer) {
            domains[state.failureDomain] = { state.failureDomain, state.free, true };
        }
    }
    m_lease.setCandidates(candidates, now);
    std::vector<Task::PeerDomain> peerDomains;
    peerDomains.reserve(domains.size());
    for (const auto &[domain, peerDomain] : domains)
        peerDomains.push_back(peerDomain);
    m_placer->setPeerDomains(peerDomains);
}

bool Node::isReady(Core::Instant now) const
{
    return !m_isLeaving && !m_membership.effectiveViews(now).empty();
}

std::string Node::makeId(const std::string &prefix)
{
    return prefix + '-' + m_settings.vmId.text() + '-' + m_run + '-' + std::to_string(++m_lastId);
}

} // namespace Daemon
