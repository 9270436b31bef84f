#include "LeaseSimulation.h"

#include <algorithm>

namespace Lease {

using namespace std::chrono_literals;

static constexpr Core::Duration tickLength = 40ms;
/// One backend server stands for slots, the other one for connections.
static constexpr std::array<int, 2> totals { 8, 64 };

Core::Instant LeaseSimulation::Process::local(Core::Duration trueTime) const
{
    const auto scaled = static_cast<double>(trueTime.count()) * rate;
    return Core::Instant(offset + Core::Duration(static_cast<std::int64_t>(scaled)));
}

Core::Duration LeaseSimulation::Process::toTrue(Core::Instant localTime) const
{
    const auto scaled = static_cast<double>((localTime.time_since_epoch() - offset).count()) / rate;
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
        // The queue only gives const access, but the element is taken out anyway.
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
    m_group = groupMask;
}

void LeaseSimulation::heal()
{
    m_group = 0;
    m_logCuts = 0;
    m_appendCuts = 0;
    m_isLogOut = false;
    m_isRough = false;
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
    for (std::size_t server = 0; server < totals.size(); ++server) {
        std::vector<Core::Duration> &left = m_leftBehind[server];
        left.insert(left.end(), process.inWork[server].begin(), process.inWork[server].end());
        process.inWork[server].clear();
    }
}

void LeaseSimulation::start(int position, bool isNewVm)
{
    const ProcessPointer former = m_processes[position];
    auto process = std::make_shared<Process>();
    if (former) {
        kill(position);
        process->rate = former->rate;
        process->offset = former->offset;
        process->id.vm = former->id.vm;
    }
    if (isNewVm) {
        process->id.vm = Core::VmId("vm" + std::to_string(++m_vmCount));
        std::uniform_int_distribution<int> spread(-m_settings.clockRateSpread,
                                                  m_settings.clockRateSpread);
        process->rate = 1 + spread(m_random) / 1e5;
        process->offset = between(0s, 1h);
    }
    process->id.run = "r" + std::to_string(++m_runCount);
    process->position = position;
    LeaseSettings settings = m_settings.lease;
    settings.self = process->id;
    const Core::Instant local = process->local(m_now);
    process->lease = std::make_unique<GuardedLease>(settings, local, m_settings.leaseGuards);
    process->membership = std::make_unique<GuardedMembership>(
        *process->lease, m_settings.membership, local, m_settings.membershipGuards);
    process->shares = std::make_unique<SlotShares>(*process->membership);
    m_processes[position] = process;
    read(process);
}

void LeaseSimulation::release(int position)
{
    Process &process = *m_processes[position];
    process.lease->release(process.local(m_now));
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
        if (process->isAlive && process->lease->isHolder(process->local(m_now)))
            return process->position;
    }
    return -1;
}

Core::Duration LeaseSimulation::timeToHolder(Core::Duration limit)
{
    const Core::Duration began = m_now;
    while (holder() < 0 && m_now - began < limit)
        advance(5ms);
    return m_now - began;
}

ShareLimit LeaseSimulation::limit(int position) const
{
    const Process &process = *m_processes[position];
    return process.shares->limitFor(Core::VmId("worker"), totals[0], totals[1],
                                    process.local(m_now));
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
        // The hint on who is in reach lags.
        if (!m_isRough || chance(10))
            updateCandidates(process);
        if (m_now >= process->nextPoll)
            poll(process);
        useShares(*process);
    }
    checkShares();
}

void LeaseSimulation::poll(const ProcessPointer &process)
{
    const Core::Instant local = process->local(m_now);
    for (const LeaseAction &action : process->membership->poll(local)) {
        if (const auto *message = std::get_if<SendPromiseRequest>(&action))
            send(process, *message);
        else
            append(process, std::get<AppendRecord>(action).record);
    }
    process->nextPoll = process->toTrue(process->lease->nextWakeUp(local));
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
    const Core::Instant began = process->local(m_now);
    schedule(m_settings.logLatency / 2, [this, process, began] {
        const std::size_t end = m_log.size();
        scheduleOn(process, m_settings.logLatency / 2 + (m_isRough ? linkDelay() : 0ms),
                   [this, process, end, began] { applyRead(process, end, began); });
    });
}

void LeaseSimulation::applyRead(const ProcessPointer &process, std::size_t end, Core::Instant began)
{
    process->isReading = false;
    const Core::Instant local = process->local(m_now);
    if (!process->hasStartedReading) {
        process->hasStartedReading = true;
        process->nextOffset = m_firstRetained;
        process->lease->onStreamStart(m_firstRetained, local);
    }
    for (; process->nextOffset < end; ++process->nextOffset)
        process->lease->onRecord(process->nextOffset, m_log[process->nextOffset], local);
    process->lease->onCaughtUp(process->nextOffset, began);
}

