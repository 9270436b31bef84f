#pragma once

#include <LibHttp/Endpoint.h>
#include <LibPlatform/WorkerControl.h>

#include <boost/asio/any_io_executor.hpp>

#include <memory>

namespace Http {
class Client;
}

namespace Platform {

/// Worker control over HTTP through the platform's endpoint; docs/design/PLATFORM.md describes the
/// format. It must outlive its calls and is used from one thread only.
class HttpWorkerControl final : public WorkerControl
{
public:
    /// \throws Core::FormatError if the endpoint's address isn't an IP address.
    HttpWorkerControl(const boost::asio::any_io_executor &executor, const Http::Endpoint &endpoint);
    ~HttpWorkerControl() override;

    boost::asio::awaitable<void> start(StartCommand command, Core::Instant deadline) override;
    boost::asio::awaitable<void> stop(Core::VmId worker, Task::AttemptId attempt, StopMode mode,
                                      Core::Instant deadline) override;
    boost::asio::awaitable<void> throttle(Core::VmId worker, Task::AttemptId attempt, int percent,
                                          Core::Instant deadline) override;
    boost::asio::awaitable<std::vector<Task::AttemptReport>>
    renew(Core::VmId worker, std::vector<Task::AttemptId> attempts, Core::Instant leaseDeadline,
          std::vector<Task::AttemptId> acknowledged, Core::Instant deadline) override;

private:
    std::unique_ptr<Http::Client> m_client;
};

} // namespace Platform
