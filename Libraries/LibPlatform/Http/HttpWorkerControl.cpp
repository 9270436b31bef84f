#include <LibPlatform/Http/HttpWorkerControl.h>

#include "Http/WireFormat.h"
#include <LibHttp/Client.h>

#include <LibCore/Error.h>
#include <LibCore/SteadyClock.h>

namespace Platform {

/// All calls are idempotent per attempt, so each may be retried on a new connection.
static Http::Request makeRequest(const char *step, const Core::VmId &worker,
                                 std::function<std::string()> encodeBody)
{
    return { step, Http::Method::Post,
             "/workers/" + WireFormat::pathSegment(worker.text()) + "/" + step,
             std::move(encodeBody), true };
}

HttpWorkerControl::HttpWorkerControl(const boost::asio::any_io_executor &executor,
                                     const Http::Endpoint &endpoint)
    : m_client(std::make_unique<Http::Client>(executor, endpoint))
{
}

HttpWorkerControl::~HttpWorkerControl() = default;

boost::asio::awaitable<void> HttpWorkerControl::start(StartCommand command, Core::Instant deadline)
{
    const auto encodeBody = [&command] {
        const Core::Instant now = Core::steadyNow();
        if (command.leaseDeadline <= now)
            throw Core::NotDoneError("start", command.worker.text(), "the lease has expired");
        return WireFormat::encodeStart(command, now);
    };
    Http::Request request = makeRequest("start", command.worker, encodeBody);
    co_await m_client->call(std::move(request), deadline);
}

boost::asio::awaitable<void> HttpWorkerControl::stop(Core::VmId worker, Task::AttemptId attempt,
                                                     StopMode mode, Core::Instant deadline)
{
    const auto encodeBody = [&] { return WireFormat::encodeStop(attempt, mode); };
    Http::Request request = makeRequest("stop", worker, encodeBody);
    co_await m_client->call(std::move(request), deadline);
}

boost::asio::awaitable<void> HttpWorkerControl::throttle(Core::VmId worker, Task::AttemptId attempt,
                                                         int percent, Core::Instant deadline)
{
    const auto encodeBody = [&] { return WireFormat::encodeThrottle(attempt, percent); };
    Http::Request request = makeRequest("throttle", worker, encodeBody);
    co_await m_client->call(std::move(request), deadline);
}

boost::asio::awaitable<std::vector<Task::AttemptReport>>
HttpWorkerControl::renew(Core::VmId worker, std::vector<Task::AttemptId> attempts,
                         Core::Instant leaseDeadline, std::vector<Task::AttemptId> acknowledged,
                         Core::Instant deadline)
{
    const auto encodeBody = [&] {
        return WireFormat::encodeRenew(attempts, leaseDeadline, acknowledged, Core::steadyNow());
    };
    Http::Request request = makeRequest("renew", worker, encodeBody);
    const std::string answer = co_await m_client->call(std::move(request), deadline);
    try {
        co_return WireFormat::decodeReports(answer, worker.text());
    } catch (const Core::FormatError &error) {
        throw Core::OutcomeUnknownError("renew", worker.text(), error.what());
    }
}

} // namespace Platform
