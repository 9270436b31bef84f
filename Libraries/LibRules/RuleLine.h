#pragma once

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Rules {

/// A word of a rule and its position. Columns count from 1.
struct Word
{
    std::string text;
    int column = 0;

    auto operator<=>(const Word &) const = default;
};

/// One line of the file, split into words and the trailing comment.
struct RuleLine
{
    int number = 0;
    std::vector<Word> words;
    /// Who asked for the rule; empty if the line has no comment.
    std::string requestedBy;
    /// The column of the comment; without one, the column at which it is expected.
    int commentColumn = 0;

    bool operator==(const RuleLine &) const = default;
};

/// Splits \p text. Returns nothing for a blank line or one with only a comment.
std::optional<RuleLine> splitRuleLine(std::string_view text, int number);

} // namespace Rules
