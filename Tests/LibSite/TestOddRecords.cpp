#include "../platform/Mutation.h"
#include "SiteFixture.h"

#include <LibCore/Error.h>
#include <LibCore/WallClock.h>
#include <LibJob/JobRecord.h>
#include <LibJob/OwnedJob.h>

#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <limits>
#include <random>

// An odd record in the jobs' topic costs itself only: no node ends or stops following, the other
// jobs are carried out, and a later good record under the same key counts.

namespace {

constexpr std::size_t deepLevels = 200'000;

/// A submission with two steps, of which the second follows the first.
const std::string goodSubmission
    = R"({"p":"","q":"queue","qa":1,"qf":1.0,"qp":0,"qs":"service","qx":0,"s":)"
      R"([{"c":100,"e":0,"m":100,"n":2},{"a":[0],"c":101,"e":0,"m":102,"n":3}],"t":17})";
const std::string goodProgress = R"({"o":{"0":[["00",[],[1,4]],["000",[],[]]]},"s":1})";

std::string changed(const std::string &text, const std::string &from, const std::string &to)
{
    std::string odd = text;
    odd.replace(odd.find(from), from.size(), to);
    return odd;
}

std::vector<Jobs::StoredRecord> oddSubmissions()
{
    std::vector<Jobs::StoredRecord> records;
    const auto add = [&records](const std::string &from, const std::string &to) {
        records.push_back({ "s/odd", changed(goodSubmission, from, to) });
    };
    for (const char *after :
         { "[1]", "[2]", "[-1]", "[2147483647]", "[1e400]", "[\"0\"]", "[[0]]", "7", "\"0\"" })
        add("[0]", after);
    for (const char *number : { "-1", "1e400", "9223372036854775807", "9223372036854775808",
                                "\"3\"", "[]", "true", "0.5", "NaN" }) {
        add("\"n\":3", std::string("\"n\":") + number);
        add("\"c\":101", std::string("\"c\":") + number);
        add("\"m\":102", std::string("\"m\":") + number);
        add("\"e\":0", std::string("\"e\":") + number);
        add("\"t\":17", std::string("\"t\":") + number);
    }
    add("\"n\":3", "\"n\":2147483647");
    return records;
}

std::vector<Jobs::StoredRecord> oddProgress()
{
    std::vector<Jobs::StoredRecord> records;
    const auto add = [&records](const std::string &from, const std::string &to) {
        records.push_back({ "p/odd", changed(goodProgress, from, to) });
    };
    add("\"0\":", "\"zero\":");
    add("\"0\":", "\"99999999999\":");
    for (const char *run : { "9223372036854775807", "9223372036854775808", "1e400", "\"4\"", "[]" })
        add("[1,4]", std::string("[1,") + run + ']');
    add("\"s\":1", "\"s\":99");
    add("\"s\":1", "\"s\":2,\"t\":9223372036854775807");
    return records;
}

std::vector<Jobs::StoredRecord> otherOddRecords()
{
    const std::string arrays = std::string(deepLevels, '[') + std::string(deepLevels, ']');
    std::vector<Jobs::StoredRecord> records {
        { "s/odd", arrays },
        { "p/odd", arrays },
        { "w/odd", arrays },
        { "s/odd", std::string(deepLevels, '[') },
        { "s/odd", "\xff\xfe" },
        { "s/odd", "7" },
        { "p/odd", "[]" },
        { "w/odd", "{}" },
        { "w/odd", "[[]]" },
        { "", "{}" },
        { "", "" },
        { "s/", "{}" },
        { "x/odd", "{}" },
        { "owner", "[]" },
        { "owner", R"({"n":7,"t":1,"r":false})" },
        { "owner", R"({"n":"other","t":9223372036854775807,"r":false})" },
        { "owner", R"({"n":"other","t":-1,"r":false})" },
        { "beat", R"({"t":1e400})" }
    };
    for (std::size_t length = 1; length < goodSubmission.size(); length += 9)
        records.push_back({ "s/odd", goodSubmission.substr(0, length) });
    return records;
}

void checkUnreadable(const std::vector<Jobs::StoredRecord> &records)
{
    for (const Jobs::StoredRecord &record : records) {
        INFO(record.key << ": " << record.value.substr(0, 200));
        CHECK_THROWS_AS(Jobs::decodeRecord(record), Core::FormatError);
    }
}

/// A site with a worker and a node that owns the jobs.
struct OwnedSite
{
    OwnedSite()
    {
        site.log.put(Topic::Workers, { "w1", "a" });
        site.startElection(node);
        REQUIRE(site.runUntil([this] { return node.state.owner != nullptr; }));
    }
    bool isCompleted(const std::string &id)
    {
        return site.runUntil([&] {
            const Jobs::JobEntry *entry = node.state.table.find(Jobs::JobId(id));
            return entry && entry->state() == Jobs::JobState::Completed;
        });
    }
    void put(const Jobs::StoredRecord &record) { site.log.put(Topic::Jobs, record); }

