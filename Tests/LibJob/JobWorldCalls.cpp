#include "JobWorld.h"

#include "JobWorldParts.h"

#include <optional>

using namespace Jobs;

namespace {

constexpr std::int64_t commandTimeoutMs = 1000;
constexpr std::int64_t longRunningMs = 1'000'000'000;

} // namespace

bool JobWorld::reaches(std::size_t node, std::size_t worker) const
{
    const auto &partitions = m_nodes[node]->workerPartitionedUntilMs;
    const auto partition = partitions.find(worker);
    return m_workers[worker]->isUp()
        && (partition == partitions.end() || partition->second <= m_nowMs);
}

void JobWorld::deliver(std::size_t worker, std::int64_t maxDelayMs, const Action &arrive)
{
    schedule(randomBetween(1, maxDelayMs), [this, worker, arrive] {
        const bool isKept = m_life.getsCallsOfFormerProcess && !m_workers[worker]->isUp();
        if (isKept)
            deliverUntil(worker, m_nowMs + commandTimeoutMs, arrive);
        else
            arrive();
    });
}

void JobWorld::deliverUntil(std::size_t worker, std::int64_t untilMs, const Action &arrive)
{
    constexpr std::int64_t maxRepetitionMs = 200;
    schedule(randomBetween(1, maxRepetitionMs), [this, worker, untilMs, arrive] {
        if (m_workers[worker]->isUp() || m_nowMs >= untilMs)
            arrive();
        else
            deliverUntil(worker, untilMs, arrive);
    });
}

FencingToken JobWorld::sentToken(std::size_t node, FencingToken token) const
{
    return m_disabledGuard == DisabledGuard::ProcessToken ? m_nodes[node]->token : token;
}

RenewCommand JobWorld::asReceived(const RenewCommand &command, std::size_t worker) const
{
    RenewCommand received = command;
    const bool isForProcess
        = m_workers[worker]->info().processStartUnixMs == command.processStartUnixMs;
    if (!isForProcess && m_disabledGuard != DisabledGuard::AcknowledgedProcess)
        received.acknowledgedEnd = 0;
    if (!isForProcess && areCommandsBound())
        received.leaseDeadlineMs = 0;
    return received;
}

bool JobWorld::areCommandsBound() const
{
    return m_disabledGuard != DisabledGuard::BoundCommands
        && m_disabledGuard != DisabledGuard::AcknowledgedProcess
        && m_disabledGuard != DisabledGuard::ProcessToken;
}

bool JobWorld::isReceived(const StartCommand &command, std::size_t worker) const
{
    return !areCommandsBound()
        || m_workers[worker]->info().processStartUnixMs == command.processStartUnixMs;
}

void JobWorld::send(std::size_t index, const StartCommand &command)
{
    const std::int64_t generation = m_nodes[index]->generation;
    const std::size_t target = indexOf(command.address);
    const auto answer = [this, index, generation, command](StartOutcome outcome) {
        Node &node = *m_nodes[index];
        if (node.generation == generation && node.scheduler)
            node.scheduler->onStartOutcome(command, outcome, now(node));
    };
    StartCommand sent = command;
    sent.token = sentToken(index, command.token);
    const auto execute = [this, target, command, sent]() {
        // Draws a random number only if this fault is enabled, so that other simulations keep their
        // random sequences.
        if (m_faults.refusedStart > 0 && chance(m_faults.refusedStart))
            return StartOutcome::Refused;
        if (m_workers[target]->info().id != command.worker)
            return StartOutcome::OtherIncarnation;
        if (!isReceived(command, target))
            return chance(0.5) ? StartOutcome::OtherProcess : StartOutcome::Unknown;
        SimulatedWorker::Run work;
        work.endsAtMs = m_nowMs
            + (isLongRunning(command.payload) ? longRunningMs
                                              : randomBetween(m_life.minTaskMs, m_life.maxTaskMs));
        work.endKind = chance(m_faults.failedRun) ? EndKind::Failed : EndKind::Done;
        work.hangs = chance(m_faults.hangingRun);
        const bool wasRunning = m_workers[target]->running().contains(command.task);
        if (m_life.guardsCapacity && !wasRunning
            && requestedMilliCores(target) + needOf(command.task) > capacityOf(target)) {
            ++m_rejectedForCapacity;
            return StartOutcome::NoRoom;
        }
        const StartOutcome outcome = m_workers[target]->start(sent, work, m_nowMs);
        if (outcome == StartOutcome::Started && !wasRunning) {
            noteStart(command.task);
            checkCapacity(target, command.task);
            checkLimit(command.task);
        }
        const bool crashes = command.task.index == 0 && isCrashing(command.payload);
        if (outcome == StartOutcome::Started && !wasRunning && crashes)
            crashUnder(command.task, target);
        return outcome;
    };
    const bool isLate = chance(m_faults.delayedCommand);
    const bool isDelayedByReceiver = isLate && m_life.getsCallsOfFormerProcess;
    if (isLate && !isDelayedByReceiver)
        executeLater(target, [execute] { execute(); });
    deliver(target, 30, [this, index, target, isLate, isDelayedByReceiver, answer, execute] {
        if (isDelayedByReceiver)
            executeLater(target, [execute] { execute(); });
        if (!isLate && isRefusedBy(target)) {
            schedule(randomBetween(1, 30), [answer] { answer(StartOutcome::NotSent); });
            return;
        }
        if (isLate || !reaches(index, target)) {
            schedule(commandTimeoutMs, [answer] { answer(StartOutcome::Unknown); });
            return;
        }
        const StartOutcome outcome = execute();
        const bool isLost = chance(m_faults.lostAnswer) || isMute(target);
        schedule(isLost ? commandTimeoutMs : randomBetween(1, 30),
                 [this, target, answer, outcome, isLost] {
                     if (isRefusedBy(target))
                         answer(StartOutcome::Interrupted);
                     else
                         answer(isLost ? StartOutcome::Unknown : outcome);
                 });
    });
}

