#pragma once

#include <LibCore/Time.h>
#include <LibRouting/RouterSettings.h>

#include <deque>

namespace Routing {

/// Keeps requests away from one backend server that fails them. After a pause, a probe is due;
/// when it is answered, a single trial request decides. Pauses grow while trials keep failing.
class CircuitBreaker
{
public:
    enum class State {
        Closed,
        /// Nothing is sent.
        Open,
        /// One trial request may be sent.
        HalfOpen,
    };

    explicit CircuitBreaker(const RouterSettings &settings);

    State state() const { return m_state; }
    /// The failures among the last attempts as a part of a full window, in [0, 1]: one failure of a
    /// server that has just come says little.
    double failuresOfWindow() const;

    void onSuccess();
    void onFailure(Core::Instant now);
    /// The server can't be reached at all.
    void open(Core::Instant now);

    /// When the next probe is due, while open.
    Core::Instant probeAt() const { return m_probeAt; }
    void onProbeSent(Core::Instant deadline);
    void onProbeAnswered();
    void onProbeFailed(Core::Instant now);

private:
    static constexpr int minimumSamples = 5;

    double failureRatio() const;
    void record(bool isFailure);

    double m_openRatio;
    std::size_t m_window;
    Core::Duration m_shortestPause;
    Core::Duration m_longestPause;
    Core::Duration m_pause;
    State m_state = State::Closed;
    Core::Instant m_probeAt;
    std::deque<bool> m_failures;
    int m_failureCount = 0;
};

} // namespace Routing
