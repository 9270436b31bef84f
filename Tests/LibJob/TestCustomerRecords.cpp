#include <LibJob/JobRecord.h>
#include <LibJob/JobTable.h>

#include <LibCore/Error.h>

#include <catch2/catch.hpp>

#include <vector>

// The customer of a job in its records (member `cu`).

using namespace Jobs;

namespace {

const Core::CustomerId customer("Club Nord");

Submission submission()
{
    Submission submission;
    submission.id = JobId("j");
    submission.queue.id = QueueId("queue");
    submission.queue.service = ServiceId("service");
    submission.customer = customer;
    StepSpec step;
    step.taskCount = 1;
    step.need = { 100, 100, 0 };
    submission.spec.steps = { step };
    return submission;
}

} // namespace

// Guards against a job that loses its customer on the way through the store.
TEST_CASE("The records of a job name its customer")
{
    const std::vector<StoredRecord> stored = encodeRecord(submission());
    REQUIRE(stored.size() == 2);
    CHECK(std::get<Submission>(decodeRecord(stored[0])) == submission());
    CHECK(std::get<AcceptedJob>(decodeRecord(stored[1])).customer == customer);

    EndedJob ended;
    ended.id = JobId("j");
    ended.state = JobState::Completed;
    ended.endedUnixMs = 17;
    ended.customer = customer;
    JobTable table;
    for (const StoredRecord &record : encodeRecord(ended)) {
        if (!record.value.empty())
            table.apply(decodeRecord(record));
    }
    CHECK(table.findState(JobId("j")) == JobState::Completed);
    CHECK(table.customerOf(JobId("j")) == customer);
}

// Guards against a former version's records that can't be read, or whose jobs get a customer.
TEST_CASE("Records of former versions are read as jobs without a customer")
{
    const std::string formerSubmission
        = R"({"p":"","q":"queue","qa":1,"qf":1.0,"qp":0,"qs":"service","qx":0,)"
          R"("s":[{"c":100,"e":0,"m":100,"n":2}],"t":17})";
    CHECK(std::get<Submission>(decodeRecord({ "s/j", formerSubmission })).customer.isEmpty());
    CHECK(std::get<AcceptedJob>(decodeRecord({ "q/j", R"({"q":"queue"})" })).customer.isEmpty());
    const JobRecord ended = decodeRecord({ "p/j", R"({"s":2,"t":17})" });
    CHECK(std::get<ProgressRecord>(ended).customer.isEmpty());
}

// Guards against records that change on sites without customers, which former versions read too.
TEST_CASE("Records of a job without a customer are those of former versions")
{
    Submission withoutCustomer = submission();
    withoutCustomer.customer = {};
    for (const StoredRecord &record : encodeRecord(withoutCustomer))
        CHECK(record.value.find("\"cu\"") == std::string::npos);
    EndedJob ended;
    ended.id = JobId("j");
    ended.state = JobState::Failed;
    ended.endedUnixMs = 17;
    for (const StoredRecord &record : encodeRecord(ended))
        CHECK(record.value.find("\"cu\"") == std::string::npos);
}

TEST_CASE("A customer that is no text makes a record unreadable")
{
    for (const char *odd : { "[]", "{}", "[\"a\"]" }) {
        const std::string value = std::string(R"({"q":"queue","cu":)") + odd + '}';
        CHECK_THROWS_AS(decodeRecord({ "q/j", value }), Core::FormatError);
    }
}

// Guards against a repetition, at whichever node, that takes over the first submission's job.
TEST_CASE("A table keeps the customer of the first submission")
{
    Submission other = submission();
    other.customer = Core::CustomerId("other");
    JobTable table;
    table.apply(submission());
    for (const StoredRecord &record : encodeRecord(other))
        table.apply(decodeRecord(record));
    CHECK(table.customerOf(JobId("j")) == customer);
    CHECK(table.customerOf(JobId("unknown")).isEmpty());
}

// Guards against a job that counts as nobody's before the record has been read that tells whose it
// is.
TEST_CASE("Progress alone doesn't tell whose a job is")
{
    JobTable table;
    ProgressRecord running;
    running.id = JobId("j");
    running.progress.state = JobState::Running;
    table.apply(running);
    CHECK(table.findState(JobId("j")));
    CHECK_FALSE(table.tellsCustomer(JobId("j")));
    AcceptedJob accepted;
    accepted.id = JobId("j");
    accepted.customer = customer;
    table.apply(accepted);
    CHECK(table.tellsCustomer(JobId("j")));
    CHECK(table.customerOf(JobId("j")) == customer);
}
