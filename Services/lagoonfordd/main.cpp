#include "Daemon.h"
#include <LibLog/Logging.h>

#include <LibCore/Version.h>
#include <LibSettings/Settings.h>
#include <LibSettings/SettingsError.h>

#include <tclap/CmdLine.h>

#include <exception>
#include <iostream>

namespace {

enum ExitStatus {
    Success = 0,
    Failure = 1,
    BadSettings = 2,
};

int runDaemon(const std::string &settingsPath, bool isCheckOnly)
{
    const Settings::Settings settings = Settings::readSettings(settingsPath);
    if (isCheckOnly) {
        std::cout << settingsPath << ": the settings are in order\n";
        return Success;
    }
    Log::configureLogging(settings.logLevel);
    Daemon::Daemon(settings).run();
    return Success;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    try {
        TCLAP::CmdLine commandLine(
            "Schedules latency-critical and batch work; one runs on every entry VM.", ' ',
            Core::versionText);
        TCLAP::ValueArg<std::string> settingsPath("s", "settings", "The settings file.", true, "",
                                                  "FILE.ini", commandLine);
        TCLAP::SwitchArg isCheckOnly("", "check-settings", "Only check the settings file.",
                                     commandLine);
        commandLine.parse(argumentCount, arguments);
        return runDaemon(settingsPath.getValue(), isCheckOnly.getValue());
    } catch (const Settings::SettingsError &error) {
        for (const std::string &message : error.messages())
            std::cerr << message << '\n';
        return BadSettings;
    } catch (const std::exception &exception) {
        std::cerr << "lagoonfordd: " << exception.what() << '\n';
        return Failure;
    }
}
