#include <LibCore/Error.h>
#include <LibRules/FreshnessGate.h>
#include <LibRules/RuleBook.h>

#include <rapidcheck/catch.h>

#include <map>

using namespace std::chrono_literals;
using Rules::PublishFate;
using Rules::RuleBook;
using Rules::RuleRecord;

namespace {

const Core::Instant start {};

RuleRecord change(const std::string &id, Rules::Version base)
{
    RuleRecord record;
    record.id = id;
    record.baseVersion = base;
    record.text = "domain d" + id + " out # Eva\n";
    record.publishedBy = "Eva";
    return record;
}

/// A stream with retention; it keeps the truth, that is what a reader of every record has in force.
class Stream
{
public:
    void append(const RuleRecord &record)
    {
        m_truth.apply(m_records.size(), record, start);
        m_records.push_back(record);
        m_versions.push_back(m_truth.current());
    }
    void expireBelow(std::uint64_t offset) { m_firstRetained = std::max(m_firstRetained, offset); }

    /// Lets \p book read at most \p count further records.
    void read(RuleBook &book, std::size_t count) const
    {
        book.startReadingAt(std::max(book.nextOffset(), m_firstRetained));
        for (; count > 0 && book.nextOffset() < m_records.size(); --count)
            book.apply(book.nextOffset(), m_records[book.nextOffset()], start);
    }

    const RuleBook &truth() const { return m_truth; }
    std::uint64_t firstRetained() const { return m_firstRetained; }
    std::uint64_t end() const { return m_records.size(); }
    Rules::RuleVersion versionAt(std::uint64_t nextOffset) const
    {
        return nextOffset == 0 ? Rules::RuleVersion() : m_versions[nextOffset - 1];
    }

private:
    std::vector<RuleRecord> m_records;
    std::vector<Rules::RuleVersion> m_versions;
    RuleBook m_truth;
    std::uint64_t m_firstRetained = 0;
};

/// What a book without the guard would do: take the newest snapshot it sees for the truth.
bool naiveReaderReverts(const RuleRecord &lateSnapshot, const RuleBook &truth)
{
    return lateSnapshot.baseVersion < truth.current().number;
}

} // namespace

TEST_CASE("Of two racing operators the log's order lets one win")
{
    Stream stream;
    stream.append(change("first", 0));
    stream.append(change("second", 0));
    CHECK(stream.truth().fate("first") == PublishFate::Accepted);
    CHECK(stream.truth().fate("second") == PublishFate::Lost);
    CHECK(stream.truth().current().number == 1);
    SECTION("the loser can publish again on top of the winner")
    {
        stream.append(change("third", 1));
        CHECK(stream.truth().fate("third") == PublishFate::Accepted);
    }
    SECTION("an append that was repeated after a lost answer counts once")
    {
        stream.append(change("first", 0));
        CHECK(stream.truth().fate("first") == PublishFate::Accepted);
        CHECK(stream.truth().current().number == 1);
    }
    SECTION("a text that doesn't parse is void for every reader")
    {
        RuleRecord bad = change("bad", 1);
        bad.text = "domain north out\n";
        stream.append(bad);
        CHECK(stream.truth().fate("bad") == PublishFate::Lost);
        CHECK(stream.truth().current().number == 1);
    }
}

TEST_CASE("A reader that starts behind retention never goes back to an older version")
{
    Stream stream;
    stream.append(change("a", 0));
    const RuleRecord lateSnapshot = stream.truth().makeSnapshot("late");
    stream.append(change("b", 1));
    stream.append(lateSnapshot);
    stream.expireBelow(2);
    REQUIRE(naiveReaderReverts(lateSnapshot, stream.truth()));

    RuleBook newcomer;
    stream.read(newcomer, 10);
    CHECK_FALSE(newcomer.isReady());
    SECTION("a snapshot whose writer knew all that is missing makes it ready")
    {
        stream.append(stream.truth().makeSnapshot("good"));
        stream.append(change("c", 2));
        stream.read(newcomer, 10);
        CHECK(newcomer.isReady());
        CHECK(newcomer.current() == stream.truth().current());
    }
    SECTION("a peer that knew all that is missing makes it ready")
    {
        newcomer.bridge(stream.truth().current(), stream.end());
        CHECK(newcomer.isReady());
        CHECK(newcomer.current().number == 2);
    }
    SECTION("a peer that lags behind doesn't")
    {
        newcomer.bridge(stream.versionAt(1), 1);
        CHECK_FALSE(newcomer.isReady());
    }
}

