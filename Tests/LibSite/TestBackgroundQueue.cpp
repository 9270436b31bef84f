#include <LibSite/BackgroundExecutor.h>

#include <LibCore/SteadyClock.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <thread>
#include <vector>

using namespace Site;
namespace asio = boost::asio;
using std::chrono::milliseconds;

static asio::awaitable<void> sleepAndCount(int &count)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, milliseconds(1));
    co_await timer.async_wait(asio::use_awaitable);
    ++count;
}

TEST_CASE(
    "Background work delays a loop's other handlers by one slice at most, and keeps its order")
{
    asio::io_context context;
    const auto queue = std::make_shared<BackgroundQueue>(context.get_executor());
    std::vector<int> order;
    for (int i = 0; i < 20; ++i) {
        queue->execute(BackgroundQueue::Priority::Ordinary, [&order, i] {
            std::this_thread::sleep_for(milliseconds(3));
            order.push_back(i);
        });
    }
    std::size_t doneBeforeOther = 100;
    asio::post(context, [&] { doneBeforeOther = order.size(); });
    context.run();
    CHECK(doneBeforeOther <= 1);
    REQUIRE(order.size() == 20);
    CHECK(std::is_sorted(order.begin(), order.end()));
}

TEST_CASE("Urgent background work doesn't wait for ordinary work that was queued before")
{
    asio::io_context context;
    const auto queue = std::make_shared<BackgroundQueue>(context.get_executor());
    std::vector<int> order;
    for (int i = 10; i < 14; ++i)
        queue->execute(BackgroundQueue::Priority::Ordinary, [&order, i] { order.push_back(i); });
    for (int i = 0; i < 3; ++i)
        queue->execute(BackgroundQueue::Priority::Urgent, [&order, i] { order.push_back(i); });
    const bool isClosed = GENERATE(false, true);
    if (isClosed)
        queue->close();
    context.run();
    CHECK(order == std::vector<int> { 0, 1, 2, 10, 11, 12, 13 });
}

TEST_CASE("Coroutines in the background run to their end, also if the queue is closed before")
{
    asio::io_context context;
    const auto queue = std::make_shared<BackgroundQueue>(context.get_executor());
    int ended = 0;
    for (int i = 0; i < 10; ++i)
        asio::co_spawn(BackgroundExecutor(queue, BackgroundQueue::Priority::Ordinary),
                       sleepAndCount(ended), asio::detached);
    if (GENERATE(false, true))
        queue->close();
    context.run();
    CHECK(ended == 10);
}

TEST_CASE("A loop that ends before its background work releases it")
{
    std::weak_ptr<BackgroundQueue> released;
    int ended = 0;
    {
        asio::io_context context;
        const auto queue = std::make_shared<BackgroundQueue>(context.get_executor());
        released = queue;
        for (int i = 0; i < 3; ++i)
            asio::co_spawn(BackgroundExecutor(queue, BackgroundQueue::Priority::Ordinary),
                           sleepAndCount(ended), asio::detached);
        context.poll_one();
        queue->close();
    }
    CHECK(ended == 0);
    CHECK(released.expired());
}
