#include "TaskWorld.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace Task::Testing {

using namespace std::chrono_literals;

namespace {

constexpr Core::Duration tickLength = 100ms;
constexpr Core::Duration holderLeaseLength = 3s;
constexpr Core::Duration retention = 90s;
/// How long after a rule or a notice it may still be in force.
constexpr Core::Duration reactionTime = 3s;
constexpr Core::Duration answerTimeout = 2s;

PlacerSettings settingsOf(const std::string &domain, const std::string &self,
                          const PlacerGuards &guards, const TableGuards &tableGuards)
{
    PlacerSettings settings;
    settings.domain = Core::FailureDomainId(domain);
    settings.self = Core::VmId(self);
    settings.taskLeaseLength = 8s;
    settings.driftAllowance = 500ms;
    settings.renewInterval = 1s;
    settings.checkpointPatience = 10s;
    settings.snapshotInterval = 15s;
    settings.snapshotRetryInterval = 5s;
    settings.guards = guards;
    settings.tableGuards = tableGuards;
    return settings;
}

std::string textOf(const AttemptId &attempt)
{
    return attempt.task.text() + "/" + std::to_string(attempt.number);
}

} // namespace

TaskWorld::TaskWorld(unsigned seed, const PlacerGuards &guards, const TableGuards &tableGuards)
    : TaskWorld(seed, { { "a", 3, 3 }, { "b", 1, 2 } }, guards, tableGuards)
{
}

TaskWorld::TaskWorld(unsigned seed, const std::vector<DomainShape> &shapes,
                     const PlacerGuards &guards, const TableGuards &tableGuards)
    : m_guards(guards)
    , m_tableGuards(tableGuards)
    , m_random(seed)
{
    Rules::TaskClassRule tracker;
    tracker.kind = Rules::TaskKind::LatencyCritical;
    m_rules.classes[Core::TaskClassId("tracker")] = tracker;
    Rules::TaskClassRule mover;
    mover.cutOffPolicy = Rules::CutOffPolicy::Move;
    mover.cutOffAfter = 6s;
    m_rules.classes[Core::TaskClassId("mover")] = mover;
    for (const DomainShape &shape : shapes)
        addDomain(shape);
    advance(4s);
}

TaskWorld::~TaskWorld() = default;

void TaskWorld::addDomain(const DomainShape &shape)
{
    auto domain = std::make_unique<Domain>();
    domain->name = shape.name;
    domain->schedulers.domain = Core::FailureDomainId(shape.name);
    domain->schedulers.isInformed = shape.isInformed;
    for (std::size_t index = 0; index < shape.workers; ++index) {
        Platform::VmEntry entry;
        entry.id = Core::VmId("w" + shape.name + std::to_string(index));
        entry.failureDomain = Core::FailureDomainId(shape.name);
        entry.capacity = shape.capacity;
        entry.capacity.accelerators = index == 0 ? 1 : 0;
        domain->workers.emplace_back(entry);
    }
    domain->nodes.resize(shape.nodes);
    for (Node &node : domain->nodes)
        bootNode(*domain, node);
    m_domains.push_back(std::move(domain));
}

void TaskWorld::bootNode(Domain &domain, Node &node)
{
    const auto index = std::to_string(&node - domain.nodes.data());
    node.incarnation += 1;
    node.inbox.clear();
    node.heard.clear();
    node.pausedUntil = {};
    const std::string self = domain.name + index + "." + std::to_string(node.incarnation);
    node.placer = std::make_unique<DomainPlacer>(
        domain.schedulers, settingsOf(domain.name, self, m_guards, m_tableGuards));
    const FakeStream &stream = domain.stream;
    node.nextOffset = stream.firstRetained;
    if (stream.firstRetained == 0)
        return;
    SnapshotScan scan;
    for (std::uint64_t offset = stream.firstRetained; offset < stream.end(); ++offset) {
        if (std::holds_alternative<std::string>(stream.entries[offset].body))
            scan.onRecord(stream.recordAt(offset));
    }
    const std::optional<Snapshot> snapshot = scan.newest(stream.firstRetained);
    if (!snapshot) {
        violate("no snapshot is retained");
        return;
    }
    node.placer->restore(*snapshot);
    node.nextOffset = snapshot->coversUntil;
}

void TaskWorld::violate(const std::string &what)
{
    std::ostringstream text;
    text << std::chrono::duration<double>(m_now.time_since_epoch()).count() - 3600
         << " s: " << what;
    violations.push_back(text.str());
}