void LeaseSimulation::append(const ProcessPointer &process, const LeaseRecord &record)
{
    const auto land = [this, record] { m_log.push_back(record); };
    const bool isCut = (m_appendCuts >> process->position & 1U) != 0;
    const bool isReached = reachesLog(process->position) && !isCut;
    if (!isReached && chance(50)) {
        report(process, record, AppendOutcome::NotAppended, m_settings.logLatency);
        return;
    }
    if (!isReached || (m_isRough && chance(40))) {
        if (chance(70))
            schedule(between(0ms, 3s), land);
        report(process, record, AppendOutcome::Unknown, 100ms);
        return;
    }
    schedule(m_settings.logLatency / 2, land);
    report(process, record, AppendOutcome::Appended, m_settings.logLatency);
}

void LeaseSimulation::report(const ProcessPointer &process, const LeaseRecord &record,
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
    if (receiver == m_processes.end() || !isLinked(process->position, (*receiver)->position))
        return;
    const int position = (*receiver)->position;
    schedule(linkDelay(), [this, process, position, request = action.request] {
        const ProcessPointer peer = m_processes[position];
        if (peer->id.vm != request.to.vm)
            return;
        scheduleOn(peer, 0ms, [this, process, peer, request] {
            const PromiseResponse answer
                = peer->membership->onPromiseRequest(request, peer->local(m_now));
            if (!isLinked(process->position, peer->position))
                return;
            scheduleOn(process, linkDelay(), [this, process, answer] {
                process->membership->onPromiseResponse(answer, process->local(m_now));
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
        if (peer != process && isLinked(process->position, peer->position)
            && (isUp || isResponsive))
            candidates.push_back(peer->id);
    }
    process->lease->setCandidates(candidates, process->local(m_now));
}

void LeaseSimulation::useShares(Process &process)
{
    bool isDrained = true;
    const ShareLimit limit = this->limit(process.position);
    const std::array<int, 2> limits { limit.slots, limit.connections };
    for (std::size_t server = 0; server < totals.size(); ++server) {
        std::vector<Core::Duration> &inWork = process.inWork[server];
        std::erase_if(inWork, [&](Core::Duration end) { return end <= m_now; });
        while (static_cast<int>(inWork.size()) < limits[server])
            inWork.push_back(m_now + between(50ms, m_settings.membership.maximumRequestDuration));
        isDrained = isDrained && static_cast<int>(inWork.size()) <= limits[server];
    }
    if (m_settings.hasChangingDemand && chance(5))
        process.membership->setDemand(static_cast<int>(between(0us, 100us).count()));
    if (isDrained && chance(50))
        process.membership->markDrained(process.local(m_now));
}

void LeaseSimulation::checkLeases()
{
    int holders = 0;
    for (const ProcessPointer &process : m_processes) {
        const Core::Instant deadline = process->lease->leaseDeadline();
        if (!process->isAlive || process->local(m_now) >= deadline)
            continue;
        ++holders;
        const std::uint64_t epoch = process->lease->epoch();
        for (const auto &[other, until] : m_commandsUntil) {
            if (other != epoch && until > m_now)
                fail("commands of epochs " + std::to_string(other) + " and " + std::to_string(epoch)
                     + " are valid at once");
        }
        Core::Duration &until = m_commandsUntil[epoch];
        until = std::max(until, process->toTrue(deadline));
    }
    if (holders > 1)
        fail("two VMs hold the lease");
}

void LeaseSimulation::checkShares()
{
    for (std::size_t server = 0; server < totals.size(); ++server) {
        std::vector<Core::Duration> &left = m_leftBehind[server];
        std::erase_if(left, [&](Core::Duration end) { return end <= m_now; });
        std::size_t sum = left.size();
        for (const ProcessPointer &process : m_processes) {
            std::vector<Core::Duration> &inWork = process->inWork[server];
            std::erase_if(inWork, [&](Core::Duration end) { return end <= m_now; });
            sum += inWork.size();
        }
        if (sum > static_cast<std::size_t>(totals[server]))
            fail(std::to_string(sum) + " of " + std::to_string(totals[server])
                 + " of a backend server are used");
    }
}

void LeaseSimulation::fail(const std::string &what)
{
    if (m_violation.empty())
        m_violation = what;
}

bool LeaseSimulation::isLinked(int left, int right) const
{
    return (m_group >> left & 1U) == (m_group >> right & 1U);
}

bool LeaseSimulation::reachesLog(int position) const
{
    return !m_isLogOut && (m_logCuts >> position & 1U) == 0;
}

bool LeaseSimulation::chance(int percent)
{
    return std::uniform_int_distribution<int>(0, 99)(m_random) < percent;
}

Core::Duration LeaseSimulation::between(Core::Duration low, Core::Duration high)
{
    return Core::Duration(
        std::uniform_int_distribution<std::int64_t>(low.count(), high.count())(m_random));
}

Core::Duration LeaseSimulation::linkDelay()
{
    if (m_isRough && chance(10))
        return between(1ms, 700ms);
    return between(500us, 1ms);
}

} // namespace Lease
