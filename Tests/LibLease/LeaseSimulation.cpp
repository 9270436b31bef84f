#include "LeaseSimulation.h"

#include <algorithm>

namespace Lease {

using namespace std::chrono_literals;

static constexpr Core::Duration tickLength = 40ms;
/// The capacities of two backend servers: one models slots, the other one connections.
static constexpr std::array<int, 2> capacities { 8, 64 };

Core::Instant LeaseSimulation::Process::toLocalTime(Core::Duration trueTime) const
{
    const auto scaled = static_cast<double>(trueTime.count()) * clockRate;
    return Core::Instant(clockOffset + Core::Duration(static_cast<std::int64_t>(scaled)));
}

Core::Duration LeaseSimulation::Process::toTrueTime(Core::Instant localTime) const
{
    const auto scaled
        = static_cast<double>((localTime.time_since_epoch() - clockOffset).count()) / clockRate;
    return Core::Duration(static_cast<std::int64_t>(scaled));
}

LeaseSimulation::LeaseSimulation(const SimulationSettings &settings, std::uint32_t seed)
    : m_settings(settings)
    , m_random(seed)
{
    m_processes.resize(settings.positions);
    for (int position = 0; position < settings.positions; ++position)
        start(position, true);
    schedule(0ms, [this] { tick(); });
}

void LeaseSimulation::advance(Core::Duration length)
{
    const Core::Duration end = m_now + length;
    while (!m_events.empty() && m_events.top().at <= end && m_violation.empty()) {
        // The queue only gives const access, but the element is removed immediately.
        const Event event = std::move(const_cast<Event &>(m_events.top()));
        m_events.pop();
        m_now = std::max(m_now, event.at);
        event.action();
        checkLeases();
    }
    m_now = end;
}

void LeaseSimulation::cutPeers(unsigned groupMask)
{
    m_partitionMask = groupMask;
}

void LeaseSimulation::heal()
{
    m_partitionMask = 0;
    m_logCutMask = 0;
    m_appendCutMask = 0;
    m_isLogOut = false;
    m_isNetworkUnreliable = false;
}

void LeaseSimulation::pause(int position, Core::Duration length)
{
    Process &process = *m_processes[position];
    process.pausedUntil = std::max(process.pausedUntil, m_now + length);
}

void LeaseSimulation::kill(int position)
{
    Process &process = *m_processes[position];
    process.isAlive = false;
    for (std::size_t server = 0; server < capacities.size(); ++server) {
        std::vector<Core::Duration> &orphaned = m_orphanedRequests[server];
        orphaned.insert(orphaned.end(), process.activeRequests[server].begin(),
                        process.activeRequests[server].end());
        process.activeRequests[server].clear();
    }
}

void LeaseSimulation::start(int position, bool isNewVm)
{
    const ProcessPointer former = m_processes[position];
    auto process = std::make_shared<Process>();
    if (former) {
        kill(position);
        process->clockRate = former->clockRate;
        process->clockOffset = former->clockOffset;
        process->id.vm = former->id.vm;
    }
    if (isNewVm) {
        process->id.vm = Core::VmId("vm" + std::to_string(++m_lastVmNumber));
        std::uniform_int_distribution<int> spread(-m_settings.clockRateSpread,
                                                  m_settings.clockRateSpread);
        process->clockRate = 1 + spread(m_random) / 1e5;
        process->clockOffset = randomDuration(0s, 1h);
    }
    process->id.runId = "r" + std::to_string(++m_lastRunNumber);
    process->position = position;
    LeaseSettings settings = m_settings.lease;
    settings.self = process->id;
    const Core::Instant localNow = process->toLocalTime(m_now);
    process->lease
        = std::make_unique<LeaseManagerUnderTest>(settings, localNow, m_settings.leaseGuards);
    process->membership = std::make_unique<MembershipManagerUnderTest>(
        *process->lease, m_settings.membership, localNow, m_settings.membershipGuards);
    process->shares = std::make_unique<SlotShares>(*process->membership);
    m_processes[position] = process;
    read(process);
}

void LeaseSimulation::release(int position)
{
    Process &process = *m_processes[position];
    process.lease->release(process.toLocalTime(m_now));
}

void LeaseSimulation::expireRecords()
{
    for (const LeaseRecord &record : m_log) {
        if (const auto *snapshot = std::get_if<LeaseSnapshotRecord>(&record))
            m_firstRetained = snapshot->end;
    }
}

int LeaseSimulation::holder() const
{
    for (const ProcessPointer &process : m_processes) {
        if (process->isAlive && process->lease->isHolder(process->toLocalTime(m_now)))
            return process->position;
    }
    return -1;
}

Core::Duration LeaseSimulation::advanceUntilHolder(Core::Duration timeout)
{
    const Core::Duration startedAt = m_now;
    while (holder() < 0 && m_now - startedAt < timeout)
        advance(5ms);
    return m_now - startedAt;
}

ShareLimit LeaseSimulation::shareLimit(int position) const
{
    const Process &process = *m_processes[position];
    return process.shares->limitFor(Core::VmId("worker"), capacities[0], capacities[1],
                                    process.toLocalTime(m_now));
}

void LeaseSimulation::schedule(Core::Duration delay, std::function<void()> action)
{
    m_events.push({ m_now + delay, ++m_order, std::move(action) });
}

void LeaseSimulation::scheduleOn(const ProcessPointer &process, Core::Duration delay,
                                 std::function<void()> action)
{
    schedule(delay, [this, process, action = std::move(action)] {
        if (!process->isAlive)
            return;
        if (m_now < process->pausedUntil) {
            scheduleOn(process, process->pausedUntil - m_now, action);
            return;
        }
        action();
        poll(process);
    });
}

void LeaseSimulation::tick()
{
    schedule(tickLength, [this] { tick(); });
    for (const ProcessPointer &process : m_processes) {
        if (!process->isAlive || m_now < process->pausedUntil)
            continue;
        // On an unreliable network the list of reachable peers is updated late.
        if (!m_isNetworkUnreliable || randomChance(10))
            updateCandidates(process);
        if (m_now >= process->nextPoll)
            poll(process);
        simulateRequests(*process);
    }
    checkShares();
}

void LeaseSimulation::poll(const ProcessPointer &process)
{
    const Core::Instant localNow = process->toLocalTime(m_now);
    for (const LeaseAction &action : process->membership->poll(localNow)) {
        if (const auto *message = std::get_if<SendPromiseRequest>(&action))
            send(process, *message);
        else
            append(process, std::get<AppendRecord>(action).record);
    }
    process->nextPoll = process->toTrueTime(process->lease->nextWakeUp(localNow));
}

void LeaseSimulation::read(const ProcessPointer &process)
{
    scheduleOn(process, m_settings.readInterval, [this, process] { read(process); });
    if (!reachesLog(process->position)) {
        process->lease->onLogUnreachable();
        return;
    }
    if (process->isReading)
        return;
    process->isReading = true;
    const Core::Instant readBegan = process->toLocalTime(m_now);
    schedule(m_settings.logLatency / 2, [this, process, readBegan] {
        const std::size_t end = m_log.size();
        scheduleOn(process,
                   m_settings.logLatency / 2 + (m_isNetworkUnreliable ? randomNetworkDelay() : 0ms),
                   [this, process, end, readBegan] { applyRead(process, end, readBegan); });
    });
}

void LeaseSimulation::applyRead(const ProcessPointer &process, std::size_t end,
                                Core::Instant readBegan)
{
    process->isReading = false;
    const Core::Instant localNow = process->toLocalTime(m_now);
    if (!process->hasStartedReading) {
        process->hasStartedReading = true;
        process->nextOffset = m_firstRetained;
        process->lease->onStreamStart(m_firstRetained, localNow);
    }
    for (; process->nextOffset < end; ++process->nextOffset)
        process->lease->onRecord(process->nextOffset, m_log[process->nextOffset], localNow);
    process->lease->onCaughtUp(process->nextOffset, readBegan);
}

void LeaseSimulation::append(const ProcessPointer &process, const LeaseRecord &record)
{
    const auto appendToLog = [this, record] { m_log.push_back(record); };
    const bool isCut = (m_appendCutMask >> process->position & 1U) != 0;
    const bool isReached = reachesLog(process->position) && !isCut;
    if (!isReached && randomChance(50)) {
        reportOutcome(process, record, AppendOutcome::NotAppended, m_settings.logLatency);
        return;
    }
    if (!isReached || (m_isNetworkUnreliable && randomChance(40))) {
        if (randomChance(70))
            schedule(randomDuration(0ms, 3s), appendToLog);
        reportOutcome(process, record, AppendOutcome::Unknown, 100ms);
        return;
    }
    schedule(m_settings.logLatency / 2, appendToLog);
    reportOutcome(process, record, AppendOutcome::Appended, m_settings.logLatency);
}

void LeaseSimulation::reportOutcome(const ProcessPointer &process, const LeaseRecord &record,
                                    AppendOutcome outcome, Core::Duration delay)
{
    scheduleOn(process, delay, [this, process, id = recordId(record), outcome] {
        process->lease->onAppendOutcome(id, outcome);
        if (outcome == AppendOutcome::Appended)
            read(process);
    });
}

void LeaseSimulation::send(const ProcessPointer &process, const SendPromiseRequest &action)
{
    const auto receiver
        = std::find_if(m_processes.begin(), m_processes.end(),
                       [&](const ProcessPointer &peer) { return peer->id.vm == action.to.vm; });
    if (receiver == m_processes.end() || !isConnected(process->position, (*receiver)->position))
        return;
    const int position = (*receiver)->position;
    schedule(randomNetworkDelay(), [this, process, position, request = action.request] {
        const ProcessPointer peer = m_processes[position];
        if (peer->id.vm != request.to.vm)
            return;
        scheduleOn(peer, 0ms, [this, process, peer, request] {
            const PromiseResponse response
                = peer->membership->onPromiseRequest(request, peer->toLocalTime(m_now));
            if (!isConnected(process->position, peer->position))
                return;
            scheduleOn(process, randomNetworkDelay(), [this, process, response] {
                process->membership->onPromiseResponse(response, process->toLocalTime(m_now));
            });
        });
    });
}

void LeaseSimulation::updateCandidates(const ProcessPointer &process)
{
    std::vector<Incarnation> candidates;
    for (const ProcessPointer &peer : m_processes) {
        const bool isUp = peer->isAlive && m_now < peer->pausedUntil + 100ms;
        const bool isResponsive = peer->isAlive && m_now >= peer->pausedUntil;
        if (peer != process && isConnected(process->position, peer->position)
            && (isUp || isResponsive))
            candidates.push_back(peer->id);
    }
    process->lease->setCandidates(candidates, process->toLocalTime(m_now));
}

void LeaseSimulation::simulateRequests(Process &process)
{
    bool isDrained = true;
    const ShareLimit limit = shareLimit(process.position);
    const std::array<int, 2> limits { limit.slots, limit.connections };
    for (std::size_t server = 0; server < capacities.size(); ++server) {
        std::vector<Core::Duration> &activeRequests = process.activeRequests[server];
        std::erase_if(activeRequests, [&](Core::Duration end) { return end <= m_now; });
        while (static_cast<int>(activeRequests.size()) < limits[server])
            activeRequests.push_back(
                m_now + randomDuration(50ms, m_settings.membership.maximumRequestDuration));
        isDrained = isDrained && static_cast<int>(activeRequests.size()) <= limits[server];
    }
    if (m_settings.hasChangingDemand && randomChance(5))
        process.membership->setDemand(static_cast<int>(randomDuration(0us, 100us).count()));
    if (isDrained && randomChance(50))
        process.membership->markDrained(process.toLocalTime(m_now));
}

void LeaseSimulation::checkLeases()
{
    int holders = 0;
    for (const ProcessPointer &process : m_processes) {
        const Core::Instant deadline = process->lease->leaseDeadline();
        if (!process->isAlive || process->toLocalTime(m_now) >= deadline)
            continue;
        ++holders;
        const std::uint64_t epoch = process->lease->epoch();
        for (const auto &[other, until] : m_commandsUntil) {
            if (other != epoch && until > m_now)
                recordViolation("commands of epochs " + std::to_string(other) + " and "
                                + std::to_string(epoch) + " are valid at once");
        }
        Core::Duration &until = m_commandsUntil[epoch];
        until = std::max(until, process->toTrueTime(deadline));
    }
    if (holders > 1)
        recordViolation("two VMs hold the lease");
}

void LeaseSimulation::checkShares()
{
    for (std::size_t server = 0; server < capacities.size(); ++server) {
        std::vector<Core::Duration> &orphaned = m_orphanedRequests[server];
        std::erase_if(orphaned, [&](Core::Duration end) { return end <= m_now; });
        std::size_t sum = orphaned.size();
        for (const ProcessPointer &process : m_processes) {
            std::vector<Core::Duration> &activeRequests = process->activeRequests[server];
            std::erase_if(activeRequests, [&](Core::Duration end) { return end <= m_now; });
            sum += activeRequests.size();
        }
        if (sum > static_cast<std::size_t>(capacities[server]))
            recordViolation(std::to_string(sum) + " of " + std::to_string(capacities[server])
                            + " slots or connections of a backend server are used");
    }
}

void LeaseSimulation::recordViolation(const std::string &what)
{
    if (m_violation.empty())
        m_violation = what;
}

bool LeaseSimulation::isConnected(int first, int second) const
{
    return (m_partitionMask >> first & 1U) == (m_partitionMask >> second & 1U);
}

bool LeaseSimulation::reachesLog(int position) const
{
    return !m_isLogOut && (m_logCutMask >> position & 1U) == 0;
}

bool LeaseSimulation::randomChance(int percent)
{
    return std::uniform_int_distribution<int>(0, 99)(m_random) < percent;
}

Core::Duration LeaseSimulation::randomDuration(Core::Duration low, Core::Duration high)
{
    return Core::Duration(
        std::uniform_int_distribution<std::int64_t>(low.count(), high.count())(m_random));
}

Core::Duration LeaseSimulation::randomNetworkDelay()
{
    if (m_isNetworkUnreliable && randomChance(10))
        return randomDuration(1ms, 700ms);
    return randomDuration(500us, 1ms);
}

} // namespace Lease
