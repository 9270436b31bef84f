#pragma once

#include <LibJob/DecisionLog.h>
#include <LibSite/SiteMetrics.h>

#include <string_view>

namespace Site {

/// Writes the owner's decisions to the process's log and counts them in its metrics.
class OwnerDecisionLog final : public Jobs::DecisionLog
{
public:
    explicit OwnerDecisionLog(SiteMetrics &metrics);

    /// From now on no decision is logged or counted: decisions after the end of a session, or after
    /// a request for its release, lead to no commands.
    void close() { m_isClosed = true; }

    void note(std::string_view subject, std::string_view event, std::string_view inputs) override;
    void noteJobGivenUp(const Jobs::TaskName &task, std::string_view event,
                        std::string_view inputs) override;
    void noteInterruption(const Jobs::TaskName &task, std::string_view inputs) override;
    void noteWorker(std::string_view worker, std::string_view event,
                    std::string_view inputs) override;
    void noteJobInExcess(const Jobs::JobId &job, const Core::CustomerId &customer) override;
    void noteStarted(const Jobs::QueueId &queue, int step, Core::Duration waited) override;
    void noteEndKnown(const Jobs::QueueId &queue, int step, Core::Duration unwatched) override;
    void noteEndDurable(Core::Duration after) override;

private:
    /// Logs a decision with a line that isn't left out. \p kind says what the subject is.
    void noteEssential(std::string_view kind, std::string_view subject, std::string_view event,
                       std::string_view inputs);

    SiteMetrics &m_metrics;
    bool m_isClosed = false;
};

} // namespace Site
