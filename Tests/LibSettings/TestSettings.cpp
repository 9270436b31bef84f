#include <LibSettings/SettingKey.h>
#include <LibSettings/Settings.h>
#include <LibSettings/SettingsError.h>

#include <rapidcheck/catch.h>

#include <fstream>
#include <sstream>

using namespace std::chrono_literals;

namespace {

const std::string goodSettings = R"([vm]
id = entry-1
failure-domain = riga
address = 127.0.0.1
[door]
port = 8080
[peers]
port = 8081
known = entry-2@riga@127.0.0.1:8083:8082,entry-3@ogre@127.0.0.1:8085:8084
[platform]
address = 127.0.0.1
port = 9000
[rules]
freshness = 1500ms
)";

std::vector<std::string> messagesIn(const std::string &text)
{
    try {
        Settings::parseSettings(text, "test.ini");
    } catch (const Settings::SettingsError &error) {
        return error.messages();
    }
    return {};
}

} // namespace

TEST_CASE("All settings of a file are checked")
{
    const Settings::Settings settings = Settings::parseSettings(goodSettings, "test.ini");
    CHECK(settings.vmId.text() == "entry-1");
    CHECK(settings.rulesFreshness == 1500ms);
    CHECK(settings.knownPeers.size() == 2);
    SECTION("a missing key has its default")
    {
        CHECK(settings.drainTime == 30s);
    }
    SECTION("an unknown key, a value out of range and a repeated key are all reported at once")
    {
        const auto messages
            = messagesIn(goodSettings + "fresh = 1s\n[door]\nport = 1\n[tasks]\nlease = 1h\n");
        CHECK(messages
              == std::vector<std::string> {
                  "test.ini: [door] port: the key is given more than once",
                  "test.ini: [tasks] lease: '1h' isn't allowed; allowed: 2s to 10m",
                  "test.ini: [rules] fresh: there is no such key" });
    }
    SECTION("every required key of an empty file is reported")
    {
        CHECK(messagesIn("").size() == 7);
    }
    SECTION("a missing file is an error")
    {
        CHECK_THROWS_AS(Settings::readSettings("no/such/file.ini"), Settings::SettingsError);
    }
    rc::prop("no text crashes the reader", [](const std::string &text) {
        messagesIn(text);
        messagesIn(goodSettings + text);
    });
}

TEST_CASE("The operators' page describes every key with its default")
{
    std::ifstream file("docs/operators/SETTINGS.md");
    std::ostringstream page;
    page << file.rdbuf();
    for (const Settings::SettingKey &key : Settings::settingKeys()) {
        const std::string fallback = key.fallback.empty() ? "–" : key.fallback;
        const std::string row = "| `" + key.section + "` | `" + key.name + "` | " + fallback + " | "
            + key.allowed + " | " + key.meaning + " |";
        INFO(row);
        CHECK(page.str().find(row) != std::string::npos);
    }
}
