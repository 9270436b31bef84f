#pragma once

#include "EventQueue.h"
#include "VirtualServer.h"

#include <LibRouting/RequestRouter.h>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace RoutingWorld {

/// What became of one request, as seen from outside.
struct RequestRecord
{
    Routing::RequestInfo info;
    int finishes = 0;
    int timesWritten = 0;
    int runs = 0;
    Core::Instant finishedAt;
    Routing::Outcome outcome;
    /// The request whose answer the caller was given, and its status.
    std::string answerOf;
    int status = 0;
};

/// The request that the caller made; at another failure domain's door its id has a suffix.
inline std::string originOf(const Core::RequestId &id)
{
    return id.text().substr(0, id.text().find('~'));
}

/// All requests by their origin.
using RequestRecords = std::unordered_map<std::string, RequestRecord>;

/// A fake of the daemon's shell at one entry VM: it does what its router says, on connections
/// that take time, break, or go silent.
template<typename Router>
class VirtualEntry
{
public:
    using Servers = std::map<Core::VmId, std::shared_ptr<VirtualServer>>;
    using OnFinish
        = std::function<void(const Routing::Outcome &, const std::string &answerOf, int status)>;
    /// Finds the door of another failure domain.
    using FindDoor = std::function<VirtualEntry *(const Core::FailureDomainId &)>;

    VirtualEntry(EventQueue &events, Servers &servers, RequestRecords &records, Router router)
        : m_events(events)
        , m_servers(servers)
        , m_records(records)
        , m_router(std::move(router))
    {
    }

    Router &router() { return m_router; }
    void setDoors(FindDoor findDoor) { m_findDoor = std::move(findDoor); }
    /// One way, to another failure domain.
    void setDomainDelay(Core::Duration delay) { m_domainDelay = delay; }
    /// False lets the shell close abandoned connections at once instead of reading on.
    void setReadingOn(bool isReadingOn) { m_isReadingOn = isReadingOn; }
    /// True makes the shell reuse connections on which an answer may still come.
    void setReusingAbandoned(bool isReusing) { m_isReusingAbandoned = isReusing; }
    int violationsOfLeaving() const { return m_violationsOfLeaving; }
    bool isFrozen() const { return m_events.now() < m_frozenUntil; }
    void freeze(Core::Duration duration) { m_frozenUntil = m_events.now() + duration; }

    void request(const Routing::RequestInfo &info, OnFinish onFinish)
    {
        whenAwake([this, info, onFinish = std::move(onFinish)] {
            m_callers[info.id] = onFinish;
            perform(m_router.onRequest(info, now()));
        });
    }

    void callerGone(const Core::RequestId &id)
    {
        whenAwake([this, id] { perform(m_router.onCallerGone(id, now())); });
    }

    void setServers(const std::vector<Routing::BackendServerInfo> &servers)
    {
        whenAwake([this, servers] {
            m_takingNew.clear();
            for (const auto &server : servers) {
                if (!server.isLeaving)
                    m_takingNew.insert(server.id);
            }
            perform(m_router.setServers(servers, now()));
        });
    }

    void setSpillOver(const std::vector<Routing::SpillOverOption> &options)
    {
        whenAwake([this, options] { perform(m_router.setSpillOver(options, now())); });
    }

    void beginLeaving()
    {
        whenAwake([this] { perform(m_router.beginLeaving(now())); });
    }

    /// Something between the two ends forgets all connections to the server that are open now.
    void silence(const Core::VmId &server)
    {
        for (const auto &connection : m_connections[server])
            connection->isSilent = true;
    }

    /// The server's process has died: every connection that can carry the news breaks.
    void onServerKilled(const Core::VmId &server)
    {
        const auto connections = m_connections[server];
        for (const auto &connection : connections)
            m_events.after(linkDelay, [this, connection] { onBroken(connection); });
    }

    void perform(const Routing::RouteActions &actions)
    {
        for (const Routing::RouteAction &action : actions)
            std::visit([this](const auto &typed) { this->perform(typed); }, action);
        arm();
    }

    /// How long a server keeps a connection on which nothing comes.
    static constexpr Core::Duration serverIdleTimeout = std::chrono::seconds(1);

private:
    using ConnectionEnd = Routing::ConnectionEnd;

    static constexpr Core::Duration linkDelay = std::chrono::microseconds(100);

