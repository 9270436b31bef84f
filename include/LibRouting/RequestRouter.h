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

/// Whether a backend server surely knows that a connection has ended.
enum class ConnectionEnd {
    /// The server closed it, or refused it, or we closed it right after an answer had come on it.
    KnownToServer,
    /// We closed it; on a connection that has gone silent the server doesn't learn of that.
    Uncertain,
};

/// Decides about every request at one entry VM. Each event returns the actions that follow, in
/// the order in which they are to be carried out. Events about unknown requests or attempts are
/// ignored, so a late answer can't end another request.
class RequestRouter
{
public:
    static RequestRouter create(const RouterSettings &settings, std::uint64_t seed);

    RequestRouter(RequestRouter &&) noexcept;
    RequestRouter &operator=(RequestRouter &&) noexcept;
    ~RequestRouter();

    /// A request came in. Its id must not be in progress. \throws Core::NotDoneError if it is.
    RouteActions onRequest(const RequestInfo &request, Core::Instant now);
    /// The caller closed its connection: nothing is answered any more, but `Finish` still comes.
    RouteActions onCallerGone(const Core::RequestId &request, Core::Instant now);

    /// The shell began to open a connection; it counts from then on.
    RouteActions onConnectionOpened(const Core::VmId &server, Core::Instant now);
    RouteActions onConnectionClosed(const Core::VmId &server, ConnectionEnd end, Core::Instant now);

    /// Certainly nothing was written: the connection was refused, or ended before the first byte.
    RouteActions onAttemptNotSent(const Core::RequestId &request, int attempt, Core::Instant now);
    /// The first bytes of an answer came.
    RouteActions onFirstByte(const Core::RequestId &request, int attempt, Core::Instant now);
    /// The whole answer came. Unless a `Finish` with this attempt follows, the answer is dropped.
    RouteActions onAnswer(const Core::RequestId &request, int attempt, int status,
                          Core::Instant now);
    /// Bytes were sent; the answer is missing or truncated.
    RouteActions onAttemptBroken(const Core::RequestId &request, int attempt, Core::Instant now);
    /// An abandoned attempt's answer came to its end, or its server closed the connection.
    RouteActions onAbandonedEnded(const Core::RequestId &request, int attempt, Core::Instant now);

    /// The other door refused as "not run" and said when to come back.
    RouteActions onSpillRefused(const Core::RequestId &request, int attempt,
                                Core::Instant retryAfter, Core::Instant now);
    /// The other door answered. `onAttemptNotSent` and `onAttemptBroken` serve spilled attempts
    /// too.
    RouteActions onSpillAnswer(const Core::RequestId &request, int attempt, int status,
                               Core::Instant now);

    RouteActions onProbeAnswered(const Core::VmId &server, Core::Instant now);
    RouteActions onProbeFailed(const Core::VmId &server, Core::Instant now);

    /// Replaces the list of backend servers. One that is missing gets nothing new.
    RouteActions setServers(const std::vector<BackendServerInfo> &servers, Core::Instant now);
    /// Teams that aren't named have weight 1.
    void setTeamWeights(const std::map<Core::TeamId, int> &weights);
    /// Replaces the doors that may take requests of ours, the preferred one first.
    RouteActions setSpillOver(const std::vector<SpillOverOption> &options, Core::Instant now);

    RouteActions onTimer(Core::Instant now);
    /// When `onTimer` is to be called at the latest; nothing if no time matters.
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
