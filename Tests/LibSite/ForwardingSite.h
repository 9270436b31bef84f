#pragma once

#include "SiteFixture.h"

#include <LibSite/GroupCommit.h>

#include <map>
#include <optional>
#include <string>
#include <utility>

/// What happens to records on their way to the owner.
enum class ForwardFault {
    None,
    /// The owner can't be reached.
    Unreachable,
    /// The owner's process ends before it has written the records.
    OwnerLost,
    /// The owner writes the records, and its answer is lost.
    AnswerLost,
    /// The owner refuses the records.
    Refused,
};

/// Hands records to nodes by their addresses.
class FakePeers final : public RecordForwarder
{
public:
    asio::awaitable<ForwardResult> forward(std::string address,
                                           std::vector<Jobs::StoredRecord> records,
                                           Core::Instant deadline) override
    {
        ++calls;
        ForwardResult result;
        const ForwardFault current = fault;
        if (current == ForwardFault::OwnerLost)
            co_return result;
        result.outcome = ForwardOutcome::NotSent;
        if (current == ForwardFault::Unreachable)
            co_return result;
        result.outcome = ForwardOutcome::Refused;
        result.latency = reportedLatency.value_or(Core::Duration());
        if (current == ForwardFault::Refused)
            co_return result;
        result.outcome = ForwardOutcome::NotOwner;
        GroupCommit *owner = nodes.at(address)->groupCommit;
        if (owner == nullptr)
            co_return result;
        result = co_await owner->write(std::move(records), deadline);
        result.latency = reportedLatency.value_or(result.latency);
        if (current == ForwardFault::AnswerLost)
            result = {};
        co_return result;
    }

    ForwardFault fault = ForwardFault::None;
    /// What the owner reports as its latency, in place of what it measures.
    std::optional<Core::Duration> reportedLatency;
    int calls = 0;
    std::map<std::string, SiteState *> nodes;
};

/// One node's own appends of callers' records, with faults that the owner's appends don't have.
class NodeLink final : public KeyedLog
{
public:
    NodeLink(asio::any_io_executor executor, KeyedLog &log)
        : m_executor(std::move(executor))
        , m_log(log)
    {
    }
    asio::awaitable<std::int64_t> append(std::vector<Jobs::StoredRecord> records,
                                         Core::Instant deadline) override
    {
        ++appends;
        if (isDown)
            throw Core::NotDoneError("append", "link", "refused");
        Supervision::Wakeup pause(m_executor);
        if (losesRequests) {
            co_await pause.sleepUntil(deadline);
            throw Core::OutcomeUnknownError("append", "link", "no answer");
        }
        if (latencyMs > 0)
            co_await pause.sleepUntil(Core::steadyNow() + milliseconds(latencyMs));
        co_return co_await m_log.append(std::move(records), deadline);
    }
    asio::awaitable<std::int64_t> appendAt(std::vector<Jobs::StoredRecord> records,
                                           std::int64_t expectedEnd,
                                           Core::Instant deadline) override
    {
        return m_log.appendAt(std::move(records), expectedEnd, deadline);
    }
    asio::awaitable<std::int64_t> appendFenced(std::vector<Jobs::StoredRecord> records,
                                               FencedWriter fencedWriter,
                                               Core::Instant deadline) override
    {
        return m_log.appendFenced(std::move(records), fencedWriter, deadline);
    }
    asio::awaitable<LogPage> read(Topic topic, std::int64_t from, std::int64_t waitMs,
                                  Core::Instant deadline) override
    {
        return m_log.read(topic, from, waitMs, deadline);
    }
    asio::awaitable<NewestRecordsPage> readNewest(Topic topic, std::string afterKey,
                                                  Core::Instant deadline) override
    {
        return m_log.readNewest(topic, std::move(afterKey), deadline);
    }

    bool isDown = false;
    bool losesRequests = false;
    int latencyMs = 0;
    int appends = 0;

private:
    asio::any_io_executor m_executor;
    KeyedLog &m_log;
};

/// A node that forwards records.
struct ForwardingNode
{
    ForwardingNode(SiteFixture &site, FakePeers &peers, KeyedLog &log, const std::string &name)
        : node(makeSettings(site, name), site.context, log, site.workers, site.decoder)
        , link(site.context.get_executor(), log)
        , writer(node.state, link, site.context.get_executor(), &peers)
        , requests(node.state, node.jobs, writer)
    {
        peers.nodes[node.state.settings.peerAddress] = &node.state;
        asio::co_spawn(site.context, node.jobs.run(), asio::detached);
        asio::co_spawn(site.context, node.operators.run(), asio::detached);
    }
    static SiteSettings makeSettings(const SiteFixture &site, const std::string &name)
    {
        SiteSettings settings { name, site.scheduler, site.ownerMonitor, std::chrono::seconds(2) };
        settings.peerAddress = name + ":7000";
        return settings;
    }

    TestNode node;
    NodeLink link;
    RecordWriter writer;
    JobRequestService requests;
};

/// An owner and another node.
struct ForwardingSite : SiteFixture
{
    ForwardingSite()
    {
        log.put(Topic::Operators, { "catalogue", "1" });
        log.put(Topic::Workers, { "w1", "a" });
        startElection(owner.node);
        REQUIRE(runUntil([this] {
            return other.node.state.ownerMonitor.claim().has_value()
                && owner.node.state.groupCommit != nullptr;
        }));
        run(100);
    }
    SubmitOutcome submit(const std::string &id, int ms = 2500)
    {
        return await(other.requests.submit(job(id), deadlineIn(ms)));
    }
    /// Lets the other node's appends be slow, and the next one forwarded.
    void makeSlow()
    {
        other.link.latencyMs = 200;
        REQUIRE(submit("slow") == SubmitOutcome::Accepted);
        REQUIRE(peers.calls == 0);
    }
    /// How often the submission was written.
    int written(const std::string &id)
    {
        const auto &history = log.history(Topic::Jobs);
        return static_cast<int>(
            std::count_if(history.begin(), history.end(), [&](const LoggedRecord &logged) {
                return logged.record.key == "s/" + id && !logged.record.value.empty();
            }));
    }

    FakePeers peers;
    ForwardingNode owner { *this, peers, log, "one#1" };
    ForwardingNode other { *this, peers, log, "two#1" };
};
