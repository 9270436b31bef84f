#include <LibSite/AppendPace.h>

#include <algorithm>

namespace Site {

static constexpr int repetitionFactor = 3;
static constexpr Core::Duration minRepetitionDelay = std::chrono::milliseconds(300);
static constexpr Core::Duration maxRepetitionDelay = std::chrono::milliseconds(1200);
static constexpr int limitFactor = 3;
static constexpr Core::Duration minTimeLimit = std::chrono::milliseconds(900);
/// Another node claims the jobs after 1.6 s of silence, so a failure must be known before that.
static constexpr Core::Duration maxTimeLimit = std::chrono::milliseconds(1500);

void AppendPace::begin(Core::Instant now)
{
    m_beganAt = now;
}

Core::Duration AppendPace::countedTime(Core::Instant now) const
{
    return std::min(now - *m_beganAt, timeLimit());
}

void AppendPace::end(Core::Instant now)
{
    if (!m_beganAt)
        return;
    m_latency = std::max(countedTime(now), m_latency / 2);
    m_beganAt.reset();
}

void AppendPace::fail(Core::Instant now)
{
    if (!m_beganAt)
        return;
    m_latency = std::max(countedTime(now), m_latency);
    m_beganAt.reset();
}

std::optional<Core::Duration> AppendPace::inFlightFor(Core::Instant now) const
{
    if (!m_beganAt)
        return std::nullopt;
    return now - *m_beganAt;
}

Core::Duration AppendPace::repetitionDelay() const
{
    return std::clamp(repetitionFactor * m_latency, minRepetitionDelay, maxRepetitionDelay);
}

Core::Duration AppendPace::timeLimit() const
{
    return std::clamp(limitFactor * repetitionDelay(), minTimeLimit, maxTimeLimit);
}

} // namespace Site
