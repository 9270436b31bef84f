#pragma once

#include <LibCore/Error.h>

#include <compare>
#include <string>
#include <vector>

namespace Rules {

/// One thing that is wrong in a rules file. Lines and columns count from 1.
struct Mistake
{
    int line = 0;
    int column = 0;
    std::string message;

    auto operator<=>(const Mistake &) const = default;
};

/// A rules file that can't be accepted, with all its mistakes.
class RulesError : public Core::FormatError
{
public:
    RulesError(const std::string &fileName, std::vector<Mistake> mistakes);

    const std::vector<Mistake> &mistakes() const { return m_mistakes; }

private:
    std::vector<Mistake> m_mistakes;
};

} // namespace Rules
