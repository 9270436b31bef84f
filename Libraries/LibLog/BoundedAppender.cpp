#include "BoundedAppender.h"
#include "EssentialLines.h"

#include <LibCore/SteadyClock.h>

#include <poll.h>
#include <unistd.h>

namespace Log {

/// A pipe that reports itself writable takes this much without blocking.
static constexpr std::size_t longestLine = 4000;
/// How often it is said that lines were left out.
static constexpr Core::Duration reportInterval = std::chrono::seconds(1);

BoundedAppender::BoundedAppender(const log4cxx::LayoutPtr &layout, int descriptor,
                                 const BudgetLimits &limits)
    : log4cxx::AppenderSkeleton(layout)
    , m_lineLayout(layout)
    , m_descriptor(descriptor)
    , m_budget(limits)
{
}

bool BoundedAppender::isWritable() const
{
    pollfd entry { m_descriptor, POLLOUT, 0 };
    return ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

void BoundedAppender::countDropped(LineKind kind)
{
    ++m_dropped;
    m_droppedEssential += kind == LineKind::Essential ? 1 : 0;
}

void BoundedAppender::writeLine(const std::string &line, LineKind kind)
{
    // A line that can't be written can't be reported either, but it is counted.
    if (::write(m_descriptor, line.data(), line.size()) < 0)
        countDropped(kind);
}

void BoundedAppender::reportDropped(Core::Instant now)
{
    if (m_dropped == 0 || now < m_nextReportAt)
        return;
    m_nextReportAt = now + reportInterval;
    const std::string report = "log: event=dropped lines=" + std::to_string(m_dropped)
        + " essential=" + std::to_string(m_droppedEssential) + '\n';
    m_dropped = 0;
    m_droppedEssential = 0;
    writeLine(report, LineKind::Ordinary);
}

void BoundedAppender::append(const log4cxx::spi::LoggingEventPtr &event,
                             log4cxx::helpers::Pool &pool)
{
    const Core::Instant now = Core::steadyNow();
    const LineKind kind = lineKind(*event);
    if (!m_budget.take(now, kind) || !isWritable()) {
        countDropped(kind);
        return;
    }
    reportDropped(now);
    log4cxx::LogString text;
    m_lineLayout->format(text, event, pool);
    if (text.size() > longestLine) {
        text.resize(longestLine);
        text += '\n';
    }
    writeLine(text, kind);
}

} // namespace Log
