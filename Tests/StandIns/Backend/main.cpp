#include "BackendControl.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>

namespace {

struct Arguments
{
    int firstPort = 0;
    int count = 1;
    int controlPort = 0;
    StandIn::BackendLimits limits;
};

Arguments parse(int argc, char **argv)
{
    TCLAP::CmdLine line("Backend servers for tests, many in one process");
    TCLAP::ValueArg<int> firstPort("p", "first-port", "Port of the first server", true, 0, "port");
    TCLAP::ValueArg<int> count("n", "count", "Number of servers", false, 1, "number");
    TCLAP::ValueArg<int> controlPort("c", "control-port", "Control port", true, 0, "port");
    TCLAP::ValueArg<int> slots("s", "slots", "Requests in work at once", false, 8, "number");
    TCLAP::ValueArg<int> connections("k", "connections", "Connections", false, 64, "number");
    TCLAP::ValueArg<int> serviceMs("t", "service-ms", "Default service time", false, 5, "ms");
    for (TCLAP::Arg *argument : std::initializer_list<TCLAP::Arg *> {
             &firstPort, &count, &controlPort, &slots, &connections, &serviceMs })
        line.add(argument);
    line.parse(argc, argv);
    return { firstPort.getValue(),
             count.getValue(),
             controlPort.getValue(),
             { slots.getValue(), connections.getValue(),
               std::chrono::milliseconds(serviceMs.getValue()) } };
}

void run(const Arguments &arguments)
{
    boost::asio::io_context context;
    StandIn::Executions executions;
    std::vector<std::unique_ptr<StandIn::BackendServer>> servers;
    for (int index = 0; index < arguments.count; ++index) {
        const auto port = static_cast<std::uint16_t>(arguments.firstPort + index);
        servers.push_back(std::make_unique<StandIn::BackendServer>(context.get_executor(), port,
                                                                   arguments.limits, executions));
    }
    StandIn::BackendControl control(servers, executions);
    const StandIn::HttpServer controlServer(
        context.get_executor(), static_cast<std::uint16_t>(arguments.controlPort), control);
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
        std::cerr << "backend-standin: " << exception.what() << '\n';
        return 1;
    }
}
