#include <LibJob/OwnerMonitor.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace Jobs;
using std::chrono::milliseconds;

namespace {

Core::Instant at(int ms)
{
    return Core::Instant(milliseconds(100'000 + ms));
}

struct Gap
{
    /// The gap is between two records of an owner that has owned the jobs for less than this.
    int ownedBelowMs = 0;
    int gapMs = 0;
};

/// Nodes that follow the owner's records in virtual time, and claim the jobs when their monitors
/// say so. The first owner writes at the heartbeats' interval; one that has taken over writes as
/// the gaps say that depend on how long it has owned the jobs.
class MonitoredSite
{
public:
    MonitoredSite(int nodes, std::vector<Gap> gaps)
        : m_gaps(std::move(gaps))
    {
        for (int i = 0; i < nodes; ++i)
            addNode();
    }

    void addNode()
    {
        const std::string name = "node-" + std::to_string(m_nodes.size()) + "#1";
        const int phaseMs = static_cast<int>(m_nodes.size() * 37 % readIntervalMs);
        m_nodes.push_back({ name, OwnerMonitor(name, {}), m_nowMs + phaseMs });
    }

    /// The first owner claims the jobs and has owned them for \p ms.
    void ownFor(int ms)
    {
        claim(m_nodes.front());
        runFor(ms);
    }
    void runFor(int ms)
    {
        const int endMs = m_nowMs + ms;
        for (; m_nowMs < endMs; m_nowMs += stepMs)
            step();
    }
    void killOwner() { m_isOwnerAlive = false; }
    void releaseOwner()
    {
        OwnerClaim release = m_log.at(m_lastClaim).claim;
        release.isReleased = true;
        m_log.push_back({ true, release });
        m_lastClaim = m_log.size() - 1;
        killOwner();
    }

    int claims() const { return m_claims; }
    int nowMs() const { return m_nowMs; }
    int lastClaimMs() const { return m_lastClaimMs; }

private:
    static constexpr int stepMs = 10;
    static constexpr int readIntervalMs = 250;
    static constexpr int heartbeatMs = 500;

    struct Record
    {
        bool isClaim = false;
        OwnerClaim claim;
    };
    struct Node
    {
        std::string name;
        OwnerMonitor monitor;
        int nextReadMs = 0;
        std::size_t nextRecord = 0;
    };

    void step()
    {
        if (m_isOwnerAlive && m_nowMs >= m_nextWriteMs) {
            m_log.push_back({});
            planNextWrite();
        }
        for (Node &node : m_nodes) {
            if (m_nowMs >= node.nextReadMs) {
                read(node);
                node.nextReadMs = m_nowMs + readIntervalMs;
            }
            claimIfDue(node);
        }
    }
    void read(Node &node) const
    {
        for (; node.nextRecord < m_log.size(); ++node.nextRecord) {
            const Record &record = m_log[node.nextRecord];
            const auto offset = static_cast<std::int64_t>(node.nextRecord);
            if (record.isClaim)
                node.monitor.noteClaim(offset, record.claim, at(m_nowMs));
            else
                node.monitor.noteOwnerWrite(at(m_nowMs));
        }
        node.monitor.noteRead(true, at(m_nowMs));
    }
    bool isDue(const Node &node) const
    {
        const std::optional<Core::Instant> due = node.monitor.claimAt();
        return !node.monitor.isOwner() && due && *due <= at(m_nowMs);
    }
    /// Like the shell, a node reads to the end of the log before it claims.
    void claimIfDue(Node &node)
    {
        if (!isDue(node))
            return;
        read(node);
        if (isDue(node))
            claim(node);
    }
    void claim(Node &node)
    {
        const std::optional<OwnerClaim> &former = node.monitor.claim();
        m_log.push_back({ true, { node.name, former ? former->term + 1 : 0, false } });
        m_lastClaim = m_log.size() - 1;
        m_lastClaimMs = m_nowMs;
        m_isOwnerAlive = true;
        ++m_claims;
        read(node);
        planNextWrite();
    }
    void planNextWrite()
    {
        const int ownedMs = m_nowMs - m_lastClaimMs;
        const auto found = std::find_if(m_gaps.begin(), m_gaps.end(),
                                        [&](const Gap &gap) { return ownedMs < gap.ownedBelowMs; });
        const bool isSlow = m_claims > 1 && found != m_gaps.end();
        m_nextWriteMs = m_nowMs + (isSlow ? found->gapMs : heartbeatMs);
    }

    std::vector<Gap> m_gaps;
    std::vector<Node> m_nodes;
    std::vector<Record> m_log;
    int m_nowMs = 0;
    int m_nextWriteMs = 0;
    int m_lastClaimMs = 0;
    std::size_t m_lastClaim = 0;
    int m_claims = 0;
    bool m_isOwnerAlive = false;
};

constexpr int siteNodes = 147;
/// A takeover loads the owner so much that its next records are up to three seconds apart.
const std::vector<Gap> slowTakeover { { 2000, 2400 }, { 6000, 2900 }, { 9000, 2200 } };

} // namespace

TEST_CASE("Living owners that are slow after their takeover don't depose each other in turn",
          "[ownership]")
{
    MonitoredSite site(siteNodes, slowTakeover);
    site.ownFor(40'000);
    CHECK(site.claims() == 1);
    site.killOwner();
    site.runFor(40'000);
    CHECK(site.claims() == 2);
}

TEST_CASE("A dead owner is replaced within two seconds and a read unless it has just taken over",
          "[ownership]")
{
    MonitoredSite site(siteNodes, {});
    site.ownFor(60'000);
    REQUIRE(site.claims() == 1);
    const int diedMs = site.nowMs();
    site.killOwner();
    site.runFor(4000);
    CHECK(site.claims() == 2);
    CHECK(site.lastClaimMs() <= diedMs + 2150);

    SECTION("a successor that dies at once is replaced before its ownership is unproven")
    {
        const int diedAgainMs = site.nowMs();
        site.killOwner();
        site.runFor(4000);
        CHECK(site.claims() == 3);
        CHECK(site.lastClaimMs() <= diedAgainMs + 4000);
    }
    SECTION("a successor that releases the jobs at once is replaced at the next read")
    {
        site.releaseOwner();
        const int releasedMs = site.nowMs();
        site.runFor(1000);
        CHECK(site.claims() == 3);
        CHECK(site.lastClaimMs() <= releasedMs + 400);
    }
}
