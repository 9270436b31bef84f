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
    /// The text that stands in when the key is missing; the key is required if this is empty and
    /// `isOptional` is false.
    std::string fallback;
    bool isOptional = false;
    /// What values are allowed, for people.
    std::string allowed;
    std::string meaning;
    /// Stores the value; false if it isn't allowed.
    std::function<bool(std::string_view, Settings &)> store;
};

/// Every key that there is.
const std::vector<SettingKey> &settingKeys();

} // namespace Settings
