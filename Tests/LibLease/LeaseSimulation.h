#pragma once

#include <LibLease/LeaseManager.h>
#include <LibLease/MembershipManager.h>
#include <LibLease/SlotShares.h>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace Lease {

class LeaseManagerUnderTest : public LeaseManager
{
public:
    using LeaseManager::Guards;
    LeaseManagerUnderTest(const LeaseSettings &settings, Core::Instant now, Guards guards)
        : LeaseManager(settings, now, guards)
    {
    }
};

class MembershipManagerUnderTest : public MembershipManager
{
public:
    using MembershipManager::Guards;
    MembershipManagerUnderTest(LeaseManager &lease, MembershipSettings settings, Core::Instant now,
                               Guards guards)
        : MembershipManager(lease, settings, now, guards)
    {
    }
};

struct SimulationSettings
{
    LeaseSettings lease;
    MembershipSettings membership;
    LeaseManagerUnderTest::Guards leaseGuards {};
    MembershipManagerUnderTest::Guards membershipGuards {};
    int positions = 3;
    Core::Duration logLatency = std::chrono::milliseconds(5);
    Core::Duration readInterval = std::chrono::milliseconds(100);
    /// The maximum difference of each clock's rate from the true rate, in hundred-thousandths.
    int clockRateSpread = 450;
    bool hasChangingDemand = false;
};

/// Simulates the entry VMs of one failure domain, the network between them and the log in virtual
/// time. Each position has one VM at a time. The invariants of the lease are checked after each
/// event, and those of the shares at every tick, both at the true time.
class LeaseSimulation
{
public:
    LeaseSimulation(const SimulationSettings &settings, std::uint32_t seed);

    void advance(Core::Duration length);
    void cutPeers(unsigned groupMask);
    void cutLog(unsigned mask) { m_logCutMask = mask; }
    /// Makes appends of these positions fail or arrive late, while reads continue.
    void cutAppends(unsigned mask) { m_appendCutMask = mask; }
    void setLogOutage(bool isOut) { m_isLogOut = isOut; }
    /// Delays messages, reads and appends, and leaves the outcome of many appends unknown.
    void setUnreliableNetwork(bool isRough) { m_isNetworkUnreliable = isRough; }
    void heal();
    void pause(int position, Core::Duration length);
    void kill(int position);
    /// Starts a new process, on the same VM or on a new one.
    void start(int position, bool isNewVm);
    void release(int position);
    void append(const LeaseRecord &record) { m_log.push_back(record); }
    /// Removes the records from the log that the latest snapshot replaces.
    void expireRecords();

    /// The position of the holder; -1 if there is none.
    int holder() const;
    /// Advances until a VM holds the lease, but not beyond \p timeout. Returns the elapsed time.
    Core::Duration advanceUntilHolder(Core::Duration timeout);
    /// The first violation of an invariant; empty if there was none.
    const std::string &violation() const { return m_violation; }
    const LeaseManager &lease(int position) const { return *m_processes.at(position)->lease; }
    ShareLimit shareLimit(int position) const;
    void freezeDemand() { m_settings.hasChangingDemand = false; }
    void setDemand(int position, int slots) { m_processes[position]->membership->setDemand(slots); }
    Core::Duration now() const { return m_now; }

private:
    struct Process
    {
        Incarnation id;
        int position = 0;
        double clockRate = 1;
        Core::Duration clockOffset { 0 };
        std::unique_ptr<LeaseManagerUnderTest> lease;
        std::unique_ptr<MembershipManagerUnderTest> membership;
        std::unique_ptr<SlotShares> shares;
        Core::Duration pausedUntil { 0 };
        std::size_t nextOffset = 0;
        bool hasStartedReading = false;
        bool isReading = false;
        bool isAlive = true;
        Core::Duration nextPoll { 0 };
        std::array<std::vector<Core::Duration>, 2> activeRequests;

        Core::Instant toLocalTime(Core::Duration trueTime) const;
        Core::Duration toTrueTime(Core::Instant localTime) const;
    };
    using ProcessPointer = std::shared_ptr<Process>;
    struct Event
    {
        Core::Duration at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void schedule(Core::Duration delay, std::function<void()> action);
    void scheduleOn(const ProcessPointer &process, Core::Duration delay,
                    std::function<void()> action);
    void tick();
    void poll(const ProcessPointer &process);
    void read(const ProcessPointer &process);
    void applyRead(const ProcessPointer &process, std::size_t end, Core::Instant readBegan);
    void append(const ProcessPointer &process, const LeaseRecord &record);
    void reportOutcome(const ProcessPointer &process, const LeaseRecord &record,
                       AppendOutcome outcome, Core::Duration delay);
    void send(const ProcessPointer &process, const SendPromiseRequest &action);
    void updateCandidates(const ProcessPointer &process);
    void simulateRequests(Process &process);
    void checkLeases();
    void checkShares();
    void recordViolation(const std::string &what);
    bool isConnected(int first, int second) const;
    bool reachesLog(int position) const;
    bool randomChance(int percent);
    Core::Duration randomDuration(Core::Duration low, Core::Duration high);
    Core::Duration randomNetworkDelay();

    SimulationSettings m_settings;
    std::mt19937 m_random;
    Core::Duration m_now { 0 };
    std::uint64_t m_order = 0;
    std::uint64_t m_lastVmNumber = 0;
    std::uint64_t m_lastRunNumber = 0;
    std::priority_queue<Event> m_events;
    std::vector<ProcessPointer> m_processes;
    std::vector<LeaseRecord> m_log;
    std::size_t m_firstRetained = 0;
    unsigned m_partitionMask = 0;
    unsigned m_logCutMask = 0;
    unsigned m_appendCutMask = 0;
    bool m_isLogOut = false;
    bool m_isNetworkUnreliable = false;
    /// The latest time at which a command of each epoch is still valid.
    std::map<std::uint64_t, Core::Duration> m_commandsUntil;
    /// The end times of the requests of dead processes, by backend server.
    std::array<std::vector<Core::Duration>, 2> m_orphanedRequests;
    std::string m_violation;
};

} // namespace Lease
