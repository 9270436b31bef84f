#pragma once

#include <boost/asio/any_io_executor.hpp>

#include <deque>
#include <memory>
#include <utility>

namespace Site {

/// Runs functions on an event loop, in short slices: the loop's other handlers wait for one slice
/// at most, however many functions are queued. Urgent functions run before all ordinary ones, and
/// functions of equal priority in the order of their arrival.
///
/// The work of coroutines that runs on this queue gives way to that which runs on the loop itself.
class BackgroundQueue final : public std::enable_shared_from_this<BackgroundQueue>
{
public:
    enum class Priority {
        Urgent,
        Ordinary,
    };

    explicit BackgroundQueue(boost::asio::any_io_executor executor);

    /// \p function is called without arguments. It may be movable only.
    template<typename Function>
    void execute(Priority priority, Function function)
    {
        push(priority, std::make_unique<TypedEntry<Function>>(std::move(function)));
    }
    /// Gives everything that is queued, and that arrives later, to the event loop itself.
    void close();
    boost::asio::execution_context &context() const;

private:
    class Entry
    {
    public:
        Entry() = default;
        Entry(const Entry &) = delete;
        Entry &operator=(const Entry &) = delete;
        virtual ~Entry() = default;

        virtual void run() = 0;
    };

    template<typename Function>
    class TypedEntry final : public Entry
    {
    public:
        explicit TypedEntry(Function function)
            : m_function(std::move(function))
        {
        }

        void run() override { std::move(m_function)(); }

    private:
        Function m_function;
    };

    using EntryPtr = std::unique_ptr<Entry>;

    std::deque<EntryPtr> &entries(Priority priority);
    void push(Priority priority, EntryPtr entry);
    /// Returns null if nothing is queued.
    EntryPtr takeNext();
    bool isEmpty() const { return m_urgent.empty() && m_ordinary.empty(); }
    void postToLoop(EntryPtr entry) const;
    void scheduleSlice();
    void runSlice();

    boost::asio::any_io_executor m_executor;
    std::deque<EntryPtr> m_urgent;
    std::deque<EntryPtr> m_ordinary;
    bool m_isSliceScheduled = false;
    bool m_isClosed = false;
};

} // namespace Site