    SiteFixture site;
    TestNode &node = site.addNode("one#1");
};

} // namespace

TEST_CASE("An odd record of a job is unreadable")
{
    CHECK_NOTHROW(Jobs::decodeRecord({ "s/odd", goodSubmission }));
    CHECK_NOTHROW(Jobs::decodeRecord({ "p/odd", goodProgress }));
    SECTION("a submission whose steps follow no earlier step, or with numbers out of range")
    {
        checkUnreadable(oddSubmissions());
    }
    SECTION("progress with numbers out of range")
    {
        checkUnreadable(oddProgress());
    }
    SECTION("anything else")
    {
        checkUnreadable(otherOddRecords());
    }
}

TEST_CASE("The owner carries out the jobs beside an odd record, and then the odd one's own")
{
    OwnedSite owned;
    SECTION("records that can't be read")
    {
        for (const Jobs::StoredRecord &record : oddProgress())
            owned.put(record);
        for (const Jobs::StoredRecord &record : oddSubmissions())
            owned.put(record);
        for (const Jobs::StoredRecord &record : otherOddRecords())
            owned.put(record);
    }
    SECTION("progress of a task that the job doesn't have")
    {
        owned.put({ "p/other", changed(goodProgress, "[1,4]", "[7,4,-1,4]") });
        owned.put({ "s/other", goodSubmission });
        CHECK(owned.isCompleted("other"));
    }
    owned.put({ "s/good", goodSubmission });
    CHECK(owned.isCompleted("good"));
    owned.put({ "s/odd", goodSubmission });
    CHECK(owned.isCompleted("odd"));
}

TEST_CASE("A mutated record of a job is refused, or describes a job that can be owned")
{
    rc::prop("a submission", [](unsigned seed) {
        std::mt19937 random(seed);
        try {
            const auto record = Jobs::decodeRecord({ "s/odd", mutate(goodSubmission, random) });
            const auto *submission = std::get_if<Jobs::Submission>(&record);
            // A text of which nothing is left deletes the job.
            if (!submission)
                return;
            Jobs::JobEntry entry;
            entry.submission = *submission;
            Jobs::OwnedJob { entry };
        } catch (const Core::FormatError &) {
            // The expected error.
        }
    });
    rc::prop("its progress", [](unsigned seed) {
        std::mt19937 random(seed);
        try {
            const auto submission = Jobs::decodeRecord({ "s/odd", goodSubmission });
            const auto record = Jobs::decodeRecord({ "p/odd", mutate(goodProgress, random) });
            Jobs::JobEntry entry;
            entry.submission = std::get<Jobs::Submission>(submission);
            if (const auto *progress = std::get_if<Jobs::ProgressRecord>(&record))
                entry.progress = progress->progress;
            Jobs::OwnedJob { entry };
        } catch (const Core::FormatError &) {
            // The expected error.
        }
    });
}
