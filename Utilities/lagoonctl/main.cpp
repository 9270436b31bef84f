#include "Commands.h"

#include <LibCore/Error.h>
#include <LibCore/TextValues.h>
#include <LibCore/Version.h>

#include <tclap/CmdLine.h>

#include <exception>
#include <iostream>

using Control::ExitStatus;

namespace {

constexpr const char *defaultDaemon = "127.0.0.1:8080";
constexpr std::int64_t highestPort = 65'535;

Control::DaemonClient clientFor(const std::string &daemon)
{
    const std::size_t colon = daemon.rfind(':');
    const auto port = colon == std::string::npos
        ? std::nullopt
        : Core::parseNumber(daemon.substr(colon + 1), 1, highestPort);
    if (!port)
        throw Core::FormatError("read command line", daemon, "allowed: ADDRESS:PORT");
    return { daemon.substr(0, colon), static_cast<std::uint16_t>(*port) };
}

ExitStatus run(int argumentCount, char **arguments)
{
    TCLAP::CmdLine commandLine(std::string("Steers lagoonford. Commands: ")
                                   + Control::commandSummary,
                               ' ', Core::versionText);
    TCLAP::ValueArg<std::string> daemon("d", "daemon", "The door of any entry VM.", false,
                                        defaultDaemon, "ADDRESS:PORT", commandLine);
    TCLAP::ValueArg<std::string> requestedBy("f", "for", "Who asks for the change.", false, "",
                                             "WHO", commandLine);
    TCLAP::SwitchArg isJson("j", "json", "Print JSON, for scripts.", commandLine);
    TCLAP::UnlabeledMultiArg<std::string> words("command", "The command and its arguments.", true,
                                                "COMMAND", commandLine);
    commandLine.parse(argumentCount, arguments);
    const Control::DaemonClient client = clientFor(daemon.getValue());
    return Control::Commands(client,
                             { words.getValue(), requestedBy.getValue(), isJson.getValue() })
        .run();
}

ExitStatus runAndReport(int argumentCount, char **arguments)
{
    try {
        return run(argumentCount, arguments);
    } catch (const Core::NotDoneError &error) {
        std::cerr << "lagoonctl: the daemon can't be reached: " << error.what() << '\n';
        return ExitStatus::Unreachable;
    } catch (const Core::OutcomeUnknownError &error) {
        std::cerr << "lagoonctl: no answer, the outcome is unknown: " << error.what() << '\n';
        return ExitStatus::Unknown;
    } catch (const std::exception &exception) {
        std::cerr << "lagoonctl: " << exception.what() << '\n';
        return ExitStatus::BadInput;
    }
}

} // namespace

int main(int argumentCount, char **arguments)
{
    return static_cast<int>(runAndReport(argumentCount, arguments));
}