Core::Duration TaskWorld::random(Core::Duration most)
{
    return Core::Duration(static_cast<std::int64_t>(m_random() % (most.count() + 1)));
}

Core::Duration TaskWorld::flight()
{
    // Most messages are fast; a few take as long as is allowed for.
    return m_random() % 8 == 0 ? random(1400ms) : random(20ms);
}

bool TaskWorld::isCut(const std::map<Core::VmId, Core::Instant> &cuts,
                      const Core::VmId &worker) const
{
    const auto found = cuts.find(worker);
    return found != cuts.end() && m_now < found->second;
}

void TaskWorld::at(Core::Instant when, std::function<void()> event)
{
    m_events.emplace(std::max(when, m_now), std::move(event));
}

void TaskWorld::deliver(Node &node, unsigned incarnation, std::function<void()> event)
{
    if (node.incarnation != incarnation)
        return;
    if (m_now < node.pausedUntil)
        node.inbox.push_back(std::move(event));
    else
        event();
}

void TaskWorld::advance(Core::Duration length)
{
    const Core::Instant end = m_now + length;
    for (Core::Instant next = m_now + tickLength; next <= end; next += tickLength) {
        while (!m_events.empty() && m_events.begin()->first <= next) {
            const auto event = m_events.extract(m_events.begin());
            m_now = event.key();
            event.mapped()();
        }
        m_now = next;
        tick();
    }
}

void TaskWorld::tick()
{
    for (const auto &domain : m_domains) {
        for (FakeWorker &worker : domain->workers)
            worker.advance(m_now);
        domain->stream.expire(m_now - retention);
        tickLease(*domain);
        for (Node &node : domain->nodes)
            tickNode(*domain, node);
    }
    checkWorkers();
    checkOwners();
}

void TaskWorld::tickLease(Domain &domain)
{
    Node &holder = domain.nodes[domain.holder];
    const bool isPaused = m_now < holder.pausedUntil;
    if (holder.placer->isHolder() && !isPaused && domain.isHolderSupported
        && m_now < domain.leaseDeadline) {
        domain.leaseDeadline = m_now + holderLeaseLength;
        holder.placer->extendLease(domain.leaseDeadline);
        return;
    }
    if (m_now < domain.leaseDeadline || m_now < m_logDownUntil)
        return;
    const std::size_t first = domain.isHolderSupported ? 0 : 1;
    for (std::size_t step = first; step < domain.nodes.size() + 1; ++step) {
        const std::size_t candidate = (domain.holder + step) % domain.nodes.size();
        Node &node = domain.nodes[candidate];
        if (m_now < node.pausedUntil)
            continue;
        domain.holder = candidate;
        domain.isHolderSupported = true;
        domain.stream.claim(++domain.epoch, m_now);
        readLog(domain, node);
        domain.leaseDeadline = m_now + holderLeaseLength;
        node.heard.clear();
        node.placer->becomeHolder(domain.epoch, domain.leaseDeadline, m_now);
        return;
    }
}

void TaskWorld::tickNode(Domain &domain, Node &node)
{
    if (m_now < node.pausedUntil)
        return;
    DomainPlacer &placer = *node.placer;
    placer.setRules(m_rules, m_rulesVersion);
    placer.setRulesFresh(true);
    std::vector<Platform::VmEntry> workers;
    for (const FakeWorker &worker : domain.workers)
        workers.push_back(worker.entry);
    placer.setWorkers(workers, m_now);
    std::vector<PeerDomain> peers;
    for (const auto &peer : m_domains) {
        if (peer.get() != &domain) {
            const DomainPlacer &holder = *peer->nodes[peer->holder].placer;
            peers.push_back({ Core::FailureDomainId(peer->name), holder.freeForPeers(), true });
        }
    }
    placer.setPeerDomains(peers);
    // What came while the process was paused is handled before it has read anything new.
    for (const std::function<void()> &event : std::exchange(node.inbox, {}))
        event();
    pollNode(domain, node);
    readLog(domain, node);
    pollNode(domain, node);
}

void TaskWorld::readLog(Domain &domain, Node &node)
{
    if (m_now < m_logDownUntil)
        return;
    const FakeStream &stream = domain.stream;
    while (node.nextOffset < stream.end())
        stream.feed(node.nextOffset++, *node.placer, m_now);
    node.placer->onLogPosition(stream.firstRetained, stream.end(), m_now);
}

