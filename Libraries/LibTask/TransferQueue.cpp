#include "TransferQueue.h"

#include <algorithm>

namespace Task {

TransferQueue::TransferQueue(const PlacerSettings &settings)
    : m_retryInterval(settings.transferRetryInterval)
{
}

void TransferQueue::add(const Core::TaskId &task, Core::Instant now)
{
    m_transfers.try_emplace(task, Transfer { State::Due, now });
}

void TransferQueue::remove(const Core::TaskId &task)
{
    m_transfers.erase(task);
}

std::vector<Core::TaskId> TransferQueue::takeDue(Core::Instant now)
{
    std::vector<Core::TaskId> due;
    for (auto &[task, transfer] : m_transfers) {
        if (transfer.state != State::Due || transfer.dueAt > now)
            continue;
        transfer.state = State::Sent;
        due.push_back(task);
    }
    return due;
}

bool TransferQueue::onOutcome(const Core::TaskId &task, AppendOutcome outcome, Core::Instant now)
{
    const auto found = m_transfers.find(task);
    if (found == m_transfers.end() || found->second.state != State::Sent)
        return false;
    if (outcome == AppendOutcome::Appended) {
        found->second.state = State::Appended;
        return true;
    }
    found->second = { State::Due, now + m_retryInterval };
    return false;
}

std::optional<Core::Instant> TransferQueue::nextWakeUp() const
{
    std::optional<Core::Instant> next;
    for (const auto &[task, transfer] : m_transfers) {
        if (transfer.state == State::Due)
            next = next ? std::min(*next, transfer.dueAt) : transfer.dueAt;
    }
    return next;
}

TaskRecord TransferQueue::makeSubmitted(const TaskEntry &entry)
{
    Submitted body;
    body.spec = entry.spec;
    body.submittedAtUnixMs = entry.submittedAtUnixMs;
    body.transferNumber = entry.transferNumber;
    body.checkpoint = entry.checkpoint;
    body.lastAttempt = entry.lastAttempt;
    body.endedAttempts = entry.endedAttempts;
    body.lostAttempts = entry.lostAttempts;
    return TaskRecord::create(0, std::move(body));
}

} // namespace Task
