#include <LibSite/GroupCommit.h>

#include <LibCore/SteadyClock.h>
#include <LibSite/AppendBatches.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace Site {

namespace asio = boost::asio;

GroupCommit::GroupCommit(const asio::any_io_executor &executor, const AppendPace &pace,
                         std::function<void()> onWaiting)
    : m_executor(executor)
    , m_pace(pace)
    , m_onWaiting(std::move(onWaiting))
{
}

GroupCommit::~GroupCommit()
{
    close();
    decideAll(m_taken, ForwardOutcome::Unknown);
}

AppendQueue GroupCommit::queueAhead(Core::Instant now) const
{
    std::size_t records = 0;
    std::size_t bytes = 0;
    for (const auto &entry : m_waiting) {
        records += entry->records.size();
        for (const Jobs::StoredRecord &record : entry->records)
            bytes += sizeInBytes(record);
    }
    AppendQueue queue;
    queue.latency = m_pace.latency();
    queue.inFlightFor = m_pace.inFlightFor(now);
    queue.fullAppends = std::max(records / maxRecordsPerAppend, bytes / maxBytesPerAppend);
    return queue;
}

asio::awaitable<ForwardResult> GroupCommit::write(std::vector<Jobs::StoredRecord> records,
                                                  Core::Instant deadline)
{
    const Core::Instant beganAt = Core::steadyNow();
    const AppendQueue queue = queueAhead(beganAt);
    const Core::Duration latency = m_pace.latency();
    const bool isTooLargeForStore = std::any_of(records.begin(), records.end(), isTooLarge);
    if (m_isClosed || isTooLargeForStore || !isDurableWithin(queue, deadline - beganAt)) {
        const ForwardOutcome outcome
            = m_isClosed ? ForwardOutcome::NotOwner : ForwardOutcome::Refused;
        co_return ForwardResult { outcome, latency, drainTime(queue) };
    }
    const auto entry
        = std::make_shared<Entry>(Entry { std::move(records), Supervision::Wakeup(m_executor) });
    m_waiting.push_back(entry);
    m_onWaiting();
    // This object may be gone once the entry is decided.
    while (!entry->isDecided && Core::steadyNow() < deadline)
        co_await entry->wakeup.sleepUntil(deadline);
    if (entry->isDecided)
        co_return entry->result;
    // If this is later than the deadline, this process was paused or busy.
    const Core::Duration waited = std::min(Core::steadyNow(), deadline) - beganAt;
    if (entry->isTaken)
        co_return ForwardResult { ForwardOutcome::Unknown, waited, waited };
    m_waiting.remove(entry);
    co_return ForwardResult { ForwardOutcome::Refused, waited, waited };
}

std::vector<std::vector<Jobs::StoredRecord>> GroupCommit::take()
{
    std::vector<std::vector<Jobs::StoredRecord>> groups;
    std::size_t bytes = 0;
    std::size_t count = 0;
    while (!m_waiting.empty()) {
        const std::shared_ptr<Entry> entry = m_waiting.front();
        for (const Jobs::StoredRecord &record : entry->records)
            bytes += sizeInBytes(record);
        count += entry->records.size();
        const bool isFull = bytes > maxBytesPerAppend || count > maxRecordsPerAppend;
        if (isFull && !groups.empty())
            break;
        entry->isTaken = true;
        groups.push_back(std::move(entry->records));
        m_taken.splice(m_taken.end(), m_waiting, m_waiting.begin());
    }
    return groups;
}

void GroupCommit::decideAll(Entries &entries, ForwardOutcome outcome)
{
    for (const auto &entry : entries) {
        entry->result = { outcome, m_pace.latency(), Core::Duration() };
        entry->isDecided = true;
        entry->wakeup.wake();
    }
    entries.clear();
}

void GroupCommit::finish(bool areWritten)
{
    decideAll(m_taken, areWritten ? ForwardOutcome::Written : ForwardOutcome::Unknown);
}

void GroupCommit::close()
{
    m_isClosed = true;
    decideAll(m_waiting, ForwardOutcome::NotOwner);
}

} // namespace Site
