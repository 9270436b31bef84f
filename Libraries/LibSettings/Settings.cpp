#include <LibSettings/Settings.h>

#include <LibSettings/SettingKey.h>
#include <LibSettings/SettingsError.h>

#include <ini.h>

#include <cstddef>
#include <fstream>
#include <map>
#include <sstream>
#include <utility>

namespace Settings {

static constexpr std::size_t maxFileBytes = 64 * 1024;

namespace {

using Values = std::map<std::pair<std::string, std::string>, std::vector<std::string>>;

int collect(void *user, const char *section, const char *name, const char *value)
{
    (*static_cast<Values *>(user))[{ section, name }].emplace_back(value);
    return 1;
}

class Reader
{
public:
    explicit Reader(std::string fileName)
        : m_fileName(std::move(fileName))
    {
    }

    Settings read(const std::string &text)
    {
        collectValues(text);
        Settings settings;
        for (const SettingKey &key : settingKeys())
            storeKey(key, settings);
        for (const auto &[place, values] : m_values)
            addMessage(place.first, place.second, "there is no such key");
        if (!m_messages.empty())
            throw SettingsError(m_fileName, m_messages);
        return settings;
    }

private:
    void collectValues(const std::string &text)
    {
        if (text.size() > maxFileBytes)
            throw SettingsError(m_fileName, { m_fileName + ": the file is longer than 64 KiB" });
        const int line = ini_parse_string(text.c_str(), collect, &m_values);
        if (line != 0)
            m_messages.push_back(m_fileName + ':' + std::to_string(line)
                                 + ": neither a section nor a key with a value");
    }

    void storeKey(const SettingKey &key, Settings &settings)
    {
        const auto found = m_values.extract({ key.section, key.name });
        if (found.empty()) {
            if (!key.fallback.empty())
                key.store(key.fallback, settings);
            else if (!key.isOptional)
                addMessage(key.section, key.name, "the key is missing; allowed: " + key.allowed);
            return;
        }
        const std::vector<std::string> &values = found.mapped();
        if (values.size() > 1)
            addMessage(key.section, key.name, "the key is given more than once");
        else if (!key.store(values.front(), settings))
            addMessage(key.section, key.name,
                       "'" + values.front() + "' isn't allowed; allowed: " + key.allowed);
    }

    void addMessage(const std::string &section, const std::string &key, const std::string &message)
    {
        m_messages.push_back(m_fileName + ": [" + section + "] " + key + ": " + message);
    }

    std::string m_fileName;
    Values m_values;
    std::vector<std::string> m_messages;
};

} // namespace

Settings readSettings(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        throw SettingsError(path, { path + ": the file can't be read" });
    std::ostringstream text;
    text << file.rdbuf();
    return parseSettings(text.str(), path);
}

Settings parseSettings(const std::string &text, const std::string &name)
{
    return Reader(name).read(text);
}

} // namespace Settings
