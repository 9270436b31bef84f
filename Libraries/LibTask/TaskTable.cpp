#include <LibTask/TaskTable.h>

#include <utility>
#include <variant>

namespace Task {

TaskTable::TaskTable(std::size_t maximumEnded, TableGuards guards)
    : m_maximumEnded(maximumEnded)
    , m_guards(guards)
{
}

void TaskTable::onLeaseClaim(std::uint64_t offset, std::uint64_t epoch)
{
    if (offset < m_nextOffset)
        return;
    m_nextOffset = offset + 1;
    if (epoch > m_epoch)
        m_epoch = epoch;
}

bool TaskTable::apply(std::uint64_t offset, const TaskRecord &record)
{
    if (offset < m_nextOffset)
        return false;
    m_nextOffset = offset + 1;
    return applyBody(offset, record.epoch, record.body);
}

bool TaskTable::applyBody(std::uint64_t offset, std::uint64_t epoch, const TaskRecordBody &body)
{
    if (const auto *submitted = std::get_if<Submitted>(&body))
        return apply(*submitted);
    if (const auto *cancelRequested = std::get_if<CancelRequested>(&body))
        return apply(*cancelRequested);
    if (m_guards.isEpochChecked && epoch < m_epoch)
        return false;
    if (const auto *planned = std::get_if<AttemptPlanned>(&body))
        return apply(*planned, epoch);
    if (const auto *abandoned = std::get_if<AttemptAbandoned>(&body))
        return apply(*abandoned);
    if (const auto *ended = std::get_if<AttemptEnded>(&body))
        return apply(*ended, offset);
    if (const auto *cancelled = std::get_if<Cancelled>(&body))
        return apply(*cancelled, offset);
    if (const auto *held = std::get_if<Held>(&body))
        return apply(*held, offset);
    if (const auto *refused = std::get_if<Refused>(&body))
        return apply(*refused, offset);
    if (const auto *transferOut = std::get_if<TransferOut>(&body))
        return apply(*transferOut);
    if (const auto *transferDone = std::get_if<TransferDone>(&body))
        return apply(*transferDone, offset);
    return false;
}

void TaskTable::restore(std::uint64_t coversUntil, std::uint64_t epoch,
                        std::vector<TaskEntry> entries)
{
    m_epoch = epoch;
    m_nextOffset = coversUntil;
    m_entries.clear();
    m_ended.clear();
    for (TaskEntry &entry : entries) {
        if (isEnded(entry.state) && !entry.isTransferPending)
            m_ended.emplace(entry.endedAtOffset, entry.spec.id);
        Core::TaskId task = entry.spec.id;
        m_entries.insert_or_assign(std::move(task), std::move(entry));
    }
}

const TaskEntry *TaskTable::find(const Core::TaskId &task) const
{
    const auto found = m_entries.find(task);
    return found == m_entries.end() ? nullptr : &found->second;
}

bool TaskTable::apply(const Submitted &body)
{
    const auto known = m_entries.find(body.spec.id);
    if (known != m_entries.end()) {
        const TaskEntry &entry = known->second;
        // A task may return before its TransferDone record was written, because its new owner may
        // transfer it again at once.
        const bool isReturning
            = entry.state == TaskState::Transferred && body.transferNumber > entry.transferNumber;
        if (m_guards.isDuplicateIgnored && !isReturning)
            return false;
        m_ended.erase({ entry.endedAtOffset, body.spec.id });
        m_entries.erase(known);
    }
    TaskEntry entry;
    entry.spec = body.spec;
    entry.state = body.endedAttempts > 0 ? TaskState::Evicted : TaskState::Submitted;
    entry.submittedAtUnixMs = body.submittedAtUnixMs;
    entry.transferNumber = body.transferNumber;
    entry.lastAttempt = body.lastAttempt;
    entry.endedAttempts = body.endedAttempts;
    entry.lostAttempts = body.lostAttempts;
    entry.checkpoint = body.checkpoint;
    m_entries.emplace(body.spec.id, std::move(entry));
    return true;
}

bool TaskTable::apply(const AttemptPlanned &body, std::uint64_t epoch)
{
    TaskEntry *entry = findLive(body.attempt.task);
    if (!entry || entry->openAttempt || body.attempt.number != entry->lastAttempt + 1)
        return false;
    entry->state = TaskState::Planned;
    entry->lastAttempt = body.attempt.number;
    entry->openAttempt = OpenAttempt { body.attempt.number, body.worker, epoch };
    return true;
}

bool TaskTable::apply(const AttemptAbandoned &body)
{
    TaskEntry *entry = findWithOpenAttempt(body.attempt);
    if (!entry)
        return false;
    entry->openAttempt.reset();
    entry->state = entry->endedAttempts > 0 ? TaskState::Evicted : TaskState::Submitted;
    return true;
}

bool TaskTable::apply(const AttemptEnded &body, std::uint64_t offset)
{
    TaskEntry *entry = findWithOpenAttempt(body.attempt);
    if (!entry)
        return false;
    entry->openAttempt.reset();
    entry->endedAttempts += 1;
    entry->lostAttempts = body.wasLost ? entry->lostAttempts + 1 : 0;
    entry->reason = body.detail;
    if (!body.checkpoint.empty())
        entry->checkpoint = body.checkpoint;
    entry->state = TaskState::Evicted;
    if (body.phase == AttemptPhase::Finished)
        endTask(*entry, TaskState::Finished, offset);
    else if (body.isFinal)
        endTask(*entry, TaskState::Failed, offset);
    return true;
}

bool TaskTable::apply(const CancelRequested &body)
{
    TaskEntry *entry = findLive(body.task);
    if (!entry || entry->isCancelRequested)
        return false;
    entry->isCancelRequested = true;
    return true;
}

bool TaskTable::apply(const Cancelled &body, std::uint64_t offset)
{
    TaskEntry *entry = findLive(body.task);
    if (!entry || entry->openAttempt || !entry->isCancelRequested)
        return false;
    endTask(*entry, TaskState::Cancelled, offset);
    return true;
}

bool TaskTable::apply(const Held &body, std::uint64_t offset)
{
    TaskEntry *entry = findLive(body.task);
    if (!entry || entry->openAttempt || entry->isCancelRequested)
        return false;
    entry->reason = body.reason;
    endTask(*entry, TaskState::Held, offset);
    return true;
}

bool TaskTable::apply(const Refused &body, std::uint64_t offset)
{
    TaskEntry *entry = findLive(body.task);
    // A task for which an attempt was planned can't be refused any more: "refused" means that it
    // never ran.
    if (!entry || entry->lastAttempt > 0 || entry->isCancelRequested)
        return false;
    entry->reason = body.reason;
    endTask(*entry, TaskState::Refused, offset);
    return true;
}

bool TaskTable::apply(const TransferOut &body)
{
    TaskEntry *entry = findLive(body.task);
    if (!entry || entry->openAttempt || body.transferNumber != entry->transferNumber + 1)
        return false;
    // The cancellation was accepted in this failure domain and would be lost by the transfer.
    if (entry->isCancelRequested)
        return false;
    entry->state = TaskState::Transferred;
    entry->transferNumber = body.transferNumber;
    entry->toDomain = body.toDomain;
    entry->isTransferPending = true;
    return true;
}

bool TaskTable::apply(const TransferDone &body, std::uint64_t offset)
{
    const auto found = m_entries.find(body.task);
    if (found == m_entries.end())
        return false;
    TaskEntry &entry = found->second;
    if (!entry.isTransferPending || body.transferNumber != entry.transferNumber)
        return false;
    entry.isTransferPending = false;
    endTask(entry, TaskState::Transferred, offset);
    return true;
}

TaskEntry *TaskTable::findLive(const Core::TaskId &task)
{
    const auto found = m_entries.find(task);
    if (found == m_entries.end() || isEnded(found->second.state))
        return nullptr;
    return &found->second;
}

TaskEntry *TaskTable::findWithOpenAttempt(const AttemptId &attempt)
{
    TaskEntry *entry = findLive(attempt.task);
    if (!entry || !entry->openAttempt || entry->openAttempt->number != attempt.number)
        return nullptr;
    return entry;
}

void TaskTable::endTask(TaskEntry &entry, TaskState state, std::uint64_t offset)
{
    entry.state = state;
    entry.endedAtOffset = offset;
    // These are no longer needed, and most entries of a snapshot are ended tasks.
    entry.spec.payload.clear();
    entry.checkpoint.clear();
    m_ended.emplace(offset, entry.spec.id);
    dropOldestEnded();
}

void TaskTable::dropOldestEnded()
{
    while (m_ended.size() > m_maximumEnded) {
        m_entries.erase(m_ended.begin()->second);
        m_ended.erase(m_ended.begin());
    }
}

} // namespace Task
