#pragma once

#include <LibSite/BackgroundQueue.h>

#include <boost/asio/execution/blocking.hpp>
#include <boost/asio/execution/context.hpp>

#include <memory>
#include <utility>

namespace Site {

/// Lets coroutines and handlers run on a background queue, all with the same priority.
class BackgroundExecutor
{
public:
    BackgroundExecutor(std::shared_ptr<BackgroundQueue> queue,
                       BackgroundQueue::Priority priority) noexcept
        : m_queue(std::move(queue))
        , m_priority(priority)
    {
    }

    boost::asio::execution_context &query(boost::asio::execution::context_t) const noexcept
    {
        return m_queue->context();
    }
    static constexpr boost::asio::execution::blocking_t
    query(boost::asio::execution::blocking_t) noexcept
    {
        return boost::asio::execution::blocking.never;
    }
    /// Functions never run before `execute()` has returned.
    BackgroundExecutor require(boost::asio::execution::blocking_t::never_t) const { return *this; }

    template<typename Function>
    void execute(Function &&function) const
    {
        m_queue->execute(m_priority, std::forward<Function>(function));
    }

    bool operator==(const BackgroundExecutor &other) const noexcept = default;

private:
    std::shared_ptr<BackgroundQueue> m_queue;
    BackgroundQueue::Priority m_priority;
};

} // namespace Site
