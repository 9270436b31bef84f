#include "Platform/PlatformControl.h"

#include <LibCore/Json.h>
#include <LibCore/SteadyClock.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <tclap/CmdLine.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

/// Interval at which the workers are advanced without a request.
constexpr std::chrono::milliseconds simulationStep { 20 };

struct Arguments
{
    int port = 0;
    int controlPort = 0;
    std::string vmsFile;
    StandIn::PlatformSettings settings;
};

Arguments parse(int argc, char **argv)
{
    TCLAP::CmdLine line("The platform for tests: log, workers and list of VMs");
    TCLAP::ValueArg<int> port("p", "port", "Port of the platform", true, 0, "port");
    TCLAP::ValueArg<int> controlPort("c", "control-port", "Control port", true, 0, "port");
    TCLAP::ValueArg<std::string> vms("v", "vms", "JSON file with the VMs", false, "", "file");
    TCLAP::ValueArg<int> retention("r", "retention", "Records kept of each stream", false, 100000,
                                   "records");
    TCLAP::ValueArg<int> lag("l", "list-lag-ms", "Lag of the list of VMs", false, 0, "ms");
    TCLAP::ValueArg<int> grace("g", "grace-ms", "When a start against a change is a violation",
                               false, 3000, "ms");
    TCLAP::SwitchArg fencing("f", "fencing", "Workers refuse outdated epochs");
    for (TCLAP::Arg *argument : std::initializer_list<TCLAP::Arg *> {
             &port, &controlPort, &vms, &retention, &lag, &grace, &fencing })
        line.add(argument);
    line.parse(argc, argv);
    Arguments arguments { port.getValue(), controlPort.getValue(), vms.getValue(), {} };
    arguments.settings = { static_cast<std::size_t>(retention.getValue()),
                           std::chrono::milliseconds(lag.getValue()),
                           std::chrono::milliseconds(grace.getValue()), fencing.getValue() };
    return arguments;
}

void loadVms(StandIn::PlatformHandler &platform, const std::string &file)
{
    if (file.empty())
        return;
    const std::ifstream stream(file);
    std::ostringstream text;
    text << stream.rdbuf();
    const Json::Value value = Core::Json::parse(text.str(), file);
    platform.vms().replace(Core::Json::arrayMember(value, "vms"), platform.now());
    platform.workers().noteVmChange(platform.now());
}

boost::asio::awaitable<void> simulate(StandIn::PlatformHandler &platform,
                                      boost::asio::any_io_executor executor)
{
    boost::asio::steady_timer timer(executor);
    while (true) {
        timer.expires_after(simulationStep);
        co_await timer.async_wait(boost::asio::use_awaitable);
        platform.workers().advance(platform.now());
    }
}

void run(const Arguments &arguments)
{
    boost::asio::io_context context;
    StandIn::PlatformHandler platform(arguments.settings, Core::steadyNow);
    loadVms(platform, arguments.vmsFile);
    StandIn::HttpServer server(context.get_executor(), static_cast<std::uint16_t>(arguments.port),
                               platform);
    StandIn::PlatformControl control(platform, server);
    const StandIn::HttpServer controlServer(
        context.get_executor(), static_cast<std::uint16_t>(arguments.controlPort), control);
    boost::asio::co_spawn(context, simulate(platform, context.get_executor()),
                          boost::asio::detached);
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](auto, int) { context.stop(); });
    std::cout << "ready" << std::endl;
    context.run();
}

} // namespace

int main(int argc, char **argv)
{
    try {
        run(parse(argc, argv));
        return 0;
    } catch (const std::exception &exception) {
        std::cerr << "platform-standin: " << exception.what() << '\n';
        return 1;
    }
}
