#pragma once

#include <LibCore/Error.h>

#include <string>
#include <vector>

namespace Settings {

/// Settings that can't be used. Each mistake is one line with file, section, key and what is
/// allowed.
class SettingsError : public Core::FormatError
{
public:
    SettingsError(const std::string &fileName, std::vector<std::string> mistakes);

    const std::vector<std::string> &mistakes() const { return m_mistakes; }

private:
    std::vector<std::string> m_mistakes;
};

} // namespace Settings
