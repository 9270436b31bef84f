#pragma once

#include "EventQueue.h"

#include <LibCore/Identifier.h>
#include <LibRouting/Random.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <string>

namespace RoutingWorld {

/// A backend server as it really is, whatever an entry VM believes.
class VirtualServer
{
public:
    using Answer = std::function<void(int status)>;
    /// Draws the service time of a request, given how many are running here.
    using ServiceTime = std::function<Core::Duration(int running)>;

    VirtualServer(EventQueue &events, Core::VmId id, int workers, ServiceTime serviceTime)
        : m_events(events)
        , m_id(std::move(id))
        , m_workers(workers)
        , m_serviceTime(std::move(serviceTime))
    {
    }

    const Core::VmId &id() const { return m_id; }
    int workers() const { return m_workers; }
    bool isAlive() const { return m_isAlive; }
    bool isFrozen() const { return m_events.now() < m_frozenUntil; }
    int incarnation() const { return m_incarnation; }
    int inWork() const { return static_cast<int>(m_running.size() + m_waiting.size()); }
    int mostInWork() const { return m_mostInWork; }
    int mostConnections() const { return m_mostConnections; }
    std::int64_t completed() const { return m_completed; }

    void setSlowness(double slowness) { m_slowness = slowness; }
    void setFailing(bool isFailing) { m_isFailing = isFailing; }

    void onConnectionOpened(int incarnation)
    {
        if (incarnation == m_incarnation)
            m_mostConnections = std::max(m_mostConnections, ++m_connections);
    }
    void onConnectionEnded(int incarnation)
    {
        if (incarnation == m_incarnation)
            --m_connections;
    }

    /// A request's bytes came. \p answer is called when it has run.
    void receive(Answer answer)
    {
        m_waiting.push_back(std::move(answer));
        m_mostInWork = std::max(m_mostInWork, inWork());
        startWaiting();
    }

    /// Nothing proceeds for \p duration, and then everything goes on.
    void freeze(Core::Duration duration)
    {
        const Core::Instant thawAt = std::max(m_frozenUntil, m_events.now() + duration);
        const Core::Duration added = thawAt - std::max(m_frozenUntil, m_events.now());
        m_frozenUntil = thawAt;
        for (const auto &work : m_running)
            work->finishAt += added;
        m_events.at(m_frozenUntil, [this] { startWaiting(); });
    }

    void kill()
    {
        m_isAlive = false;
        ++m_incarnation;
        m_running.clear();
        m_waiting.clear();
        m_connections = 0;
    }

    void restart() { m_isAlive = true; }

private:
    struct Work
    {
        Answer answer;
        Core::Instant finishAt;
    };

    void startWaiting()
    {
        while (!isFrozen() && !m_waiting.empty()
               && static_cast<int>(m_running.size()) < m_workers) {
            auto work = std::make_shared<Work>();
            work->answer = std::move(m_waiting.front());
            m_waiting.pop_front();
            work->finishAt = m_events.now() + drawServiceTime();
            m_running.push_back(work);
            awaitFinish(work);
        }
    }

    Core::Duration drawServiceTime()
    {
        if (m_isFailing)
            return std::chrono::milliseconds(1);
        const Core::Duration usual = m_serviceTime(static_cast<int>(m_running.size()) + 1);
        return Core::Duration(
            static_cast<std::int64_t>(static_cast<double>(usual.count()) * m_slowness));
    }

    void awaitFinish(const std::shared_ptr<Work> &work)
    {
        m_events.at(work->finishAt, [this, work] {
            const auto position = std::find(m_running.begin(), m_running.end(), work);
            if (position == m_running.end())
                return;
            if (work->finishAt > m_events.now()) {
                awaitFinish(work);
                return;
            }
            m_running.erase(position);
            ++m_completed;
            work->answer(m_isFailing ? 500 : 200);
            startWaiting();
        });
    }

    EventQueue &m_events;
    Core::VmId m_id;
    int m_workers;
    ServiceTime m_serviceTime;
    bool m_isAlive = true;
    bool m_isFailing = false;
    double m_slowness = 1;
    Core::Instant m_frozenUntil;
    std::list<std::shared_ptr<Work>> m_running;
    std::deque<Answer> m_waiting;
    int m_incarnation = 0;
    int m_connections = 0;
    int m_mostConnections = 0;
    int m_mostInWork = 0;
    std::int64_t m_completed = 0;
};

} // namespace RoutingWorld