void TaskWorld::pollNode(Domain &domain, Node &node)
{
    for (const PlacerAction &action : node.placer->poll(m_now))
        std::visit([&](const auto &single) { send(domain, node, single); }, action);
}

void TaskWorld::leaveProcess(Node &node, const std::function<void()> &departure)
{
    // Between the decision and the first byte the process may be paused or end.
    const unsigned incarnation = node.incarnation;
    at(m_now + random(30ms),
       [this, &node, incarnation, departure] { deliver(node, incarnation, departure); });
}

void TaskWorld::append(FakeStream &stream, std::vector<TaskRecord> records,
                       const std::function<void(AppendOutcome)> &answer)
{
    const bool isDown = m_now < m_logDownUntil;
    const bool isAnswerLost = m_now < m_answersLostUntil && m_random() % 2 == 0;
    const bool lands = !isDown || m_random() % 4 == 0;
    if (lands) {
        const bool isLate = isDown || isAnswerLost;
        at(m_now + random(isLate ? 6s : 60ms),
           [this, &stream, records = std::move(records)] { stream.append(records, m_now); });
    }
    AppendOutcome outcome = AppendOutcome::Landed;
    if (isDown && !lands && m_random() % 2 == 0)
        outcome = AppendOutcome::NotLanded;
    else if (isDown || isAnswerLost)
        outcome = AppendOutcome::Unknown;
    const Core::Duration answerDelay
        = m_now < m_answersLostUntil ? 60ms + random(4s) : 60ms + random(60ms);
    at(m_now + answerDelay, [answer, outcome] { answer(outcome); });
}

void TaskWorld::send(Domain &domain, Node &node, const AppendRecords &action)
{
    leaveProcess(node, [this, &domain, &node, action, incarnation = node.incarnation] {
        append(domain.stream, action.records, [=, this, &node](AppendOutcome outcome) {
            deliver(node, incarnation, [=, this, &node] {
                node.placer->onAppendOutcome(action.batchId, outcome, m_now);
            });
        });
    });
}

void TaskWorld::send(Domain & /*domain*/, Node &node, const AppendTransfer &action)
{
    leaveProcess(node, [this, &node, action, incarnation = node.incarnation] {
        FakeStream &target = domainOf(action.toDomain.text()).stream;
        append(target, { action.record }, [=, this, &node](AppendOutcome outcome) {
            deliver(node, incarnation, [=, this, &node] {
                node.placer->onTransferOutcome(action.task, action.transferNumber, outcome, m_now);
            });
        });
    });
}

void TaskWorld::send(Domain &domain, Node &node, const StartAttempt &action)
{
    leaveProcess(node, [this, &domain, &node, action, incarnation = node.incarnation] {
        const auto answer = [=, this, &node](StartOutcome outcome) {
            deliver(node, incarnation, [=, this, &node] {
                node.placer->onStartOutcome(action.attempt, action.epoch, outcome, m_now);
            });
        };
        if (m_now > action.notAfter) {
            answer(StartOutcome::NotDone);
            return;
        }
        if (!node.heard.contains(action.worker))
            violate("started on a worker that wasn't heard: " + textOf(action.attempt));
        const bool isCutOff = isCut(m_cutWorkers, action.worker);
        const Core::Duration outward = flight();
        if (!isCutOff) {
            at(m_now + outward, [this, &domain, action, sentAt = m_now] {
                FakeWorker &worker = *workerById(domain, action.worker);
                if (worker.attempts.contains(action.attempt))
                    return;
                checkStart(domain, worker, action);
                worker.start(action, sentAt, random(400ms), m_now);
                if (worker.attempts.at(action.attempt).phase == AttemptPhase::Failed)
                    ++m_failures[action.spec.id];
                checkWorkers();
            });
        }
        if (isCutOff || isCut(m_cutAnswers, action.worker))
            at(m_now + answerTimeout, [answer] { answer(StartOutcome::Unknown); });
        else
            at(m_now + outward + flight(), [answer] { answer(StartOutcome::Done); });
    });
}

void TaskWorld::send(Domain &domain, Node &node, const StopAttempt &action)
{
    leaveProcess(node, [this, &domain, action] {
        if (m_now > action.notAfter || isCut(m_cutWorkers, action.worker))
            return;
        at(m_now + flight(), [this, &domain, action] {
            workerById(domain, action.worker)->stop(action.attempt, action.mode, m_now);
        });
    });
}

