#include <utility>

#include "QueueingLog.h"

#include <LibCore/SteadyClock.h>
#include <LibSupervision/Wakeup.h>

#include <boost/asio/co_spawn.hpp>

#include <algorithm>
#include <exception>
#include <memory>
#include <optional>

using namespace Site;
namespace asio = boost::asio;

static constexpr Core::Duration maxWaiting = std::chrono::seconds(2);

QueueingLog::QueueingLog(asio::any_io_executor executor, KeyedLog &log)
    : m_executor(std::move(executor))
    , m_log(log)
{
}

asio::awaitable<void> QueueingLog::waitForTurn()
{
    const Core::Instant now = Core::steadyNow();
    m_freeAt = std::max(m_freeAt, now);
    if (m_freeAt - now > maxWaiting) {
        ++refused;
        throw Core::NotDoneError("append", "queue", "too many appends are waiting");
    }
    m_freeAt += std::chrono::milliseconds(appendMs);
    const Core::Instant turnEndsAt = m_freeAt;
    Supervision::Wakeup pause(m_executor);
    co_await pause.sleepUntil(turnEndsAt);
}

asio::awaitable<std::int64_t> QueueingLog::answerBy(asio::awaitable<std::int64_t> work,
                                                    Core::Instant deadline)
{
    struct Outcome
    {
        Supervision::Wakeup wakeup;
        std::optional<std::int64_t> offset = {};
        std::exception_ptr failure = {};
    };
    const auto outcome = std::make_shared<Outcome>(Outcome { Supervision::Wakeup(m_executor) });
    asio::co_spawn(m_executor, std::move(work),
                   [outcome](const std::exception_ptr &failure, std::int64_t offset) {
                       outcome->failure = failure;
                       outcome->offset = offset;
                       outcome->wakeup.wake();
                   });
    while (!outcome->offset && Core::steadyNow() < deadline)
        co_await outcome->wakeup.sleepUntil(deadline);
    if (!outcome->offset) {
        ++unanswered;
        throw Core::OutcomeUnknownError("append", "queue", "the deadline has passed");
    }
    if (outcome->failure)
        std::rethrow_exception(outcome->failure);
    co_return *outcome->offset;
}

asio::awaitable<std::int64_t> QueueingLog::append(std::vector<Jobs::StoredRecord> records,
                                                  Core::Instant deadline)
{
    auto work = [](QueueingLog &self,
                   std::vector<Jobs::StoredRecord> stored) -> asio::awaitable<std::int64_t> {
        co_await self.waitForTurn();
        co_return co_await self.m_log.append(std::move(stored), Core::Instant::max());
    };
    co_return co_await answerBy(work(*this, std::move(records)), deadline);
}

asio::awaitable<std::int64_t> QueueingLog::appendAt(std::vector<Jobs::StoredRecord> records,
                                                    std::int64_t expectedEnd,
                                                    Core::Instant deadline)
{
    auto work = [](QueueingLog &self, std::vector<Jobs::StoredRecord> stored,
                   std::int64_t end) -> asio::awaitable<std::int64_t> {
        co_await self.waitForTurn();
        co_return co_await self.m_log.appendAt(std::move(stored), end, Core::Instant::max());
    };
    co_return co_await answerBy(work(*this, std::move(records), expectedEnd), deadline);
}

asio::awaitable<std::int64_t> QueueingLog::appendFenced(std::vector<Jobs::StoredRecord> records,
                                                        FencedWriter writer, Core::Instant deadline)
{
    auto work = [](QueueingLog &self, std::vector<Jobs::StoredRecord> stored,
                   FencedWriter fencedWriter) -> asio::awaitable<std::int64_t> {
        co_await self.waitForTurn();
        co_return co_await self.m_log.appendFenced(std::move(stored), fencedWriter,
                                                   Core::Instant::max());
    };
    co_return co_await answerBy(work(*this, std::move(records), writer), deadline);
}

asio::awaitable<LogPage> QueueingLog::read(Topic topic, std::int64_t from, std::int64_t waitMs,
                                           Core::Instant deadline)
{
    return m_log.read(topic, from, waitMs, deadline);
}

asio::awaitable<NewestRecordsPage> QueueingLog::readNewest(Topic topic, std::string afterKey,
                                                           Core::Instant deadline)
{
    return m_log.readNewest(topic, std::move(afterKey), deadline);
}
