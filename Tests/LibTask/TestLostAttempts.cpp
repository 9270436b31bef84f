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
    /// \p former are the records of an earlier holder of the lease; none if the task is new.
    explicit LostTask(const std::vector<TaskRecord> &former = {})
    {
        for (const TaskRecord &record : former)
            m_fixture.placer.onRecord(m_fixture.offset++, record, m_fixture.now);
        m_fixture.epoch = former.empty() ? 0 : 1;
        m_fixture.becomeHolder();
        m_fixture.poll();
        m_fixture.answerRenewals();
        append();
        if (former.empty()) {
            Submitted body;
            body.spec.id = Core::TaskId("t");
            body.spec.declared = { 3000, 100, 0 };
            m_records.push_back(TaskRecord::create(0, body));
            m_fixture.placer.onRecord(m_fixture.offset++, m_records.back(), m_fixture.now);
        }
    }

    const std::vector<TaskRecord> &records() const { return m_records; }
    TaskState state() const { return m_fixture.placer.table().find(Core::TaskId("t"))->state; }
    /// Starts the task if the placer wants that; returns the start.
    std::optional<StartAttempt> start()
    {
        append();
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
        append();
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
    void append()
    {
        for (const TaskRecord &record : m_fixture.appendPending())
            m_records.push_back(record);
    }

    PlacerFixture m_fixture;
    /// The submission and all records that were appended.
    std::vector<TaskRecord> m_records;
};

} // namespace

TEST_CASE("A task that is lost with each worker that starts it is given up")
{
    LostTask task;
    SECTION("by one holder of the lease")
    {
        CHECK(task.startsInRounds(20, false) == maximumLostAttempts);
        CHECK(task.state() == TaskState::Failed);
    }
    SECTION("by several, since the next one reads the count")
    {
        REQUIRE(task.startsInRounds(3, false) == 3);
        std::vector<TaskRecord> records = task.records();
        // The holder dies before it plans the next attempt.
        while (!std::holds_alternative<AttemptEnded>(records.back().body))
            records.pop_back();
        LostTask next(records);
        CHECK(next.startsInRounds(20, false) == maximumLostAttempts - 3);
        CHECK(next.state() == TaskState::Failed);
    }
}

TEST_CASE("A task that had been at work isn't given up when it is lost with its worker")
{
    LostTask task;
    CHECK(task.startsInRounds(20, true) == 20);
}
