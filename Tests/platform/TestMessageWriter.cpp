#include "WorkerMessages.h"

#include <LibCore/Json.h>

#include <catch2/catch.hpp>
#include <json/value.h>

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

using namespace Adapter;

namespace {

/// Every byte alone, and texts with the escapes of JSON, other alphabets and bytes that aren't
/// UTF-8.
std::vector<std::string> texts()
{
    std::vector<std::string> texts { "",
                                     "plain text",
                                     R"({"a":[1,"b\\c"]} / ')",
                                     "line\nline\ttab\r\b\f",
                                     "Ni\xc3\xb1o \xe2\x82\xac \xf0\x9f\x98\x80",
                                     "cut \xe2\x82",
                                     "\xc0\xaf\xed\xa0\x80\xff",
                                     std::string("zero\0byte", 9),
                                     std::string(70'000, 'x') };
    for (int byte = 0; byte < 256; ++byte)
        texts.emplace_back(1, static_cast<char>(byte));
    return texts;
}

std::vector<std::int64_t> numbers()
{
    return { 0,
             1,
             -1,
             482'113,
             std::numeric_limits<std::int64_t>::max(),
             std::numeric_limits<std::int64_t>::min() };
}

} // namespace

TEST_CASE("Texts in orders to workers are written like in all other messages")
{
    for (const std::string &text : texts()) {
        Jobs::StartCommand command;
        command.task = { Jobs::JobId("5c0e7a21d94b36f8"), 1, 2, 3 };
        command.run = 4;
        command.payload = text;
        command.checkpoint = text;
        command.leaseDeadlineMs = 5;
        command.token = 6;
        Json::Value expected(Json::objectValue);
        expected["task"] = "5c0e7a21d94b36f8.1.2.3";
        expected["runId"] = 4;
        expected["spec"] = text;
        expected["expiresMs"] = 5;
        expected["fenceToken"] = 6;
        if (!text.empty())
            expected["checkpoint"] = text;
        CHECK(WorkerMessages::encodeStart(command) == Core::Json::write(expected));
    }
}

TEST_CASE("Numbers in orders to workers are written like in all other messages")
{
    for (const std::int64_t number : numbers()) {
        const Jobs::TaskName task { Jobs::JobId("5c0e7a21d94b36f8"), 0, 0, 1 };
        Json::Value stop(Json::objectValue);
        stop["task"] = task.text();
        stop["runId"] = Json::Int64(number);
        stop["fenceToken"] = Json::Int64(number);
        CHECK(WorkerMessages::encodeStop({ Core::VmId(), "", task, number, number })
              == Core::Json::write(stop));
        Json::Value throttle = stop;
        throttle["percent"] = 30;
        CHECK(WorkerMessages::encodeThrottle({ Core::VmId(), "", task, number, 30, number })
              == Core::Json::write(throttle));
        Json::Value renew(Json::objectValue);
        renew["fenceToken"] = Json::Int64(number);
        renew["lastSeen"] = Json::Int64(number);
        if (number > 0)
            renew["expiresMs"] = renew["waitMs"] = Json::Int64(number);
        CHECK(WorkerMessages::encodeRenew({ Core::VmId(), "", number, number, number, number })
              == Core::Json::write(renew));
    }
}
