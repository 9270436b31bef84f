#include "Mutation.h"
#include "ReportDecoder.h"

#include <LibCore/Error.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <cstdint>
#include <random>
#include <string>

// A worker's odd report counts as no answer of that worker. Each number that is accepted can be
// added to, as the owner does with clocks and runs.

using namespace Adapter;

namespace {

constexpr std::size_t deepLevels = 200'000;
constexpr std::int64_t maxNumber = 9'000'000'000'000'000;
const std::string goodReport
    = R"({"clockMs":482113,"born":17,"running":[["5c0e7a21d94b36f8.0.1.17",2,"0b",41,1900]],)"
      R"("ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";

std::string changed(const std::string &from, const std::string &to)
{
    std::string odd = goodReport;
    odd.replace(odd.find(from), from.size(), to);
    return odd;
}

bool isBounded(std::int64_t number)
{
    return number >= -maxNumber && number <= maxNumber;
}

} // namespace

TEST_CASE("An odd report of a worker is refused")
{
    CHECK_NOTHROW(decodeReport(goodReport, "w"));
    const auto checkRefused = [](const std::string &report) {
        INFO(report.substr(0, 300));
        CHECK_THROWS_AS(decodeReport(report, "w"), Core::FormatError);
    };
    SECTION("with a number out of range")
    {
        for (const char *number :
             { "9223372036854775807", "-9223372036854775808", "9223372036854775808", "1e400",
               "-1e400", "1e18", "NaN", "\"7\"", "[]", "null", "true" }) {
            checkRefused(changed("482113", number));
            checkRefused(changed("17,\"running", std::string(number) + ",\"running"));
            checkRefused(changed(",2,", ',' + std::string(number) + ','));
            checkRefused(changed(",41,", ',' + std::string(number) + ','));
            checkRefused(changed("1900", number));
            checkRefused(changed("58", number));
            checkRefused(changed("1,\"done", std::string(number) + ",\"done"));
        }
    }
    SECTION("but progress that is no percentage is taken as the nearest one")
    {
        const auto percentOf = [](const std::string &percent) {
            const std::string report = changed(",41,", ',' + percent + ',');
            return decodeReport(report, "w").running.at(0).percentDone;
        };
        CHECK(percentOf("-1") == 0);
        CHECK(percentOf("101") == 100);
        CHECK(percentOf("4294967297") == 100);
        CHECK(percentOf("-4294967295") == 0);
    }
    SECTION("nested very deeply, cut short or not text")
    {
        const std::string arrays = std::string(deepLevels, '[') + std::string(deepLevels, ']');
        checkRefused(arrays);
        checkRefused(std::string(deepLevels, '['));
        checkRefused(changed("482113", arrays));
        CHECK_NOTHROW(decodeReport(changed("{", "{\"other\":" + arrays + ','), "w"));
        checkRefused("\xff\xfe");
        checkRefused("");
        for (std::size_t length = 1; length < goodReport.size(); ++length)
            checkRefused(goodReport.substr(0, length));
    }
}

TEST_CASE("A mutated report is refused or has bounded numbers")
{
    rc::prop("each number can be added to", [](unsigned seed) {
        std::mt19937 random(seed);
        try {
            const Jobs::WorkerReport report = decodeReport(mutate(goodReport, random), "w");
            RC_ASSERT(isBounded(report.clockMs) && isBounded(report.processStartUnixMs));
            for (const Jobs::RunningEntry &entry : report.running)
                RC_ASSERT(isBounded(entry.run) && isBounded(entry.recentLoad));
            for (const Jobs::EndedEntry &entry : report.ended)
                RC_ASSERT(isBounded(entry.run) && isBounded(entry.number));
        } catch (const Core::FormatError &) {
            // The expected error.
        }
    });
}