    struct Connection
    {
        std::shared_ptr<VirtualServer> server;
        int incarnation = 0;
        Core::Instant openedAt;
        Core::RequestId request;
        int attempt = 0;
        bool isBusy = false;
        bool isWritten = false;
        bool isAbandoned = false;
        bool isDoubted = false;
        bool isSilent = false;
        bool isOpen = true;
    };
    using ConnectionPointer = std::shared_ptr<Connection>;

    Core::Instant now() const { return m_events.now(); }

    template<typename Handler>
    void whenAwake(Handler handler)
    {
        if (!isFrozen()) {
            handler();
            return;
        }
        m_events.at(m_frozenUntil, [this, handler] { whenAwake(handler); });
    }

    void arm()
    {
        const std::optional<Core::Instant> next = m_router.nextWakeUp();
        if (!next || (m_armedAt && *m_armedAt <= *next))
            return;
        m_armedAt = next;
        m_events.at(*next, [this, at = *next] {
            whenAwake([this, at] {
                if (m_armedAt != at)
                    return;
                m_armedAt.reset();
                perform(m_router.onTimer(now()));
            });
        });
    }

    void perform(const Routing::Send &send)
    {
        if (!m_takingNew.contains(send.server))
            ++m_violationsOfLeaving;
        auto &idle = m_idle[send.server];
        while (!idle.empty()) {
            const ConnectionPointer connection = idle.front();
            idle.pop_front();
            if (connection->isBusy || connection->isDoubted || !connection->isOpen)
                continue;
            take(connection, send);
            write(connection);
            return;
        }
        const ConnectionPointer connection = open(send.server);
        take(connection, send);
        m_events.after(linkDelay * 2, [this, connection] {
            whenAwake([this, connection] {
                if (!connection->isOpen || connection->isSilent)
                    return;
                if (isUp(connection))
                    write(connection);
                else
                    onRefused(connection);
            });
        });
    }

    void take(const ConnectionPointer &connection, const Routing::Send &send)
    {
        connection->isBusy = true;
        connection->isWritten = false;
        connection->request = send.request;
        connection->attempt = send.attempt;
    }

    ConnectionPointer findBusy(const Core::VmId &server, const Core::RequestId &request,
                               int attempt)
    {
        const auto &connections = m_connections[server];
        const auto found = std::find_if(
            connections.begin(), connections.end(), [&](const ConnectionPointer &connection) {
                return connection->isBusy && connection->request == request
                    && connection->attempt == attempt;
            });
        return found == connections.end() ? nullptr : *found;
    }

    void makeIdle(const ConnectionPointer &connection)
    {
        connection->isBusy = false;
        m_idle[connection->server->id()].push_back(connection);
    }

    ConnectionPointer open(const Core::VmId &server)
    {
        auto connection = std::make_shared<Connection>();
        connection->server = m_servers.at(server);
        connection->incarnation = connection->server->incarnation();
        connection->openedAt = now();
        m_connections[server].push_back(connection);
        m_events.after(linkDelay, [connection] {
            connection->server->onConnectionOpened(connection->incarnation);
        });
        perform(m_router.onConnectionOpened(server, now()));
        return connection;
    }

    void close(const ConnectionPointer &connection, ConnectionEnd end)
    {
        if (!connection->isOpen)
            return;
        connection->isOpen = false;
        std::erase(m_connections[connection->server->id()], connection);
        const Core::Duration delay = connection->isSilent ? serverIdleTimeout : linkDelay;
        m_events.after(delay, [connection] {
            connection->server->onConnectionEnded(connection->incarnation);
        });
        perform(m_router.onConnectionClosed(connection->server->id(), end, now()));
    }

    void write(const ConnectionPointer &connection)
    {
        if (connection->isAbandoned) {
            // Nothing was written yet, so the server has nothing to end.
            endAbandoned(connection, ConnectionEnd::Uncertain);
            return;
        }
        connection->isWritten = true;
        const std::string origin = originOf(connection->request);
        ++m_records[origin].timesWritten;
        if (connection->isSilent)
            return;
        m_events.after(linkDelay, [this, connection, origin] {
            if (!isUp(connection)) {
                m_events.after(linkDelay, [this, connection] { onBroken(connection); });
                return;
            }
            ++m_records[origin].runs;
            connection->server->receive([this, connection, origin](int status) {
                if (connection->isSilent)
                    return;
                m_events.after(linkDelay, [this, connection, origin, status] {
                    whenAwake([=, this] { onAnswer(connection, origin, status); });
                });
            });
        });
    }

