#include <LibSite/BackgroundQueue.h>

#include <LibCore/SteadyClock.h>

#include <boost/asio/execution/context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/query.hpp>

namespace Site {

namespace asio = boost::asio;

/// A slice begins no further function after this time.
static constexpr Core::Duration sliceTime = std::chrono::milliseconds(2);

BackgroundQueue::BackgroundQueue(asio::any_io_executor executor)
    : m_executor(std::move(executor))
{
}

asio::execution_context &BackgroundQueue::context() const
{
    return asio::query(m_executor, asio::execution::context);
}

void BackgroundQueue::close()
{
    m_isClosed = true;
    std::deque<EntryPtr> entries = std::exchange(m_entries, {});
    for (EntryPtr &entry : entries)
        postToLoop(std::move(entry));
}

void BackgroundQueue::push(EntryPtr entry)
{
    if (m_isClosed) {
        postToLoop(std::move(entry));
        return;
    }
    m_entries.push_back(std::move(entry));
    scheduleSlice();
}

void BackgroundQueue::postToLoop(EntryPtr entry) const
{
    asio::post(m_executor, [movedEntry = std::move(entry)] { movedEntry->run(); });
}

void BackgroundQueue::scheduleSlice()
{
    if (m_isSliceScheduled)
        return;
    m_isSliceScheduled = true;
    asio::post(m_executor, [self = shared_from_this()] { self->runSlice(); });
}

void BackgroundQueue::runSlice()
{
    m_isSliceScheduled = false;
    const Core::Instant endsAt = Core::steadyNow() + sliceTime;
    while (!m_entries.empty()) {
        const EntryPtr entry = std::move(m_entries.front());
        m_entries.pop_front();
        entry->run();
        if (Core::steadyNow() >= endsAt)
            break;
    }
    if (!m_entries.empty())
        scheduleSlice();
}

} // namespace Site
