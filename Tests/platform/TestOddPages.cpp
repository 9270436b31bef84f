#include "Mutation.h"
#include "NewestRecords.h"
#include "RecordFrames.h"

#include <LibCore/Error.h>
#include <LibCore/SteadyClock.h>
#include <LibSite/LogFollower.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <exception>
#include <map>
#include <random>
#include <string>
#include <vector>

// A record in the store's answers that can't be read costs itself only: the page that holds it is
// read on to its end, and the node goes on behind it.

using namespace Adapter;

namespace {

namespace asio = boost::asio;

const std::string itemA = R"({"offset":3,"key":"a","value":"b25l"})";
const std::string itemB = R"({"offset":4,"key":"b","value":"dHdv"})";
/// A frame without content, which has no room for the length of its key.
const std::string emptyFrame(4, '\0');
/// A frame whose key would be longer than the frame.
const std::string frameWithShortKey = std::string(3, '\0') + '\3' + '\xff' + "ab";

std::string newest(const std::string &items, bool hasMore)
{
    return R"({"end":9,"hasMore":)" + std::string(hasMore ? "true" : "false") + R"(,"items":[)"
        + items + "]}";
}

/// Serves a topic as the bytes of the store's answers.
class ByteLog final : public Site::KeyedLog
{
public:
    asio::awaitable<std::int64_t> append(std::vector<Jobs::StoredRecord>, Core::Instant) override
    {
        throw Core::NotDoneError("append", "store", "unused");
    }
    asio::awaitable<std::int64_t> appendAt(std::vector<Jobs::StoredRecord>, std::int64_t,
                                           Core::Instant) override
    {
        throw Core::NotDoneError("append", "store", "unused");
    }
    asio::awaitable<std::int64_t> appendFenced(std::vector<Jobs::StoredRecord>, Site::FencedWriter,
                                               Core::Instant) override
    {
        throw Core::NotDoneError("append", "store", "unused");
    }
    asio::awaitable<Site::LogPage> read(Site::Topic, std::int64_t from, std::int64_t,
                                        Core::Instant) override
    {
        std::string answer(16, '\0');
        answer[7] = static_cast<char>(frames.size());
        const auto first = static_cast<std::size_t>(from);
        for (std::size_t i = first; i < frames.size() && i < first + framesPerPage; ++i)
            answer += frames[i];
        co_return decodePage(answer, from);
    }
    asio::awaitable<Site::NewestRecordsPage> readNewest(Site::Topic, std::string afterKey,
                                                        Core::Instant) override
    {
        co_return decodeNewest(newestAfter.at(afterKey), "store");
    }

    std::vector<std::string> frames;
    std::size_t framesPerPage = 100;
    /// The answers to reads of the newest records by the keys that they follow.
    std::map<std::string, std::string> newestAfter {
        { "", R"({"end":0,"hasMore":false,"items":[]})" }
    };
};

class Collector final : public Site::RecordSink
{
public:
    void beginSnapshot() override { }
    void endSnapshot() override { }
    void apply(const Site::LoggedRecord &record) override { records.push_back(record); }

    std::vector<Site::LoggedRecord> records;
};

/// Reads \p pages pages of \p log.
std::vector<Site::LoggedRecord> recordsOf(ByteLog &log, int pages, std::int64_t *next = nullptr)
{
    Collector sink;
    Site::LogFollower follower(log, Site::Topic::Workers, sink);
    for (int i = 0; i < pages; ++i) {
        asio::io_context context;
        std::exception_ptr failure;
        asio::co_spawn(context, follower.readOnce(0),
                       [&failure](const std::exception_ptr &error, bool) { failure = error; });
        context.run();
        if (failure)
            std::rethrow_exception(failure);
    }
    if (next)
        *next = follower.nextOffset();
    return sink.records;
}

std::string frame(const std::string &key, const std::string &value)
{
    return encodeFrames({ { key, value } });
}

} // namespace

