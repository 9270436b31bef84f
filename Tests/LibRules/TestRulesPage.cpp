#include <LibRules/RulesParser.h>

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

TEST_CASE("The example on the operators' page of rules is a valid file")
{
    std::ifstream file("docs/operators/RULES.md");
    std::ostringstream page;
    page << file.rdbuf();
    const std::string text = page.str();
    const std::string opening = "```rules\n";
    const std::size_t begin = text.find(opening);
    REQUIRE(begin != std::string::npos);
    const std::size_t end = text.find("```", begin + opening.size());
    REQUIRE(end != std::string::npos);
    const std::string example = text.substr(begin + opening.size(), end - begin - opening.size());
    const Rules::RuleSet rules = Rules::parseRules(example, "RULES.md");
    CHECK(rules.isOut(Core::FailureDomainId("oaxaca")));
    CHECK(rules.classes.size() == 2);
}
