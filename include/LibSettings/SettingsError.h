#pragma once

#include <LibCore/Error.h>

#include <string>
#include <vector>

namespace Settings {

/// A settings file that is rejected. Each message is one line with file, section, key and the
/// allowed values.
class SettingsError : public Core::FormatError
{
public:
    SettingsError(const std::string &fileName, std::vector<std::string> messages);

    const std::vector<std::string> &messages() const { return m_messages; }

private:
    std::vector<std::string> m_messages;
};

} // namespace Settings
