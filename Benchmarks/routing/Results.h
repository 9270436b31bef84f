#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <map>
#include <vector>

namespace RoutingBenchmark {

/// Latencies of one kind of request, as its callers see them from the intended send time.
class Latencies
{
public:
    void add(Core::Duration latency) { m_values.push_back(latency); }
    std::size_t count() const { return m_values.size(); }
    /// In milliseconds.
    double quantile(double quantile) const;

private:
    std::vector<Core::Duration> m_values;
};

/// What was measured in one run.
struct Results
{
    /// A request whose outcome stays unknown counts with the time until its caller was told so.
    Latencies smallTeams;
    Latencies busyTeam;
    Latencies all;
    /// Answered between the domain's return plus 10 s and the end.
    Latencies afterReturn;
    Latencies refusals;
    /// All requests but refused ones by the second in which they were sent.
    std::map<std::int64_t, Latencies> bySecond;
    std::int64_t unknown = 0;
    std::int64_t wrongAnswers = 0;
    std::int64_t ranTwice = 0;
    int mostInWork = 0;
    int mostConnections = 0;
    /// Answers in time, per second.
    double goodput = 0;
    double goodputWhileOut = 0;

    /// The highest 99th percentile of any second.
    double worstSecond() const;
};

} // namespace RoutingBenchmark
