#pragma once

#include <string>

/// How many instructions a run of a task costs its owner, as Meta/run-costs.sh counts them on
/// arm64.
struct RunCounts
{
    /// A start, from the command to its outcome.
    double start = 0;
    /// A renewal with its report.
    double renewal = 0;
    /// The decisions on a run.
    double decisions = 0;

    /// Reads lines of a name and a number. \throws std::runtime_error if one is missing.
    static RunCounts read(const std::string &path);

    /// All that a run costs. Under load a worker is asked less than once for each of its runs.
    double total() const { return start + renewalsPerRun * renewal + decisions; }

    auto operator<=>(const RunCounts &) const = default;

private:
    static constexpr double renewalsPerRun = 0.82;
};
