#include "TraceGenerator.h"

#include <algorithm>
#include <random>

namespace Load {

namespace {

/// Maximum ratio between the actual and the declared run time of a job, in either direction.
constexpr double declarationError = 3.0;
constexpr double failingJobShare = 0.02;

class Generator
{
public:
    explicit Generator(const GeneratorSettings &settings)
        : m_settings(settings)
        , m_random(settings.seed)
    {
    }

    template<typename MakeEvent>
    void addArrivals(std::vector<TraceEvent> &events, double rate, MakeEvent makeEvent)
    {
        if (rate <= 0)
            return;
        std::exponential_distribution<double> gap(rate);
        double seconds = gap(m_random);
        const double length = std::chrono::duration<double>(m_settings.length).count();
        while (seconds < length) {
            TraceEvent event = makeEvent();
            event.at = std::chrono::duration_cast<Core::Duration>(
                std::chrono::duration<double>(seconds));
            event.team = team();
            events.push_back(std::move(event));
            seconds += gap(m_random);
        }
    }

    TraceEvent request()
    {
        TraceEvent event;
        event.id = "request-" + std::to_string(m_settings.seed) + "-" + std::to_string(++m_count);
        event.isIdempotent = !happens(m_settings.nonIdempotentShare);
        event.method = event.isIdempotent ? "GET" : "POST";
        event.taskClass = event.isIdempotent ? "plan" : "reminder";
        event.key = event.isIdempotent ? "" : "key-" + event.id;
        event.service = scaled(m_settings.meanService, exponential());
        event.timeLimit = m_settings.timeLimit;
        return event;
    }

    TraceEvent job()
    {
        TraceEvent event;
        event.kind = EventKind::Job;
        event.id = "job-" + std::to_string(m_settings.seed) + "-" + std::to_string(++m_count);
        event.taskClass = "batch";
        const double size = std::uniform_real_distribution<double>(0.1, 1.0)(m_random);
        event.declared.milliCores
            = static_cast<std::int64_t>(size * double(m_settings.largestJob.milliCores));
        event.declared.mebibytes
            = static_cast<std::int64_t>(size * double(m_settings.largestJob.mebibytes));
        event.realRun = scaled(m_settings.meanRun, exponential());
        event.expectedRun = scaled(event.realRun, declarationFactor());
        event.isFailing = happens(failingJobShare);
        return event;
    }

private:
    bool happens(double probability) { return std::bernoulli_distribution(probability)(m_random); }

    double exponential() { return std::exponential_distribution<double>(1.0)(m_random); }

    double declarationFactor()
    {
        const double error
            = std::uniform_real_distribution<double>(1.0, declarationError)(m_random);
        return happens(0.5) ? error : 1.0 / error;
    }

    std::string team()
    {
        if (m_settings.teams < 2 || happens(m_settings.busiestShare))
            return "team-1";
        return "team-"
            + std::to_string(std::uniform_int_distribution<int>(2, m_settings.teams)(m_random));
    }

    static Core::Duration scaled(Core::Duration mean, double factor)
    {
        const auto duration = std::chrono::duration_cast<Core::Duration>(mean * factor);
        return std::max(duration, Core::Duration(std::chrono::milliseconds(1)));
    }

    const GeneratorSettings &m_settings;
    std::mt19937_64 m_random;
    int m_count = 0;
};

} // namespace

std::vector<TraceEvent> generateTrace(const GeneratorSettings &settings)
{
    std::vector<TraceEvent> events;
    Generator generator(settings);
    generator.addArrivals(events, settings.requestRate, [&] { return generator.request(); });
    generator.addArrivals(events, settings.jobRate, [&] { return generator.job(); });
    std::stable_sort(events.begin(), events.end(),
                     [](const auto &left, const auto &right) { return left.at < right.at; });
    return events;
}

} // namespace Load
