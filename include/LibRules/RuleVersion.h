#pragma once

#include <LibRules/RuleRecord.h>
#include <LibRules/RuleSet.h>

#include <string>

namespace Rules {

/// One accepted version of the rules.
struct RuleVersion
{
    Version number = 0;
    std::string text;
    RuleSet rules;
    std::string publishedBy;

    bool operator==(const RuleVersion &) const = default;

    /// \throws RulesError if \p text doesn't parse.
    static RuleVersion create(Version number, const std::string &text,
                              const std::string &publishedBy);
};

} // namespace Rules