    /// True if the process that the connection leads to still lives.
    static bool isUp(const ConnectionPointer &connection)
    {
        return connection->server->isAlive()
            && connection->server->incarnation() == connection->incarnation;
    }

    void onRefused(const ConnectionPointer &connection)
    {
        const bool isAbandoned = connection->isAbandoned;
        const Core::RequestId request = connection->request;
        const int attempt = connection->attempt;
        close(connection, ConnectionEnd::KnownToServer);
        if (isAbandoned)
            perform(m_router.onAbandonedEnded(request, attempt, now()));
        else
            perform(m_router.onAttemptNotSent(request, attempt, now()));
    }

    void onBroken(const ConnectionPointer &connection)
    {
        if (!connection->isOpen || connection->isSilent)
            return;
        if (isFrozen()) {
            m_events.at(m_frozenUntil, [this, connection] { onBroken(connection); });
            return;
        }
        const bool wasAwaited = connection->isBusy && !connection->isAbandoned;
        const bool isWritten = connection->isWritten;
        const Core::RequestId request = connection->request;
        const int attempt = connection->attempt;
        close(connection, ConnectionEnd::KnownToServer);
        if (wasAwaited && isWritten)
            perform(m_router.onAttemptBroken(request, attempt, now()));
        else if (wasAwaited)
            perform(m_router.onAttemptNotSent(request, attempt, now()));
        perform(m_router.onAbandonedEnded(request, attempt, now()));
    }

    void onAnswer(const ConnectionPointer &connection, const std::string &answerOf, int status)
    {
        if (!connection->isOpen || connection->isSilent)
            return;
        if (connection->isAbandoned) {
            endAbandoned(connection, ConnectionEnd::KnownToServer);
            return;
        }
        makeIdle(connection);
        if (connection->isDoubted || !m_takingNew.contains(connection->server->id()))
            close(connection, ConnectionEnd::KnownToServer);
        const Core::RequestId request = connection->request;
        const int attempt = connection->attempt;
        m_answers[request] = { answerOf, status };
        perform(m_router.onFirstByte(request, attempt, now()));
        perform(m_router.onAnswer(request, attempt, status, now()));
    }

    void endAbandoned(const ConnectionPointer &connection, ConnectionEnd end)
    {
        const Core::RequestId request = connection->request;
        const int attempt = connection->attempt;
        connection->isAbandoned = false;
        close(connection, end);
        perform(m_router.onAbandonedEnded(request, attempt, now()));
    }

    void perform(const Routing::Abandon &abandon)
    {
        if (abandon.server.isEmpty()) {
            abandonSpilled(abandon);
            return;
        }
        const ConnectionPointer connection
            = findBusy(abandon.server, abandon.request, abandon.attempt);
        if (!connection)
            return;
        if (m_isReusingAbandoned) {
            makeIdle(connection);
            return;
        }
        connection->isAbandoned = true;
        if (!m_isReadingOn)
            close(connection, ConnectionEnd::Uncertain);
    }

    void perform(const Routing::CloseAbandoned &closing)
    {
        const ConnectionPointer connection
            = findBusy(closing.server, closing.request, closing.attempt);
        if (connection && connection->isAbandoned)
            close(connection, ConnectionEnd::Uncertain);
    }

    void abandonSpilled(const Routing::Abandon &abandon)
    {
        const auto door = m_spilled.find({ abandon.request, abandon.attempt });
        if (door == m_spilled.end())
            return;
        VirtualEntry *entry = door->second;
        const Core::RequestId id = spilledId(abandon.request, abandon.attempt);
        m_spilled.erase(door);
        m_events.after(m_domainDelay, [entry, id] { entry->callerGone(id); });
    }

    static Core::RequestId spilledId(const Core::RequestId &request, int attempt)
    {
        return Core::RequestId(request.text() + "~" + std::to_string(attempt));
    }

