#include <LibRouting/CircuitBreaker.h>

#include <algorithm>

namespace Routing {

CircuitBreaker::CircuitBreaker(const RouterSettings &settings)
    : m_openRatio(settings.breakerFailureRatio)
    , m_window(static_cast<std::size_t>(settings.breakerWindow))
    , m_shortestPause(settings.breakerShortestPause)
    , m_longestPause(settings.breakerLongestPause)
    , m_pause(settings.breakerShortestPause)
{
}

double CircuitBreaker::failuresOfWindow() const
{
    return static_cast<double>(m_failureCount) / static_cast<double>(m_window);
}

double CircuitBreaker::failureRatio() const
{
    if (m_failures.empty())
        return 0;
    return static_cast<double>(m_failureCount) / static_cast<double>(m_failures.size());
}

void CircuitBreaker::onSuccess()
{
    if (m_state == State::HalfOpen) {
        m_state = State::Closed;
        m_failures.clear();
        m_failureCount = 0;
    }
    record(false);
    if (m_failureCount == 0)
        m_pause = m_shortestPause;
}

void CircuitBreaker::onFailure(Core::Instant now)
{
    record(true);
    const bool hasSamples = m_failures.size() >= minimumSamples;
    if (m_state == State::HalfOpen || (hasSamples && failureRatio() >= m_openRatio))
        open(now);
}

void CircuitBreaker::open(Core::Instant now)
{
    if (m_state == State::Open)
        return;
    m_state = State::Open;
    m_probeAt = now + m_pause;
    m_pause = std::min(m_pause * 2, m_longestPause);
}

void CircuitBreaker::onProbeSent(Core::Instant deadline)
{
    m_probeAt = deadline;
}

void CircuitBreaker::onProbeAnswered()
{
    if (m_state == State::Open)
        m_state = State::HalfOpen;
}

void CircuitBreaker::onProbeFailed(Core::Instant now)
{
    if (m_state != State::Open)
        return;
    m_probeAt = now + m_pause;
    m_pause = std::min(m_pause * 2, m_longestPause);
}

void CircuitBreaker::record(bool isFailure)
{
    m_failures.push_back(isFailure);
    m_failureCount += isFailure ? 1 : 0;
    if (m_failures.size() <= m_window)
        return;
    m_failureCount -= m_failures.front() ? 1 : 0;
    m_failures.pop_front();
}

} // namespace Routing
