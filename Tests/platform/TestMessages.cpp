#include "JobMessages.h"
#include "Mutation.h"
#include "NodeSettings.h"
#include "PlatformRecordDecoder.h"
#include "RecordFrames.h"
#include "ReportDecoder.h"
#include "WorkerMessages.h"

#include <LibCore/Error.h>
#include <LibCore/Json.h>

#include <catch2/catch.hpp>
#include <json/value.h>

#include <functional>
#include <random>
#include <string>

using namespace Adapter;

namespace {

const std::string jobText
    = R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,"estimateMs":900,)"
      R"("dataRack":"r1-3"},{"count":20,"cpu":2000,"memMb":1024,"estimateMs":7000,"after":[0],)"
      R"("checkpointing":true,"fills":true,"image":"a1"}]})";
const std::string reportText
    = R"({"clockMs":482113,"born":17,"running":[["5c0e7a21d94b36f8.0.1.17",2,"0b",41,1900]],)"
      R"("ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";
const std::string workerRecordText
    = R"({"service":"s","addr":"10.0.0.9:8080","zone":"z","version":"v1","slots":8,)"
      R"("state":"ready","coldLeftMs":0,"freeCapacity":{"cpu":16000,"memMb":32768,"gpu":0},)"
      R"("labels":["a","r1-3"],"clockMs":482113,"sequence":4,"born":17})";
const std::string catalogueText
    = R"({"version":7,"routes":[{"name":"r","host":"h.example","pathPrefix":"/p/",)"
      R"("kind":"unsafe","timeoutMs":3000,"sloMs":250,"priority":0,"service":"s",)"
      R"("maxAttempts":3,"stretch":1.5}],"services":[{"name":"s","rejectsOverload":true}],)"
      R"("limits":{"headerBytes":16384,"bodyBytes":262144,"headerTimeoutMs":3000,)"
      R"("idleTimeoutMs":15000}})";
const std::string settingsText = R"([node]
name = n1
failure-domain = a
[doors]
callers = 10.0.0.1:81
readiness = 10.0.0.1:82
address = 10.0.0.1
[limits]
descriptors = 8192
processor-share = 0.069
[store]
address = 10.0.0.2:83
[link]
megabits-per-second = 10.5
[bounds]
lease-ms = 6000
drain-ms = 2000
retention-s = 120
shutdown-s = 6
[log]
level = INFO
)";

/// Decodes 10,000 mutations of \p text; each must succeed or throw Core::FormatError.
void checkMutations(const std::string &text, const std::function<void(const std::string &)> &decode)
{
    constexpr int mutations = 10'000;
    std::mt19937 random(20261203);
    for (int i = 0; i < mutations; ++i) {
        const std::string mutated = mutate(text, random);
        try {
            decode(mutated);
        } catch (const Core::FormatError &) {
            // The expected error for an invalid message.
        } catch (const std::exception &error) {
            FAIL("mutation " << i << " of the message: " << error.what() << " for " << mutated);
        }
    }
}

} // namespace

TEST_CASE("Decoding jobs of callers")
{
    SECTION("a valid job")
    {
        const Jobs::JobSpec job = JobMessages::decodeJobSpec(jobText);
        CHECK(job.payload == "text");
        REQUIRE(job.steps.size() == 2);
        CHECK(job.steps[0].dataRack == "r1-3");
        CHECK(job.steps[1].after == std::vector<int> { 0 });
        CHECK(job.steps[1].isCheckpointing);
        CHECK(job.steps[1].isBestEffort);
        CHECK(job.steps[1].need == Core::Resources { 2000, 1024, 0 });
    }
    SECTION("an invalid job throws FormatError")
    {
        CHECK_THROWS_AS(JobMessages::decodeJobSpec("[]"), Core::FormatError);
        std::string steps = R"({"count":10000})";
        for (int i = 0; i < 9; ++i)
            steps += R"(,{"count":10000})";
        CHECK_NOTHROW(JobMessages::decodeJobSpec(R"({"steps":[)" + steps + "]}"));
        CHECK_THROWS_AS(JobMessages::decodeJobSpec(R"({"steps":[{"count":1},)" + steps + "]}"),
                        Core::FormatError);
        CHECK_THROWS_AS(JobMessages::decodeJobSpec(R"({"steps":[]})"), Core::FormatError);
        CHECK_THROWS_AS(JobMessages::decodeJobSpec(R"({"steps":[{"cpu":1}]})"), Core::FormatError);
        CHECK_THROWS_AS(JobMessages::decodeJobSpec(R"({"steps":[{"count":1,"after":[0]}]})"),
                        Core::FormatError);
        CHECK_THROWS_AS(JobMessages::decodeJobSpec(R"({"steps":[{"count":1,"cpu":-5}]})"),
                        Core::FormatError);
    }
    SECTION("ids are 16 hexadecimal digits")
    {
        CHECK(JobMessages::isJobId("5c0e7a21d94b36f8"));
        CHECK_FALSE(JobMessages::isJobId("5c0e7a21d94b36f"));
        CHECK_FALSE(JobMessages::isJobId("5c0e7a21d94b36fg"));
    }
}

