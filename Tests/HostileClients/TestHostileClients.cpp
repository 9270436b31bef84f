#include "HostileClients.h"
#include "ServerProcess.h"

#include <catch2/catch.hpp>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <thread>

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

/// The smallest VM has 160 MB, of which an idle node takes 9; clients may make a node take a
/// quarter.
constexpr double maxMebibytes = 40;
/// After the clients have left, a node may keep no more than this.
constexpr double maxMebibytesAfterwards = 20;
/// Callers' connections and what the process itself opens; 30% of what 4,100 descriptors leave.
constexpr std::size_t maxDescriptors = 1200;
constexpr std::size_t clientCount = 400;
/// 6 KB short of the largest body.
constexpr std::size_t bodyBytes = 250'000;
constexpr std::size_t announcedBytes = 256'000;
constexpr std::uint16_t callerPort = 18081;
constexpr std::uint16_t readinessPort = 18082;
constexpr std::uint16_t metricsPort = 9464;

/// The sanitizers take several times the memory of a program, so these bounds hold only without
/// them. All other checks are made in both builds.
void checkMemory(double mebibytes, double max)
{
#ifndef LAGOONFORD_SANITIZED
    CHECK(mebibytes < max);
#else
    CHECK(mebibytes > 0);
    static_cast<void>(max);
#endif
}

/// A node without a store: it answers readiness with 503 and refuses submissions.
class NodeFixture
{
public:
    NodeFixture()
        : m_process({ LAGOONFORD_NODE, "--settings", writeSettings() })
    {
        constexpr int maxAttempts = 200;
        for (int i = 0; i < maxAttempts && readinessStatus() == 0; ++i)
            std::this_thread::sleep_for(20ms);
        REQUIRE(readinessStatus() == 503);
    }
    ~NodeFixture() { std::filesystem::remove(settingsPath()); }

    asio::ip::tcp::endpoint endpoint(std::uint16_t port) const
    {
        return { asio::ip::make_address(address()), port };
    }
    unsigned readinessStatus() const { return requestStatus(endpoint(readinessPort), "GET", "/"); }
    unsigned submissionStatus() const
    {
        return requestStatus(endpoint(callerPort), "POST", "/jobs/5c0e7a21d94b36f8",
                             R"({"steps":[{"count":1,"cpu":100,"memMb":10,"estimateMs":10}]})");
    }
    void checkBounds() const
    {
        REQUIRE(m_process.isAlive());
        checkMemory(m_process.peakMebibytes(), maxMebibytes);
        CHECK(m_process.openDescriptors() < maxDescriptors);
    }
    /// The node must have given back its memory 4 s after the clients have left, and answer.
    void checkRecovery() const
    {
        std::this_thread::sleep_for(4s);
        REQUIRE(m_process.isAlive());
        checkMemory(m_process.residentMebibytes(), maxMebibytesAfterwards);
        CHECK(readinessStatus() == 503);
        CHECK(submissionStatus() == 503);
        CHECK(requestStatus(endpoint(metricsPort), "GET", "/metrics") == 200);
    }
    void attack(std::uint16_t port, const std::string &bytes) const
    {
        HostileClients clients(endpoint(port), clientCount);
        clients.send(bytes, 2s);
        // The system may still hold what the clients have sent.
        std::this_thread::sleep_for(1s);
        checkBounds();
        clients.closeAll();
        checkRecovery();
    }
    const ServerProcess &process() const { return m_process; }

private:
    /// Different for processes that run at the same time, since the metrics port is fixed.
    static std::string address()
    {
        constexpr int addresses = 250;
        return "127.77.40." + std::to_string(1 + getpid() % addresses);
    }
    static std::string settingsPath()
    {
        return std::filesystem::temp_directory_path()
            / ("hostile-clients-" + std::to_string(getpid()) + ".ini");
    }
    static std::string writeSettings()
    {
        std::ofstream file(settingsPath());
        file << "[node]\nname = n1\nfailure-domain = a\n[doors]\ncallers = " << address() << ':'
             << callerPort << "\nreadiness = " << address() << ':' << readinessPort
             << "\naddress = " << address()
             << "\n[limits]\ndescriptors = 4100\n[store]\naddress = " << address()
             << ":18083\n[bounds]\nlease-ms = 6000\ndrain-ms = 2000\n"
             << "retention-s = 120\nshutdown-s = 6\n[log]\nlevel = INFO\n";
        return settingsPath();
    }

