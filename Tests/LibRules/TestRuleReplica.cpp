#include <LibCore/Error.h>
#include <LibRules/FreshnessGate.h>
#include <LibRules/RuleReplica.h>

#include <rapidcheck/catch.h>

#include <map>

using namespace std::chrono_literals;
using Rules::PublishOutcome;
using Rules::RuleRecord;
using Rules::RuleReplica;

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

/// A stream with retention, and a reference replica that has applied every record.
class Stream
{
public:
    void append(const RuleRecord &record)
    {
        m_reference.apply(m_records.size(), record, start);
        m_records.push_back(record);
        m_versions.push_back(m_reference.current());
    }
    void expireBelow(std::uint64_t offset) { m_firstRetained = std::max(m_firstRetained, offset); }

    /// Lets \p replica read at most \p count further records.
    void read(RuleReplica &replica, std::size_t count) const
    {
        replica.startReadingAt(std::max(replica.nextOffset(), m_firstRetained));
        for (; count > 0 && replica.nextOffset() < m_records.size(); --count)
            replica.apply(replica.nextOffset(), m_records[replica.nextOffset()], start);
    }

    const RuleReplica &reference() const { return m_reference; }
    std::uint64_t firstRetained() const { return m_firstRetained; }
    std::uint64_t end() const { return m_records.size(); }
    Rules::RuleVersion versionAt(std::uint64_t nextOffset) const
    {
        return nextOffset == 0 ? Rules::RuleVersion() : m_versions[nextOffset - 1];
    }

private:
    std::vector<RuleRecord> m_records;
    std::vector<Rules::RuleVersion> m_versions;
    RuleReplica m_reference;
    std::uint64_t m_firstRetained = 0;
};

/// True if a replica without the guard, which adopts the newest snapshot that it reads, would
/// revert.
bool naiveReaderReverts(const RuleRecord &lateSnapshot, const RuleReplica &reference)
{
    return lateSnapshot.baseVersion < reference.current().number;
}

} // namespace

TEST_CASE("Of two concurrent changes the log's order accepts one")
{
    Stream stream;
    stream.append(change("first", 0));
    stream.append(change("second", 0));
    CHECK(stream.reference().outcome("first") == PublishOutcome::Accepted);
    CHECK(stream.reference().outcome("second") == PublishOutcome::Rejected);
    CHECK(stream.reference().current().number == 1);
    SECTION("the rejected operator can publish again on top of the accepted change")
    {
        stream.append(change("third", 1));
        CHECK(stream.reference().outcome("third") == PublishOutcome::Accepted);
    }
    SECTION("an append that was repeated after a lost answer counts once")
    {
        stream.append(change("first", 0));
        CHECK(stream.reference().outcome("first") == PublishOutcome::Accepted);
        CHECK(stream.reference().current().number == 1);
    }
    SECTION("every reader rejects a text that doesn't parse")
    {
        RuleRecord bad = change("bad", 1);
        bad.text = "domain north out\n";
        stream.append(bad);
        CHECK(stream.reference().outcome("bad") == PublishOutcome::Rejected);
        CHECK(stream.reference().current().number == 1);
    }
}

TEST_CASE("A reader that starts behind retention never goes back to an older version")
{
    Stream stream;
    stream.append(change("a", 0));
    const RuleRecord lateSnapshot = stream.reference().makeSnapshot("late");
    stream.append(change("b", 1));
    stream.append(lateSnapshot);
    stream.expireBelow(2);
    REQUIRE(naiveReaderReverts(lateSnapshot, stream.reference()));

    RuleReplica newReplica;
    stream.read(newReplica, 10);
    CHECK_FALSE(newReplica.isReady());
    SECTION("a snapshot whose writer had read all missing records makes it ready")
    {
        stream.append(stream.reference().makeSnapshot("good"));
        stream.append(change("c", 2));
        stream.read(newReplica, 10);
        CHECK(newReplica.isReady());
        CHECK(newReplica.current() == stream.reference().current());
    }
    SECTION("a peer that had read all missing records makes it ready")
    {
        newReplica.bridge(stream.reference().current(), stream.end());
        CHECK(newReplica.isReady());
        CHECK(newReplica.current().number == 2);
    }
    SECTION("a peer that lags behind doesn't")
    {
        newReplica.bridge(stream.versionAt(1), 1);
        CHECK_FALSE(newReplica.isReady());
    }
}

