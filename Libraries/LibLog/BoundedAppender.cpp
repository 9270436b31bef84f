#include "BoundedAppender.h"
#include "EssentialLines.h"

#include <LibCore/SteadyClock.h>

#include <poll.h>
#include <unistd.h>

namespace Log {

/// Maximum length of a line, in bytes. A pipe that poll() reports as writable accepts this much
/// without blocking.
static constexpr std::size_t maxLineLength = 4000;
/// Minimum time between two lines that report dropped lines.
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
    // A failed write can't be logged, so it is only counted.
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
    if (text.size() > maxLineLength) {
        text.resize(maxLineLength);
        text += '\n';
    }
    writeLine(text, kind);
}

} // namespace Log
