#include <LibRules/RulesError.h>

#include <utility>

namespace Rules {

static std::string describe(const std::string &fileName, const std::vector<Diagnostic> &diagnostics)
{
    std::string text;
    for (const Diagnostic &diagnostic : diagnostics) {
        text += text.empty() ? "" : "\n";
        text += fileName + ':' + std::to_string(diagnostic.line) + ':'
            + std::to_string(diagnostic.column) + ": " + diagnostic.message;
    }
    return text;
}

RulesError::RulesError(const std::string &fileName, std::vector<Diagnostic> diagnostics)
    : Core::FormatError("check rules", fileName, describe(fileName, diagnostics))
    , m_diagnostics(std::move(diagnostics))
{
}

} // namespace Rules
