#include <LibRules/RulesEditor.h>
#include <LibRules/RulesParser.h>

#include <catch2/catch.hpp>

TEST_CASE("Taking a failure domain out and back changes just its own line")
{
    const Core::FailureDomainId north("north");
    const std::string before = "# season\nteam a cores=1 memory=1G # Ana\n";
    const std::string out = Rules::withDomainRule(before, north, true, "Eva Luna");
    CHECK(out == before + "domain north out  # Eva Luna\n");
    CHECK(Rules::parseRules(out, "test").isOut(north));
    SECTION("bringing it back records who asked for it")
    {
        const std::string back = Rules::withDomainRule(out, north, false, "Luis");
        CHECK(back == before + "domain north in  # Luis\n");
        CHECK_FALSE(Rules::parseRules(back, "test").isOut(north));
    }
    SECTION("a line on another failure domain is unchanged")
    {
        const std::string other
            = Rules::withDomainRule("domain northwest out # Ana", north, true, "Eva");
        CHECK(other == "domain northwest out # Ana\ndomain north out  # Eva\n");
    }
}
