#pragma once

#include <LibCore/Error.h>

#include <compare>
#include <string>
#include <vector>

namespace Rules {

/// One error in a rules file. Lines and columns count from 1.
struct Diagnostic
{
    int line = 0;
    int column = 0;
    std::string message;

    auto operator<=>(const Diagnostic &) const = default;
};

/// A rules file that is rejected, with a diagnostic for each of its errors.
class RulesError : public Core::FormatError
{
public:
    RulesError(const std::string &fileName, std::vector<Diagnostic> diagnostics);

    const std::vector<Diagnostic> &diagnostics() const { return m_diagnostics; }

private:
    std::vector<Diagnostic> m_diagnostics;
};

} // namespace Rules
