#include "Mutation.h"
#include "PlatformRecordDecoder.h"

#include "../LibSite/MemoryLog.h"

#include <LibSite/WorkerFollower.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <exception>
#include <random>
#include <string>
#include <vector>

// One odd entry of another writer among those of the workers. It names no worker to use; the others
// hold, and a later good entry under its key counts again.

using namespace Adapter;

namespace {

namespace asio = boost::asio;

const std::string goodEntry
    = R"({"service":"s","addr":"10.0.0.9:8080","zone":"z","version":"v1","slots":8,)"
      R"("state":"ready","coldLeftMs":0,"freeCapacity":{"cpu":16000,"memMb":32768,"gpu":0},)"
      R"("labels":["a","r1-3"],"clockMs":482113,"sequence":4,"born":17})";
/// Far more levels than a reader that calls itself for each could bear.
constexpr std::size_t deepLevels = 200'000;
/// More than `Core::Json::maximumTextBytes`.
constexpr std::size_t hugeBytes = 5 * 1024 * 1024;

/// The good entry with \p from replaced by \p to.
std::string changed(const std::string &from, const std::string &to)
{
    std::string entry = goodEntry;
    entry.replace(entry.find(from), from.size(), to);
    return entry;
}

std::string repeated(std::size_t times, const std::string &text)
{
    std::string all;
    for (std::size_t i = 0; i < times; ++i)
        all += text;
    return all;
}

std::vector<std::string> deepEntries()
{
    const std::string arrays = repeated(deepLevels, "[") + repeated(deepLevels, "]");
    const std::string objects = repeated(deepLevels, "{\"a\":") + "1" + repeated(deepLevels, "}");
    return { arrays,
             objects,
             repeated(deepLevels, "["),
             repeated(deepLevels, "{\"a\":"),
             changed("\"version\":\"v1\"", "\"version\":" + arrays),
             changed("\"version\":\"v1\"", "\"version\":" + objects),
             changed("[\"a\",\"r1-3\"]", arrays) };
}

std::vector<std::string> entriesWithOddAddress()
{
    std::vector<std::string> entries;
    for (const char *address :
         { R"("10.0.0.9:0")", R"("10.0.0.9:65536")", R"("10.0.0.9:99999999999")",
           R"("10.0.0.9:99999999999999999999999")", R"("10.0.0.9:-1")", R"("10.0.0.9:80x")",
           R"("10.0.0.9:")", R"("10.0.0.9")", R"(":8080")", R"("")", R"("worker.example:8080")",
           R"("10.0.0:8080x")", R"("10.0.0.256:8080")", R"("10.0.0.9\u0000x:8080")", "8080", "null",
           R"(["10.0.0.9:8080"])" })
        entries.push_back(changed(R"("10.0.0.9:8080")", address));
    return entries;
}

std::vector<std::string> entriesWithOddNumber()
{
    std::vector<std::string> entries;
    for (const char *number :
         { "1e400", "-1e400", "1e18", "9223372036854775807", "9223372036854775808",
           "-9223372036854775808", "-1", "NaN", "Infinity", "\"7\"", "true", "[]", "{}", "0.5" }) {
        entries.push_back(changed("16000", number));
        entries.push_back(changed("32768", number));
        entries.push_back(changed("\"gpu\":0", std::string("\"gpu\":") + number));
    }
    for (const char *number :
         { "1e400", "9223372036854775808", "-1", "NaN", "\"17\"", "true", "[]", "{}", "0.5" })
        entries.push_back(changed("\"born\":17", std::string("\"born\":") + number));
    return entries;
}

std::vector<std::string> entriesOfOddTypes()
{
    std::vector<std::string> entries { "null", "7", "\"text\"", "[]", "{}", "true", " " };
    for (const char *value : { "7", "{}", "[]", "null", "true" }) {
        entries.push_back(changed("\"service\":\"s\"", std::string("\"service\":") + value));
        entries.push_back(changed("\"zone\":\"z\"", std::string("\"zone\":") + value));
        entries.push_back(changed("\"ready\"", value));
        entries.push_back(changed("{\"cpu\":16000,\"memMb\":32768,\"gpu\":0}", value));
    }
    for (const char *labels : { "\"a\"", "7", "true", "{\"0\":\"a\"}", "[1]", "[[\"a\"]]", "[null]",
                                "[true]", "[\"a\",{}]" })
        entries.push_back(changed("[\"a\",\"r1-3\"]", labels));
    entries.push_back(changed("\"ready\"", "\"upset\""));
    return entries;
}

/// The good entry without one of its members, and one without several, as in review/1.
std::vector<std::string> entriesWithMissingMember()
{
    std::vector<std::string> entries;
    for (const char *member :
         { R"("service":"s",)", R"("addr":"10.0.0.9:8080",)", R"("zone":"z",)",
           R"("version":"v1",)", R"("slots":8,)", R"("state":"ready",)", R"("coldLeftMs":0,)",
           R"("freeCapacity":{"cpu":16000,"memMb":32768,"gpu":0},)", R"("cpu":16000,)",
           R"("memMb":32768,)", R"("sequence":4,)" })
        entries.push_back(changed(member, ""));
    entries.push_back(
        R"({"service":"s","addr":"10.0.0.9:8080","zone":"z","state":"ready",)"
        R"("freeCapacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a","r1-3"]})");
    return entries;
}

/// The members that say nothing that this system uses show whether a worker has written the entry.
std::vector<std::string> entriesWithUnusedMemberOfOddType()
{
    std::vector<std::string> entries;
    for (const char *version : { "7", "null", "true", "[]", "{}" })
        entries.push_back(changed(R"("version":"v1")", std::string(R"("version":)") + version));
    for (const char *number : { R"("7")", "null", "true", "[]", "{}" }) {
        entries.push_back(changed(R"("slots":8)", std::string(R"("slots":)") + number));
        entries.push_back(changed(R"("coldLeftMs":0)", std::string(R"("coldLeftMs":)") + number));
        entries.push_back(changed(R"("sequence":4)", std::string(R"("sequence":)") + number));
    }
    entries.push_back(changed(R"("gpu":0)", R"("gpu":"0")"));
    entries.push_back(changed(R"(["a","r1-3"])", R"("a")"));
    entries.push_back(changed(R"("born":17)", R"("born":"17")"));
    return entries;
}

std::vector<std::string> unreadableEntries()
{
    std::vector<std::string> entries { "\xff\xfe", std::string(1000, '\0'),
                                       changed("\"v1\"", '"' + std::string(hugeBytes, 'v') + '"'),
                                       std::string(hugeBytes, '[') };
    for (std::size_t length = 1; length < goodEntry.size(); length += 7)
        entries.push_back(goodEntry.substr(0, length));
    return entries;
}

/// Follows the workers' topic of a store in memory.
class Followed
{
public:
    Followed()
    {
        m_log.put(Site::Topic::Workers, { "before", goodEntry });
        m_log.put(Site::Topic::Workers, { "zone-mate", goodEntry });
        // The first calls read a snapshot.
        while (!m_follower.completeAsOf())
            read();
    }