TEST_CASE("A frame that can't be read doesn't block its page")
{
    const std::string odd = GENERATE(emptyFrame, frameWithShortKey);
    ByteLog log;
    SECTION("among others")
    {
        log.frames = { frame("a", "one"), odd, frame("b", "two") };
        CHECK(recordsOf(log, 2)
              == std::vector<Site::LoggedRecord> { { 0, { "a", "one" } }, { 2, { "b", "two" } } });
    }
    SECTION("as the last of a page, or alone on it")
    {
        log.frames = { frame("a", "one"), odd, odd, frame("b", "two") };
        log.framesPerPage = GENERATE(1U, 2U);
        std::int64_t next = 0;
        const std::vector<Site::LoggedRecord> records = recordsOf(log, 5, &next);
        CHECK(records
              == std::vector<Site::LoggedRecord> { { 0, { "a", "one" } }, { 3, { "b", "two" } } });
        CHECK(next == 4);
    }
    SECTION("an answer that is cut short is an error, since the rest may arrive with the next one")
    {
        std::string page(16, '\0');
        page += frame("a", "one") + odd + frame("b", "two");
        page.pop_back();
        CHECK_THROWS_AS(decodePage(page, 0), Core::FormatError);
    }
}

TEST_CASE("An item that can't be read doesn't block the newest records")
{
    const std::vector<std::string> odd {
        "7",
        "null",
        "[]",
        "{}",
        "\"text\"",
        std::string(40, '[') + std::string(40, ']'),
        R"({"offset":"3","key":"k","value":"b25l"})",
        R"({"offset":1e30,"key":"k","value":"b25l"})",
        R"({"offset":9223372036854775808,"key":"k","value":"b25l"})",
        R"({"offset":3,"key":7,"value":"b25l"})",
        R"({"offset":3,"value":"b25l"})",
        R"({"offset":3,"key":"k"})",
        R"({"offset":3,"key":"k","value":{"a":[]}})",
        R"({"offset":3,"key":"k","value":"*"})",
        R"({"offset":3,"key":"k","value":"b25*"})",
        R"({"offset":3,"key":"k","value":"===="})",
        "{\"offset\":3,\"key\":\"k\",\"value\":\"\xff\xff\xff\xff\"}",
    };
    const std::vector<Site::LoggedRecord> both { { 3, { "a", "one" } }, { 4, { "b", "two" } } };
    for (const std::string &item : odd) {
        INFO(item);
        ByteLog log;
        std::string items = itemA;
        items.append(",").append(item).append(",").append(itemB);
        log.newestAfter[""] = newest(items, false);
        CHECK(recordsOf(log, 1) == both);
    }
    SECTION("the page after one of which no item is readable is read")
    {
        ByteLog log;
        log.newestAfter[""] = newest(itemA, true);
        log.newestAfter["a"] = newest(R"({"offset":3,"key":"aa","value":"*"})", true);
        log.newestAfter["aa"] = newest(itemB, false);
        CHECK(recordsOf(log, 3) == both);
    }
    SECTION("the page after one that ends with an unreadable item begins behind it")
    {
        ByteLog log;
        log.newestAfter[""] = newest(itemA + R"(,{"offset":3,"key":"aa","value":"*"})", true);
        log.newestAfter["aa"] = newest(itemB, false);
        CHECK(recordsOf(log, 2) == both);
    }
    SECTION("a page without any key to go on from is an error, not the end of the records")
    {
        CHECK_THROWS_AS(decodeNewest(newest("7", true), "store"), Core::FormatError);
        CHECK_NOTHROW(decodeNewest(newest("7", false), "store"));
    }
}

TEST_CASE("Mutated answers of the store are read or refused")
{
    rc::prop("a page of frames", [](unsigned seed) {
        std::mt19937 random(seed);
        const std::string page
            = std::string(16, '\0') + encodeFrames({ { "a", "one" }, { "key", "two" } });
        try {
            decodePage(mutate(page, random), 0);
        } catch (const Core::FormatError &) {
            // The expected error.
        }
    });
    rc::prop("a mutated frame of unchanged length costs itself only", [](unsigned seed) {
        std::mt19937 random(seed);
        std::string odd = frame("key", "value");
        for (int i = 0; i < 3; ++i)
            odd[4 + random() % (odd.size() - 4)] = static_cast<char>(random());
        ByteLog log;
        log.frames = { frame("a", "one"), odd, frame("b", "two") };
        const std::vector<Site::LoggedRecord> records = recordsOf(log, 2);
        RC_ASSERT(records.front() == (Site::LoggedRecord { 0, { "a", "one" } }));
        RC_ASSERT(records.back() == (Site::LoggedRecord { 2, { "b", "two" } }));
    });
    rc::prop("the newest records", [](unsigned seed) {
        std::mt19937 random(seed);
        try {
            decodeNewest(mutate(newest(itemA + ',' + itemB, false), random), "store");
        } catch (const Core::FormatError &) {
            // The expected error.
        }
    });
}