TEST_CASE("A new replica decides concurrent changes as all others do")
{
    Stream stream;
    stream.append(change("a", 0));
    RuleReplica lagging;
    stream.read(lagging, 1);
    stream.append(change("b", 1));
    stream.expireBelow(1);
    RuleReplica newReplica;
    stream.read(newReplica, 1);
    SECTION("a change that the bridging snapshot contains isn't reported as rejected")
    {
        stream.append(stream.reference().makeSnapshot("s"));
        stream.read(newReplica, 1);
        CHECK(newReplica.isReady());
        CHECK(newReplica.outcome("b") != PublishOutcome::Rejected);
    }
    SECTION("a snapshot by a replica that learned the newest version from a peer holds what it "
            "read itself")
    {
        lagging.learn(stream.reference().current());
        stream.append(lagging.makeSnapshot("s"));
        stream.read(newReplica, 1);
        CHECK(newReplica.isReady());
        CHECK(newReplica.outcome("b") == PublishOutcome::Accepted);
    }
}

TEST_CASE("Readers agree, whatever is read when, removed by retention or learned from peers")
{
    rc::prop("a ready replica has in force just what the log says at its offset or later", [] {
        Stream stream;
        std::vector<RuleReplica> replicas(3);
        std::vector<Rules::Version> seen(3, 0);
        std::vector<std::string> published;
        const int steps = *rc::gen::inRange(1, 80);
        for (int step = 0; step < steps; ++step) {
            const auto reader = *rc::gen::inRange<std::size_t>(0, 3);
            RuleReplica &replica = replicas[reader];
            switch (*rc::gen::inRange(0, 7)) {
            case 0:
            case 1: {
                const auto lag = *rc::gen::inRange<Rules::Version>(0, 3);
                const Rules::Version newest = stream.reference().current().number;
                published.push_back(std::to_string(step));
                stream.append(change(published.back(), newest - std::min(lag, newest)));
                break;
            }
            case 2:
                if (replica.isReady())
                    stream.append(replica.makeSnapshot("s" + std::to_string(step)));
                break;
            case 3:
                stream.expireBelow(*rc::gen::inRange<std::uint64_t>(0, stream.end() + 1));
                break;
            case 4:
                replicas[reader] = RuleReplica();
                seen[reader] = 0;
                break;
            case 5: {
                const RuleReplica &peer = replicas[(reader + 1) % 3];
                replica.learn(peer.current());
                if (peer.isReady())
                    replica.bridge(peer.logVersion(), peer.nextOffset());
                break;
            }
            default:
                stream.read(replica, *rc::gen::inRange<std::size_t>(1, 6));
            }
            RC_ASSERT(replicas[reader].current().number >= seen[reader]);
            seen[reader] = replicas[reader].current().number;
            if (replicas[reader].isReady())
                RC_ASSERT(seen[reader] >= stream.versionAt(replicas[reader].nextOffset()).number);
            RC_ASSERT(seen[reader] <= stream.reference().current().number);
            for (const std::string &id : published) {
                const PublishOutcome outcome = replicas[reader].outcome(id);
                RC_ASSERT(outcome == PublishOutcome::Pending
                          || outcome == stream.reference().outcome(id));
            }
        }
    });
}

TEST_CASE("A snapshot is written again before retention takes it")
{
    Stream stream;
    for (int number = 0; number < 8; ++number)
        stream.append(change(std::to_string(number), number));
    RuleReplica replica;
    stream.read(replica, 8);
    REQUIRE(replica.isSnapshotDue(0, 3600s, start));
    stream.append(replica.makeSnapshot("s"));
    stream.read(replica, 1);
    CHECK_FALSE(replica.isSnapshotDue(0, 3600s, start));
    SECTION("because it grew old")
    {
        CHECK(replica.isSnapshotDue(0, 3600s, start + 3601s));
    }
    SECTION("because newer records pushed it into the older half")
    {
        for (int number = 8; number < 20; ++number)
            stream.append(change(std::to_string(number), number));
        stream.read(replica, 20);
        CHECK(replica.isSnapshotDue(4, 3600s, start));
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
