#include "DescriptorShares.h"
#include "HttpRecordForwarder.h"
#include "NodeSettings.h"
#include "PeerMessages.h"
#include "PeerRecordsHandler.h"

#include <LibCore/Error.h>
#include <LibHttp/Server.h>
#include <LibSite/GroupCommit.h>
#include <LibSite/SiteFixture.h>

#include <boost/asio/ip/tcp.hpp>

namespace http = boost::beast::http;
using Adapter::DescriptorShares;
namespace PeerMessages = Adapter::PeerMessages;

namespace {

/// A node that answers other nodes at a loopback address, and a forwarder to it.
struct PeerFixture
{
    PeerFixture()
        : state(SiteSettings { "one#1", {}, {}, std::chrono::seconds(2) })
        , handler(state)
        , server("peers", { "127.0.0.1", port }, handler, context.get_executor(), 8)
        , forwarder(context.get_executor(), 4)
    {
        asio::co_spawn(context, server.run(), asio::detached);
        context.run_for(milliseconds(20));
    }
    static std::uint16_t findFreePort()
    {
        asio::io_context context;
        const asio::ip::tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
        return asio::ip::tcp::acceptor(context, any).local_endpoint().port();
    }
    /// Owns the jobs from now on; writes what it has received after each 10 ms.
    void own() { state.groupCommit = &commits; }
    ForwardResult forward(int ms = 500)
    {
        // The context has stopped if the server has.
        context.restart();
        std::optional<ForwardResult> result;
        const std::string address = "127.0.0.1:" + std::to_string(port);
        asio::co_spawn(
            context,
            forwarder.forward(address, Jobs::encodeRecord(job("a")),
                              Core::steadyNow() + milliseconds(ms)),
            [&result](const std::exception_ptr &, ForwardResult answer) { result = answer; });
        for (int i = 0; i < 200 && !result; ++i) {
            context.run_for(milliseconds(10));
            for (const auto &group : commits.take())
                written.insert(written.end(), group.begin(), group.end());
            if (!keepsRecords)
                commits.finish(true);
        }
        REQUIRE(result.has_value());
        return *result;
    }
    unsigned status(http::verb method, const std::string &target, const std::string &body,
                    const std::string &deadline = "500")
    {
        Http::ServerRequest request(method, target, 11);
        request.body() = body;
        request.set(PeerMessages::deadlineField, deadline);
        unsigned status = 0;
        asio::co_spawn(context, handler.answer(std::move(request)),
                       [&status](const std::exception_ptr &, const Http::ServerResponse &answer) {
                           status = answer.result_int();
                       });
        context.run_for(milliseconds(10));
        return status;
    }

    asio::io_context context;
    std::uint16_t port = findFreePort();
    SiteState state;
    AppendPace pace;
    GroupCommit commits { context.get_executor(), pace, [] {} };
    Adapter::PeerRecordsHandler handler;
    Http::Server server;
    Adapter::HttpRecordForwarder forwarder;
    /// The outcome of what was received stays open.
    bool keepsRecords = false;
    std::vector<Jobs::StoredRecord> written;
};

std::string bodyWith(const std::string &key, const std::string &value)
{
    return PeerMessages::encodeRecords({ { key, value } });
}

} // namespace

/// Guards against a wrong outcome on the way over HTTP: "not written" must be true.
TEST_CASE("The owner's outcomes reach the node that has forwarded records")
{
    PeerFixture peers;
    SECTION("a node that doesn't own the jobs writes nothing")
    {
        CHECK(peers.forward().outcome == ForwardOutcome::NotOwner);
    }
    SECTION("the owner writes the records")
    {
        peers.own();
        CHECK(peers.forward().outcome == ForwardOutcome::Written);
        CHECK(peers.written == Jobs::encodeRecord(job("a")));
    }
    SECTION("the owner refuses what it can't write in time")
    {
        peers.own();
        // The second append may take longer, since the first one was slow.
        peers.pace.begin(Core::Instant(milliseconds(0)));
        peers.pace.end(Core::Instant(milliseconds(900)));
        peers.pace.begin(Core::Instant(milliseconds(1000)));
        peers.pace.end(Core::Instant(milliseconds(2500)));
        const ForwardResult result = peers.forward();
        CHECK(result.outcome == ForwardOutcome::Refused);
        CHECK(result.latency == milliseconds(1500));
        CHECK(result.drainTime == milliseconds(1000));
        CHECK(peers.written.empty());
    }
    SECTION("what the owner has sent to the store without an answer is unknown")
    {
        peers.own();
        peers.keepsRecords = true;
        CHECK(peers.forward().outcome == ForwardOutcome::Unknown);
    }
    SECTION("nothing is sent if no node listens")
    {
        peers.server.requestStop();
        peers.context.run_for(milliseconds(50));
        CHECK(peers.forward().outcome == ForwardOutcome::NotSent);
    }
}

