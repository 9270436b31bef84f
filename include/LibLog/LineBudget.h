#pragma once

#include <LibCore/Time.h>

#include <compare>
#include <cstddef>

namespace Log {

enum class LineKind {
    Ordinary,
    /// Rare lines that explain an incident; ordinary lines don't crowd them out.
    Essential,
};

/// The rate limit of a log.
struct BudgetLimits
{
    double linesPerSecond = 200;
    /// Capacity of the token bucket, in lines.
    double burstLines = 400;
    /// Tokens of the bucket, in lines, that only essential lines may take.
    double reservedLines = 100;

    auto operator<=>(const BudgetLimits &) const = default;
};

/// Token bucket that decides whether one more line may be written.
class LineBudget
{
public:
    explicit LineBudget(const BudgetLimits &limits)
        : m_limits(limits)
        , m_lines(limits.burstLines)
    {
    }

    /// Takes a token for a line of \p kind. Returns false if there is none for that kind.
    bool take(Core::Instant now, LineKind kind);

private:
    BudgetLimits m_limits;
    double m_lines;
    Core::Instant m_filledAt = {};
};

} // namespace Log
