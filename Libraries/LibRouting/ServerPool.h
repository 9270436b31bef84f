#pragma once

#include "BackendServer.h"

#include <LibRouting/Random.h>
#include <LibRouting/RouteAction.h>
#include <LibRouting/ServerSelector.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace Routing {

/// The backend servers of this failure domain with their limits and their health. Chooses servers
/// for requests. Resulting actions are appended to the list that is passed.
class ServerPool
{
public:
    ServerPool(const RouterSettings &settings, std::uint64_t seed);

    void setServers(const std::vector<BackendServerInfo> &servers, RouteActions &actions);

    /// Returns a server with a free slot, if possible one that the request hasn't tried. Trials on
    /// servers in doubt preferably get idempotent requests.
    std::optional<Core::VmId> choose(const std::vector<Core::VmId> &tried, bool isIdempotent,
                                     Core::Instant now);
    /// Number of slots, in use or free, that this VM has on healthy servers.
    int usableSlots() const;

    void onSent(const Core::VmId &server, Core::Instant now);
    void onAnswered(const Core::VmId &server, Core::Instant sentAt, bool isFailure,
                    Core::Instant now, RouteActions &actions);
    void onNotSent(const Core::VmId &server, Core::Instant now);
    /// Bytes were sent, but no whole answer was received; the server may still work on the request.
    void onBroken(const Core::VmId &server, const Core::RequestId &request, int attempt,
                  Core::Instant now);
    void onAbandoned(const Core::VmId &server, const Core::RequestId &request, int attempt,
                     Core::Instant sentAt, Core::Instant now);
    void onAbandonedEnded(const Core::RequestId &request, int attempt);
    void onSilence(const Core::VmId &server, Core::Instant now, RouteActions &actions);

    void onProbeAnswered(const Core::VmId &server, Core::Instant now, RouteActions &actions);
    void onProbeFailed(const Core::VmId &server, Core::Instant now);
    void onConnectionOpened(const Core::VmId &server);
    void onConnectionClosed(const Core::VmId &server, bool isKnownToServer, Core::Instant now);

    void onTimer(Core::Instant now, RouteActions &actions);
    std::optional<Core::Instant> nextWakeUp(bool hasQueue) const;

private:
    enum class Availability { Excluded, Trial, Normal };

    void onSignOfLife(BackendServer &server, Core::Instant now, RouteActions &actions);
    BackendServer *find(const Core::VmId &server);
    Availability availability(const BackendServer &server, bool isIdempotent,
                              Core::Instant now) const;
    bool hasSlots(const BackendServer &server) const;
    void observe(BackendServer &server, Core::Duration serviceTime);
    void refreshMedian();
    bool isOpeningAllowed() const;
    void closeSurplus(const BackendServer &server, RouteActions &actions) const;
    std::optional<Core::Instant> probeWantedAt(const BackendServer &server) const;
    bool isProbeWanted(const BackendServer &server, Core::Instant now) const;
    Core::Duration trialPause(bool isIdempotent) const;
    void probe(BackendServer &server, Core::Instant now, RouteActions &actions);
    void endProbe(BackendServer &server);
    void forgetUnused();

    RouterSettings m_settings;
    Random m_random;
    std::unique_ptr<ServerSelector> m_selector;
    /// Includes servers that are no longer listed but still have attempts of this VM.
    std::map<Core::VmId, std::unique_ptr<BackendServer>> m_servers;
    /// The listed servers, ordered by name.
    std::vector<BackendServer *> m_listed;
    std::vector<ServerCandidate> m_candidates;
    Core::Duration m_medianServiceTime;
    int m_answersSinceMedian = 0;
};

} // namespace Routing
