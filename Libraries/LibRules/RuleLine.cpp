#include "RuleLine.h"

#include <cstddef>

namespace Rules {

static constexpr std::string_view blanks = " \t\r";

static std::string trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    const std::size_t last = text.find_last_not_of(blanks);
    return std::string(text.substr(first, last - first + 1));
}

std::optional<RuleLine> splitRuleLine(std::string_view text, int number)
{
    const std::size_t comment = text.find('#');
    const std::string_view rule = text.substr(0, comment);
    RuleLine line;
    line.number = number;
    std::size_t position = rule.find_first_not_of(blanks);
    while (position != std::string_view::npos) {
        const std::size_t end = rule.find_first_of(blanks, position);
        line.words.push_back(
            { std::string(rule.substr(position, end - position)), static_cast<int>(position) + 1 });
        position = end == std::string_view::npos ? end : rule.find_first_not_of(blanks, end);
    }
    if (line.words.empty())
        return std::nullopt;
    const bool hasComment = comment != std::string_view::npos;
    line.commentColumn = static_cast<int>(hasComment ? comment : rule.size()) + 1;
    if (hasComment)
        line.requestedBy = trimmed(text.substr(comment + 1));
    return line;
}

} // namespace Rules
