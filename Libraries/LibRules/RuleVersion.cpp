#include <LibRules/RuleVersion.h>

#include <LibRules/RulesParser.h>

namespace Rules {

RuleVersion RuleVersion::create(Version number, const std::string &text,
                                const std::string &publishedBy)
{
    const std::string name = "rules version " + std::to_string(number);
    return { number, text, parseRules(text, name), publishedBy };
}

} // namespace Rules
