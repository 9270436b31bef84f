#include <LibRules/RulesError.h>

#include <utility>

namespace Rules {

static std::string describe(const std::string &fileName, const std::vector<Mistake> &mistakes)
{
    std::string text;
    for (const Mistake &mistake : mistakes) {
        text += text.empty() ? "" : "\n";
        text += fileName + ':' + std::to_string(mistake.line) + ':' + std::to_string(mistake.column)
            + ": " + mistake.message;
    }
    return text;
}

RulesError::RulesError(const std::string &fileName, std::vector<Mistake> mistakes)
    : Core::FormatError("check rules", fileName, describe(fileName, mistakes))
    , m_mistakes(std::move(mistakes))
{
}

} // namespace Rules
