#include <utility>

#include "StreamRecovery.h"

#include <LibCore/Json.h>
#include <LibLease/LeaseRecordCodec.h>
#include <LibTask/TaskRecordCodec.h>

#include <catch2/catch.hpp>

using Core::Instant;

namespace {

const Instant start {};

class NoSchedulers final : public Task::SchedulerFactory
{
public:
    std::unique_ptr<Placement::Scheduler> create() const override { return nullptr; }
};

/// A failure domain's stream in which a placer is deposed and its late records come after the
/// claim.
class Stream
{
public:
    void append(const Lease::LeaseRecord &record)
    {
        m_lease.apply(end(), record);
        if (m_lease.state().epoch > m_table.epoch())
            m_table.onLeaseClaim(end(), m_lease.state().epoch);
        push(Lease::LeaseRecordCodec::encode(record));
    }
    void append(const Task::TaskRecord &record)
    {
        m_table.apply(end(), record);
        push(Task::encode(record));
    }
    void claim(std::uint64_t epoch, const std::string &vm)
    {
        Lease::ClaimRecord record;
        record.id = "claim-" + vm;
        record.holder = { Core::VmId(vm), "run" };
        record.epoch = epoch;
        record.baseVersion = m_lease.state().view.version;
        append(Lease::LeaseRecord(record));
    }
    void snapshotLease(const std::string &name)
    {
        Lease::LeaseSnapshotRecord lease;
        lease.id = "lease-" + name;
        lease.end = end();
        lease.state = m_lease.state();
        append(Lease::LeaseRecord(lease));
    }
    void snapshotTasks(const std::string &name)
    {
        for (const Task::SnapshotPart &part : Task::makeSnapshot(m_table, name))
            append(Task::TaskRecord::create(0, part));
    }
    std::vector<Platform::LogRecord> from(std::uint64_t offset) const
    {
        return { m_records.begin() + static_cast<std::ptrdiff_t>(offset), m_records.end() };
    }
    std::uint64_t end() const { return m_records.size(); }
    const Task::TaskTable &truth() const { return m_table; }
    std::uint64_t epoch() const { return m_lease.state().epoch; }

private:
    void push(const Json::Value &value)
    {
        m_records.push_back({ end(), Core::Json::write(value) });
    }

    std::vector<Platform::LogRecord> m_records;
    Lease::LeaseStateReplica m_lease = [] {
        Lease::LeaseStateReplica lease;
        lease.start(0);
        return lease;
    }();
    Task::TaskTable m_table;
};

Task::TaskRecord submitted(const std::string &task)
{
    Task::Submitted body;
    body.spec.id = Core::TaskId(task);
    return Task::TaskRecord::create(0, body);
}

Task::TaskRecord planned(std::uint64_t epoch, const std::string &task, const std::string &worker)
{
    return Task::TaskRecord::create(
        epoch, Task::AttemptPlanned { { Core::TaskId(task), 1 }, Core::VmId(worker) });
}

Lease::LeaseSettings leaseSettings()
{
    Lease::LeaseSettings settings;
    settings.self = { Core::VmId("newcomer"), "run" };
    return settings;
}

} // namespace

/// Recovers from every offset at which retention may begin; returns at how many that was possible.
static int recoverFromEverywhere(const Stream &stream)
{
    const NoSchedulers schedulers;
    int complete = 0;
    for (std::uint64_t firstRetained = 0; firstRetained < stream.end(); ++firstRetained) {
        const auto recovery
            = Daemon::StreamRecovery::create(stream.from(firstRetained), firstRetained);
        if (!recovery.isComplete())
            continue;
        ++complete;
        INFO("retention begins at offset " << firstRetained);
        Lease::LeaseManager lease(leaseSettings(), start);
        Task::DomainPlacer placer(schedulers, {});
        recovery.applyTo(lease, placer, start);
        CHECK(lease.epoch() == stream.epoch());
        CHECK(placer.table().entries() == stream.truth().entries());
        CHECK(placer.table().epoch() == stream.truth().epoch());
    }
    return complete;
}

TEST_CASE("A newcomer that starts behind retention knows what everybody knows")
{
    Stream stream;
    stream.claim(1, "first");
    stream.append(submitted("a"));
    stream.append(submitted("b"));
    SECTION("while lease and tasks are snapshot together")
    {
        stream.append(planned(1, "a", "w1"));
        stream.snapshotLease("one");
        stream.snapshotTasks("one");
        stream.claim(2, "second");
        stream.append(planned(1, "b", "late"));
        stream.append(planned(2, "b", "w2"));
        stream.snapshotLease("two");
        stream.snapshotTasks("two");
        REQUIRE(stream.truth().find(Core::TaskId("b"))->openAttempt->worker == Core::VmId("w2"));
        CHECK(recoverFromEverywhere(stream) >= 8);
        const auto tail = stream.end() - 1;
        CHECK_FALSE(Daemon::StreamRecovery::create(stream.from(tail), tail).isComplete());
    }
    SECTION("and says that it can't, if the claim that voids a record isn't told apart any more")
    {
        stream.snapshotLease("one");
        stream.append(submitted("c"));
        stream.append(planned(1, "a", "w1"));
        stream.snapshotTasks("one");
        stream.claim(2, "second");
        stream.append(planned(1, "b", "late"));
        stream.snapshotLease("two");
        REQUIRE_FALSE(stream.truth().find(Core::TaskId("b"))->openAttempt.has_value());
        CHECK(recoverFromEverywhere(stream) >= 4);
    }
}
