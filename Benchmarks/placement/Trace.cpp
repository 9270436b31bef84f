#include "Trace.h"

#include "Random.h"

#include <algorithm>
#include <array>
#include <string>

namespace PlacementBenchmark {

namespace {

constexpr double microsecondsPerSecond = 1e6;

/// A class of tasks and how its tasks really behave.
struct ClassMix
{
    const char *name;
    bool isLatencyCritical;
    int priority;
    /// Its part of the starts of its kind.
    double part;
    double declaredCores;
    double intensity;
    double sensitivity;
};

constexpr std::array<ClassMix, 7> classMixes { {
    { "reminder", true, 400, 0.4, 1.0, 0.1, 1.0 },
    { "chapter-plan", true, 500, 0.35, 2.0, 0.1, 2.0 },
    { "route-plan", true, 600, 0.25, 3.0, 0.1, 3.0 },
    { "roster", false, 20, 0.5, 1.0, 0.2, 0.0 },
    { "bundle", false, 40, 0.32, 1.0, 0.5, 0.0 },
    { "archive", false, 0, 0.15, 1.5, 1.6, 0.0 },
    { "vision", false, 20, 0.03, 2.0, 0.6, 0.0 },
} };

constexpr double meanLatencyCriticalLifetime = 460.0;

const ClassMix &chooseClass(Random &random, bool isLatencyCritical)
{
    double left = random.uniform();
    const ClassMix *chosen = nullptr;
    for (const ClassMix &mix : classMixes) {
        if (mix.isLatencyCritical != isLatencyCritical)
            continue;
        chosen = &mix;
        left -= mix.part;
        if (left < 0)
            break;
    }
    return *chosen;
}

Task::TaskSpec makeSpec(Random &random, const ClassMix &mix, std::size_t number, int teams)
{
    Task::TaskSpec spec;
    spec.id = Core::TaskId("task-" + std::to_string(number));
    // One team asks for four times as much as the others.
    const std::size_t team = random.below(teams + 3);
    spec.team = Core::TeamId("team-" + std::to_string(team < std::size_t(teams) ? team : 0));
    spec.taskClass = Core::TaskClassId(mix.name);
    const double size = random.logNormal(1.0, 0.4);
    spec.declared.milliCores = std::max<std::int64_t>(100, mix.declaredCores * size * 1000);
    spec.declared.mebibytes = std::max<std::int64_t>(64, mix.declaredCores * size * 2800);
    if (spec.taskClass.text() == "vision")
        spec.declared.accelerators = random.chance(0.7) ? 1 : 2;
    return spec;
}

TaskProfile makeProfile(Random &random, const ClassMix &mix, const Task::TaskSpec &spec,
                        double meanRunTime)
{
    TaskProfile profile;
    profile.isLatencyCritical = mix.isLatencyCritical;
    // Most declare too much, some far too little.
    const double error = std::min(2.5, random.logNormal(0.7, 0.5));
    profile.cores = static_cast<double>(spec.declared.milliCores) / 1000.0 * error;
    profile.mebibytes = static_cast<double>(spec.declared.mebibytes) * std::min(1.0, error);
    profile.intensity = mix.intensity * random.uniform(0.7, 1.3);
    profile.sensitivity = mix.sensitivity;
    const double runTime = random.exponential(meanRunTime);
    profile.work = mix.isLatencyCritical ? runTime : runTime * profile.cores;
    profile.isBroken = !mix.isLatencyCritical && random.chance(0.0005);
    return profile;
}

Platform::VmEntry makeWorker(int number, int domain)
{
    // Half of the workers are like those of the calendar service, half like the rounds service's.
    const bool isLarge = number % 2 == 0;
    const int perRack = isLarge ? 8 : 11;
    const int numberInDomain = number / 8;
    Platform::VmEntry worker;
    worker.id = Core::VmId("worker-" + std::to_string(domain) + "-" + std::to_string(number));
    worker.failureDomain = domainNamed(domain);
    worker.rack = std::to_string(domain) + (isLarge ? "-calendar-" : "-rounds-")
        + std::to_string(numberInDomain / perRack);
    worker.capacity = isLarge ? Core::Resources { 32000, 125 * 1024, 0 }
                              : Core::Resources { 16000, 60 * 1024, 0 };
    if (numberInDomain % 5 == 0)
        worker.capacity.accelerators = 4;
    return worker;
}

void cancelInWaves(Random &random, const TraceSettings &settings, std::vector<TraceTask> &tasks)
{
    // At two moments a team cancels half of what it submitted in the five minutes before it.
    constexpr std::array<double, 2> waves { 450.0, 650.0 };
    for (const double wave : waves) {
        const auto team = Core::TeamId("team-" + std::to_string(random.below(settings.teams)));
        for (TraceTask &task : tasks) {
            const double age = wave - secondsOf(task.submittedAt);
            const bool isRecent = age > 0 && age < 300;
            const bool isBatch = !task.profile.isLatencyCritical;
            if (isBatch && isRecent && task.spec.team == team && random.chance(0.5))
                task.profile.cancelledAt = atSeconds(wave);
        }
    }
}

Rules::RuleSet makeRules(const TraceSettings &settings, const Core::Resources &total)
{
    Rules::RuleSet rules;
    for (const ClassMix &mix : classMixes) {
        Rules::TaskClassRule rule;
        rule.taskClass = Core::TaskClassId(mix.name);
        rule.kind
            = mix.isLatencyCritical ? Rules::TaskKind::LatencyCritical : Rules::TaskKind::Batch;
        rule.priority = mix.priority;
        rules.classes[rule.taskClass] = rule;
    }
    for (int team = 0; team < settings.teams; ++team) {
        Rules::TeamRule rule;
        rule.team = Core::TeamId("team-" + std::to_string(team));
        rule.quota = { total.milliCores / settings.teams, total.mebibytes / settings.teams,
                       total.accelerators / settings.teams };
        rule.weight = 1 + team % 3;
        rules.teams[rule.team] = rule;
    }
    return rules;
}

class TraceGenerator
{
public:
    explicit TraceGenerator(const TraceSettings &settings)
        : m_settings(settings)
        , m_random(settings.seed)
        , m_latencyCriticalRate(settings.latencyCriticalTasks / meanLatencyCriticalLifetime)
        , m_batchRate((settings.startsPerSecond - m_latencyCriticalRate) * settings.batchLoad)
    {
    }