void JobWorld::send(std::size_t index, const StopCommand &command)
{
    const std::int64_t generation = m_nodes[index]->generation;
    const std::size_t target = indexOf(command.address);
    StopCommand sent = command;
    sent.token = sentToken(index, command.token);
    schedule(randomBetween(1, 30), [this, index, target, generation, command, sent] {
        const bool isOther = m_workers[target]->info().id != command.worker;
        if (isOther || !reaches(index, target) || !m_workers[target]->stop(sent, m_nowMs)
            || chance(m_faults.lostAnswer) || isMute(target))
            return;
        schedule(randomBetween(1, 30), [this, index, generation, command] {
            Node &node = *m_nodes[index];
            if (node.generation == generation && node.scheduler)
                node.scheduler->onStopAnswered(command, now(node));
        });
    });
}

void JobWorld::send(std::size_t index, const RenewCommand &command)
{
    const std::int64_t generation = m_nodes[index]->generation;
    const std::size_t target = indexOf(command.address);
    const Core::Instant sentAt = now().instant;
    const auto failed = [this, index, target, generation, command] {
        Node &node = *m_nodes[index];
        const RenewalFailure failure
            = isRefusedBy(target) ? RenewalFailure::BrokenOff : RenewalFailure::TimedOut;
        if (node.generation == generation && node.scheduler)
            node.scheduler->onRenewalFailed(command.worker, failure, now(node));
    };
    const auto replaced = [this, index, generation, command, failed] {
        Node &node = *m_nodes[index];
        if (node.generation == generation && node.scheduler)
            node.scheduler->onOtherIncarnation(command.worker, command.address, now(node));
        failed();
    };
    RenewCommand sent = command;
    sent.token = sentToken(index, command.token);
    const auto execute = [this, target, sent] {
        return m_workers[target]->renew(asReceived(sent, target), m_nowMs);
    };
    // Draws a random number only if this fault is enabled; see above.
    const bool isLate = m_faults.delayedRenewal > 0 && chance(m_faults.delayedRenewal);
    deliver(target, 60,
            [this, index, target, generation, command, sentAt, failed, replaced, execute, isLate] {
                const bool isReached = reaches(index, target);
                if (isReached && m_workers[target]->info().id != command.worker) {
                    schedule(randomBetween(1, 30), replaced);
                    return;
                }
                if (isReached && isLate)
                    executeLater(target, [execute] { execute(); });
                const auto report = isReached && !isLate ? execute() : std::nullopt;
                if (!report || chance(m_faults.lostAnswer) || isMute(target)) {
                    schedule(isRefusedBy(target) ? randomBetween(1, 30) : commandTimeoutMs, failed);
                    return;
                }
                schedule(randomBetween(1, 30), [this, index, generation, command, sentAt, report] {
                    Node &node = *m_nodes[index];
                    if (node.generation == generation && node.scheduler)
                        node.scheduler->onReport(command.worker, *report, sentAt, now(node));
                });
            });
}

void JobWorld::executeLater(std::size_t worker, const Action &execute)
{
    const auto isSameProcess
        = [this, worker, processStart = m_workers[worker]->info().processStartUnixMs] {
              return m_workers[worker]->isUp()
                  && m_workers[worker]->info().processStartUnixMs == processStart;
          };
    schedule(randomBetween(2000, 12000), [isSameProcess, execute] {
        if (isSameProcess())
            execute();
    });
}

bool JobWorld::isRefusedBy(std::size_t worker) const
{
    return m_life.refusesCallsWhileDown && !m_workers[worker]->isUp();
}

std::size_t JobWorld::indexOf(const std::string &address) const
{
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        if (m_workers[i]->info().address == address)
            return i;
    }
    return 0;
}