void TaskWorld::send(Domain & /*domain*/, Node & /*node*/, const ThrottleAttempt & /*action*/) { }

void TaskWorld::send(Domain &domain, Node &node, const RenewWorker &action)
{
    leaveProcess(node, [this, &domain, &node, action, incarnation = node.incarnation] {
        const auto fail = [=, this, &node] {
            deliver(node, incarnation, [=, this, &node] {
                node.placer->onWorkerUnreachable(action.worker, action.number, m_now);
            });
        };
        if (m_now > action.notAfter) {
            fail();
            return;
        }
        const bool isAnswerCut = isCut(m_cutAnswers, action.worker);
        if (isCut(m_cutWorkers, action.worker)) {
            at(m_now + answerTimeout, fail);
            return;
        }
        at(m_now + flight(), [=, this, &domain, &node, sentAt = m_now] {
            for (const AttemptId &attempt : action.acknowledged) {
                const TaskEntry *entry = domain.stream.truth.find(attempt.task);
                if (entry && entry->openAttempt && entry->openAttempt->number == attempt.number)
                    violate("acknowledged before it was recorded: " + textOf(attempt));
            }
            FakeWorker &worker = *workerById(domain, action.worker);
            const std::vector<AttemptReport> reports
                = worker.renew(action, sentAt, random(400ms), m_now);
            if (isAnswerCut) {
                at(m_now + answerTimeout, fail);
                return;
            }
            at(m_now + flight(), [=, this, &node] {
                deliver(node, incarnation, [=, this, &node] {
                    node.heard.insert(action.worker);
                    node.placer->onWorkerReport(action.worker, action.number, reports, m_now);
                });
            });
        });
    });
}

void TaskWorld::checkStart(const Domain &domain, const FakeWorker &worker,
                           const StartAttempt &action)
{
    ++starts[action.spec.id];
    const std::string name = textOf(action.attempt);
    const TaskEntry *entry = domain.stream.truth.find(action.spec.id);
    if (!entry || entry->lastAttempt < action.attempt.number)
        violate("started before it was recorded: " + name);
    if (entry && isEnded(entry->state) && entry->state != TaskState::Transferred)
        violate("an ended task was started: " + name);
    if (entry && entry->openAttempt && entry->openAttempt->number == action.attempt.number
        && entry->openAttempt->worker != action.worker)
        violate("started elsewhere than recorded: " + name);
    if (entry && workOf(action.checkpoint) < workOf(entry->checkpoint))
        violate("resumed from an old checkpoint: " + name);
    const Core::FailureDomainId domainId(domain.name);
    if (m_rules.isOut(domainId) && m_now > m_outSince.at(domainId) + reactionTime)
        violate("started in a failure domain that is out: " + name);
    const auto leaving = m_leavingSince.find(worker.entry.id);
    if (leaving != m_leavingSince.end() && m_now > leaving->second + reactionTime)
        violate("started on a leaving worker: " + name);
}

void TaskWorld::checkWorkers()
{
    std::map<Core::TaskId, int> running;
    for (const auto &domain : m_domains) {
        for (FakeWorker &worker : domain->workers) {
            worker.advance(m_now);
            if (!worker.used().fitsIn(worker.entry.capacity))
                violate("above capacity: " + worker.entry.id.text());
            for (const auto &[id, attempt] : worker.attempts) {
                if (attempt.phase == AttemptPhase::Running && ++running[id.task] == 2)
                    violate("runs twice: " + id.task.text());
            }
        }
    }
}

void TaskWorld::checkOwners()
{
    std::map<Core::TaskId, int> owners;
    for (const auto &domain : m_domains) {
        for (const auto &[task, entry] : domain->stream.truth.entries()) {
            if (entry.state != TaskState::Transferred && ++owners[task] == 2)
                violate("two failure domains own " + task.text());
        }
    }
}

FakeWorker *TaskWorld::workerById(Domain &domain, const Core::VmId &id)
{
    for (FakeWorker &worker : domain.workers) {
        if (worker.entry.id == id)
            return &worker;
    }
    return nullptr;
}

TaskWorld::Domain &TaskWorld::domainOf(const std::string &name)
{
    const auto isNamed = [&name](const auto &domain) { return domain->name == name; };
    return **std::ranges::find_if(m_domains, isNamed);
}

} // namespace Task::Testing