    Trace generate()
    {
        makeWorkers();
        for (int i = 0; i < m_settings.latencyCriticalTasks; ++i)
            addTask(0.0, true);
        for (int i = 0; i < m_settings.batchTasks; ++i)
            addTask(0.0, false);
        addArrivals();
        cancelInWaves(m_random, m_settings, m_trace.tasks);
        return std::move(m_trace);
    }

private:
    void makeWorkers()
    {
        Core::Resources total;
        for (int number = 0; number < m_settings.workers; ++number) {
            const int domain = number / 2 % m_settings.domains;
            m_trace.workers.push_back(makeWorker(number, domain));
            total = total + m_trace.workers.back().capacity;
            if (number / 2 == domain + m_settings.domains && number % 2 == 0)
                m_trace.badWorkers.push_back(m_trace.workers.back().id);
        }
        m_trace.rules = makeRules(m_settings, total);
    }

    void addArrivals()
    {
        const double end = std::chrono::duration<double>(m_settings.length).count();
        const double rate = m_latencyCriticalRate + m_batchRate;
        double now = m_random.exponential(1.0 / rate);
        while (now < end) {
            addTask(now, m_random.chance(m_latencyCriticalRate / rate));
            now += m_random.exponential(1.0 / rate);
        }
    }

    void addTask(double at, bool isLatencyCritical)
    {
        const ClassMix *mix = &chooseClass(m_random, isLatencyCritical);
        // In a wave a fifth of the batch starts are noisy beyond the usual ones.
        const bool isWave = isNoisyWave(atSeconds(at));
        if (isWave && !isLatencyCritical && m_random.chance(0.2))
            mix = &classMixes[5];
        const double meanRunTime = isLatencyCritical
            ? meanLatencyCriticalLifetime
            : m_settings.batchTasks / (m_settings.startsPerSecond - m_latencyCriticalRate);
        TraceTask task;
        task.submittedAt = atSeconds(at);
        task.spec = makeSpec(m_random, *mix, m_trace.tasks.size(), m_settings.teams);
        task.profile = makeProfile(m_random, *mix, task.spec, meanRunTime);
        m_trace.tasks.push_back(std::move(task));
    }

    TraceSettings m_settings;
    Random m_random;
    double m_latencyCriticalRate;
    double m_batchRate;
    Trace m_trace;
};

} // namespace

Trace generateTrace(const TraceSettings &settings)
{
    return TraceGenerator(settings).generate();
}

bool isNoisyWave(Core::Instant now)
{
    constexpr double period = 300.0;
    constexpr double length = 80.0;
    const double seconds = secondsOf(now);
    const double phase = seconds - period * static_cast<int>(seconds / period);
    return seconds > period && phase < length;
}

Core::Instant atSeconds(double seconds)
{
    return Core::Instant(
        Core::Duration(static_cast<std::int64_t>(seconds * microsecondsPerSecond)));
}

double secondsOf(Core::Instant instant)
{
    return static_cast<double>(instant.time_since_epoch().count()) / microsecondsPerSecond;
}

Core::FailureDomainId domainNamed(int number)
{
    return Core::FailureDomainId("domain-" + std::to_string(number));
}

} // namespace PlacementBenchmark
