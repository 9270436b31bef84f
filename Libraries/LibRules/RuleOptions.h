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

/// The `name=value` words of one rule. Every mistake is added to the file's list.
class RuleOptions
{
public:
    /// Reads the words from index \p first on; only the names in \p known are allowed.
    RuleOptions(const RuleLine &line, std::size_t first, const std::set<std::string> &known,
                std::vector<Mistake> &mistakes);

    /// The value of \p name, or \p fallback; without either it is a mistake.
    template<typename Value, typename Parse>
    Value value(const std::string &name, Parse parse, const std::string &allowed,
                std::optional<Value> fallback = std::nullopt);

private:
    void addMistake(int column, const std::string &message);

    const RuleLine &m_line;
    std::vector<Mistake> &m_mistakes;
    std::map<std::string, Word> m_values;
};

template<typename Value, typename Parse>
Value RuleOptions::value(const std::string &name, Parse parse, const std::string &allowed,
                         std::optional<Value> fallback)
{
    const auto found = m_values.find(name);
    if (found == m_values.end()) {
        if (!fallback)
            addMistake(m_line.commentColumn, "'" + name + "=' is missing; allowed: " + allowed);
        return fallback.value_or(Value());
    }
    const std::optional<Value> value = parse(found->second.text);
    if (!value)
        addMistake(found->second.column,
                   "'" + found->second.text + "' is no value for '" + name
                       + "'; allowed: " + allowed);
    return value.value_or(Value());
}

} // namespace Rules
