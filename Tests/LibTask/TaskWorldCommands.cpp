#include "TaskWorld.h"

#include <array>
#include <utility>

namespace Task::Testing {

using namespace std::chrono_literals;

namespace {

constexpr Core::Duration healingTime = 400s;

Core::Duration lengthOf(unsigned number)
{
    return std::chrono::seconds(1 + number % 12);
}

TaskSpec specOf(unsigned number, unsigned a, unsigned b)
{
    constexpr std::array classes { "batch", "tracker", "mover" };
    TaskSpec spec;
    spec.id = Core::TaskId("t" + std::to_string(100 + number));
    spec.team = Core::TeamId("team");
    spec.taskClass = Core::TaskClassId(classes[a % classes.size()]);
    spec.declared = { 1000 + 500 * static_cast<std::int64_t>(b % 5), 1000, a % 7 == 0 ? 1 : 0 };
    // A few can never run.
    if (a % 11 == 10)
        spec.declared.milliCores = 5000;
    spec.expectedRunTime = std::chrono::seconds(1 + (a + b) % 15);
    return spec;
}

} // namespace

void TaskWorld::run(const Command &command)
{
    Domain &domain = *m_domains.front();
    Node &node = domain.nodes[command.a % domain.nodes.size()];
    FakeWorker &worker = domain.workers[command.a % domain.workers.size()];
    const Core::Instant until = m_now + lengthOf(command.b);
    switch (command.kind) {
    case Command::Kind::Submit:
        submit(command.a % 5 == 4 ? "b" : "a", specOf(m_lastTask, command.a, command.b));
        ++m_lastTask;
        return;
    case Command::Kind::Cancel:
        if (m_lastTask > 0)
            requestCancel(taskBy(command.a));
        return;
    case Command::Kind::Evict:
        if (m_lastTask > 0)
            evict(taskBy(command.a));
        return;
    case Command::Kind::Handover:
        handOver(domain.name);
        return;
    case Command::Kind::PausePlacer:
        // Mostly the holder.
        (command.a % 2 == 0 ? domain.nodes[domain.holder] : node).pausedUntil = until;
        return;
    case Command::Kind::RestartPlacer:
        bootNode(domain, node);
        return;
    case Command::Kind::LogOutage:
        failLog(lengthOf(command.b));
        return;
    case Command::Kind::LogLosesAnswers:
        m_answersLostUntil = until;
        return;
    case Command::Kind::CutWorker:
        m_cutWorkers[worker.entry.id] = until + lengthOf(command.b);
        return;
    case Command::Kind::CutAnswers:
        m_cutAnswers[worker.entry.id] = until + lengthOf(command.b);
        return;
    case Command::Kind::RestartWorker:
        worker.restart();
        return;
    case Command::Kind::FailAttempt:
        worker.failsNextAttempt = true;
        return;
    case Command::Kind::DomainOut:
        setDomainOut(domain.name, true);
        return;
    case Command::Kind::DomainBack:
        setDomainOut(domain.name, false);
        return;
    case Command::Kind::WorkerLeaving:
        worker.entry.state = Platform::VmState::Leaving;
        m_leavingSince.emplace(worker.entry.id, m_now);
        return;
    case Command::Kind::Wait:
        advance(std::chrono::milliseconds(200) * (command.b % 30));
        return;
    }
}

Core::TaskId TaskWorld::taskBy(unsigned number) const
{
    return Core::TaskId("t" + std::to_string(100 + number % m_lastTask));
}

void TaskWorld::setDomainOut(const std::string &name, bool isOut)
{
    const Core::FailureDomainId domain(name);
    if (m_rules.isOut(domain) == isOut)
        return;
    if (isOut)
        m_rules.domainsOut[domain] = { domain, "the test" };
    else
        m_rules.domainsOut.erase(domain);
    m_rulesVersion += 1;
    m_outSince[domain] = m_now;
}

void TaskWorld::evict(const Core::TaskId &task)
{
    for (const auto &domain : m_domains)
        domain->schedulers.orders.evict.insert(task);
}

void TaskWorld::handOver(const std::string &domain)
{
    domainOf(domain).isHolderSupported = false;
}

void TaskWorld::restartHolder(const std::string &name)
{
    Domain &domain = domainOf(name);
    bootNode(domain, domain.nodes[domain.holder]);
}

void TaskWorld::submit(const std::string &domain, TaskSpec spec)
{
    const Core::TaskId id = spec.id;
    const TaskRecord record = TaskRecord::create(0, Submitted { std::move(spec) });
    const auto answer = [this, id, domain](AppendOutcome outcome) {
        if (outcome == AppendOutcome::Landed)
            acknowledged[id] = domain;
    };
    append(domainOf(domain).stream, { record }, answer);
    // Callers repeat themselves when they hear nothing.
    if (m_random() % 4 == 0)
        append(domainOf(domain).stream, { record }, answer);
}

void TaskWorld::requestCancel(const Core::TaskId &task)
{
    for (const auto &domain : m_domains) {
        const TaskEntry *entry = domain->stream.truth.find(task);
        if (!entry || isEnded(entry->state))
            continue;
        m_cancelRequested.insert(task);
        append(domain->stream, { TaskRecord::create(0, CancelRequested { task }) },
               [](AppendOutcome) {});
    }
}

const TaskEntry *TaskWorld::entryOf(const Core::TaskId &task) const
{
    const TaskEntry *newest = nullptr;
    for (const auto &domain : m_domains) {
        const TaskEntry *entry = domain->stream.truth.find(task);
        if (entry
            && (!newest || entry->transferNumber > newest->transferNumber
                || newest->state == TaskState::Transferred))
            newest = entry;
    }
    return newest;
}

std::string TaskWorld::explain(const Core::TaskId &task) const
{
    std::string text;
    for (const auto &domain : m_domains)
        text += domain->name + ": " + domain->nodes[domain->holder].placer->explain(task) + "; ";
    return text;
}

void TaskWorld::heal()
{
    // Late appends and cuts end by themselves; the rest is put right here.
    advance(26s);
    m_leavingSince.clear();
    for (const auto &domain : m_domains) {
        setDomainOut(domain->name, false);
        for (FakeWorker &worker : domain->workers) {
            worker.entry.state = Platform::VmState::Live;
            worker.failsNextAttempt = false;
        }
    }
    const Core::Instant end = m_now + healingTime;
    const auto isAllEnded = [this] {
        for (const auto &[task, domain] : acknowledged) {
            const TaskEntry *entry = entryOf(task);
            if (entry && (!isEnded(entry->state) || entry->state == TaskState::Transferred))
                return false;
        }
        return true;
    };
    while (m_now < end && !isAllEnded())
        advance(5s);
}

void TaskWorld::checkOutcome()
{
    for (const auto &[task, domain] : acknowledged) {
        const TaskEntry *entry = entryOf(task);
        if (!entry) {
            violate("lost: " + task.text());
            continue;
        }
        const bool isRefused = entry->state == TaskState::Refused;
        if (isRefused && starts.contains(task))
            violate("refused, but it ran: " + task.text());
        const bool isCancelled
            = entry->state == TaskState::Cancelled && m_cancelRequested.contains(task);
        // The product's scheduler holds a task that failed on three workers, and no other.
        const auto failures = m_failures.find(task);
        const bool isHeld = entry->state == TaskState::Held && failures != m_failures.end()
            && failures->second >= 3;
        if (entry->state != TaskState::Finished && !isRefused && !isCancelled && !isHeld)
            violate("not finished: " + task.text() + ": " + explain(task));
    }
    // Every reader of a stream has the same table, from whichever snapshot it began.
    for (const auto &domain : m_domains) {
        for (Node &node : domain->nodes) {
            readLog(*domain, node);
            if (node.placer->table().entries() != domain->stream.truth.entries())
                violate("a reader differs in " + domain->name);
        }
    }
}

} // namespace Task::Testing
