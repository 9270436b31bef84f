#pragma once

#include <LibCore/Time.h>
#include <LibRouting/RouterSettings.h>

#include <deque>

namespace Routing {

/// Stops requests to a backend server that fails them. After a pause a probe is due; once it is
/// answered, the result of a single trial request decides. The pauses grow while trials fail.
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
    /// Returns the number of failures among the last attempts divided by the size of the window, in
    /// [0, 1], so that one failure of a new server has little effect.
    double failuresOfWindow() const;

    void onSuccess();
    void onFailure(Core::Instant now);
    /// The server can't be reached.
    void open(Core::Instant now);

    /// When the next probe is due; only while the breaker is open.
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
