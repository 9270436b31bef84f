#include <LibJob/JobRecord.h>
#include <LibJob/JobTable.h>

#include <LibCore/Error.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Jobs;

namespace {

Submission submission(const std::string &id)
{
    Submission submission;
    submission.id = JobId(id);
    submission.queue.id = QueueId("queue");
    submission.queue.service = ServiceId("service");
    submission.queue.priority = 2;
    submission.queue.attemptLimit = 4;
    submission.queue.stretch = 1.5;
    submission.queue.objectiveBaseMs = 250;
    submission.spec.payload = "payload \"quoted\"";
    StepSpec step;
    step.taskCount = 3;
    step.need = { 500, 256, 1 };
    step.estimateMs = 900;
    step.isCheckpointing = true;
    step.isGang = true;
    step.isRackSensitive = true;
    step.requiredLabel = "a";
    step.dataRack = "r1";
    step.maxPerWorker = 2;
    step.isSpeculative = true;
    step.isLongRunning = true;
    step.image = "image";
    step.tailTargetMs = 18;
    step.isBestEffort = true;
    step.maxUnavailable = 1;
    submission.spec.steps = { step, step };
    submission.spec.steps[1].after = { 0 };
    submission.spec.repeatCount = 5;
    submission.spec.firstDueUnixMs = 1'800'000'000'000;
    submission.spec.intervalMs = 2000;
    submission.submittedUnixMs = 1'790'000'000'000;
    return submission;
}

JobProgress progress()
{
    JobProgress progress;
    progress.state = JobState::Running;
    StepProgress step;
    step.isDone = { true, false, true };
    step.failedRuns[1] = { 2, 1003 };
    step.abandonedRuns[1] = 1004;
    const SuspectedCrash crash { Core::VmId("w1"), 1005, true };
    const RunInDoubt run { 1006, Core::VmId("w2"), "10.0.0.1:80", 1'790'000'000'123, true };
    step.crashHistories.emplace(1, CrashHistory({ crash }, { 1003, 1005 }, run, { 1004 }));
    step.crashHistories.emplace(0, CrashHistory().withLostRun(1002));
    step.crashHistories.emplace(2, CrashHistory().withExcusedRun(1001));
    progress.occurrences[3] = { step, StepProgress { { false, false }, {}, {}, {} } };
    progress.endedOccurrences.insert(0, 1);
    return progress;
}

JobRecord roundTrip(const JobRecord &record)
{
    return decodeRecord(encodeRecord(record).front());
}

} // namespace

