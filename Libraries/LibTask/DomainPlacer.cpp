#include <LibTask/DomainPlacer.h>

#include "PlacerInputs.h"
#include "SnapshotTracker.h"
#include "Tenure.h"

#include <LibCore/Error.h>

#include <algorithm>
#include <utility>

namespace Task {

namespace {

constexpr unsigned tenureNumberBits = 32;

} // namespace

DomainPlacer::DomainPlacer(const SchedulerFactory &schedulers, PlacerSettings settings)
    : m_settings(std::move(settings))
    , m_schedulers(schedulers)
    , m_table(rememberedEndedTasks, m_settings.tableGuards)
    , m_snapshots(std::make_unique<SnapshotTracker>())
    , m_inputs(std::make_unique<PlacerInputs>())
{
}

DomainPlacer::~DomainPlacer() = default;

void DomainPlacer::restore(const Snapshot &snapshot)
{
    m_table.restore(snapshot.coversUntil, snapshot.epoch, snapshot.entries);
}

void DomainPlacer::onEpoch(std::uint64_t offset, std::uint64_t epoch)
{
    m_table.onEpoch(offset, epoch);
    if (m_tenure && m_table.epoch() > m_tenure->epoch())
        m_tenure.reset();
}

void DomainPlacer::onRecord(std::uint64_t offset, const TaskRecord &record, Core::Instant now)
{
    if (offset < m_table.nextOffset())
        return;
    if (const std::optional<std::uint64_t> coversUntil = m_snapshots->onRecord(record)) {
        SnapshotProgress &progress = m_inputs->snapshots;
        progress.coversUntil = *coversUntil;
        // How old a snapshot is that was already there when we began, nobody knows.
        if (m_hasReachedEnd)
            progress.readAt = now;
    }
    const bool hasChangedTable = m_table.apply(offset, record);
    if (m_tenure)
        m_tenure->onRecord(record, hasChangedTable, now);
}

void DomainPlacer::onLogPosition(std::uint64_t firstRetained, std::uint64_t end,
                                 Core::Instant readSentAt)
{
    m_hasReachedEnd = true;
    m_inputs->logReadAt = std::max(m_inputs->logReadAt, readSentAt);
    m_inputs->snapshots.firstRetained = firstRetained;
    m_inputs->snapshots.end = end;
}

void DomainPlacer::becomeHolder(std::uint64_t epoch, Core::Instant leaseDeadline, Core::Instant now)
{
    if (epoch != m_table.epoch()) {
        throw Core::Error("become holder", m_settings.domain.text(),
                          "epoch " + std::to_string(epoch) + " is not the newest that was read, "
                              + std::to_string(m_table.epoch()));
    }
    // Numbers stay unique even if this placer replaces another one in the same process, so that a
    // late outcome of an earlier tenure isn't mistaken for one of this.
    m_lastNumber = std::max(m_lastNumber, epoch << tenureNumberBits);
    m_tenure = std::make_unique<Tenure>(m_settings, m_table, *m_inputs, m_schedulers.create(),
                                        Tenure::Lease { epoch, leaseDeadline }, m_lastNumber, now);
}

void DomainPlacer::extendLease(Core::Instant leaseDeadline)
{
    if (m_tenure)
        m_tenure->extendLease(leaseDeadline);
}

void DomainPlacer::loseLease()
{
    m_tenure.reset();
}

void DomainPlacer::setRules(const Rules::RuleSet &rules, std::uint64_t version)
{
    if (version < m_inputs->rulesVersion)
        return;
    m_inputs->rules = rules;
    m_inputs->rulesVersion = version;
    if (m_tenure)
        m_tenure->onRulesChanged();
}

void DomainPlacer::setRulesFresh(bool isFresh)
{
    m_inputs->areRulesFresh = isFresh;
}

void DomainPlacer::setWorkers(const std::vector<Platform::VmEntry> &workers, Core::Instant now)
{
    std::vector<Platform::VmEntry> ours;
    for (const Platform::VmEntry &entry : workers) {
        if (entry.kind == Platform::VmKind::Worker && entry.failureDomain == m_settings.domain)
            ours.push_back(entry);
    }
    if (ours == m_inputs->workers)
        return;
    m_inputs->workers = std::move(ours);
    if (m_tenure)
        m_tenure->onWorkersChanged(now);
}

void DomainPlacer::setPeerDomains(const std::vector<PeerDomain> &peers)
{
    m_inputs->peers = peers;
    if (m_tenure)
        m_tenure->onPeersChanged();
}

void DomainPlacer::onWorkerReport(const Core::VmId &worker, std::uint64_t number,
                                  const std::vector<AttemptReport> &reports, Core::Instant now)
{
    if (m_tenure)
        m_tenure->onWorkerReport(worker, number, reports, now);
}

void DomainPlacer::onWorkerUnreachable(const Core::VmId &worker, std::uint64_t number,
                                       Core::Instant now)
{
    if (m_tenure)
        m_tenure->onWorkerUnreachable(worker, number, now);
}

void DomainPlacer::onStartOutcome(const AttemptId &attempt, std::uint64_t epoch,
                                  StartOutcome outcome, Core::Instant now)
{
    // The outcome of an earlier tenure's start says nothing about what was adopted since.
    if (m_tenure && m_tenure->epoch() == epoch)
        m_tenure->onStartOutcome(attempt, outcome, now);
}

void DomainPlacer::onAppendOutcome(std::uint64_t batchId, AppendOutcome outcome, Core::Instant now)
{
    if (m_tenure)
        m_tenure->onAppendOutcome(batchId, outcome, now);
}

void DomainPlacer::onTransferOutcome(const Core::TaskId &task, std::uint32_t transferNumber,
                                     AppendOutcome outcome, Core::Instant now)
{
    if (m_tenure)
        m_tenure->onTransferOutcome(task, transferNumber, outcome, now);
}

std::vector<PlacerAction> DomainPlacer::poll(Core::Instant now)
{
    return m_tenure ? m_tenure->poll(now) : std::vector<PlacerAction> {};
}

std::optional<Core::Instant> DomainPlacer::nextWakeUp(Core::Instant now) const
{
    return m_tenure ? m_tenure->nextWakeUp(now) : std::nullopt;
}

std::optional<TaskState> DomainPlacer::state(const Core::TaskId &task) const
{
    const TaskEntry *entry = m_table.find(task);
    if (!entry)
        return std::nullopt;
    const TenureTask *known = m_tenure ? m_tenure->find(task) : nullptr;
    const bool runs = known && known->stage == Stage::Started && known->isSeenRunning;
    return runs ? TaskState::Running : entry->state;
}

std::string DomainPlacer::explain(const Core::TaskId &task) const
{
    const TaskEntry *entry = m_table.find(task);
    if (!entry)
        return "unknown in " + m_settings.domain.text();
    std::string text = stateName(entry->state);
    if (entry->state == TaskState::Transferred)
        return text + " to " + entry->toDomain.text();
    if (entry->openAttempt) {
        text += ", attempt " + std::to_string(entry->openAttempt->number) + " on "
            + entry->openAttempt->worker.text();
    }
    if (!entry->reason.empty())
        text += ": " + entry->reason;
    const std::string detail = m_tenure ? m_tenure->explain(task) : std::string();
    return detail.empty() ? text : text + "; " + detail;
}

Core::Resources DomainPlacer::freeForPeers() const
{
    return m_tenure ? m_tenure->freeForPeers() : Core::Resources {};
}

} // namespace Task
