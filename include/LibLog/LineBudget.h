#pragma once

#include <LibCore/Time.h>

#include <compare>
#include <cstddef>

namespace Log {

enum class LineKind {
    Ordinary,
    /// What an engineer on call can't do without; rare.
    Essential,
};

struct BudgetLimits
{
    double linesPerSecond = 200;
    /// So many lines may come at once after a quiet time.
    double burstLines = 400;
    /// The last lines of a burst, which only essential lines may use.
    double reservedLines = 100;

    auto operator<=>(const BudgetLimits &) const = default;
};

/// Decides whether one more line may be written: a token bucket.
class LineBudget
{
public:
    explicit LineBudget(const BudgetLimits &limits)
        : m_limits(limits)
        , m_lines(limits.burstLines)
    {
    }

    bool take(Core::Instant now, LineKind kind);

private:
    BudgetLimits m_limits;
    double m_lines;
    Core::Instant m_filledAt = {};
};

} // namespace Log
