#pragma once

#include "RuleLine.h"

#include <LibRules/RulesError.h>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Rules {

/// The `name=value` words of one rule. Every error is added to the diagnostics of the file.
class RuleOptions
{
public:
    /// Parses the words from index \p first on; only the names in \p known are allowed.
    RuleOptions(const RuleLine &line, std::size_t first, const std::set<std::string> &known,
                std::vector<Diagnostic> &diagnostics);

    /// The value of \p name, or \p fallback; without either it is an error.
    template<typename Value, typename Parse>
    Value value(const std::string &name, Parse parse, const std::string &allowed,
                std::optional<Value> fallback = std::nullopt);

private:
    void addDiagnostic(int column, const std::string &message);

    const RuleLine &m_line;
    std::vector<Diagnostic> &m_diagnostics;
    std::map<std::string, Word> m_values;
};

template<typename Value, typename Parse>
Value RuleOptions::value(const std::string &name, Parse parse, const std::string &allowed,
                         std::optional<Value> fallback)
{
    const auto found = m_values.find(name);
    if (found == m_values.end()) {
        if (!fallback)
            addDiagnostic(m_line.commentColumn, "'" + name + "=' is missing; allowed: " + allowed);
        return fallback.value_or(Value());
    }
    const std::optional<Value> value = parse(found->second.text);
    if (!value)
        addDiagnostic(found->second.column,
                      "'" + found->second.text + "' is no value for '" + name
                          + "'; allowed: " + allowed);
    return value.value_or(Value());
}

} // namespace Rules
