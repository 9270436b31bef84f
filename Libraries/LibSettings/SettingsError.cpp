#include <LibSettings/SettingsError.h>

#include <utility>

namespace Settings {

SettingsError::SettingsError(const std::string &fileName, std::vector<std::string> mistakes)
    : Core::FormatError("read settings", fileName,
                        std::to_string(mistakes.size()) + " mistakes in the settings")
    , m_mistakes(std::move(mistakes))
{
}

} // namespace Settings
