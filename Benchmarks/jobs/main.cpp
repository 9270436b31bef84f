// What the owner's decisions cost: jobs-benchmark. Arguments: workers, waiting steps.

#include "LoadedSite.h"

#include <ReportDecoder.h>
#include <WorkerMessages.h>

#include <LibCore/Json.h>

#include <benchmark/benchmark.h>
#include <json/value.h>

#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <string>

/// Workers that are full of serving tasks, and jobs of 8 tasks that wait.
static SiteLoad fullSite(const benchmark::State &state)
{
    SiteLoad load;
    load.workers = static_cast<int>(state.range(0));
    load.waitingSteps = static_cast<int>(state.range(1));
    return load;
}

/// Workers with many short tasks beside some serving ones, and large steps that wait.
static SiteLoad busySite(const benchmark::State &state)
{
    SiteLoad load = fullSite(state);
    load.minTasks = 13;
    load.maxTasks = 40;
    load.bestEffortImages = 30;
    load.servingImages = 16;
    load.servingTasks = 6;
    return load;
}

static void pass(benchmark::State &state)
{
    LoadedSite site(fullSite(state));
    for (auto _ : state)
        benchmark::DoNotOptimize(site.pass());
}

static void report(benchmark::State &state)
{
    LoadedSite site(fullSite(state));
    for (auto _ : state)
        site.report();
}

static void endAndPass(benchmark::State &state)
{
    LoadedSite site(fullSite(state));
    for (auto _ : state) {
        site.endTask();
        benchmark::DoNotOptimize(site.pass());
    }
}

static void turn(benchmark::State &state)
{
    constexpr Core::Duration untilNextCall = std::chrono::microseconds(200);
    LoadedSite site(busySite(state));
    for (auto _ : state)
        site.turn(untilNextCall);
}

static void busyPass(benchmark::State &state)
{
    LoadedSite site(busySite(state));
    for (auto _ : state)
        benchmark::DoNotOptimize(site.pass());
}

/// A pass over the steps of customers. Arguments: workers, waiting steps, customers.
static void customersPass(benchmark::State &state)
{
    SiteLoad load = busySite(state);
    load.customers = static_cast<int>(state.range(2));
    LoadedSite site(load);
    for (auto _ : state)
        benchmark::DoNotOptimize(site.pass());
}

/// One second of the event loop at two ends of tasks per worker.
static void second(benchmark::State &state)
{
    constexpr int endsPerWorker = 2;
    LoadedSite site(busySite(state));
    for (auto _ : state)
        site.second(endsPerWorker * static_cast<int>(state.range(0)));
    state.counters["running"] = static_cast<double>(site.scheduler().runningCount());
    state.counters["waiting"] = static_cast<double>(site.scheduler().waitingCount());
}

/// A job with many due times. Arguments: the times, the thousandths of a core of its task (64,000
/// fit no worker).
static void schedule(benchmark::State &state)
{
    constexpr int endsPerSecond = 100;
    LoadedSite site({ .workers = 48, .waitingSteps = 10, .servingTasks = 2 });
    site.submitSchedule(state.range(0), state.range(1));
    double longestMs = 0;
    const auto began = std::chrono::steady_clock::now();
    const int passes = site.passesUntilStart();
    const std::chrono::duration<double, std::milli> untilStart
        = std::chrono::steady_clock::now() - began;
    for (auto _ : state) {
        const auto passBegan = std::chrono::steady_clock::now();
        site.pass();
        const std::chrono::duration<double, std::milli> took
            = std::chrono::steady_clock::now() - passBegan;
        longestMs = std::max(longestMs, took.count());
        site.second(endsPerSecond);
    }
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    state.counters["longest_pass_ms"] = longestMs;
    state.counters["passes_until_start"] = passes;
    state.counters["start_ms"] = untilStart.count();
    state.counters["record_bytes"] = static_cast<double>(site.largestProgressBytes());
    state.counters["peak_kib"] = static_cast<double>(usage.ru_maxrss);
}

static std::string encoded(const Jobs::WorkerReport &report)
{
    Json::Value value(Json::objectValue);
    value["clockMs"] = Json::Int64(report.clockMs);
    value["born"] = Json::Int64(report.processStartUnixMs);
    value["running"] = Json::Value(Json::arrayValue);
    value["ended"] = Json::Value(Json::arrayValue);
    for (const Jobs::RunningEntry &entry : report.running) {
        Json::Value row(Json::arrayValue);
        row.append("0123456789abcdef.0.0.1");
        row.append(Json::Int64(entry.run));
        row.append("");
        row.append(entry.percentDone);
        row.append(Json::Int64(entry.recentLoad));
        value["running"].append(row);
    }
    return Core::Json::write(value);
}

static void decode(benchmark::State &state)
{
    LoadedSite site({ .workers = 48, .waitingSteps = 400 });
    site.report();
    const std::string text = encoded(site.lastReport());
    for (auto _ : state)
        benchmark::DoNotOptimize(Adapter::decodeReport(text, "worker"));
    state.counters["running"] = static_cast<double>(site.lastReport().running.size());
}

static void encode(benchmark::State &state)
{
    Jobs::StartCommand command;
    command.task = { Jobs::JobId("0123456789abcdef"), 0, 0, 17 };
    command.run = 2001;
    command.payload = std::string(64, 'a');
    command.leaseDeadlineMs = 482'113;
    command.token = 12;
    for (auto _ : state)
        benchmark::DoNotOptimize(Adapter::WorkerMessages::encodeStart(command));
}

BENCHMARK(pass)->Args({ 48, 100 })->Args({ 48, 500 })->Args({ 660, 500 });
BENCHMARK(report)->Args({ 48, 100 })->Args({ 48, 500 })->Args({ 660, 500 });
BENCHMARK(endAndPass)->Args({ 48, 100 })->Args({ 48, 500 })->Args({ 660, 500 });
BENCHMARK(turn)->ArgsProduct({ { 66, 660, 1100 }, { 100, 2000 } });
BENCHMARK(busyPass)->ArgsProduct({ { 66, 660, 1100 }, { 100, 500, 2000 } });
BENCHMARK(customersPass)->ArgsProduct({ { 660 }, { 5000 }, { 0, 20, 500 } });
BENCHMARK(second)
    ->ArgsProduct({ { 66, 660, 1100 }, { 100, 500, 2000 } })
    ->Unit(benchmark::kMillisecond);
BENCHMARK(schedule)
    ->ArgsProduct({ { 1, 1000, 100'000, 1'000'000'000 }, { 1000, 64'000 } })
    ->Iterations(20)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(decode);
BENCHMARK(encode);
BENCHMARK_MAIN();
