#include <LibTask/DomainPlacer.h>

#include "HolderSession.h"
#include "PlacerInputs.h"
#include "SnapshotTracker.h"

#include <LibCore/Error.h>

#include <algorithm>
#include <utility>

namespace Task {

namespace {

/// A request number consists of the epoch and, in this many low bits, a count of the requests.
constexpr unsigned requestNumberBitsPerEpoch = 32;

} // namespace

DomainPlacer::DomainPlacer(const SchedulerFactory &schedulers, PlacerSettings settings)
    : m_settings(std::move(settings))
    , m_schedulers(schedulers)
    , m_table(maximumEndedTasks, m_settings.tableGuards)
    , m_snapshots(std::make_unique<SnapshotTracker>())
    , m_inputs(std::make_unique<PlacerInputs>())
{
}

DomainPlacer::~DomainPlacer() = default;

void DomainPlacer::restore(const Snapshot &snapshot)
{
    m_table.restore(snapshot.coversUntil, snapshot.epoch, snapshot.entries);
}

void DomainPlacer::onLeaseClaim(std::uint64_t offset, std::uint64_t epoch)
{
    m_table.onLeaseClaim(offset, epoch);
    if (m_session && m_table.epoch() > m_session->epoch())
        m_session.reset();
}

void DomainPlacer::onRecord(std::uint64_t offset, const TaskRecord &record, Core::Instant now)
{
    if (offset < m_table.nextOffset())
        return;
    if (const std::optional<std::uint64_t> coversUntil = m_snapshots->onRecord(record)) {
        SnapshotProgress &progress = m_inputs->snapshots;
        progress.coversUntil = *coversUntil;
        // The age of a snapshot that was written before this reader started is unknown.
        if (m_hasReachedLogEnd)
            progress.readAt = now;
    }
    const bool hasChangedTable = m_table.apply(offset, record);
    if (m_session)
        m_session->onRecord(record, hasChangedTable, now);
}

void DomainPlacer::onLogEndReached(std::uint64_t firstRetained, std::uint64_t end,
                                   Core::Instant readSentAt)
{
    m_hasReachedLogEnd = true;
    m_inputs->logReadAt = std::max(m_inputs->logReadAt, readSentAt);
    m_inputs->snapshots.firstRetained = firstRetained;
    m_inputs->snapshots.end = end;
}

void DomainPlacer::becomeHolder(std::uint64_t epoch, Core::Instant leaseDeadline, Core::Instant now)
{
    if (epoch != m_table.epoch()) {
        throw Core::Error("become holder", m_settings.domain.text(),
                          "the claimed epoch is " + std::to_string(epoch)
                              + ", but the newest epoch that was read is "
                              + std::to_string(m_table.epoch()));
    }
    // Numbers must be unique even if this placer replaces another one in the same process, so that
    // a late outcome from an earlier session isn't attributed to this one.
    m_lastRequestNumber = std::max(m_lastRequestNumber, epoch << requestNumberBitsPerEpoch);
    m_session = std::make_unique<HolderSession>(
        m_settings, m_table, *m_inputs, m_schedulers.create(),
        HolderSession::Lease { epoch, leaseDeadline }, m_lastRequestNumber, now);
}

void DomainPlacer::extendLease(Core::Instant leaseDeadline)
{
    if (m_session)
        m_session->extendLease(leaseDeadline);
}

void DomainPlacer::loseLease()
{
    m_session.reset();
}

void DomainPlacer::setRules(const Rules::RuleSet &rules, std::uint64_t version)
{
    if (version < m_inputs->rulesVersion)
        return;
    m_inputs->rules = rules;
    m_inputs->rulesVersion = version;
    if (m_session)
        m_session->onRulesChanged();
}

void DomainPlacer::setRulesFresh(bool isFresh)
{
    m_inputs->areRulesFresh = isFresh;
}

void DomainPlacer::setWorkers(const std::vector<Platform::VmEntry> &workers, Core::Instant now)
{
    std::vector<Platform::VmEntry> domainWorkers;
    for (const Platform::VmEntry &entry : workers) {
        if (entry.kind == Platform::VmKind::Worker && entry.failureDomain == m_settings.domain)
            domainWorkers.push_back(entry);
    }
    if (domainWorkers == m_inputs->workers)
        return;
    m_inputs->workers = std::move(domainWorkers);
    if (m_session)
        m_session->onWorkersChanged(now);
}

void DomainPlacer::setPeerDomains(const std::vector<PeerDomain> &peers)
{
    m_inputs->peers = peers;
    if (m_session)
        m_session->onPeersChanged();
}

void DomainPlacer::onWorkerReport(const Core::VmId &worker, std::uint64_t number,
                                  const std::vector<AttemptReport> &reports, Core::Instant now)
{
    if (m_session)
        m_session->onWorkerReport(worker, number, reports, now);
}

void DomainPlacer::onWorkerUnreachable(const Core::VmId &worker, std::uint64_t number,
                                       Core::Instant now)
{
    if (m_session)
        m_session->onWorkerUnreachable(worker, number, now);
}

void DomainPlacer::onStartOutcome(const AttemptId &attempt, std::uint64_t epoch,
                                  StartOutcome outcome, Core::Instant now)
{
    // The outcome of a start from an earlier session says nothing about attempts adopted since.
    if (m_session && m_session->epoch() == epoch)
        m_session->onStartOutcome(attempt, outcome, now);
}

void DomainPlacer::onAppendOutcome(std::uint64_t batchId, AppendOutcome outcome, Core::Instant now)
{
    if (m_session)
        m_session->onAppendOutcome(batchId, outcome, now);
}

void DomainPlacer::onTransferOutcome(const Core::TaskId &task, std::uint32_t transferNumber,
                                     AppendOutcome outcome, Core::Instant now)
{
    if (m_session)
        m_session->onTransferOutcome(task, transferNumber, outcome, now);
}

std::vector<PlacerAction> DomainPlacer::poll(Core::Instant now)
{
    return m_session ? m_session->poll(now) : std::vector<PlacerAction> {};
}

std::optional<Core::Instant> DomainPlacer::nextWakeUp(Core::Instant now) const
{
    return m_session ? m_session->nextWakeUp(now) : std::nullopt;
}

std::optional<TaskState> DomainPlacer::state(const Core::TaskId &task) const
{
    const TaskEntry *entry = m_table.find(task);
    if (!entry)
        return std::nullopt;
    const LiveTask *known = m_session ? m_session->find(task) : nullptr;
    const bool isRunning = known && known->stage == TaskStage::Started && known->isReportedRunning;
    return isRunning ? TaskState::Running : entry->state;
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
    const std::string detail = m_session ? m_session->explain(task) : std::string();
    return detail.empty() ? text : text + "; " + detail;
}

Core::Resources DomainPlacer::spareResources() const
{
    return m_session ? m_session->spareResources() : Core::Resources {};
}

} // namespace Task
