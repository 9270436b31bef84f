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

class GuardedLease : public LeaseManager
{
public:
    using LeaseManager::Guards;
    GuardedLease(const LeaseSettings &settings, Core::Instant now, Guards guards)
        : LeaseManager(settings, now, guards)
    {
    }
};

class GuardedMembership : public MembershipManager
{
public:
    using MembershipManager::Guards;
    GuardedMembership(LeaseManager &lease, MembershipSettings settings, Core::Instant now,
                      Guards guards)
        : MembershipManager(lease, settings, now, guards)
    {
    }
};

struct SimulationSettings
{
    LeaseSettings lease;
    MembershipSettings membership;
    GuardedLease::Guards leaseGuards {};
    GuardedMembership::Guards membershipGuards {};
    int positions = 3;
    Core::Duration logLatency = std::chrono::milliseconds(5);
    Core::Duration readInterval = std::chrono::milliseconds(100);
    /// Each clock runs faster or slower than the true time by at most this many hundred
    /// thousandths.
    int clockRateSpread = 450;
    bool hasChangingDemand = false;
};

/// The entry VMs of one failure domain, their links and the log, in virtual time. Each position
/// holds one VM at a time. After each event the invariants are checked at the true time.
class LeaseSimulation
{
public:
    LeaseSimulation(const SimulationSettings &settings, std::uint32_t seed);

    void advance(Core::Duration length);
    void cutPeers(unsigned groupMask);
    void cutLog(unsigned mask) { m_logCuts = mask; }
    /// Appends of these positions fail or land late, while reads go on.
    void cutAppends(unsigned mask) { m_appendCuts = mask; }
    void setLogOutage(bool isOut) { m_isLogOut = isOut; }
    /// Lets messages and appends be late, and answers be lost after the effect.
    void setRough(bool isRough) { m_isRough = isRough; }
    void heal();
    void pause(int position, Core::Duration length);
    void kill(int position);
    /// Starts a new run on the same VM, or on a new one.
    void start(int position, bool isNewVm);
    void release(int position);
    void append(const LeaseRecord &record) { m_log.push_back(record); }
    /// Lets the log forget what the latest snapshot makes up for.
    void expireRecords();

    /// The position of the holder; -1 if there is none.
    int holder() const;
    /// Advances until somebody holds; returns how long that took, \p limit if nobody did.
    Core::Duration timeToHolder(Core::Duration limit);
    /// Empty as long as no invariant was broken.
    const std::string &violation() const { return m_violation; }
    const LeaseManager &lease(int position) const { return *m_processes.at(position)->lease; }
    ShareLimit limit(int position) const;
    void keepDemand() { m_settings.hasChangingDemand = false; }
    void setDemand(int position, int slots) { m_processes[position]->membership->setDemand(slots); }
    Core::Duration now() const { return m_now; }

private:
    struct Process
    {
        Incarnation id;
        int position = 0;
        double rate = 1;
        Core::Duration offset { 0 };
        std::unique_ptr<GuardedLease> lease;
        std::unique_ptr<GuardedMembership> membership;
        std::unique_ptr<SlotShares> shares;
        Core::Duration pausedUntil { 0 };
        std::size_t nextOffset = 0;
        bool hasStartedReading = false;
        bool isReading = false;
        bool isAlive = true;
        Core::Duration nextPoll { 0 };
        std::array<std::vector<Core::Duration>, 2> inWork;

        Core::Instant local(Core::Duration trueTime) const;
        Core::Duration toTrue(Core::Instant localTime) const;
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
    void applyRead(const ProcessPointer &process, std::size_t end, Core::Instant began);
    void append(const ProcessPointer &process, const LeaseRecord &record);
    void report(const ProcessPointer &process, const LeaseRecord &record, AppendOutcome outcome,
                Core::Duration delay);
    void send(const ProcessPointer &process, const SendPromiseRequest &action);
    void updateCandidates(const ProcessPointer &process);
    void useShares(Process &process);
    void checkLeases();
    void checkShares();
    void fail(const std::string &what);
    bool isLinked(int left, int right) const;
    bool reachesLog(int position) const;
    bool chance(int percent);
    Core::Duration between(Core::Duration low, Core::Duration high);
    Core::Duration linkDelay();

    SimulationSettings m_settings;
    std::mt19937 m_random;
    Core::Duration m_now { 0 };
    std::uint64_t m_order = 0;
    std::uint64_t m_vmCount = 0;
    std::uint64_t m_runCount = 0;
    std::priority_queue<Event> m_events;
    std::vector<ProcessPointer> m_processes;
    std::vector<LeaseRecord> m_log;
    std::size_t m_firstRetained = 0;
    unsigned m_group = 0;
    unsigned m_logCuts = 0;
    unsigned m_appendCuts = 0;
    bool m_isLogOut = false;
    bool m_isRough = false;
    /// The latest moment until which a command of each epoch is valid.
    std::map<std::uint64_t, Core::Duration> m_commandsUntil;
    /// Requests of dead processes, by backend server.
    std::array<std::vector<Core::Duration>, 2> m_leftBehind;
    std::string m_violation;
};

} // namespace Lease
