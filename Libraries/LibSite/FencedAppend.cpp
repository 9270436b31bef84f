#include <LibSite/FencedAppend.h>

#include <LibCore/SteadyClock.h>

#include <utility>

namespace Site {

namespace asio = boost::asio;

FencedAppend::FencedAppend(KeyedLog &log, const asio::any_io_executor &executor,
                           std::vector<Jobs::StoredRecord> records, FencedWriter writer)
    : m_log(log)
    , m_records(std::move(records))
    , m_writer(writer)
    , m_wakeup(executor)
{
}

bool FencedAppend::isDecided() const
{
    return m_isAnswered || m_isRejected || m_openCalls == 0;
}

asio::awaitable<FencedAppend::Receipt>
FencedAppend::send(Spawn spawn, Core::Duration repetitionDelay, Core::Instant deadline)
{
    // The answer to a repetition may be the stored one of the first call, so it proves no more.
    const Core::Instant firstSentAt = Core::suspendAwareNow();
    ++m_openCalls;
    spawn(call(shared_from_this(), deadline));
    co_await waitUntil(Core::steadyNow() + repetitionDelay);
    if (!isDecided()) {
        ++m_openCalls;
        spawn(call(shared_from_this(), deadline));
    }
    // Each call ends by itself soon after its deadline.
    co_await waitUntil(Core::Instant::max());
    if (m_isAnswered)
        co_return Receipt { firstSentAt, m_offset };
    std::rethrow_exception(m_failure);
}

asio::awaitable<void> FencedAppend::waitUntil(Core::Instant instant)
{
    while (!isDecided() && Core::steadyNow() < instant)
        co_await m_wakeup.sleepUntil(instant);
}

asio::awaitable<void> FencedAppend::call(std::shared_ptr<FencedAppend> self, Core::Instant deadline)
{
    try {
        std::vector<Jobs::StoredRecord> records = self->m_records;
        const std::int64_t offset
            = co_await self->m_log.appendFenced(std::move(records), self->m_writer, deadline);
        self->m_offset = offset;
        self->m_isAnswered = true;
    } catch (const FencedError &) {
        self->m_failure = std::current_exception();
        self->m_isRejected = true;
    } catch (const ConflictError &) {
        self->m_failure = std::current_exception();
        self->m_isRejected = true;
    } catch (...) {
        self->m_failure = std::current_exception();
    }
    --self->m_openCalls;
    self->m_wakeup.wake();
}

} // namespace Site
