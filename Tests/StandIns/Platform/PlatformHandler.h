#pragma once

#include "Common/HttpServer.h"
#include "Platform/LogStore.h"
#include "Platform/WorkerSimulation.h"

#include <functional>

namespace StandIn {

struct PlatformSettings
{
    std::size_t retainedRecords = 100000;
    /// Delay with which changes of the list of VMs are published.
    Core::Duration listLag {};
    /// Time after a change during which a start that contradicts it isn't a violation.
    Core::Duration grace = std::chrono::seconds(3);
    bool isFencing = false;

    bool operator==(const PlatformSettings &) const = default;
};

/// Serves the platform's paths `/log/...`, `/vms` and `/workers/...`.
class PlatformHandler final : public RequestHandler
{
public:
    using Clock = std::function<Core::Instant()>;

    PlatformHandler(const PlatformSettings &settings, Clock clock);

    boost::asio::awaitable<Reply> handle(Request request) override;
    Faults faultsFor(const Request &request) override;

    Core::Instant now() const { return m_clock(); }
    LogStore &log() { return m_log; }
    VmList &vms() { return m_vms; }
    WorkerSimulation &workers() { return m_workers; }
    FaultTable &faults() { return m_faults; }

private:
    Reply handleLog(const std::string &stream, const Request &request);
    Reply handleWorker(const std::string &worker, const std::string &action,
                       const Json::Value &command);
    Reply handleStart(const std::string &worker, const Json::Value &command);
    Reply handleRenew(const std::string &worker, const Json::Value &command);

    Clock m_clock;
    LogStore m_log;
    VmList m_vms;
    WorkerSimulation m_workers;
    FaultTable m_faults;
};

} // namespace StandIn
