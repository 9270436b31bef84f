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

std::deque<BackgroundQueue::EntryPtr> &BackgroundQueue::entries(Priority priority)
{
    return priority == Priority::Urgent ? m_urgent : m_ordinary;
}

void BackgroundQueue::close()
{
    m_isClosed = true;
    while (EntryPtr entry = takeNext())
        postToLoop(std::move(entry));
}

void BackgroundQueue::push(Priority priority, EntryPtr entry)
{
    if (m_isClosed) {
        postToLoop(std::move(entry));
        return;
    }
    entries(priority).push_back(std::move(entry));
    scheduleSlice();
}

BackgroundQueue::EntryPtr BackgroundQueue::takeNext()
{
    if (isEmpty())
        return nullptr;
    std::deque<EntryPtr> &next = m_urgent.empty() ? m_ordinary : m_urgent;
    EntryPtr entry = std::move(next.front());
    next.pop_front();
    return entry;
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
    while (const EntryPtr entry = takeNext()) {
        entry->run();
        if (Core::steadyNow() >= endsAt)
            break;
    }
    if (!isEmpty())
        scheduleSlice();
}

} // namespace Site
