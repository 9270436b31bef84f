#pragma once

#include <LibJob/Commands.h>
#include <LibJob/WorkerInfo.h>
#include <LibJob/WorkerReport.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// A worker in virtual time that follows the platform's rules: it refuses lower tokens, old runs,
/// late starts and what doesn't fit, and kills everything when its lease expires.
class ModelWorker
{
public:
    ModelWorker(Jobs::WorkerInfo info, double clockRate);

    const Jobs::WorkerInfo &info() const { return m_info; }
    bool isUp() const { return m_isUp; }
    std::int64_t clockMs(std::int64_t nowMs) const;

    struct Run
    {
        std::int64_t number = 0;
        std::int64_t startedAtMs = 0;
        std::int64_t endsAtMs = 0;
        Jobs::EndKind endKind = Jobs::EndKind::Done;
        bool hangs = false;

        bool operator==(const Run &) const = default;
    };
    const std::map<Jobs::TaskName, Run> &running() const { return m_running; }

    /// \p work says how long a run takes and how it ends.
    Jobs::StartOutcome start(const Jobs::StartCommand &command, const Run &work,
                             std::int64_t nowMs);
    /// False if it is refused because of its token.
    bool stop(const Jobs::StopCommand &command, std::int64_t nowMs);
    /// Nothing if it is refused because of its token.
    std::optional<Jobs::WorkerReport> renew(const Jobs::RenewCommand &command, std::int64_t nowMs);

    /// Ends what is due; returns the ends of this step.
    std::vector<Jobs::EndedEntry> advance(std::int64_t nowMs);
    /// The ends that were acknowledged before any lease expired here since.
    std::vector<Jobs::EndedEntry> takeAcknowledged();
    void crash();
    void comeBack(std::int64_t nowMs);

    /// A guard taken out, to see that tests notice.
    bool ignoresTokens = false;

private:
    bool acceptToken(Jobs::FencingToken token);
    void end(const Jobs::TaskName &task, Jobs::EndKind kind);

    Jobs::WorkerInfo m_info;
    double m_clockRate;
    std::int64_t m_bootMs = 0;
    bool m_isUp = true;
    Jobs::FencingToken m_token = 0;
    std::int64_t m_leaseEndMs = 0;
    std::int64_t m_ends = 0;
    std::map<Jobs::TaskName, Run> m_running;
    std::map<Jobs::TaskName, std::int64_t> m_highestGone;
    struct ListedEnd
    {
        Jobs::EndedEntry entry;
        int expiriesBefore = 0;
    };
    std::vector<ListedEnd> m_ended;
    std::vector<Jobs::EndedEntry> m_newEnds;
    std::vector<Jobs::EndedEntry> m_acknowledged;
    int m_expiries = 0;
    bool m_isExpired = true;
};
