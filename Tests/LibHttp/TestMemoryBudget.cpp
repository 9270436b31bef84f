#include <LibHttp/MemoryBudget.h>

#include <catch2/catch.hpp>

using Http::MemoryBudget;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t maxBytes = 10'000;

class BudgetFixture
{
public:
    /// A connection that begins to receive a request.
    std::unique_ptr<MemoryBudget::Connection> receive(int number, Core::Instant now,
                                                      bool isAtOtherServer = false)
    {
        auto connection = std::make_unique<MemoryBudget::Connection>(
            isAtOtherServer ? otherServer : server, [this, number] { closed.push_back(number); },
            now);
        connection->beginTransfer(now);
        return connection;
    }

    std::shared_ptr<MemoryBudget> budget = std::make_shared<MemoryBudget>(maxBytes);
    std::shared_ptr<MemoryBudget::Group> server = std::make_shared<MemoryBudget::Group>(budget);
    std::shared_ptr<MemoryBudget::Group> otherServer
        = std::make_shared<MemoryBudget::Group>(budget);
    std::vector<int> closed;
};

} // namespace

// Guards against closing connections that make progress while others have stalled.
TEST_CASE_METHOD(BudgetFixture, "The connection without progress for the longest time is closed")
{
    const auto first = receive(1, Core::Instant(0s));
    const auto second = receive(2, Core::Instant(1s), true);
    const auto third = receive(3, Core::Instant(2s));
    CHECK(first->hold(3000, 3000, Core::Instant(0s)));
    CHECK(second->hold(3000, 3000, Core::Instant(1s)));
    CHECK(first->hold(4100, 4100, Core::Instant(2s)));
    CHECK(third->hold(3000, 3000, Core::Instant(3s)));
    CHECK(closed == std::vector { 2 });
    CHECK(budget->heldBytes() == 7100);
    // What has been closed counts no more.
    CHECK_FALSE(second->hold(9000, 9000, Core::Instant(3s)));
    CHECK(budget->heldBytes() == 7100);
    CHECK(server->openConnections() == 2);
    CHECK(otherServer->openConnections() == 0);
}

// Guards against clients that stay by sending a byte now and then.
TEST_CASE_METHOD(BudgetFixture, "Single bytes aren't progress")
{
    const auto slow = receive(1, Core::Instant(0s));
    const auto steady = receive(2, Core::Instant(0s));
    CHECK(slow->hold(3000, 3000, Core::Instant(0s)));
    CHECK(steady->hold(3000, 3000, Core::Instant(1s)));
    CHECK(slow->hold(3001, 3001, Core::Instant(2s)));
    const auto late = receive(3, Core::Instant(3s));
    CHECK(late->hold(6000, 6000, Core::Instant(3s)));
    CHECK(closed == std::vector { 1 });
}

// Guards against closing a client that sends a large body steadily: the room for a body is
// allocated in large steps, between which the held bytes don't change.
TEST_CASE_METHOD(BudgetFixture, "Bytes that arrive in room that is there already are progress")
{
    const auto steady = receive(1, Core::Instant(0s));
    const auto stalled = receive(2, Core::Instant(0s));
    CHECK(steady->hold(4000, 500, Core::Instant(0s)));
    CHECK(stalled->hold(3000, 3000, Core::Instant(1s)));
    CHECK(steady->hold(4000, 2000, Core::Instant(2s)));
    const auto late = receive(3, Core::Instant(3s));
    CHECK(late->hold(4000, 4000, Core::Instant(3s)));
    CHECK(closed == std::vector { 2 });
}

// Guards against a second request on a connection whose progress counts from that of the first one.
TEST_CASE_METHOD(BudgetFixture, "Each transfer makes progress anew")
{
    const auto connection = receive(1, Core::Instant(0s));
    const auto stalled = receive(2, Core::Instant(0s));
    CHECK(connection->hold(4000, 4000, Core::Instant(0s)));
    connection->beginAnswer(Core::Instant(0s));
    connection->beginTransfer(Core::Instant(0s));
    CHECK(stalled->hold(3000, 3000, Core::Instant(1s)));
    CHECK(connection->hold(3000, 2000, Core::Instant(2s)));
    const auto late = receive(3, Core::Instant(3s));
    CHECK(late->hold(5000, 5000, Core::Instant(3s)));
    CHECK(closed == std::vector { 2 });
}

// Guards against exceeding the budget when there is nothing to close.
TEST_CASE_METHOD(BudgetFixture,
                 "A request is refused while all others make progress or are answered")
{
    const auto answered = receive(1, Core::Instant(0s));
    CHECK(answered->hold(5000, 5000, Core::Instant(0s)));
    answered->beginAnswer(Core::Instant(0s));
    const auto recent = receive(2, Core::Instant(9s));
    CHECK(recent->hold(4000, 4000, Core::Instant(9s)));
    const auto late = receive(3, Core::Instant(9100ms));
    CHECK_FALSE(late->hold(2000, 2000, Core::Instant(9100ms)));
    CHECK(closed.empty());
    CHECK(budget->shortages() == 1);
}

// Guards against connections that are counted after their end, which would refuse all others.
TEST_CASE_METHOD(BudgetFixture, "Nothing is counted after a request or a connection has ended")
{
    auto connection = receive(1, Core::Instant(0s));
    CHECK(connection->hold(5000, 5000, Core::Instant(0s)));
    connection->becomeIdle(Core::Instant(1s));
    CHECK(budget->heldBytes() == 0);
    connection->beginTransfer(Core::Instant(1s));
    CHECK(connection->hold(6000, 6000, Core::Instant(1s)));
    CHECK(budget->bytesBelowPeak() == 0);
    connection.reset();
    CHECK(budget->heldBytes() == 0);
    CHECK(budget->bytesBelowPeak() == 6000);
    CHECK(server->openConnections() == 0);
}

// Guards against stalled clients that take all connections of a server, and against closing those
// that have just connected.
TEST_CASE_METHOD(BudgetFixture, "A stalled connection makes room for another at its own server")
{
    const auto other = receive(1, Core::Instant(0s), true);
    const auto idle = receive(2, Core::Instant(0s));
    idle->becomeIdle(Core::Instant(1s));
    const auto recent = receive(3, Core::Instant(1100ms));
    CHECK_FALSE(server->closeLongestStalled(Core::Instant(1200ms)));
    CHECK(server->closeLongestStalled(Core::Instant(1300ms)));
    CHECK(closed == std::vector { 2 });
    CHECK_FALSE(server->closeLongestStalled(Core::Instant(1300ms)));
}
