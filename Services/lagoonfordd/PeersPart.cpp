#include <utility>

#include "PeersPart.h"

#include "RulesAnswer.h"

#include <LibCore/SteadyClock.h>
#include <LibLease/LeaseMessageCodec.h>

namespace Daemon {

namespace asio = boost::asio;

static constexpr Core::Duration keyRefreshInterval = std::chrono::milliseconds(200);

PeersPart::PeersPart(Node &node, KeyService &keys, JobService &jobs)
    : StoppablePart("peers", node, m_wakeup)
    , m_wakeup(node.executor())
    , m_keys(keys)
    , m_jobs(jobs)
{
}

asio::awaitable<void> PeersPart::begin()
{
    m_server.reset();
    m_server = std::make_unique<Peer::PeerServer>(node().executor(), node().settings().address,
                                                  node().settings().peerPort);
    addMethods();
    co_return;
}

void PeersPart::addMethods()
{
    m_server->addMethod(VmState::methodName, [this](const Json::Value &) {
        return node().ownState(Core::steadyNow()).toJson();
    });
    m_server->addMethod(RulesAnswer::methodName, [this](const Json::Value &parameters) {
        return RulesAnswer::answer(parameters, node().ruleReplica(), node().freshness(),
                                   Core::steadyNow())
            .toJson();
    });
    m_server->addMethod(
        Lease::LeaseMessageCodec::methodName, [this](const Json::Value &parameters) {
            const auto answer = node().membership().onPromiseRequest(
                Lease::LeaseMessageCodec::decodeRequest(parameters), Core::steadyNow());
            node().leaseWakeup().wake();
            return Lease::LeaseMessageCodec::encode(answer);
        });
    m_server->addMethod(KeyBegin::methodName, [this](const Json::Value &parameters) {
        return keyAnswerToJson(m_keys.onBegin(KeyBegin::fromJson(parameters), Core::steadyNow()));
    });
    m_server->addMethod(KeyFinish::methodName, [this](const Json::Value &parameters) {
        m_keys.onFinish(KeyFinish::fromJson(parameters), Core::steadyNow());
        return Json::Value(true);
    });
    m_server->addMethod(JobService::findMethodName, [this](const Json::Value &parameters) {
        return m_jobs.onFind(parameters);
    });
    m_server->addMethod(JobService::listMethodName,
                        [this](const Json::Value &) { return m_jobs.onList(); });
}

asio::awaitable<Core::Instant> PeersPart::step(Core::Instant now)
{
    m_keys.refresh(now);
    co_return now + keyRefreshInterval;
}

asio::awaitable<void> PeersPart::finish()
{
    m_server->stop();
    co_return;
}

} // namespace Daemon
