#include "RulesAnswer.h"

#include <LibCore/Error.h>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;

namespace {

Rules::RuleVersion version(Rules::Version number)
{
    return Rules::RuleVersion::create(number, "domain north out # Eva\n", "Eva");
}

} // namespace

TEST_CASE("A VM that can't read the log learns the rules from a peer")
{
    const Core::Instant start {};
    Rules::RuleReplica peerReplica;
    peerReplica.learn(version(3));
    Rules::FreshnessGate peerGate(2s);
    peerGate.onEndRead(start + 10s);

    Rules::RuleReplica replica;
    Rules::FreshnessGate gate(2s);
    const Json::Value answer = Daemon::RulesAnswer::answer(Daemon::RulesAnswer::request(replica),
                                                           peerReplica, peerGate, start + 11s)
                                   .toJson();
    Daemon::RulesAnswer::fromJson(answer).applyTo(replica, gate, start + 20s);
    CHECK(replica.current().number == 3);
    SECTION("and counts its age from before it asked")
    {
        CHECK(gate.isFresh(start + 20900ms));
        CHECK_FALSE(gate.isFresh(start + 21s));
    }
    SECTION("a version that is only in force there bridges no gap of its own")
    {
        Rules::RuleReplica behind;
        behind.startReadingAt(7);
        Rules::FreshnessGate closed(2s);
        Rules::RuleReplica ahead;
        ahead.learn(version(4));
        const Json::Value other = Daemon::RulesAnswer::answer(Daemon::RulesAnswer::request(behind),
                                                              ahead, peerGate, start + 11s)
                                      .toJson();
        Daemon::RulesAnswer::fromJson(other).applyTo(behind, closed, start + 20s);
        CHECK(behind.current().number == 4);
        CHECK_FALSE(behind.isReady());
        CHECK_FALSE(closed.isFresh(start + 20s));
    }
    SECTION("a malformed answer changes nothing")
    {
        CHECK_THROWS_AS(Daemon::RulesAnswer::fromJson(Json::Value("x")), Core::FormatError);
    }
}