TEST_CASE("Decoding responses of workers")
{
    SECTION("a report")
    {
        const Jobs::WorkerReport report = decodeReport(reportText, "w");
        CHECK(report.clockMs == 482113);
        CHECK(report.processStartUnixMs == 17);
        REQUIRE(report.running.size() == 1);
        CHECK(report.running[0].task.text() == "5c0e7a21d94b36f8.0.1.17");
        CHECK(report.running[0].recentLoad == 1900);
        REQUIRE(report.ended.size() == 1);
        CHECK(report.ended[0].number == 58);
        CHECK(report.ended[0].kind == Jobs::EndKind::Done);
    }
    SECTION("refusals to start")
    {
        using Jobs::StartOutcome;
        CHECK(WorkerMessages::decodeStartRefusal(409, R"({"reason":"fence"})")
              == StartOutcome::Fenced);
        CHECK(WorkerMessages::decodeStartRefusal(409, R"({"reason":"old"})")
              == StartOutcome::OldRun);
        CHECK(WorkerMessages::decodeStartRefusal(409, R"({"reason":"late"})")
              == StartOutcome::Late);
        CHECK(WorkerMessages::decodeStartRefusal(409, R"({"reason":"room"})")
              == StartOutcome::NoRoom);
        CHECK(WorkerMessages::decodeStartRefusal(421, "") == StartOutcome::OtherIncarnation);
        CHECK(WorkerMessages::decodeStartRefusal(503, "") == StartOutcome::Refused);
        CHECK(WorkerMessages::decodeStartRefusal(500, "") == StartOutcome::Unknown);
        CHECK(WorkerMessages::decodeStartRefusal(400, "") == StartOutcome::Invalid);
    }
}

TEST_CASE("Decoding records of operators and workers")
{
    const PlatformRecordDecoder decoder;

    SECTION("a worker's record states its total capacity")
    {
        const Jobs::WorkerInfo worker = decoder.decodeWorkerRecord({ "i-1", workerRecordText });
        CHECK(worker.id == Core::VmId("i-1"));
        CHECK(worker.capacity == Core::Resources { 16000, 32768, 0 });
        CHECK(worker.rack() == "r1-3");
        CHECK_FALSE(worker.isDraining);
    }
    SECTION("a worker's record with missing members, an unknown state or invalid JSON throws "
            "FormatError")
    {
        CHECK_THROWS_AS(decoder.decodeWorkerRecord({ "i", R"({"service":"s"})" }),
                        Core::FormatError);
        std::string other = workerRecordText;
        other.replace(other.find("\"ready\""), 7, "\"upset\"");
        CHECK_THROWS_AS(decoder.decodeWorkerRecord({ "i", other }), Core::FormatError);
        CHECK_THROWS_AS(decoder.decodeWorkerRecord({ "i", "\xff\xfe" }), Core::FormatError);
    }
    SECTION("a catalogue, a failure domain out of service and back in service, and irrelevant keys")
    {
        const auto change = decoder.decodeOperatorRecord({ "config", catalogueText });
        const auto *catalogue = std::get_if<Site::CatalogueChange>(&change);
        REQUIRE(catalogue);
        CHECK(catalogue->catalogue.version == 7);
        CHECK(catalogue->catalogue.findQueue("h.example", "/p/x")->attemptLimit == 3);
        CHECK(catalogue->catalogue.findQueue("h.example", "/q/x") == nullptr);
        const auto out = decoder.decodeOperatorRecord({ "evacuate/z", "{}" });
        CHECK(std::get<Site::DomainChange>(out).isOutOfService);
        const auto back = decoder.decodeOperatorRecord({ "evacuate/z", "" });
        CHECK_FALSE(std::get<Site::DomainChange>(back).isOutOfService);
        const auto other = decoder.decodeOperatorRecord({ "other", "{}" });
        CHECK(std::holds_alternative<Site::IrrelevantChange>(other));
    }
}

TEST_CASE("Encoding and decoding binary records")
{
    const std::vector<Jobs::StoredRecord> records = { { "a", "one" }, { "key", "" } };

    SECTION("decoding returns the encoded records")
    {
        const std::string header(16, '\0');
        std::string page = header + encodeFrames(records);
        // The last byte of the end offset.
        page[7] = 9;
        const Site::LogPage decoded = decodePage(page, 7);
        CHECK(decoded.end == 9);
        REQUIRE(decoded.records.size() == 2);
        CHECK(decoded.records[0] == Site::LoggedRecord { 7, records[0] });
        CHECK(decoded.records[1] == Site::LoggedRecord { 8, records[1] });
    }
    SECTION("a truncated page throws FormatError")
    {
        const std::string page = std::string(16, '\0') + encodeFrames(records);
        CHECK_THROWS_AS(decodePage(page.substr(0, 12), 0), Core::FormatError);
        CHECK_THROWS_AS(decodePage(page.substr(0, page.size() - 1), 0), Core::FormatError);
        CHECK_THROWS_AS(decodePage(page.substr(0, 18), 0), Core::FormatError);
    }
    SECTION("base64")
    {
        CHECK(decodeBase64("aGVsbG8=") == "hello");
        CHECK(decodeBase64("aGVsbG8h") == "hello!");
        CHECK(decodeBase64("").empty());
        CHECK_THROWS_AS(decodeBase64("a*b="), Core::FormatError);
    }
}

