#include "ExecutionCheck.h"
#include "LoadRun.h"
#include "TraceGenerator.h"

#include <LibCore/Error.h>
#include <LibCore/Json.h>

#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>

namespace {

struct Arguments
{
    std::string traceFile;
    std::string writeTraceFile;
    Load::GeneratorSettings generator;
    Load::RunSettings run;
    std::vector<boost::asio::ip::tcp::endpoint> backendControls;
    bool isJson = false;
};

boost::asio::ip::tcp::endpoint parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        throw Core::FormatError("read argument", text, "expected ADDRESS:PORT");
    const int port = std::stoi(text.substr(colon + 1));
    return { boost::asio::ip::make_address(text.substr(0, colon)),
             static_cast<std::uint16_t>(port) };
}

std::vector<boost::asio::ip::tcp::endpoint> parseEndpoints(const std::vector<std::string> &texts)
{
    std::vector<boost::asio::ip::tcp::endpoint> endpoints;
    endpoints.reserve(texts.size());
    for (const std::string &text : texts)
        endpoints.push_back(parseEndpoint(text));
    return endpoints;
}

Arguments parse(int argc, char **argv)
{
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    TCLAP::CmdLine line("Replays a trace of requests and jobs against entry VMs, open-loop");
    TCLAP::MultiArg<std::string> entryVms("d", "door", "Callers' door of an entry VM", false,
                                          "ADDRESS:PORT", line);
    TCLAP::ValueArg<std::string> trace("t", "trace", "Trace to replay; without it one is made",
                                       false, "", "file", line);
    TCLAP::ValueArg<std::string> write("w", "write-trace", "Write the trace here", false, "",
                                       "file", line);
    TCLAP::ValueArg<unsigned> seed("s", "seed", "Seed of a made trace", false, 1, "number", line);
    TCLAP::ValueArg<int> length("l", "length-s", "Length of a made trace", false, 10, "s", line);
    TCLAP::ValueArg<double> rate("r", "request-rate", "Requests a second", false, 100, "1/s", line);
    TCLAP::ValueArg<double> jobs("j", "job-rate", "Jobs a second", false, 0, "1/s", line);
    TCLAP::ValueArg<int> teams("n", "teams", "Number of teams", false, 5, "number", line);
    TCLAP::ValueArg<double> busiest("b", "busiest-share", "Share of the first team", false, 0.5,
                                    "0..1", line);
    TCLAP::ValueArg<double> once("o", "non-idempotent-share",
                                 "Share of requests that run at most once", false, 0.2, "0..1",
                                 line);
    TCLAP::ValueArg<int> service("m", "service-ms", "Mean service time", false, 20, "ms", line);
    TCLAP::ValueArg<int> limit("e", "deadline-ms", "Deadline of requests", false, 1000, "ms", line);
    TCLAP::ValueArg<int> run("u", "run-ms", "Mean run time of jobs", false, 5000, "ms", line);
    TCLAP::ValueArg<int> underWay("c", "max-under-way", "Events under way at once", false, 5000,
                                  "number", line);
    TCLAP::ValueArg<int> retries("a", "retries", "How often a request that didn't run is repeated",
                                 false, 0, "number", line);
    TCLAP::ValueArg<int> wait("x", "job-wait-s", "How long jobs are followed at the end", false, 30,
                              "s", line);
    TCLAP::MultiArg<std::string> controls("k", "check-executions",
                                          "Control port of backend stand-ins to compare with",
                                          false, "ADDRESS:PORT", line);
    TCLAP::SwitchArg json("", "json", "Report as JSON", line);
    line.parse(argc, argv);

    Arguments arguments;
    arguments.traceFile = trace.getValue();
    arguments.writeTraceFile = write.getValue();
    arguments.generator = { seed.getValue(),
                            seconds(length.getValue()),
                            rate.getValue(),
                            jobs.getValue(),
                            teams.getValue(),
                            busiest.getValue(),
                            once.getValue(),
                            milliseconds(service.getValue()),
                            milliseconds(limit.getValue()),
                            milliseconds(run.getValue()) };
    arguments.run.entryVms = parseEndpoints(entryVms.getValue());
    arguments.run.maximumUnderWay = static_cast<std::size_t>(underWay.getValue());
    arguments.run.retries = retries.getValue();
    arguments.run.jobWait = seconds(wait.getValue());
    arguments.backendControls = parseEndpoints(controls.getValue());
    arguments.isJson = json.getValue();
    return arguments;
}

std::vector<Load::TraceEvent> loadTrace(const Arguments &arguments)
{
    if (arguments.traceFile.empty())
        return Load::generateTrace(arguments.generator);
    std::ifstream stream(arguments.traceFile);
    if (!stream)
        throw Core::Error("read trace", arguments.traceFile, "the file can't be read");
    return Load::readTrace(stream, arguments.traceFile);
}

void writeTrace(const std::vector<Load::TraceEvent> &events, const std::string &file)
{
    std::ofstream stream(file);
    for (const Load::TraceEvent &event : events)
        stream << Load::toLine(event) << '\n';
    if (!stream.flush())
        throw Core::Error("write trace", file, "the file can't be written");
}

int run(const Arguments &arguments)
{
    const std::vector<Load::TraceEvent> events = loadTrace(arguments);
    if (!arguments.writeTraceFile.empty())
        writeTrace(events, arguments.writeTraceFile);
    if (arguments.run.entryVms.empty())
        return 0;
    Load::LoadRun load(arguments.run, events);
    load.run();
    Json::Value report = load.recorder().report();
    if (!arguments.backendControls.empty())
        report["untruths"]
            = Load::checkExecutions(load.recorder().requests(), arguments.backendControls);
    if (arguments.isJson) {
        std::cout << Core::Json::write(report) << '\n';
        return 0;
    }
    std::cout << Load::toText(report);
    if (report.isMember("untruths"))
        std::cout << "untruths: " << Core::Json::write(report["untruths"]) << '\n';
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(parse(argc, argv));
    } catch (const std::exception &exception) {
        std::cerr << "lagoonload: " << exception.what() << '\n';
        return 1;
    }
}
