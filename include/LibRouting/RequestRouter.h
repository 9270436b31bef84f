#pragma once

#include <LibRouting/BackendServerInfo.h>
#include <LibRouting/RequestInfo.h>
#include <LibRouting/RouteAction.h>
#include <LibRouting/RouterSettings.h>
#include <LibRouting/SpillOverOption.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace Routing {

/// Whether a backend server certainly knows that a connection has ended.
enum class ConnectionEnd {
    /// The server closed or refused the connection, or it was closed directly after an answer.
    KnownToServer,
    /// This VM closed the connection. If the connection has gone silent, the server doesn't notice.
    Uncertain,
};

/// Routes the requests of one entry VM. Each event returns the resulting actions in the order in
/// which they must be carried out. Events about unknown requests or attempts are ignored, so a late
/// answer can't end another request.
class RequestRouter
{
public:
    static RequestRouter create(const RouterSettings &settings, std::uint64_t seed);

    RequestRouter(RequestRouter &&) noexcept;
    RequestRouter &operator=(RequestRouter &&) noexcept;
    ~RequestRouter();

    /// A request has arrived. \throws Core::NotDoneError if a request with its ID is in progress.
    RouteActions onRequest(const RequestInfo &request, Core::Instant now);
    /// The caller has closed its connection. `Finish` is still returned, without an answer.
    RouteActions onCallerGone(const Core::RequestId &request, Core::Instant now);

    /// A connection is being opened; it counts from now on.
    RouteActions onConnectionOpened(const Core::VmId &server, Core::Instant now);
    RouteActions onConnectionClosed(const Core::VmId &server, ConnectionEnd end, Core::Instant now);

    /// No byte was written: the connection was refused, or ended before the first byte.
    RouteActions onAttemptNotSent(const Core::RequestId &request, int attempt, Core::Instant now);
    /// The first bytes of an answer were received.
    RouteActions onFirstByte(const Core::RequestId &request, int attempt, Core::Instant now);
    /// The whole answer was received. It is dropped unless a `Finish` with this attempt follows.
    RouteActions onAnswer(const Core::RequestId &request, int attempt, int status,
                          Core::Instant now);
    /// Bytes were sent; the answer is missing or truncated.
    RouteActions onAttemptBroken(const Core::RequestId &request, int attempt, Core::Instant now);
    /// The answer of an abandoned attempt has ended, or its server has closed the connection.
    RouteActions onAbandonedEnded(const Core::RequestId &request, int attempt, Core::Instant now);

    /// The other failure domain refused the request as not run, with Retry-After.
    RouteActions onSpillRefused(const Core::RequestId &request, int attempt,
                                Core::Instant retryAfter, Core::Instant now);
    /// The other failure domain answered. For spilled attempts, too, use `onAttemptNotSent` and
    /// `onAttemptBroken`.
    RouteActions onSpillAnswer(const Core::RequestId &request, int attempt, int status,
                               Core::Instant now);

    RouteActions onProbeAnswered(const Core::VmId &server, Core::Instant now);
    RouteActions onProbeFailed(const Core::VmId &server, Core::Instant now);

    /// Replaces the list of backend servers. One that is no longer listed gets no further request.
    RouteActions setServers(const std::vector<BackendServerInfo> &servers, Core::Instant now);
    /// Teams that aren't listed have the weight 1.
    void setTeamWeights(const std::map<Core::TeamId, int> &weights);
    /// Replaces the failure domains to which requests may be spilled over, the preferred one first.
    RouteActions setSpillOver(const std::vector<SpillOverOption> &options, Core::Instant now);

    RouteActions onTimer(Core::Instant now);
    /// Returns when `onTimer` must be called at the latest; nothing if no timer is set.
    std::optional<Core::Instant> nextWakeUp() const;

    /// Graceful shutdown: new requests are refused, all in progress are finished.
    RouteActions beginLeaving(Core::Instant now);
    bool isIdle() const;

    std::size_t queued() const;
    std::size_t inProgress() const;

private:
    class Implementation;
    explicit RequestRouter(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Routing
