#include <LibSettings/SettingsError.h>

#include <utility>

namespace Settings {

SettingsError::SettingsError(const std::string &fileName, std::vector<std::string> messages)
    : Core::FormatError("read settings", fileName,
                        std::to_string(messages.size()) + " errors in the settings")
    , m_messages(std::move(messages))
{
}

} // namespace Settings
