#include <LibLog/LineBudget.h>

#include <algorithm>

namespace Log {

bool LineBudget::take(Core::Instant now, LineKind kind)
{
    if (m_filledAt != Core::Instant()) {
        const std::chrono::duration<double> passed = now - m_filledAt;
        m_lines = std::min(m_limits.burstLines, m_lines + passed.count() * m_limits.linesPerSecond);
    }
    m_filledAt = now;
    const double reserved = kind == LineKind::Essential ? 0 : m_limits.reservedLines;
    if (m_lines < reserved + 1)
        return false;
    m_lines -= 1;
    return true;
}

} // namespace Log
