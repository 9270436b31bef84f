#include "JobWorld.h"

#include "JobWorldParts.h"

using namespace Jobs;

void JobWorld::partitionStore(std::size_t node, std::int64_t forMs)
{
    m_nodes[node]->log.note("store", "PARTITIONED", std::to_string(forMs));
    m_nodes[node]->storePartitionedUntilMs = m_nowMs + forMs;
}

void JobWorld::partitionWorker(std::size_t node, std::size_t worker, std::int64_t forMs)
{
    m_nodes[node]->log.note("w" + std::to_string(worker), "PARTITIONED", std::to_string(forMs));
    m_nodes[node]->workerPartitionedUntilMs[worker] = m_nowMs + forMs;
}

void JobWorld::freeze(std::size_t node, std::int64_t forMs)
{
    m_nodes[node]->log.note("node", "FROZEN", std::to_string(forMs));
    m_nodes[node]->frozenUntilMs = m_nowMs + forMs;
}

void JobWorld::mute(std::size_t worker, std::int64_t forMs)
{
    m_nodes.front()->log.note(m_workers[worker]->info().id.text(), "MUTE", std::to_string(forMs));
    m_disturbedUntilMs = m_nowMs + forMs;
    m_muteUntilMs[worker] = m_nowMs + forMs;
}

bool JobWorld::isMute(std::size_t worker) const
{
    const auto mute = m_muteUntilMs.find(worker);
    return mute != m_muteUntilMs.end() && mute->second > m_nowMs;
}

void JobWorld::setClockError(std::size_t node, std::int64_t milliseconds)
{
    m_nodes[node]->log.note("clock", "STEPS", std::to_string(milliseconds));
    m_nodes[node]->clockErrorMs = milliseconds;
}

void JobWorld::setWorkerClockError(std::size_t worker, std::int64_t milliseconds)
{
    m_workerClockErrorMs[worker] = milliseconds;
}

void JobWorld::crashWorker(std::size_t index)
{
    m_nodes.front()->log.note(m_workers[index]->info().id.text(), "CRASHES", "");
    m_disturbedUntilMs = m_nowMs;
    for (const auto &[task, run] : m_workers[index]->running())
        ++m_history[task].crashesAround;
    // The owner can't tell a run that ended unreported from one that was lost.
    for (const TaskName &task : m_workers[index]->unreportedEnds())
        ++m_history[task].crashesAround;
    m_workers[index]->crash();
}

void JobWorld::drainWorker(std::size_t index)
{
    m_nodes.front()->log.note(m_workers[index]->info().id.text(), "DRAINS", "");
    m_workers[index]->setDraining();
    ++m_listVersion;
}

void JobWorld::removeWorker(std::size_t index)
{
    if (m_workers[index]->isUp())
        crashWorker(index);
    m_removed.insert(index);
    ++m_listVersion;
}

void JobWorld::restartWorker(std::size_t index)
{
    if (m_workers[index]->isUp() || m_removed.contains(index))
        return;
    m_disturbedUntilMs = m_nowMs;
    m_workers[index]->restart(m_nowMs, m_nowMs + 1 + m_workerClockErrorMs[index]);
    if (m_life.returnsUnderNewId)
        m_workers[index]->setId(
            Core::VmId(m_workers[index]->info().address + '-' + std::to_string(m_nowMs)));
    if (m_life.listedAfterMs > 0) {
        schedule(randomBetween(1, m_life.listedAfterMs), [this] { ++m_listVersion; });
        return;
    }
    for (const auto &node : m_nodes) {
        if (node->scheduler)
            node->scheduler->setWorkers(listedWorkers(), now(*node));
    }
}

void JobWorld::crashUntilReturn(std::size_t index)
{
    crashWorker(index);
    schedule(m_life.returnsAfterMs, [this, index] { restartWorker(index); });
}

void JobWorld::crashWorkers(double share)
{
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        if (m_workers[i]->isUp() && chance(share))
            crashUntilReturn(i);
    }
}

void JobWorld::crashUnder(const TaskName &task, std::size_t index)
{
    schedule(m_life.crashDelayMs,
             [this, task, index, processStart = m_workers[index]->info().processStartUnixMs] {
                 if (!m_workers[index]->isUp()
                     || m_workers[index]->info().processStartUnixMs != processStart)
                     return;
                 ++m_history[task].crashes;
                 crashUntilReturn(index);
             });
}

void JobWorld::injectFaults()
{
    const double perStep = static_cast<double>(stepMs) / 1000.0;
    const auto node = static_cast<std::size_t>(randomBetween(0, nodeCount - 1));
    const auto worker = static_cast<std::size_t>(
        randomBetween(0, static_cast<std::int64_t>(m_workers.size()) - 1));
    const std::int64_t forMs = randomBetween(200, m_faults.maxFaultMs);
    if (chance(m_faults.claim * perStep))
        claim(node);
    if (chance(m_faults.storePartition * perStep))
        partitionStore(node, forMs);
    if (chance(m_faults.workerPartition * perStep))
        partitionWorker(node, worker, forMs);
    if (chance(m_faults.freeze * perStep))
        freeze(node, forMs);
    // Draws a random number only if this fault is enabled; see send().
    if (m_faults.capacityChange > 0 && chance(m_faults.capacityChange * perStep)) {
        constexpr std::int64_t halfCore = 500;
        setCapacity(worker, halfCore * randomBetween(0, fullMilliCores / halfCore));
    }
    if (chance(m_faults.workerCrash * perStep) && m_workers[worker]->isUp()) {
        crashWorker(worker);
        schedule(forMs, [this, worker] { restartWorker(worker); });
    }
}

void JobWorld::setCapacity(std::size_t index, std::int64_t milliCores)
{
    m_nodes.front()->log.note(m_workers[index]->info().id.text(), "CAPACITY",
                              std::to_string(milliCores));
    m_capacities[index][m_nowMs] = milliCores;
    schedule(randomBetween(1, publicationIntervalMs), [this, index] { publishCapacity(index); });
}

void JobWorld::publishCapacity(std::size_t index)
{
    m_workers[index]->setCapacity(capacityOf(index));
    ++m_listVersion;
}

void JobWorld::stopFaults()
{
    m_faults = {};
    for (std::size_t i = 0; i < m_workers.size(); ++i)
        restartWorker(i);
    for (const auto &node : m_nodes) {
        node->storePartitionedUntilMs = 0;
        node->frozenUntilMs = 0;
        node->workerPartitionedUntilMs.clear();
    }
}
