#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <map>
#include <optional>

namespace Routing {

/// The next time at which each request has something due.
class TimerQueue
{
public:
    using Handle = std::multimap<Core::Instant, Core::RequestId>::iterator;

    Handle schedule(Core::Instant at, const Core::RequestId &request)
    {
        return m_timers.emplace(at, request);
    }

    void cancel(Handle handle) { m_timers.erase(handle); }

    /// Returns a request that is due. The request stays scheduled until it is cancelled.
    const Core::RequestId *due(Core::Instant now) const
    {
        if (m_timers.empty() || m_timers.begin()->first > now)
            return nullptr;
        return &m_timers.begin()->second;
    }

    std::optional<Core::Instant> next() const
    {
        if (m_timers.empty())
            return std::nullopt;
        return m_timers.begin()->first;
    }

private:
    std::multimap<Core::Instant, Core::RequestId> m_timers;
};

} // namespace Routing