    /// The ids that the list holds after \p value was published under \p key.
    std::vector<std::string> idsAfter(const std::string &key, const std::string &value)
    {
        m_log.put(Site::Topic::Workers, { key, value });
        return readIds();
    }

    /// The ids in the list of a node that starts now.
    std::vector<std::string> idsOfNewNode()
    {
        Site::WorkerFollower other(m_log, m_decoder);
        while (!other.completeAsOf())
            read(other);
        return idsOf(other);
    }

    std::vector<std::string> readIds()
    {
        read();
        return idsOf(m_follower);
    }

    std::vector<Jobs::WorkerInfo> workers() const { return m_follower.workers(); }

private:
    static std::vector<std::string> idsOf(const Site::WorkerFollower &follower)
    {
        std::vector<std::string> ids;
        for (const Jobs::WorkerInfo &worker : follower.workers())
            ids.push_back(worker.id.text());
        return ids;
    }

    void read() { read(m_follower); }
    void read(Site::WorkerFollower &follower)
    {
        std::exception_ptr failure;
        asio::co_spawn(m_context, follower.read(0),
                       [&failure](const std::exception_ptr &error, bool) { failure = error; });
        m_context.restart();
        m_context.run();
        if (failure)
            std::rethrow_exception(failure);
    }

    asio::io_context m_context;
    MemoryLog m_log { m_context.get_executor() };
    PlatformRecordDecoder m_decoder;
    Site::WorkerFollower m_follower { m_log, m_decoder };
};

const std::vector<std::string> neighbours { "before", "zone-mate" };
const std::vector<std::string> neighboursAndOdd { "before", "odd", "zone-mate" };

/// What every odd entry must leave: the neighbours, and the way back for its own key.
void checkNamesNoWorker(Followed &followed, const std::string &entry)
{
    INFO("entry of " << entry.size() << " bytes: " << entry.substr(0, 400));
    CHECK(followed.idsAfter("odd", goodEntry) == neighboursAndOdd);
    CHECK(followed.idsAfter("odd", entry) == neighbours);
    CHECK(followed.idsAfter("zone-mate", goodEntry) == neighbours);
    CHECK(followed.idsAfter("odd", goodEntry) == neighboursAndOdd);
}

} // namespace