TEST_CASE("A newcomer judges racing changes as everybody does")
{
    Stream stream;
    stream.append(change("a", 0));
    RuleBook lagging;
    stream.read(lagging, 1);
    stream.append(change("b", 1));
    stream.expireBelow(1);
    RuleBook newcomer;
    stream.read(newcomer, 1);
    SECTION("a change that the bridging snapshot contains isn't called lost")
    {
        stream.append(stream.truth().makeSnapshot("s"));
        stream.read(newcomer, 1);
        CHECK(newcomer.isReady());
        CHECK(newcomer.fate("b") != PublishFate::Lost);
    }
    SECTION(
        "a snapshot by one that learned the newest version from a peer holds what it read itself")
    {
        lagging.learn(stream.truth().current());
        stream.append(lagging.makeSnapshot("s"));
        stream.read(newcomer, 1);
        CHECK(newcomer.isReady());
        CHECK(newcomer.fate("b") == PublishFate::Accepted);
    }
}

TEST_CASE("Readers agree, whatever is read when, taken by retention or learned from peers")
{
    rc::prop("a ready book has in force just what the log says at its offset or later", [] {
        Stream stream;
        std::vector<RuleBook> books(3);
        std::vector<Rules::Version> seen(3, 0);
        std::vector<std::string> published;
        const int steps = *rc::gen::inRange(1, 80);
        for (int step = 0; step < steps; ++step) {
            const auto reader = *rc::gen::inRange<std::size_t>(0, 3);
            RuleBook &book = books[reader];
            switch (*rc::gen::inRange(0, 7)) {
            case 0:
            case 1: {
                const auto lag = *rc::gen::inRange<Rules::Version>(0, 3);
                const Rules::Version newest = stream.truth().current().number;
                published.push_back(std::to_string(step));
                stream.append(change(published.back(), newest - std::min(lag, newest)));
                break;
            }
            case 2:
                if (book.isReady())
                    stream.append(book.makeSnapshot("s" + std::to_string(step)));
                break;
            case 3:
                stream.expireBelow(*rc::gen::inRange<std::uint64_t>(0, stream.end() + 1));
                break;
            case 4:
                books[reader] = RuleBook();
                seen[reader] = 0;
                break;
            case 5: {
                const RuleBook &peer = books[(reader + 1) % 3];
                book.learn(peer.current());
                if (peer.isReady())
                    book.bridge(peer.logVersion(), peer.nextOffset());
                break;
            }
            default:
                stream.read(book, *rc::gen::inRange<std::size_t>(1, 6));
            }
            RC_ASSERT(books[reader].current().number >= seen[reader]);
            seen[reader] = books[reader].current().number;
            if (books[reader].isReady())
                RC_ASSERT(seen[reader] >= stream.versionAt(books[reader].nextOffset()).number);
            RC_ASSERT(seen[reader] <= stream.truth().current().number);
            for (const std::string &id : published) {
                const PublishFate fate = books[reader].fate(id);
                RC_ASSERT(fate == PublishFate::Pending || fate == stream.truth().fate(id));
            }
        }
    });
}

TEST_CASE("A snapshot is written again before retention takes it")
{
    Stream stream;
    for (int number = 0; number < 8; ++number)
        stream.append(change(std::to_string(number), number));
    RuleBook book;
    stream.read(book, 8);
    REQUIRE(book.isSnapshotDue(0, 3600s, start));
    stream.append(book.makeSnapshot("s"));
    stream.read(book, 1);
    CHECK_FALSE(book.isSnapshotDue(0, 3600s, start));
    SECTION("because it grew old")
    {
        CHECK(book.isSnapshotDue(0, 3600s, start + 3601s));
    }
    SECTION("because newer records pushed it into the older half")
    {
        for (int number = 8; number < 20; ++number)
            stream.append(change(std::to_string(number), number));
        stream.read(book, 20);
        CHECK(book.isSnapshotDue(4, 3600s, start));
    }
}

TEST_CASE("Rules count as fresh only for a while after their newest end was read")
{
    Rules::FreshnessGate gate(2s);
    CHECK_FALSE(gate.isFresh(start));
    gate.onEndRead(start + 1s);
    CHECK(gate.isFresh(start + 2900ms));
    CHECK_FALSE(gate.isFresh(start + 3s));
    SECTION("a peer's reading counts from when the peer read, not from when it answered")
    {
        gate.onPeerAnswer(start + 4s, 1s);
        CHECK(gate.isFresh(start + 4900ms));
        CHECK_FALSE(gate.isFresh(start + 5s));
    }
    SECTION("an older reading changes nothing")
    {
        gate.onPeerAnswer(start + 2s, 2s);
        CHECK(gate.freshUntil() == start + 3s);
    }
}
