#pragma once

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Rules {

/// A word of a rule and where it stands. Columns count from 1.
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
    /// Where the comment stands, or should stand.
    int commentColumn = 0;

    bool operator==(const RuleLine &) const = default;
};

/// Splits \p text; nothing for a blank line or one that is only a comment.
std::optional<RuleLine> splitRuleLine(std::string_view text, int number);

} // namespace Rules
