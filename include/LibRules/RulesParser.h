#pragma once

#include <LibRules/RuleSet.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace Rules {

/// The largest rules file that is read, in bytes.
inline constexpr std::size_t maximumRulesBytes = 256 * 1024;

/// Parses the operators' rules file: one rule per line, each with a trailing comment that names who
/// asked for it. Blank lines and lines that begin with `#` are ignored. docs/operators/RULES.md
/// describes the rules.
/// \throws RulesError with a diagnostic for every error in the file.
RuleSet parseRules(std::string_view text, const std::string &fileName);

} // namespace Rules
