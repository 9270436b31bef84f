#include "RuleOptions.h"

namespace Rules {

RuleOptions::RuleOptions(const RuleLine &line, std::size_t first,
                         const std::set<std::string> &known, std::vector<Diagnostic> &diagnostics)
    : m_line(line)
    , m_diagnostics(diagnostics)
{
    for (std::size_t index = first; index < line.words.size(); ++index) {
        const Word &word = line.words[index];
        const std::size_t equals = word.text.find('=');
        const std::string name = word.text.substr(0, equals);
        if (equals == std::string::npos || !known.contains(name)) {
            addDiagnostic(word.column, "'" + word.text + "' isn't expected here");
            continue;
        }
        const int valueColumn = word.column + static_cast<int>(equals) + 1;
        if (!m_values.emplace(name, Word { word.text.substr(equals + 1), valueColumn }).second)
            addDiagnostic(word.column, "'" + name + "=' is given twice");
    }
}

void RuleOptions::addDiagnostic(int column, const std::string &message)
{
    m_diagnostics.push_back({ m_line.number, column, message });
}

} // namespace Rules
