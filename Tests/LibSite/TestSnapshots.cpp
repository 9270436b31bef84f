#include "SiteFixture.h"

#include <LibSite/WorkerFollower.h>

#include <boost/asio/executor_work_guard.hpp>

namespace {

/// Records the smallest number of domains out of service that the owner is notified of.
class DomainObserver final : public SiteObserver
{
public:
    explicit DomainObserver(const SiteState &state)
        : m_state(state)
    {
    }

    void onJob(const Jobs::JobEntry &) override { }
    void onCancellation(const Jobs::JobId &) override { }
    void onClaim() override { }
    void onOperatorChange() override
    {
        ++changes;
        fewest = std::min(fewest, m_state.outOfService.size());
    }

    int changes = 0;
    std::size_t fewest = 100;

private:
    const SiteState &m_state;
};

/// Counts the records of workers that are decoded. One that begins with `!` is malformed.
class CountingDecoder final : public SiteDecoder
{
public:
    OperatorChange decodeOperatorRecord(const Jobs::StoredRecord &) const override
    {
        return IrrelevantChange();
    }
    Jobs::WorkerInfo decodeWorkerRecord(const Jobs::StoredRecord &record) const override
    {
        ++decoded;
        if (record.value.starts_with('!'))
            throw Core::FormatError("read worker", record.key, "malformed");
        Jobs::WorkerInfo worker;
        worker.id = Core::VmId(record.key);
        worker.address = record.value.substr(0, 1);
        return worker;
    }

    mutable int decoded = 0;
};

} // namespace

TEST_CASE("Domains stay out of service while a new snapshot is read")
{
    SiteFixture site;
    for (const char *domain : { "out/a", "out/b", "out/c" })
        site.log.put(Topic::Operators, { domain, "1" });
    TestNode &node = site.addNode("one#1");
    site.run(100);
    REQUIRE(node.state.outOfService.size() == 3);
    DomainObserver observer(node.state);
    node.state.owner = &observer;

    // The snapshot has two pages, and a record that was never read before.
    site.log.put(Topic::Operators, { "out/d", "1" });
    site.log.compact(Topic::Operators);
    site.log.pageMs = 100;
    std::size_t fewestBetween = 100;
    for (int i = 0; i < 100; ++i) {
        site.run(10);
        fewestBetween = std::min(fewestBetween, node.state.outOfService.size());
    }
    CHECK(node.state.outOfService.size() == 4);
    CHECK(observer.changes > 0);
    CHECK(observer.fewest == 4);
    CHECK(fewestBetween == 3);
    node.state.owner = nullptr;
}

TEST_CASE("Workers stay in the list while a new snapshot is read")
{
    SiteFixture site;
    const auto guard = asio::make_work_guard(site.context);
    for (const char *worker : { "w1", "w2", "w3" })
        site.log.put(Topic::Workers, { worker, "a" });
    WorkerFollower follower(site.log, site.decoder);
    while (follower.workers().empty())
        site.await(follower.read(0));
    REQUIRE(follower.workers().size() == 3);

    site.log.put(Topic::Workers, { "w4", "a" });
    site.log.compact(Topic::Workers);
    std::size_t fewest = 100;
    bool isHistoryLost = false;
    const auto read = [&]() -> asio::awaitable<bool> {
        try {
            co_return co_await follower.read(0);
        } catch (const HistoryLostError &) {
            isHistoryLost = true;
        }
        co_return false;
    };
    for (int i = 0; i < 6; ++i) {
        site.await(read());
        fewest = std::min(fewest, follower.workers().size());
    }
    CHECK(isHistoryLost);
    CHECK(follower.workers().size() == 4);
    CHECK(fewest == 3);
}

TEST_CASE("A worker's record that is published again unchanged isn't decoded again")
{
    SiteFixture site;
    const auto guard = asio::make_work_guard(site.context);
    const CountingDecoder decoder;
    WorkerFollower follower(site.log, decoder);
    struct Step
    {
        std::string record;
        int decoded = 0;
        bool isChanged = false;
        std::string address;
    };
    site.log.put(Topic::Workers, { "w1", "a1" });
    while (follower.workers().empty())
        site.await(follower.read(0));
    const Jobs::WorkerInfo other = follower.workers().front();
    CHECK(other.address == "a");
    const int before = decoder.decoded;
    int decoded = 0;
    // An empty record unlists the worker; the same record as before then lists it again, as after
    // one that can't be decoded.
    for (const Step &step : std::vector<Step> { { "a1", 0, false, "a" },
                                                { "a2", 1, false, "a" },
                                                { "a2", 0, false, "a" },
                                                { "a1", 1, false, "a" },
                                                { "b1", 1, true, "b" },
                                                { "", 0, true, "" },
                                                { "b1", 1, true, "b" },
                                                { "!", 1, true, "" },
                                                { "!", 1, false, "" },
                                                { "b1", 1, true, "b" } }) {
        CAPTURE(step.record);
        site.log.put(Topic::Workers, { "w1", step.record });
        CHECK(site.await(follower.read(0)) == step.isChanged);
        decoded += step.decoded;
        CHECK(decoder.decoded == before + decoded);
        const std::vector<Jobs::WorkerInfo> workers = follower.workers();
        CHECK((workers.empty() ? "" : workers.front().address) == step.address);
    }
}
