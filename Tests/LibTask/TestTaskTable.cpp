#include "FakeStream.h"

#include <LibCore/Error.h>
#include <LibCore/Json.h>
#include <LibTask/Snapshot.h>
#include <LibTask/TaskRecordCodec.h>

#include <rapidcheck/catch.h>

#include <string>
#include <utility>
#include <vector>

using namespace Task;
using namespace std::chrono_literals;

namespace {

/// A record, or a lease claim with the next epoch if `isClaim` is set.
struct Event
{
    TaskRecord record;
    bool isClaim = false;
};

TaskRecordBody bodyOf(unsigned kind, const Core::TaskId &task, std::uint32_t number, bool flag)
{
    Submitted submitted;
    submitted.spec.id = task;
    submitted.spec.payload = "payload";
    submitted.transferNumber = flag ? 0 : number;
    const auto phase = flag ? AttemptPhase::Stopped : AttemptPhase::Failed;
    switch (kind) {
    case 0:
    case 1:
        return submitted;
    case 2:
    case 3:
        return AttemptPlanned { { task, number }, Core::VmId("w") };
    case 4:
        return AttemptAbandoned { { task, number }, "reason" };
    case 5:
        return AttemptEnded { { task, number }, phase, "checkpoint", "detail", flag };
    case 6:
        return AttemptEnded { { task, number }, AttemptPhase::Finished, "", "", false };
    case 7:
        return CancelRequested { task };
    case 8:
        return Cancelled { task };
    case 9:
        return flag ? TaskRecordBody(Held { task, "held" }) : Refused { task, "refused" };
    case 10:
        return TransferOut { task, Core::FailureDomainId("b"), number };
    default:
        return TransferDone { task, number };
    }
}

Event eventOf(unsigned kind, unsigned task, std::uint32_t number, std::uint64_t epoch, bool flag)
{
    if (kind == 12)
        return { {}, true };
    const Core::TaskId id("t" + std::to_string(task));
    return { TaskRecord::create(epoch, bodyOf(kind, id, number, flag)), false };
}

rc::Gen<std::vector<Event>> anyHistory()
{
    const auto event = rc::gen::apply(eventOf, rc::gen::inRange(0U, 13U), rc::gen::inRange(0U, 5U),
                                      rc::gen::inRange(1U, 4U), rc::gen::inRange(0UL, 5UL),
                                      rc::gen::arbitrary<bool>());
    return rc::gen::container<std::vector<Event>>(150, event);
}

void feed(TaskTable &table, std::uint64_t offset, const Event &event)
{
    if (event.isClaim)
        table.onLeaseClaim(offset, table.epoch() + 1);
    else
        table.apply(offset, event.record);
}

TaskRecord throughJson(const TaskRecord &record)
{
    return decode(Core::Json::parse(Core::Json::write(encode(record)), "test")).value();
}

} // namespace

