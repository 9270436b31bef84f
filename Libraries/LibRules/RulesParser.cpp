#include <LibRules/RulesParser.h>

#include "RuleLine.h"
#include "RuleSetBuilder.h"

#include <LibRules/RulesError.h>

#include <algorithm>

namespace Rules {

RuleSet parseRules(std::string_view text, const std::string &fileName)
{
    if (text.size() > maximumRulesBytes)
        throw RulesError(fileName, { { 1, 1, "the file is longer than 256 KiB" } });
    RuleSetBuilder builder;
    int number = 0;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const std::size_t end = std::min(text.find('\n', begin), text.size());
        ++number;
        if (const auto line = splitRuleLine(text.substr(begin, end - begin), number))
            builder.addLine(*line);
        begin = end + 1;
    }
    builder.checkWhole();
    if (!builder.diagnostics().empty())
        throw RulesError(fileName, builder.diagnostics());
    return builder.rules();
}

} // namespace Rules