TEST_CASE("Parsing settings")
{
    SECTION("valid settings")
    {
        const NodeSettings settings = parseNodeSettings(settingsText, "s.ini");
        CHECK(settings.callerEndpoint == Http::Endpoint { "10.0.0.1", 81 });
        CHECK(settings.maxLease == std::chrono::milliseconds(6000));
        CHECK(settings.linkMegabitsPerSecond == 10.5);
        CHECK(settings.processorShare == 0.069);
        CHECK(settings.descriptors == 8192);
    }
    SECTION("a node that isn't told its descriptors has as many as the weakest")
    {
        const std::string key = "descriptors = 8192";
        std::string text = settingsText;
        text.replace(text.find(key), key.size(), GENERATE("", "descriptors ="));
        const NodeSettings settings = parseNodeSettings(text, "s.ini");
        CHECK(settings.descriptors == DescriptorShares::defaultDescriptors);
    }
    SECTION("the time for which a key works without the store, and its defaults")
    {
        CHECK(parseNodeSettings(settingsText, "s.ini").revocationTime
              == std::chrono::milliseconds(5000));
        CHECK_FALSE(parseNodeSettings(settingsText, "s.ini").isRevocationStrict);
        const auto withBounds = [](const std::string &lines) {
            std::string text = settingsText;
            return parseNodeSettings(text.insert(text.find("lease-ms"), lines), "s.ini");
        };
        const NodeSettings empty = withBounds("revoke-ms =\nstrict-revoke =\n");
        CHECK(empty.revocationTime == std::chrono::milliseconds(5000));
        CHECK_FALSE(empty.isRevocationStrict);
        const NodeSettings set = withBounds("revoke-ms = 2500\nstrict-revoke = true\n");
        CHECK(set.revocationTime == std::chrono::milliseconds(2500));
        CHECK(set.isRevocationStrict);
        CHECK_FALSE(withBounds("strict-revoke = false\n").isRevocationStrict);
        for (const char *odd : { "revoke-ms = -1\n", "revoke-ms = soon\n", "revoke-ms = 600001\n",
                                 "strict-revoke = yes\n", "strict-revoke = 1\n" })
            CHECK_THROWS_AS(withBounds(odd), Core::FormatError);
    }
    SECTION("the error lists all invalid keys")
    {
        std::string text = settingsText;
        text.replace(text.find("10.0.0.1:81"), 11, "nowhere:81x");
        text.replace(text.find("lease-ms = 6000"), 15, "lease-ms = soon");
        text.replace(text.find("second = 10.5"), 13, "second = wide");
        text.replace(text.find("descriptors = 8192"), 18, "descriptors = 1023");
        text += "other = 1\n";
        try {
            parseNodeSettings(text, "s.ini");
            FAIL("invalid settings were accepted");
        } catch (const Core::FormatError &error) {
            const std::string what = error.what();
            CHECK(what.find("doors.callers") != std::string::npos);
            CHECK(what.find("bounds.lease-ms") != std::string::npos);
            CHECK(what.find("link.megabits-per-second") != std::string::npos);
            CHECK(what.find("limits.descriptors: expected a whole number from 1024")
                  != std::string::npos);
            CHECK(what.find("log.other") != std::string::npos);
        }
    }
}

TEST_CASE("Decoding 10,000 mutations of each message succeeds or throws FormatError")
{
    const PlatformRecordDecoder decoder;
    SECTION("jobs")
    {
        checkMutations(jobText, [](const std::string &text) { JobMessages::decodeJobSpec(text); });
    }
    SECTION("reports")
    {
        checkMutations(reportText, [](const std::string &text) { decodeReport(text, "w"); });
    }
    SECTION("refusals to start")
    {
        checkMutations(R"({"clockMs":482113,"reason":"fence"})", [](const std::string &text) {
            WorkerMessages::decodeStartRefusal(409, text);
        });
    }
    SECTION("workers' records")
    {
        checkMutations(workerRecordText, [&](const std::string &text) {
            decoder.decodeWorkerRecord({ "i", text });
        });
    }
    SECTION("catalogues")
    {
        checkMutations(catalogueText, [&](const std::string &text) {
            decoder.decodeOperatorRecord({ "config", text });
        });
    }
    SECTION("pages of records")
    {
        const std::string page
            = std::string(16, '\0') + encodeFrames({ { "a", "one" }, { "key", "two" } });
        checkMutations(page, [](const std::string &text) { decodePage(text, 0); });
    }
    SECTION("settings")
    {
        checkMutations(settingsText,
                       [](const std::string &text) { parseNodeSettings(text, "s.ini"); });
    }
}