TEST_CASE("An odd entry among those of the workers names no worker, and the others hold")
{
    Followed followed;
    const auto checkAll = [&followed](const std::vector<std::string> &entries) {
        for (const std::string &entry : entries)
            checkNamesNoWorker(followed, entry);
    };
    SECTION("nested very deeply")
    {
        checkAll(deepEntries());
    }
    SECTION("with a port out of range, or a name or nothing in place of an address")
    {
        checkAll(entriesWithOddAddress());
    }
    SECTION("with numbers too large, negative or no numbers")
    {
        checkAll(entriesWithOddNumber());
    }
    SECTION("with members of other types")
    {
        checkAll(entriesOfOddTypes());
    }
    SECTION("with a member missing")
    {
        checkAll(entriesWithMissingMember());
    }
    SECTION("with a member of another type that isn't used")
    {
        checkAll(entriesWithUnusedMemberOfOddType());
    }
    SECTION("cut short, too long or not text")
    {
        checkAll(unreadableEntries());
    }
}

TEST_CASE("An entry of a worker may have further members, fractions, and neither labels, "
          "accelerators nor start")
{
    Followed followed;
    for (const std::string &entry :
         { changed(R"("state":"ready")", R"("state":"draining","remainingMs":900)"),
           changed(R"("coldLeftMs":0)", R"("coldLeftMs":1500.5)"), changed(R"(["a","r1-3"])", "[]"),
           changed(R"(,"gpu":0)", ""), changed(R"("labels":["a","r1-3"],)", ""),
           changed(R"(,"born":17)", "") }) {
        INFO(entry);
        CHECK(followed.idsAfter("odd", entry) == neighboursAndOdd);
    }
}

TEST_CASE("A key that can't be a worker's id names no worker")
{
    Followed followed;
    const std::vector<std::string> keys {
        "", "a b", "a\r\nX-Other: 1", std::string("a\0b", 3), "\xff\xfe", std::string(256, 'k')
    };
    for (const std::string &key : keys) {
        INFO("key of " << key.size() << " bytes");
        CHECK(followed.idsAfter(key, goodEntry) == neighbours);
    }
    SECTION("a node that starts later sees the same")
    {
        CHECK(followed.idsOfNewNode() == neighbours);
    }
}

TEST_CASE("A node that starts beside odd entries lists the good ones")
{
    Followed followed;
    followed.idsAfter("a", deepEntries().front());
    followed.idsAfter("b", entriesWithOddAddress().front());
    followed.idsAfter("c", entriesWithOddNumber().front());
    followed.idsAfter("zz", "\xff\xfe");
    CHECK(followed.idsOfNewNode() == neighbours);
}

TEST_CASE("A mutated entry of a worker leaves the others and names at most a usable worker")
{
    Followed followed;
    rc::prop("whatever is listed can be called and counted", [&followed](unsigned seed) {
        std::mt19937 random(seed);
        followed.idsAfter("odd", mutate(goodEntry, random));
        const std::vector<Jobs::WorkerInfo> workers = followed.workers();
        RC_ASSERT(workers.size() == 2 || workers.size() == 3);
        for (const Jobs::WorkerInfo &worker : workers) {
            boost::system::error_code error;
            const std::string &address = worker.address;
            asio::ip::make_address(address.substr(0, address.rfind(':')), error);
            RC_ASSERT(!error);
            RC_ASSERT(worker.capacity.milliCores >= 0);
            RC_ASSERT(worker.capacity.mebibytes >= 0);
            RC_ASSERT(worker.capacity.accelerators >= 0);
        }
        RC_ASSERT(followed.idsAfter("odd", goodEntry) == neighboursAndOdd);
    });
}
