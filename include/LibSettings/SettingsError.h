#pragma once

#include <LibCore/Error.h>

#include <string>
#include <vector>

namespace Settings {

/// Settings that can't be used. Each error is one line with file, section, key and what is
/// allowed.
class SettingsError : public Core::FormatError
{
public:
    SettingsError(const std::string &fileName, std::vector<std::string> messages);

    const std::vector<std::string> &messages() const { return m_messages; }

private:
    std::vector<std::string> m_messages;
};

} // namespace Settings
