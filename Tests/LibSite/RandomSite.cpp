#include "RandomSite.h"

static constexpr int nodeCount = 4;
static constexpr int jobCount = 24;
static constexpr int workerCount = 3;
static constexpr int maxPauseMs = 25;

RandomSite::RandomSite(std::uint64_t seed)
    : m_seed(seed)
    , m_random(seed)
{
    // Short times make dropped jobs and changes of the owner frequent.
    if (happensOnceIn(2))
        m_site.scheduler.retention = milliseconds(250);
    m_site.ownerMonitor.ownerTimeout = milliseconds(400);
    m_site.ownerMonitor.maxClaimJitter = milliseconds(60);
    for (int i = 0; i < workerCount; ++i)
        m_site.log.put(Topic::Workers, { "w" + std::to_string(i), "a" });
    for (int i = 0; i < nodeCount; ++i)
        m_site.startElection(m_site.addNode("n" + std::to_string(i)));
}

RandomSite::~RandomSite()
{
    m_site.context.stop();
}

int RandomSite::randomBelow(int count)
{
    return static_cast<int>(m_random() % static_cast<std::uint64_t>(count));
}

TestNode &RandomSite::randomNode()
{
    return *m_site.nodes[static_cast<std::size_t>(randomBelow(nodeCount))];
}

Jobs::JobId RandomSite::randomJob()
{
    return Jobs::JobId("j" + std::to_string(randomBelow(jobCount)));
}

void RandomSite::poll()
{
    m_site.context.poll();
    if (m_areFaultsStopped || Core::steadyNow() < m_nextEventAt)
        return;
    m_nextEventAt = Core::steadyNow() + milliseconds(1 + randomBelow(maxPauseMs));
    runRandomEvent();
}

void RandomSite::runRandomEvent()
{
    if (happensOnceIn(12))
        return injectStoreFaults();
    if (happensOnceIn(25))
        return changeOwner();
    sendRandomRequest();
}

void RandomSite::sendRandomRequest()
{
    if (happensOnceIn(4))
        return cancel();
    if (happensOnceIn(3)) {
        asio::co_spawn(m_site.context,
                       randomNode().jobRequests.find(randomJob(), m_site.deadlineIn(300)),
                       asio::detached);
        return;
    }
    submit();
}

void RandomSite::submit()
{
    const Jobs::JobId id = randomJob();
    asio::co_spawn(m_site.context,
                   randomNode().jobRequests.submit(job(id.text()), m_site.deadlineIn(400)),
                   [this, id](const std::exception_ptr &, SubmitOutcome outcome) {
                       if (outcome == SubmitOutcome::Accepted)
                           m_accepted.insert(id);
                   });
}

void RandomSite::cancel()
{
    asio::co_spawn(m_site.context,
                   randomNode().jobRequests.cancel(randomJob(), m_site.deadlineIn(400)),
                   asio::detached);
}

void RandomSite::injectStoreFaults()
{
    MemoryLog &log = m_site.log;
    if (happensOnceIn(3))
        log.compact(Topic::Jobs);
    log.losesAnswers = happensOnceIn(4);
    log.isDown = happensOnceIn(8);
    log.refusesReads = happensOnceIn(6);
    log.answerMs = happensOnceIn(3) ? randomBelow(150) : 0;
    log.pageMs = happensOnceIn(3) ? randomBelow(40) : 1;
}

void RandomSite::changeOwner()
{
    if (happensOnceIn(2))
        return claimAsOtherNode();
    TestNode &node = randomNode();
    node.state.isLeaving = !node.state.isLeaving;
    if (node.state.isLeaving)
        node.election.stepDown();
}

void RandomSite::claimAsOtherNode()
{
    const std::optional<Jobs::OwnerClaim> &claim = randomNode().state.ownerMonitor.claim();
    const std::int64_t term = claim ? claim->term + 1 : 0;
    const Jobs::OwnerClaim otherClaim { "stranger", term, false };
    m_site.log.put(Topic::Jobs, Jobs::encodeRecord(otherClaim).front());
    Jobs::ProgressRecord record;
    record.id = randomJob();
    record.progress.state = Jobs::JobState::Failed;
    if (m_site.tableOfLog().find(record.id))
        m_site.log.put(Topic::Jobs, Jobs::encodeRecord(record).front());
}

void RandomSite::stopFaults()
{
    m_areFaultsStopped = true;
    MemoryLog &log = m_site.log;
    log.losesAnswers = log.isDown = log.refusesReads = false;
    log.answerMs = 0;
    log.pageMs = 1;
    for (const auto &node : m_site.nodes)
        node->state.isLeaving = false;
}

bool RandomSite::isReadToEnd()
{
    const auto end = static_cast<std::int64_t>(m_site.log.history(Topic::Jobs).size());
    return std::all_of(m_site.nodes.begin(), m_site.nodes.end(), [end](const auto &node) {
        return node->jobs.nextOffset() == end && node->jobs.isDetailed();
    });
}

std::string RandomSite::differences()
{
    std::string differences;
    const Jobs::JobTable table = m_site.tableOfLog();
    for (const auto &node : m_site.nodes) {
        if (node->state.table != table)
            differences += node->state.settings.nodeName + " differs from the log; ";
        if (node->state.ownerMonitor.claimOffset()
            != m_site.nodes.front()->state.ownerMonitor.claimOffset())
            differences += node->state.settings.nodeName + " sees another claim; ";
    }
    std::set<std::string> written;
    for (const LoggedRecord &logged : m_site.log.history(Topic::Jobs))
        written.insert(logged.record.key);
    for (const Jobs::JobId &id : m_accepted) {
        if (!written.contains("s/" + id.text()))
            differences += id.text() + " was accepted and isn't in the log; ";
    }
    return differences.empty() ? "" : "seed " + std::to_string(m_seed) + ": " + differences;
}
