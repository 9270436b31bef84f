#include "../LibLog/LogPipe.h"
#include "Mutation.h"
#include "PlatformRecordDecoder.h"

#include <LibCore/Error.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

// The member `tenants` of the operators' record.

using namespace Adapter;

namespace {

Jobs::Catalogue decode(const std::string &members)
{
    const std::string text
        = R"({"version":7,"routes":[{"name":"r","host":"h.example","pathPrefix":"/p/","sloMs":250,)"
          R"("priority":0,"service":"s","keyless":true},{"name":"q","host":"h.example",)"
          R"("pathPrefix":"/q/","sloMs":250,"priority":0,"service":"s"}],"services":[])"
        + members + '}';
    const auto change = PlatformRecordDecoder().decodeOperatorRecord({ "config", text });
    return std::get<Site::CatalogueChange>(change).catalogue;
}

/// The customers of a catalogue with \p entry between those of `a` and `z`.
std::vector<Jobs::Customer> customersBeside(const std::string &entry)
{
    const Jobs::Catalogue catalogue
        = decode(R"(,"tenants":[{"name":"a","apiKeys":["key-a"],"weight":1},)" + entry
                 + R"(,{"name":"z","apiKeys":["key-z"],"weight":2}])");
    CHECK(catalogue.version == 7);
    CHECK(catalogue.queues.size() == 2);
    REQUIRE(catalogue.customers);
    return *catalogue.customers;
}

std::vector<std::string> names(const std::vector<Jobs::Customer> &customers)
{
    std::vector<std::string> names;
    names.reserve(customers.size());
    for (const Jobs::Customer &customer : customers)
        names.push_back(customer.id.text());
    return names;
}

} // namespace

TEST_CASE("Decoding customers")
{
    SECTION("a site without the member has no customers, one with an empty list has none yet")
    {
        CHECK_FALSE(decode("").customers);
        CHECK(decode(R"(,"tenants":[])").customers == std::vector<Jobs::Customer> {});
    }
    SECTION("all members count, and others are ignored")
    {
        const std::vector<Jobs::Customer> customers = customersBeside(
            R"({"name":"Club Nord é","apiKeys":["k1","k2"],"weight":0.5,"priority":"high",)"
            R"("maxCount":{"cpu":4000,"memMb":0,"gpu":2,"other":[]}})");
        REQUIRE(names(customers) == std::vector<std::string> { "a", "Club Nord é", "z" });
        CHECK(customers[1].keys == std::vector { Jobs::ApiKey("k1"), Jobs::ApiKey("k2") });
        CHECK(customers[1].weight == 0.5);
        CHECK(customers[1].limit == Core::Resources { 4000, 0, 2 });
        CHECK(customers[0].limit == Core::Resources {});
    }
    SECTION("a queue allows anonymous calls if it says so")
    {
        const Jobs::Catalogue catalogue = decode("");
        CHECK(catalogue.findQueue("h.example", "/p/x")->allowsAnonymous);
        CHECK_FALSE(catalogue.findQueue("h.example", "/q/x")->allowsAnonymous);
    }
    SECTION("customers that are no list make the record unreadable, so the last one holds")
    {
        CHECK_THROWS_AS(decode(R"(,"tenants":{"name":"a"})"), Core::FormatError);
        CHECK_THROWS_AS(decode(R"(,"tenants":"a")"), Core::FormatError);
        CHECK_THROWS_AS(decode(R"(,"tenants":null)"), Core::FormatError);
    }
    SECTION("every finite weight above 0 is accepted")
    {
        for (const char *weight : { "1e300", "1e-300", "5e9", "3" })
            CHECK(customersBeside(std::string(R"({"name":"b","weight":)") + weight + '}').size()
                  == 3);
    }
}