    ServerProcess m_process;
};

std::string head(const std::string &fields)
{
    return "POST /jobs/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: test.example\r\n" + fields + "\r\n";
}

std::string incompleteBody()
{
    return head("Content-Length: " + std::to_string(announcedBytes) + "\r\n")
        + std::string(bodyBytes, ' ');
}

std::string incompleteChunks(std::size_t chunkBytes)
{
    std::ostringstream size;
    size << std::hex << chunkBytes;
    const std::string chunk = size.str() + "\r\n" + std::string(chunkBytes, ' ') + "\r\n";
    std::string chunks = head("Transfer-Encoding: chunked\r\n");
    for (std::size_t bytes = 0; bytes < bodyBytes; bytes += chunkBytes)
        chunks += chunk;
    return chunks;
}

/// A header of nearly 16 KiB, with a body that stops short of its end.
std::string manyFields()
{
    constexpr std::size_t fieldCount = 3200;
    std::string fields;
    for (std::size_t i = 0; i < fieldCount; ++i)
        fields += "a:b\r\n";
    return head("Content-Length: 100\r\n" + fields);
}

std::string pipelinedRequests()
{
    constexpr std::size_t requestCount = 3000;
    std::string requests;
    for (std::size_t i = 0; i < requestCount; ++i)
        requests += "GET /jobs/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: test.example\r\n\r\n";
    return requests;
}

} // namespace

// Guards against a process that holds the unfinished requests of all clients.
TEST_CASE_METHOD(NodeFixture, "Unfinished bodies don't exhaust a node's memory")
{
    attack(callerPort, incompleteBody());
}

// Guards against bodies that take more memory than they have bytes, since their length is unknown.
TEST_CASE_METHOD(NodeFixture, "Unfinished chunked bodies don't exhaust a node's memory")
{
    attack(callerPort, incompleteChunks(4096));
}

TEST_CASE_METHOD(NodeFixture, "Bodies in tiny chunks don't exhaust a node's memory")
{
    attack(callerPort, incompleteChunks(16));
}

// Guards against header fields that take many times their bytes.
TEST_CASE_METHOD(NodeFixture, "Very many header fields don't exhaust a node's memory")
{
    attack(callerPort, manyFields());
}

// Guards against responses that pile up because nobody reads them.
TEST_CASE_METHOD(NodeFixture, "Pipelined requests without a reader don't exhaust a node's memory")
{
    attack(callerPort, pipelinedRequests());
}

// Guards against a readiness port that holds bodies, and against clients that take all of its
// connections, so that the load balancer takes the node out of service.
TEST_CASE_METHOD(NodeFixture, "Stalled clients don't occupy the readiness port")
{
    constexpr double maxReadinessMebibytes = 16;
    HostileClients clients(endpoint(readinessPort), clientCount);
    clients.send(incompleteBody(), 1s);
    CHECK(readinessStatus() == 503);
    checkBounds();
    checkMemory(process().peakMebibytes(), maxReadinessMebibytes);
    clients.closeAll();
    checkRecovery();
}

// As above, for clients that connect and send nothing.
TEST_CASE_METHOD(NodeFixture, "Silent clients don't occupy any port")
{
    for (const std::uint16_t port : { readinessPort, metricsPort }) {
        HostileClients clients(endpoint(port), clientCount);
        std::this_thread::sleep_for(1s);
        CHECK(requestStatus(endpoint(port), "GET", "/metrics") != 0);
    }
    checkBounds();
    checkRecovery();
}
