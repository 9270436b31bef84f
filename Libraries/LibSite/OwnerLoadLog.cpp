#include <LibSite/OwnerLoadLog.h>

#include <LibLog/Logging.h>

#include <chrono>
#include <cstdint>
#include <ctime>
#include <string>

namespace Site {

static constexpr Core::Duration lineInterval = std::chrono::seconds(1);
/// A loop whose timers are later, or whose appends are further apart, is logged as behind.
static constexpr Core::Duration loggedTimerLag = std::chrono::milliseconds(300);
static constexpr Core::Duration loggedAppendGap = std::chrono::milliseconds(1000);

static const auto essentialLogger = Log::essentialLogger("owner");
static const auto detailLogger = Log::logger("owner");

static std::string describe(const LoopSummary &loop)
{
    const auto inMs = [](Core::Duration duration) {
        return std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
    };
    return "lag_ms=" + inMs(loop.timerLag) + " longest_turn_ms=" + inMs(loop.longestWork)
        + " longest_turn=" + std::string(loop.longestWorkName)
        + " append_gap_ms=" + inMs(loop.appendGap) + " starts=" + std::to_string(loop.starts)
        + " reports=" + std::to_string(loop.reports);
}

/// The processor time of this process since it started.
static std::int64_t processorMilliseconds()
{
    return static_cast<std::int64_t>(std::clock()) * 1000 / CLOCKS_PER_SEC;
}

OwnerLoadLog::OwnerLoadLog(SiteMetrics &metrics, Core::Instant now)
    : m_metrics(metrics)
    , m_loop(now)
{
}

void OwnerLoadLog::writeIfDue(const Jobs::JobScheduler &scheduler, Core::Instant now)
{
    if (now < m_nextLineAt)
        return;
    m_nextLineAt = now + lineInterval;
    const LoopSummary loop = m_loop.takeSummary(now);
    m_metrics.setOwnerLag(std::chrono::duration<double>(loop.timerLag).count());
    writeIfBehind(loop);
    writeLoad(scheduler, loop);
}

void OwnerLoadLog::writeLoad(const Jobs::JobScheduler &scheduler, const LoopSummary &loop)
{
    const LoopMeter::Work work(m_loop, "metrics");
    const std::size_t running = scheduler.runningCount();
    const std::size_t waiting = scheduler.waitingCount();
    m_metrics.setTasks(static_cast<double>(running), static_cast<double>(waiting));
    scheduler.customerLedger().forEachCustomer([this](const Core::CustomerId &customer,
                                                      const Core::Resources &used,
                                                      const Core::Resources &limit) {
        const std::string &label = customer.text();
        const auto set = [&](const char *resource, std::int64_t use, std::int64_t bound) {
            m_metrics.setCustomerUse(label, resource, static_cast<double>(use),
                                     static_cast<double>(bound));
        };
        set("millicores", used.milliCores, limit.milliCores);
        set("mebibytes", used.mebibytes, limit.mebibytes);
        set("accelerators", used.accelerators, limit.accelerators);
    });
    LOG4CXX_INFO(detailLogger,
                 "event=load running="
                     << running << " waiting=" << waiting
                     << " free_millicores=" << scheduler.freeMilliCores() << " idle_millicores="
                     << scheduler.idleMilliCores() << " process_cpu_ms=" << processorMilliseconds()
                     << " withheld_acknowledgements=" << m_metrics.withheldAcknowledgements() << ' '
                     << describe(loop));
}

void OwnerLoadLog::writeIfBehind(const LoopSummary &loop)
{
    const bool isBehind = loop.timerLag >= loggedTimerLag || loop.appendGap >= loggedAppendGap;
    if (isBehind)
        LOG4CXX_INFO(essentialLogger, "event=behind " << describe(loop));
}

void OwnerLoadLog::close(Core::Instant now)
{
    writeIfBehind(m_loop.takeSummary(now));
}

} // namespace Site
