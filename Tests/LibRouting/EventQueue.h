#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace RoutingWorld {

/// Virtual time: what happens at the same instant happens in the order in which it was scheduled.
class EventQueue
{
public:
    using Handler = std::function<void()>;

    Core::Instant now() const { return m_now; }

    void at(Core::Instant instant, Handler handler)
    {
        m_events.emplace(std::max(instant, m_now), std::move(handler));
    }

    void after(Core::Duration delay, Handler handler) { at(m_now + delay, std::move(handler)); }

    void runUntil(Core::Instant end)
    {
        while (!m_events.empty() && m_events.begin()->first <= end) {
            auto next = m_events.extract(m_events.begin());
            m_now = next.key();
            next.mapped()();
        }
        m_now = std::max(m_now, end);
    }

private:
    Core::Instant m_now;
    std::multimap<Core::Instant, Handler> m_events;
};

} // namespace RoutingWorld