// Guards against a malformed entry that makes others' keys unknown, against one that is accepted,
// and against keys in the log.
TEST_CASE("A malformed entry is left out, and the others hold")
{
    const std::string entry = GENERATE(
        R"({"apiKeys":["secret"],"weight":1})", R"({"name":"","apiKeys":["secret"],"weight":1})",
        R"({"name":7,"apiKeys":["secret"],"weight":1})",
        R"({"name":null,"apiKeys":["secret"],"weight":1})",
        R"({"name":"b\nevent=x","apiKeys":["secret"],"weight":1})",
        R"({"name":"a","apiKeys":["secret"],"weight":1})",
        R"({"name":"b","apiKeys":["secret","key-a"],"weight":1})",
        R"({"name":"b","apiKeys":"secret","weight":1})",
        R"({"name":"b","apiKeys":["secret",7],"weight":1})",
        R"({"name":"b","apiKeys":["secret",""],"weight":1})",
        R"({"name":"b","apiKeys":{"secret":1},"weight":1})",
        R"({"name":"b","apiKeys":["secret"],"weight":0})",
        R"({"name":"b","apiKeys":["secret"],"weight":-1})",
        R"({"name":"b","apiKeys":["secret"],"weight":"1"})",
        R"({"name":"b","apiKeys":["secret"],"weight":true})",
        R"({"name":"b","apiKeys":["secret"],"weight":1e400})",
        R"({"name":"b","apiKeys":["secret"],"weight":NaN})",
        R"({"name":"b","apiKeys":["secret"],"weight":-Infinity})",
        R"({"name":"b","apiKeys":["secret"],"weight":[1]})",
        R"({"name":"b","apiKeys":["secret"],"weight":1,"maxCount":{"cpu":"4000"}})",
        R"({"name":"b","apiKeys":["secret"],"weight":1,"maxCount":{"memMb":-1}})",
        R"({"name":"b","apiKeys":["secret"],"weight":1,"maxCount":{"gpu":1e300}})",
        R"({"name":"b","apiKeys":["secret"],"weight":1,"maxCount":{"cpu":1e400}})",
        R"({"name":"b","apiKeys":["secret"],"weight":1,"maxCount":{"cpu":0.5}})",
        R"({"name":"b","apiKeys":["secret"],"weight":1,"maxCount":{"cpu":[]}})",
        R"({"name":"b","apiKeys":["secret"],"weight":1,"maxCount":7})", R"("secret")", R"([])",
        "null", "7");
    CAPTURE(entry);
    LogPipe pipe({ 1e6, 1000, 100 });
    CHECK(names(customersBeside(entry)) == std::vector<std::string> { "a", "z" });
    const std::vector<std::string> lines = pipe.takeLines();
    REQUIRE(lines.size() == 1);
    CHECK(lines[0].find("event=customer-refused version=7 index=1 customer=") != std::string::npos);
    CHECK(lines[0].find(" reason=\"") != std::string::npos);
    for (const char *key : { "secret", "key-a", "key-z" })
        CHECK(lines[0].find(key) == std::string::npos);
}

// Guards against a refused entry whose name or keys count as taken.
TEST_CASE("An entry may have the name and the keys of a refused one")
{
    const std::vector<Jobs::Customer> customers
        = customersBeside(R"({"name":"b","apiKeys":["key-b"],"weight":0},)"
                          R"({"name":"b","apiKeys":["key-b"],"weight":1})");
    REQUIRE(names(customers) == std::vector<std::string> { "a", "b", "z" });
    CHECK(customers[1].keys == std::vector { Jobs::ApiKey("key-b") });
}

// Guards against keys in the reason why a record can't be read, since the reader quotes numbers.
TEST_CASE("The error about an unreadable record quotes no part of it")
{
    try {
        decode(R"(,"tenants":[{"name":"a","apiKeys":[987-654]}])");
        FAIL("an unreadable record was accepted");
    } catch (const Core::FormatError &error) {
        const std::string what = error.what();
        CHECK(what.find("Line 1") != std::string::npos);
        CHECK(what.find("654") == std::string::npos);
    }
}

// Guards against a number or an escape within a text that is taken for one outside it.
TEST_CASE("Texts stay as they are beside a number that isn't finite")
{
    const std::vector<Jobs::Customer> customers = customersBeside(
        R"({"name":"b","weight":1e400},{"name":"c","apiKeys":["1e400\"NaN","\\"],"weight":1})");
    REQUIRE(names(customers) == std::vector<std::string> { "a", "c", "z" });
    CHECK(customers[1].keys == std::vector { Jobs::ApiKey("1e400\"NaN"), Jobs::ApiKey("\\") });
}

TEST_CASE("Decoding 10,000 mutations of a record with customers succeeds or throws FormatError")
{
    constexpr int mutations = 10'000;
    const std::string text
        = R"({"version":7,"routes":[],"services":[],"tenants":[{"name":"a","apiKeys":["k1","k2"],)"
          R"("weight":1.5,"maxCount":{"cpu":4000,"memMb":8000,"gpu":1}},{"name":"b","apiKeys":[],)"
          R"("weight":1e2}]})";
    std::mt19937 random(20261207);
    for (int i = 0; i < mutations; ++i) {
        const std::string mutated = mutate(text, random);
        try {
            PlatformRecordDecoder().decodeOperatorRecord({ "config", mutated });
        } catch (const Core::FormatError &) {
            // The expected error for an invalid message.
        } catch (const std::exception &error) {
            FAIL("mutation " << i << ": " << error.what() << " for " << mutated);
        }
    }
}
