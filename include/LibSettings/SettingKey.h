#pragma once

#include <LibSettings/Settings.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Settings {

/// One key of the settings file.
struct SettingKey
{
    std::string section;
    std::string name;
    /// The value used when the key is missing; the key is required if this is empty and
    /// `isOptional` is false.
    std::string fallback;
    bool isOptional = false;
    /// The allowed values, as shown in messages and in the documentation.
    std::string allowed;
    std::string meaning;
    /// Stores the value. Returns false if it isn't allowed.
    std::function<bool(std::string_view, Settings &)> store;
};

/// All keys of the settings file.
const std::vector<SettingKey> &settingKeys();

} // namespace Settings