    void perform(const Routing::SpillOver &spill)
    {
        VirtualEntry *door = m_findDoor ? m_findDoor(spill.failureDomain) : nullptr;
        if (!door) {
            m_events.after(m_domainDelay * 2, [this, spill] {
                perform(m_router.onAttemptNotSent(spill.request, spill.attempt, now()));
            });
            return;
        }
        m_spilled[{ spill.request, spill.attempt }] = door;
        Routing::RequestInfo info = m_records[originOf(spill.request)].info;
        info.id = spilledId(spill.request, spill.attempt);
        info.isSpilledOver = true;
        m_events.after(m_domainDelay, [this, spill, door, info] {
            door->request(
                info, [this, spill](const auto &outcome, const auto &answerOf, int status) {
                    m_events.after(m_domainDelay, [=, this] {
                        whenAwake([=, this] { onSpillEnded(spill, outcome, answerOf, status); });
                    });
                });
        });
    }

    void onSpillEnded(const Routing::SpillOver &spill, const Routing::Outcome &outcome,
                      const std::string &answerOf, int status)
    {
        m_spilled.erase({ spill.request, spill.attempt });
        if (const auto *refused = std::get_if<Routing::RefusedNotRun>(&outcome)) {
            perform(
                m_router.onSpillRefused(spill.request, spill.attempt, refused->retryAfter, now()));
            return;
        }
        if (std::holds_alternative<Routing::UnknownOutcome>(outcome)) {
            perform(m_router.onAttemptBroken(spill.request, spill.attempt, now()));
            return;
        }
        m_answers[spill.request] = { answerOf, status };
        perform(m_router.onSpillAnswer(spill.request, spill.attempt, status, now()));
    }

    void perform(const Routing::Finish &finish)
    {
        const auto [answerOf, status] = m_answers[finish.request];
        m_answers.erase(finish.request);
        const auto caller = m_callers.find(finish.request);
        if (caller != m_callers.end())
            caller->second(finish.outcome, answerOf, status);
    }

    void perform(const Routing::ProbeServer &probe)
    {
        const ConnectionPointer connection = open(probe.server);
        connection->isBusy = true;
        connection->isDoubted = false;
        m_events.after(linkDelay * 4, [this, connection] { checkProbe(connection); });
        m_events.at(probe.deadline, [this, connection] {
            whenAwake([this, connection] {
                if (!connection->isOpen)
                    return;
                close(connection, ConnectionEnd::Uncertain);
                perform(m_router.onProbeFailed(connection->server->id(), now()));
            });
        });
    }

    void checkProbe(const ConnectionPointer &connection)
    {
        whenAwake([this, connection] {
            if (!connection->isOpen || connection->isSilent)
                return;
            const auto &server = *connection->server;
            if (server.isAlive() && server.isFrozen())
                return;
            close(connection, ConnectionEnd::KnownToServer);
            perform(server.isAlive() ? m_router.onProbeAnswered(server.id(), now())
                                     : m_router.onProbeFailed(server.id(), now()));
        });
    }

    void perform(const Routing::DoubtConnections &doubt)
    {
        const auto connections = m_connections[doubt.server];
        for (const auto &connection : connections) {
            if (connection->openedAt >= doubt.openedBefore)
                continue;
            connection->isDoubted = true;
            if (!connection->isBusy)
                close(connection, ConnectionEnd::Uncertain);
        }
    }

    void perform(const Routing::CloseIdleConnections &closing)
    {
        int count = closing.count;
        const auto connections = m_connections[closing.server];
        for (const auto &connection : connections) {
            if (connection->isBusy || count == 0)
                continue;
            --count;
            close(connection, ConnectionEnd::Uncertain);
        }
    }

    EventQueue &m_events;
    Servers &m_servers;
    RequestRecords &m_records;
    Router m_router;
    FindDoor m_findDoor;
    bool m_isReadingOn = true;
    bool m_isReusingAbandoned = false;
    int m_violationsOfLeaving = 0;
    Core::Instant m_frozenUntil;
    Core::Duration m_domainDelay = std::chrono::microseconds(500);
    std::optional<Core::Instant> m_armedAt;
    std::set<Core::VmId> m_takingNew;
    std::unordered_map<Core::VmId, std::vector<ConnectionPointer>> m_connections;
    /// May still hold connections that were closed or doubted since.
    std::unordered_map<Core::VmId, std::deque<ConnectionPointer>> m_idle;
    std::unordered_map<Core::RequestId, OnFinish> m_callers;
    std::unordered_map<Core::RequestId, std::pair<std::string, int>> m_answers;
    std::map<std::pair<Core::RequestId, int>, VirtualEntry *> m_spilled;
};

} // namespace RoutingWorld