// Guards against LOST: the record of a wide job outgrew the store's limit once a worker that had
// left never answered the next owner, and the job was shown as failed.
TEST_CASE("A record doesn't grow with the tasks whose former runs are abandoned together")
{
    constexpr int tasks = 30'000;
    constexpr std::int64_t lastFormerRun = 1000;
    StepProgress step;
    step.isDone.assign(tasks, false);
    for (int index = 0; index < tasks; ++index)
        step.abandonedRuns[index] = lastFormerRun;

    SECTION("nor with those that are abandoned by themselves among them")
    {
        step.abandonedRuns[17] = lastFormerRun + 5;
        step.abandonedRuns.erase(20'000);
        step.crashHistories.emplace(3, CrashHistory().withLostRun(2));
    }
    SECTION("nor if none has a crash history") { }
    JobProgress progress;
    progress.occurrences[0] = { step };
    const ProgressRecord record { JobId("job"), progress };
    const StoredRecord stored = encodeRecord(record).front();
    constexpr std::size_t bytesBeside = 200;
    CHECK(stored.value.size() <= tasks + bytesBeside);
    CHECK(std::get<ProgressRecord>(decodeRecord(stored)) == record);
}

TEST_CASE("A record doesn't grow with the occurrences that have ended")
{
    JobProgress progress;
    progress.endedOccurrences.insert(0, 999'999'000);
    progress.endedOccurrences.insert(999'999'900);
    const ProgressRecord record { JobId("job"), progress };
    const StoredRecord stored = encodeRecord(record).front();
    constexpr std::size_t fewBytes = 100;
    CHECK(stored.value.size() <= fewBytes);
    CHECK(std::get<ProgressRecord>(decodeRecord(stored)) == record);

    SECTION("few of them are listed, as earlier versions read them")
    {
        progress.endedOccurrences = {};
        progress.endedOccurrences.insert(0, 2);
        const StoredRecord few = encodeRecord(ProgressRecord { JobId("job"), progress }).front();
        CHECK(few.value == R"({"eo":[0,1,2],"s":0})");
    }
    SECTION("a range that ends before it begins is rejected")
    {
        CHECK_THROWS_AS(decodeRecord({ "p/job", R"({"er":[5,3],"s":0})" }), Core::FormatError);
    }
}

TEST_CASE("Records survive encoding and decoding")
{
    const Submission job = submission("5c0e");
    CHECK(std::get<Submission>(roundTrip(job)) == job);
    const ProgressRecord running { JobId("5c0e"), progress() };
    CHECK(std::get<ProgressRecord>(roundTrip(running)) == running);
    const ProgressRecord ofEarlierVersion { JobId("5c0e"), progress(), { Core::VmId("w1") } };
    CHECK(std::get<ProgressRecord>(roundTrip(ofEarlierVersion)) == ofEarlierVersion);
    const JobWorkers workers { JobId("5c0e"), { Core::VmId("w1"), Core::VmId("w2") } };
    CHECK(std::get<JobWorkers>(roundTrip(workers)) == workers);
    const JobWorkers started { JobId("5c0e"), { Core::VmId("w1") }, { 3, 0, 17 } };
    CHECK(std::get<JobWorkers>(roundTrip(started)) == started);
    const LeaseSuspension suspension { Core::VmId("w1"), 7, 4200, false };
    CHECK(std::get<LeaseSuspension>(roundTrip(suspension)) == suspension);
    const LeaseSuspension lifted { Core::VmId("w1"), 0, 0, true };
    CHECK(std::get<LeaseSuspension>(roundTrip(lifted)) == lifted);
    const OwnerClaim bounded { "node#1", 7, false, 8000 };
    CHECK(std::get<OwnerClaim>(roundTrip(bounded)) == bounded);
    const OwnerClaim bound { "node#1", 7, false, 8000, true };
    CHECK(std::get<OwnerClaim>(roundTrip(bound)) == bound);
    const OwnerClaim reachable { "node#1", 7, false, 8000, true, "10.0.0.1:7000" };
    CHECK(std::get<OwnerClaim>(roundTrip(reachable)) == reachable);
    const Cancellation cancellation { JobId("5c0e") };
    CHECK(std::get<Cancellation>(roundTrip(cancellation)) == cancellation);
    const OwnerClaim claim { "node#1", 7, true };
    CHECK(std::get<OwnerClaim>(roundTrip(claim)) == claim);
    CHECK(std::get<Heartbeat>(roundTrip(Heartbeat { 7 })) == Heartbeat { 7 });

    SECTION("the deletion of a job deletes each of its keys")
    {
        const auto stored = encodeRecord(JobDeletion { JobId("5c0e") });
        REQUIRE(stored.size() == 5);
        int deletions = 0;
        for (const StoredRecord &record : stored) {
            CHECK(record.value.empty());
            const JobRecord decoded = decodeRecord(record);
            if (record.key == "p/5c0e")
                deletions += std::get<JobDeletion>(decoded).id == JobId("5c0e") ? 1 : 0;
            else
                CHECK(std::get<RecordRemoval>(decoded).id == JobId("5c0e"));
        }
        CHECK(deletions == 1);
    }
    SECTION("of a job that has ended only the final state is left")
    {
        const EndedJob ended { JobId("5c0e"), JobState::Cancelled, 4711 };
        const std::vector<StoredRecord> stored = encodeRecord(ended);
        REQUIRE(stored.size() == 5);
        const auto final = std::get<ProgressRecord>(decodeRecord(stored.back()));
        CHECK(final.id == JobId("5c0e"));
        CHECK(final.progress.state == JobState::Cancelled);
        CHECK(final.progress.endedUnixMs == 4711);
        CHECK(stored.back().value.size() < 32);
        for (const char *key : { "q/5c0e", "s/5c0e", "w/5c0e", "c/5c0e" }) {
            const bool isDeleted
                = std::find(stored.begin(), stored.end(), StoredRecord { key, "" }) != stored.end();
            CHECK(isDeleted);
        }
    }
    SECTION("malformed records and unknown keys are rejected")
    {
        CHECK_THROWS_AS(decodeRecord({ "x/5c0e", "{}" }), Core::FormatError);
        CHECK_THROWS_AS(decodeRecord({ "s/5c0e", "{}" }), Core::FormatError);
        CHECK_THROWS_AS(decodeRecord({ "s/5c0e", "[1" }), Core::FormatError);
        CHECK_THROWS_AS(decodeRecord({ "p/5c0e", R"({"s":99})" }), Core::FormatError);
        CHECK_THROWS_AS(decodeRecord({ "p/5c0e", R"({"s":1,"o":{"x":[]}})" }), Core::FormatError);
        CHECK_THROWS_AS(decodeRecord({ "w/5c0e", R"({"w1":1})" }), Core::FormatError);
        CHECK_THROWS_AS(decodeRecord({ "w/5c0e", "[[1]]" }), Core::FormatError);
        CHECK_THROWS_AS(decodeRecord({ "w/5c0e", R"(["#3,x"])" }), Core::FormatError);
        CHECK_THROWS_AS(decodeRecord({ "w/5c0e", R"(["#-3"])" }), Core::FormatError);
        CHECK_THROWS_AS(decodeRecord({ "l/w1", R"({"t":1,"m":-1})" }), Core::FormatError);
        CHECK_THROWS_AS(decodeRecord({ "l/w1", "7" }), Core::FormatError);
        CHECK_THROWS_AS(decodeRecord({ "beat", "7" }), Core::FormatError);
    }
}

TEST_CASE("The job table is a function of the records")
{
    JobTable table;
    const Submission job = submission("a");

    SECTION("the workers of a job are known whatever record named them, and stay known")
    {
        table.apply(JobWorkers { JobId("a"), { Core::VmId("w1") } });
        table.apply(job);
        table.apply(ProgressRecord { JobId("a"), progress(), { Core::VmId("w2") } });
        table.apply(ProgressRecord { JobId("a"), progress() });
        CHECK(table.find(JobId("a"))->workers
              == Jobs::WorkerIds { Core::VmId("w1"), Core::VmId("w2") });
    }

    SECTION("a repeated submission is ignored, also after the job has ended")
    {
        table.apply(job);
        Submission other = job;
        other.spec.payload = "other";
        const JobTable waiting = table;
        table.apply(other);
        CHECK(table == waiting);
        CHECK(table.find(job.id)->submission.spec.payload == job.spec.payload);
        JobProgress ended;
        ended.state = JobState::Completed;
        table.apply(ProgressRecord { job.id, ended });
        CHECK(table.find(job.id)->state() == JobState::Completed);
        const JobTable over = table;
        table.apply(other);
        CHECK(table == over);
    }
    SECTION("what comes late of a job that has ended changes nothing")
    {
        table.apply(EndedJob { job.id, JobState::Cancelled, 1 });
        const JobTable over = table;
        table.apply(job);
        table.apply(AcceptedJob { job.id, job.queue.id, false });
        table.apply(Cancellation { job.id });
        table.apply(JobWorkers { job.id, { Core::VmId("w1") } });
        table.apply(ProgressRecord { job.id, progress() });
        CHECK(table == over);
        CHECK(table.waitingCount(job.queue.id) == 0);
    }
    SECTION("an acceptance tells the state and the queue before the submission is read")
    {
        table.apply(AcceptedJob { job.id, job.queue.id, false });
        CHECK(table.findState(job.id) == JobState::Queued);
        CHECK(table.waitingCount(job.queue.id) == 1);
        CHECK(table.find(job.id) == nullptr);
        table.apply(job);
        JobTable other;
        other.apply(job);
        other.apply(AcceptedJob { job.id, job.queue.id, false });
        CHECK(table == other);
    }
    SECTION("an acceptance without a submission is dropped once all has been read")
    {
        table.apply(AcceptedJob { job.id, job.queue.id, false });
        table.dropAcceptedWithoutSubmission();
        CHECK(table == JobTable());
    }
    SECTION("a cancellation and a progress record that precede the submission are kept")
    {
        table.apply(Cancellation { job.id });
        table.apply(ProgressRecord { job.id, progress() });
        CHECK(table.find(job.id) == nullptr);
        table.apply(job);
        CHECK(table.find(job.id)->state() == JobState::Cancelled);
    }
    SECTION("jobs count as waiting until they have begun; scheduled jobs don't count")
    {
        Submission plain = submission("b");
        plain.spec.repeatCount = 0;
        table.apply(job);
        table.apply(plain);
        CHECK(table.waitingCount(QueueId("queue")) == 1);
        table.apply(ProgressRecord { plain.id, progress() });
        CHECK(table.waitingCount(QueueId("queue")) == 0);
        CHECK(table.find(plain.id)->state() == JobState::Running);
    }
}
