#pragma once

#include "RuleLine.h"

#include <LibRules/RuleSet.h>
#include <LibRules/RulesError.h>

#include <map>
#include <string>
#include <vector>

namespace Rules {

/// Collects the rules and the diagnostics of one file, line by line.
class RuleSetBuilder
{
public:
    void addLine(const RuleLine &line);
    /// Checks what depends on the whole file, such as classes that a rule names but none defines.
    void checkWhole();

    const RuleSet &rules() const { return m_rules; }
    const std::vector<Diagnostic> &diagnostics() const { return m_diagnostics; }

private:
    void addTeam(const RuleLine &line);
    void addClass(const RuleLine &line);
    void addPlace(const RuleLine &line);
    void addSlots(const RuleLine &line);
    void addDomain(const RuleLine &line);
    /// The name that the rule applies to; an empty text and a diagnostic if there is none.
    std::string subject(const RuleLine &line);
    void addDiagnostic(int line, int column, const std::string &message);

    RuleSet m_rules;
    std::vector<Diagnostic> m_diagnostics;
    /// The line of the first rule on each subject, for the diagnostic on a second one.
    std::map<std::string, int> m_firstLines;
    std::map<Core::TaskClassId, RuleLine> m_placeLines;
};

} // namespace Rules