/// Guards against other nodes, or callers that reach the port, writing the owner's records.
TEST_CASE("The owner accepts only records of callers from other nodes")
{
    PeerFixture peers;
    peers.own();
    const Jobs::StoredRecord accepted
        = Jobs::encodeRecord(Jobs::Cancellation { Jobs::JobId("a") }).front();
    const std::string body = bodyWith(accepted.key, accepted.value);
    CHECK(peers.status(http::verb::post, "/peer/other", body) == 404);
    CHECK(peers.status(http::verb::get, "/peer/records", body) == 405);
    CHECK(peers.status(http::verb::post, "/peer/records", body, "soon") == 400);
    CHECK(peers.status(http::verb::post, "/peer/records", "{") == 400);
    CHECK(peers.status(http::verb::post, "/peer/records", R"({"records":[]})") == 400);
    CHECK(peers.status(http::verb::post, "/peer/records", R"({"records":[1]})") == 400);
    CHECK(peers.status(http::verb::post, "/peer/records", bodyWith("p/a", "{}")) == 400);
    CHECK(peers.status(http::verb::post, "/peer/records", bodyWith("owner", "{}")) == 400);
    CHECK(peers.status(http::verb::post, "/peer/records", bodyWith("s/a", "")) == 400);
    CHECK(peers.status(http::verb::post, "/peer/records", bodyWith("s/a", "{}")) == 400);
    CHECK(peers.commits.take().empty());
}

/// Guards against descriptors that connections between nodes take from others, and against fewer
/// connections to workers at sites without a port for nodes.
TEST_CASE("Connections between nodes have a share of the descriptors only if there is a port")
{
    const DescriptorShares without = DescriptorShares::divide(4100);
    CHECK(without.incomingPeerConnections + without.outgoingPeerConnections == 0);
    const DescriptorShares with = DescriptorShares::divide(4100, true);
    CHECK(with.total() == 4100);
    CHECK(with.incomingPeerConnections >= 39);
    CHECK(with.outgoingPeerConnections > 0);
    CHECK(with.workerConnections >= 2 * 1100);
    CHECK(with.callerConnections >= 900);
}

/// Guards against a port that is taken for one although the platform has none to give.
TEST_CASE("The port for other nodes is optional")
{
    const std::string text = R"([node]
name = n
failure-domain = z
[doors]
callers = 127.0.0.1:1
readiness = 127.0.0.1:2
address = 127.0.0.1
[store]
address = 127.0.0.1:3
[bounds]
lease-ms = 6000
drain-ms = 2000
retention-s = 120
shutdown-s = 5
[log]
level = INFO
[peers]
port = )";
    CHECK(Adapter::parseNodeSettings(text, "s.ini").peerEndpoint == std::nullopt);
    CHECK(Adapter::parseNodeSettings(text + "7001", "s.ini").peerEndpoint
          == Http::Endpoint { "127.0.0.1", 7001 });
    CHECK_THROWS_AS(Adapter::parseNodeSettings(text + "0", "s.ini"), Core::FormatError);
    CHECK_THROWS_AS(Adapter::parseNodeSettings(text + "70000", "s.ini"), Core::FormatError);
    CHECK_THROWS_AS(Adapter::parseNodeSettings(text + "any", "s.ini"), Core::FormatError);
}
