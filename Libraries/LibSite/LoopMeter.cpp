#include <LibSite/LoopMeter.h>

#include <LibCore/SteadyClock.h>

#include <algorithm>
#include <utility>

namespace Site {

LoopMeter::Work::Work(LoopMeter &meter, std::string_view name)
    : m_meter(meter)
    , m_name(name)
    , m_beganAt(Core::steadyNow())
{
}

LoopMeter::Work::~Work()
{
    m_meter.noteWork(m_name, Core::steadyNow() - m_beganAt);
}

LoopMeter::LoopMeter(Core::Instant now)
    : m_appendAnsweredAt(now)
{
}

void LoopMeter::noteTimerLag(Core::Duration lag)
{
    m_summary.timerLag = std::max(m_summary.timerLag, lag);
}

void LoopMeter::noteWork(std::string_view name, Core::Duration duration)
{
    if (duration <= m_summary.longestWork)
        return;
    m_summary.longestWork = duration;
    m_summary.longestWorkName = name;
}

void LoopMeter::extendAppendGap(Core::Instant now)
{
    m_summary.appendGap = std::max(m_summary.appendGap, now - m_appendAnsweredAt);
}

void LoopMeter::noteAppendAnswered(Core::Instant now)
{
    extendAppendGap(now);
    m_appendAnsweredAt = now;
}

LoopSummary LoopMeter::takeSummary(Core::Instant now)
{
    extendAppendGap(now);
    return std::exchange(m_summary, {});
}

} // namespace Site
