#include <LibRules/RulesError.h>
#include <LibRules/RulesParser.h>

#include <rapidcheck/catch.h>

#include <sstream>

using namespace std::chrono_literals;

namespace {

const std::string goodRules = R"(# Compás Lector, season 2026
team puebla cores=200 memory=800G weight=3          # Ana Ruiz
team merida cores=100 memory=400G accelerators=2    # Ana Ruiz
class reminder kind=latency-critical priority=900   # Luis Vega
class roster kind=batch priority=100 cut-off=move after=90s  # Luis Vega
place roster in north,south                         # Ana Ruiz

slots limit=8 connections=64                        # platform team
domain north out                                    # Eva Luna
domain south in                                     # Eva Luna
)";

std::vector<Rules::Diagnostic> diagnosticsIn(const std::string &text)
{
    try {
        Rules::parseRules(text, "test.rules");
    } catch (const Rules::RulesError &error) {
        return error.diagnostics();
    }
    return {};
}

} // namespace

TEST_CASE("A rules file is parsed, one rule per line")
{
    const Rules::RuleSet rules = Rules::parseRules(goodRules, "test.rules");
    CHECK(rules.teams.at(Core::TeamId("puebla")).quota == Core::Resources { 200'000, 819'200, 0 });
    CHECK(rules.teams.at(Core::TeamId("merida")).requestedBy == "Ana Ruiz");
    CHECK(rules.classes.at(Core::TaskClassId("roster")).cutOffAfter == 90s);
    CHECK(rules.slots->slots == 8);
    SECTION("a failure domain that is out is named with who asked for it")
    {
        CHECK(rules.isOut(Core::FailureDomainId("north")));
        CHECK(rules.domainsOut.at(Core::FailureDomainId("north")).requestedBy == "Eva Luna");
        CHECK_FALSE(rules.isOut(Core::FailureDomainId("south")));
    }
    SECTION("a class runs only where its rule says, any other class anywhere")
    {
        CHECK(rules.mayRunIn(Core::TaskClassId("roster"), Core::FailureDomainId("south")));
        CHECK_FALSE(rules.mayRunIn(Core::TaskClassId("roster"), Core::FailureDomainId("east")));
        CHECK(rules.mayRunIn(Core::TaskClassId("reminder"), Core::FailureDomainId("east")));
    }
}

TEST_CASE("Each error is reported with its line and column")
{
    SECTION("a rule that doesn't say who asked for it is rejected")
    {
        CHECK(diagnosticsIn("domain north out\n")
              == std::vector<Rules::Diagnostic> {
                  { 1, 17, "the rule doesn't say who asked for it; end the line with '# NAME'" } });
        CHECK(diagnosticsIn("domain north out #  \n").size() == 1);
    }
    SECTION("all errors of a file are reported at once")
    {
        const auto diagnostics = diagnosticsIn("team a cores=x memory=1G # Eva\n"
                                               "fence b # Eva\n"
                                               "place c in d # Eva\n");
        REQUIRE(diagnostics.size() == 3);
        CHECK(diagnostics[0].column == 14);
        CHECK(diagnostics[1].line == 2);
        CHECK(diagnostics[2].message == "no rule defines the class 'c'");
    }
    SECTION("a second rule on the same subject names the first one")
    {
        const auto diagnostics = diagnosticsIn("domain a out # Eva\ndomain a in # Luis\n");
        REQUIRE(diagnostics.size() == 1);
        CHECK(diagnostics[0].message == "'domain a' already has a rule on line 1");
    }
    SECTION("a file that is too long is rejected with one diagnostic")
    {
        CHECK(diagnosticsIn(std::string(Rules::maximumRulesBytes + 1, '\n')).size() == 1);
    }
    rc::prop("no text crashes the parser: it is accepted or rejected with positions", [] {
        const auto words = rc::gen::elementOf(std::vector<std::string> {
            "team", "class",   "place",     "slots",      "domain",     "a",       "in",
            "out",  "cores=1", "memory=1G", "kind=batch", "priority=5", "limit=",  "=",
            "#",    "Eva",     "\n",        "\t",         ",",          "after=9s" });
        std::string text;
        for (const std::string &word : *rc::gen::container<std::vector<std::string>>(words))
            text += word + ' ';
        text += *rc::gen::string<std::string>();
        for (const Rules::Diagnostic &diagnostic : diagnosticsIn(text))
            RC_ASSERT(diagnostic.line >= 1 && diagnostic.column >= 1);
    });
}