TEST_CASE("A task table is a pure function of its stream")
{
    rc::prop("a reader that starts from a snapshot at any offset gets the same table", [] {
        const std::vector<Event> history = *anyHistory();
        const auto cut = *rc::gen::inRange<std::size_t>(0, history.size() + 1);
        TaskTable expected(3);
        SnapshotAssembler assembler;
        for (std::size_t offset = 0; offset < history.size(); ++offset) {
            if (offset == cut) {
                const auto parts = makeSnapshot(expected, "e1", 400);
                const auto incomplete = makeSnapshot(expected, "e2", 300);
                if (incomplete.size() > 1)
                    assembler.onRecord(TaskRecord::create(1, incomplete.front()));
                for (const SnapshotPart &part : parts)
                    assembler.onRecord(throughJson(TaskRecord::create(1, part)));
            }
            feed(expected, offset, history[offset]);
        }
        const std::optional<Snapshot> snapshot = assembler.newest(cut);
        if (!snapshot) {
            RC_ASSERT(cut >= history.size());
            return;
        }
        TaskTable restored(3);
        restored.restore(snapshot->coversUntil, snapshot->epoch, snapshot->entries);
        for (std::size_t offset = snapshot->coversUntil; offset < history.size(); ++offset)
            feed(restored, offset, history[offset]);
        RC_ASSERT(restored == expected);
    });
    rc::prop("late duplicates of applied records change nothing", [] {
        const std::vector<Event> history = *anyHistory();
        TaskTable once;
        TaskTable repeated;
        std::vector<TaskRecord> applied;
        std::uint64_t offset = 0;
        for (std::size_t index = 0; index < history.size(); ++index) {
            feed(once, offset, history[index]);
            if (history[index].isClaim)
                repeated.onLeaseClaim(offset, repeated.epoch() + 1);
            else if (repeated.apply(offset, history[index].record))
                applied.push_back(history[index].record);
            ++offset;
            for (const TaskRecord &record : applied)
                RC_ASSERT_FALSE(repeated.apply(offset++, record));
        }
        RC_ASSERT(repeated.entries().size() == once.entries().size());
        for (const auto &[task, entry] : once.entries())
            RC_ASSERT(repeated.find(task)->state == entry.state);
    });
    SECTION("a record of a former lease holder is ignored, and applied without the guard")
    {
        for (const bool isChecked : { true, false }) {
            TaskTable table(3, { isChecked, true });
            feed(table, 0, eventOf(0, 1, 1, 0, true));
            table.onLeaseClaim(1, 2);
            CHECK(table.apply(2, eventOf(2, 1, 1, 1, true).record) == !isChecked);
            CHECK(table.apply(3, eventOf(2, 1, 1, 2, true).record) == isChecked);
        }
    }
}

TEST_CASE("Task records are encoded as JSON")
{
    rc::prop("a decoded record equals the encoded one", [] {
        for (const Event &event : *anyHistory()) {
            if (!event.isClaim)
                RC_ASSERT(throughJson(event.record) == event.record);
        }
    });
    rc::prop("a record with a missing member or one of another type is rejected", [] {
        const Event event = (*anyHistory()).front();
        RC_PRE(!event.isClaim);
        Json::Value value = encode(event.record);
        const std::string name = *rc::gen::elementOf(value.getMemberNames());
        if (*rc::gen::arbitrary<bool>())
            value.removeMember(name);
        else
            value[name] = Json::Value(Json::arrayValue);
        // Records of earlier versions lack these two, which then have their default values.
        const bool isOptional = name == "lostAttempts" || name == "wasLost";
        if (isOptional && !value.isMember(name))
            RC_ASSERT(decode(value) == event.record);
        else
            RC_ASSERT_THROWS_AS(decode(value), Core::FormatError);
    });
    SECTION("a record of another type is skipped, one of a later format version is an error")
    {
        Json::Value value = encode(eventOf(0, 1, 1, 0, true).record);
        value["type"] = "lease.claim";
        CHECK_FALSE(decode(value));
        value["v"] = 2;
        CHECK_THROWS_AS(decode(value), Core::FormatError);
    }
}

TEST_CASE("Snapshots are split into small parts and written early enough")
{
    SECTION("three thousand tasks are split into parts below 200 KiB")
    {
        TaskTable table;
        for (std::uint64_t offset = 0; offset < 3000; ++offset) {
            Submitted body;
            body.spec.id = Core::TaskId("t" + std::to_string(offset));
            body.spec.payload = std::string(1000, 'x');
            table.apply(offset, TaskRecord::create(0, body));
        }
        for (const SnapshotPart &part : makeSnapshot(table, "e1"))
            CHECK(Core::Json::write(encode(TaskRecord::create(1, part))).size() < 200 * 1024);
    }
    SECTION("the next one is due well before the newest is no longer retained")
    {
        const Core::Instant now { 1h };
        SnapshotProgress progress { 500, now, 0, 1000 };
        CHECK_FALSE(isSnapshotDue(progress, 600s, 20000, now));
        CHECK(isSnapshotDue(progress, 600s, 20000, now + 600s));
        CHECK(isSnapshotDue(progress, 600s, 500, now));
        progress.firstRetained = 100;
        CHECK(isSnapshotDue(progress, 600s, 20000, now));
        progress.readAt.reset();
        CHECK(isSnapshotDue(progress, 600s, 20000, now));
    }
}
