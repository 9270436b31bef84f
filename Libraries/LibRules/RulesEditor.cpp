#include <LibRules/RulesEditor.h>

#include "RuleLine.h"

#include <sstream>

namespace Rules {

static bool isRuleOf(const std::string &line, const Core::FailureDomainId &failureDomain)
{
    const auto rule = splitRuleLine(line, 1);
    return rule && rule->words.size() >= 2 && rule->words[0].text == "domain"
        && rule->words[1].text == failureDomain.text();
}

std::string withDomainRule(const std::string &text, const Core::FailureDomainId &failureDomain,
                           bool isOut, const std::string &requestedBy)
{
    const std::string rule
        = "domain " + failureDomain.text() + (isOut ? " out  # " : " in  # ") + requestedBy;
    std::istringstream lines(text);
    std::string edited;
    std::string line;
    bool isReplaced = false;
    while (std::getline(lines, line)) {
        const bool isOld = isRuleOf(line, failureDomain);
        if (!isOld)
            edited += line + '\n';
        else if (!isReplaced)
            edited += rule + '\n';
        isReplaced = isReplaced || isOld;
    }
    if (!isReplaced)
        edited += rule + '\n';
    return edited;
}

} // namespace Rules
