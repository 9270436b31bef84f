#include "PlacerFixture.h"

#include <catch2/catch.hpp>

using namespace Task;
using namespace Task::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t maximumLostAttempts = 5;

/// A placer whose one task is lost with its worker again and again.
class LostTask
{
public:
    LostTask()
    {
        m_fixture.becomeHolder();
        m_fixture.poll();
        m_fixture.answerRenewals();
        m_fixture.appendPending();
        m_fixture.submit("t");
    }

    PlacerFixture &fixture() { return m_fixture; }
    /// Starts the task if the placer wants that; returns the start.
    std::optional<StartAttempt> start()
    {
        m_fixture.appendPending();
        m_fixture.poll();
        const std::vector<StartAttempt> starts = m_fixture.takeActions<StartAttempt>();
        if (starts.empty())
            return std::nullopt;
        m_fixture.placer.onStartOutcome(starts.front().attempt, starts.front().epoch,
                                        StartOutcome::Started, m_fixture.now);
        return starts.front();
    }
    /// The workers report, the one of \p start with \p reports; the task is gone if it isn't there.
    void report(const StartAttempt &start, const std::vector<AttemptReport> &reports)
    {
        m_fixture.now += 3s;
        m_fixture.placer.onLogEndReached(m_fixture.offset, m_fixture.offset, m_fixture.now);
        m_fixture.poll();
        m_fixture.answerRenewals(start.worker, reports);
        m_fixture.appendPending();
    }
    /// Returns how often the task was started in \p rounds in which it was lost.
    std::size_t startsInRounds(std::size_t rounds, bool isSeenRunning)
    {
        std::size_t starts = 0;
        for (std::size_t i = 0; i < rounds; ++i) {
            m_fixture.placer.extendLease(m_fixture.now + 10s);
            const std::optional<StartAttempt> sent = start();
            if (!sent)
                return starts;
            ++starts;
            if (isSeenRunning)
                report(*sent, { { sent->attempt, AttemptPhase::Running, {}, {}, 1, {} } });
            report(*sent, {});
        }
        return starts;
    }

private:
    PlacerFixture m_fixture;
};

} // namespace

TEST_CASE("A task that is lost with each worker that starts it is given up", "[!shouldfail]")
{
    LostTask task;
    CHECK(task.startsInRounds(20, false) == maximumLostAttempts);
}

TEST_CASE("A task that had been at work isn't given up when it is lost with its worker")
{
    LostTask task;
    CHECK(task.startsInRounds(20, true) == 20);
}
