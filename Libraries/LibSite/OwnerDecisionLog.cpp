#include <LibSite/OwnerDecisionLog.h>

#include <LibLog/Logging.h>

#include <string>

namespace Site {

static const auto partLogger = Log::essentialLogger("owner");
/// For lines that are logged for each task.
static const auto detailLogger = Log::logger("owner");

OwnerDecisionLog::OwnerDecisionLog(SiteMetrics &metrics)
    : m_metrics(metrics)
{
}

void OwnerDecisionLog::note(std::string_view subject, std::string_view event,
                            std::string_view inputs)
{
    if (m_isClosed)
        return;
    m_metrics.countDecision(std::string(event));
    LOG4CXX_INFO(detailLogger, "event=" << event << " task=" << subject << ' ' << inputs);
}

void OwnerDecisionLog::noteJobGivenUp(const Jobs::TaskName &task, std::string_view event,
                                      std::string_view inputs)
{
    noteEssential("task", task.text(), event, inputs);
}

void OwnerDecisionLog::noteInterruption(const Jobs::TaskName &task, std::string_view inputs)
{
    noteEssential("task", task.text(), "interrupted", inputs);
}

void OwnerDecisionLog::noteWorker(std::string_view worker, std::string_view event,
                                  std::string_view inputs)
{
    noteEssential("worker", worker, event, inputs);
}

void OwnerDecisionLog::noteEssential(std::string_view kind, std::string_view subject,
                                     std::string_view event, std::string_view inputs)
{
    if (m_isClosed)
        return;
    m_metrics.countDecision(std::string(event));
    LOG4CXX_INFO(partLogger, "event=" << event << ' ' << kind << '=' << subject << ' ' << inputs);
}

void OwnerDecisionLog::noteJobInExcess(const Jobs::JobId &job, const Core::CustomerId &customer)
{
    if (m_isClosed)
        return;
    m_metrics.countJobInExcess(customer.text());
    LOG4CXX_INFO(detailLogger,
                 "event=job-in-excess job=" << job.text() << " customer=" << customer.text());
}

static double inSeconds(Core::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

void OwnerDecisionLog::noteStarted(const Jobs::QueueId &queue, int step, Core::Duration waited)
{
    m_metrics.observeStart(queue.text(), step, inSeconds(waited));
}

void OwnerDecisionLog::noteEndKnown(const Jobs::QueueId &queue, int step, Core::Duration unwatched)
{
    m_metrics.observeEnd(queue.text(), step, inSeconds(unwatched));
}

void OwnerDecisionLog::noteEndDurable(Core::Duration after)
{
    m_metrics.observeDurableEnd(inSeconds(after));
}

} // namespace Site
