// bench: measures scheduling decisions, dispatch rounds and the growth figures ("slopes") for
// docs/CAPACITY.md, and generates the lookup load for Meta/hop.sh.

#include "Day.h"
#include "FirstFit.h"
#include "Rounds.h"

#include "Decision/ShardScheduler.h"
#include "Protocol/Json.h"
#include "Protocol/PeerMessages.h"
#include "Transport/HttpClient.h"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <iostream>
#include <mutex>
#include <semaphore>

namespace {

using namespace Cranberrymount;

Resources size(int64_t cpuMillis, int64_t memoryMb)
{
    return {CpuMillis(cpuMillis), MemoryMb(memoryMb), AcceleratorCount(0)};
}

std::vector<DayShape> dayShapes()
{
    DayShape steppe;
    steppe.name = "steppe-zone";
    steppe.capacity = size(16'000, 64'000);
    DayShape chamber;
    chamber.name = "chamber-zone";
    chamber.workers = 13;
    chamber.workersPerRack = 6;
    chamber.capacity = size(64'000, 256'000);
    chamber.acceleratorStride = 3;
    chamber.meanJobInterval = Duration(700);
    chamber.gangFraction = 0.25;
    DayShape full = steppe;
    full.name = "full-size-zone";
    full.workers = 171;
    full.acceleratorStride = 2;
    full.teams = 29;
    full.meanJobInterval = Duration(160);
    full.length = Duration(180'000);
    DayShape fleet = full;
    fleet.name = "fleet-in-one-shard";
    fleet.workers = 1200;
    fleet.meanJobInterval = Duration(25);
    fleet.length = Duration(60'000);
    return {steppe, chamber, full, fleet};
}

Json encode(const DayResult &result)
{
    return {{"mean_wait_s", result.meanWaitSeconds},
            {"p99_wait_s", result.p99WaitSeconds},
            {"urgent_worst_s", result.maxUrgentWaitSeconds},
            {"gang_mean_wait_s", result.gangMeanWaitSeconds},
            {"gang_tasks_started", result.gangTasksStarted},
            {"packing", result.packing},
            {"share_error", result.shareError},
            {"started", result.started},
            {"checkpointed", result.checkpointed},
            {"finished", result.finished},
            {"decision_p99_us", result.decisionP99Micros},
            {"decisions_per_s", result.decisionsPerSecond}};
}

void print(const std::string &name, const DayResult &result)
{
    std::cout << fmt::format(
        "  {:10} wait mean {:7.2f} s p99 {:7.2f} s  urgent worst {:6.2f} s  "
        "gang tasks wait mean {:7.2f} s, started {:5}  "
        "packing {:.3f}  share error {:.4f}  started {:6}  checkpoints {:4}  finished {:5}  "
        "decision p99 {:7.1f} us, {:8.0f}/s\n",
        name, result.meanWaitSeconds, result.p99WaitSeconds, result.maxUrgentWaitSeconds,
        result.gangMeanWaitSeconds, result.gangTasksStarted, result.packing, result.shareError,
        result.started, result.checkpointed, result.finished, result.decisionP99Micros,
        result.decisionsPerSecond);
}

Json benchDays(uint64_t seed)
{
    Json report = Json::object();
    const ShardScheduler scheduler;
    for (const DayShape &shape : dayShapes()) {
        std::cout << shape.name << " (" << shape.workers << " workers, seed " << seed << ")\n";
        const DayResult ours =
            runDay(shape, seed, [&](const ShardView &view) { return scheduler.decide(view); });
        const DayResult baseline = runDay(shape, seed, decideFirstFit);
        print("ours", ours);
        print("first-fit", baseline);
        report[shape.name] = {{"ours", encode(ours)}, {"first_fit", encode(baseline)}};
    }
    return report;
}

ShardRecord makeRecord(int workers, int jobs, int tasks)
{
    ShardRecord record;
    for (int number = 0; number < workers; ++number)
        record.roster[WorkerId("kz-a-worker-" + std::to_string(number))] = InstanceListVersion(7);
    for (int number = 0; number < jobs; ++number) {
        JobPortion portion;
        portion.spec.id = JobId(fmt::format("job-{:016x}", number));
        portion.spec.team = TeamId("forecast");
        portion.spec.tasks = static_cast<uint32_t>(tasks);
        portion.spec.perTask = size(2000, 4000);
        portion.spec.payload = "rebuild --region 7";
        for (int index = 0; index < tasks; ++index)
            portion.tasks.push_back({static_cast<uint32_t>(index)});
        record.admitted.push_back({portion.spec.id, 12345678901234567890U});
        record.portions.emplace(portion.spec.id, std::move(portion));
    }
    return record;
}

/**
 * Measures how the size and encoding time of a shard record grow with its jobs, and how the size of
 * a heartbeat grows with its shards.
 */
Json benchSlopes()
{
    Json report = Json::object();
    std::cout << "slopes\n";
    for (const int jobs : {10, 40, 160}) {
        const ShardRecord record = makeRecord(48, jobs, 50);
        const auto startedAt = std::chrono::steady_clock::now();
        constexpr int Repetitions = 20;
        std::size_t bytes = 0;
        for (int round = 0; round < Repetitions; ++round)
            bytes = Json(record).dump().size();
        const double micros =
            std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - startedAt)
                .count()
            / Repetitions;
        std::cout << fmt::format(
            "  record of 48 workers, {} jobs of 50 tasks: {} bytes, {:.0f} us\n", jobs, bytes,
            micros);
        report["record"][std::to_string(jobs)] = {{"bytes", bytes}, {"encode_us", micros}};
    }
    for (const int shards : {1, 4, 16}) {
        Heartbeat heartbeat;
        heartbeat.from = EntryId("kz-a-entry-1");
        heartbeat.zone = ZoneId("kz-a");
        heartbeat.address = {"10.0.0.1", 7001};
        for (int number = 0; number < shards; ++number)
            heartbeat.shards.push_back(
                {ShardId("kz-a." + std::to_string(number)), Epoch(99), true});
        const std::size_t bytes = encodeEnvelope({0, {}, heartbeat}).size();
        std::cout << fmt::format("  heartbeat of {} shards: {} bytes\n", shards, bytes);
        report["heartbeat"][std::to_string(shards)] = bytes;
    }
    return report;
}

/** Sends @p count requests, at most @p concurrency in flight, and prints rate and latency. */
void load(const std::string &url, int count, int concurrency, const std::string &body)
{
    HttpClient client;
    std::counting_semaphore<> freeSlots(concurrency);
    std::mutex mutex;
    std::vector<double> micros;
    std::atomic<int> failed = 0;
    const auto startedAt = std::chrono::steady_clock::now();
    for (int number = 0; number < count; ++number) {
        freeSlots.acquire();
        HttpCall call{"POST", url, body, {"X-Idempotent: true"}, Duration(5000)};
        const auto sent = std::chrono::steady_clock::now();
        client.send(std::move(call), [&, sent](const HttpResult &result) {
            const auto elapsed = std::chrono::steady_clock::now() - sent;
            {
                const std::lock_guard lock(mutex);
                micros.push_back(std::chrono::duration<double, std::micro>(elapsed).count());
            }
            if (!result.isOk())
                ++failed;
            freeSlots.release();
        });
    }
    for (int slot = 0; slot < concurrency; ++slot)
        freeSlots.acquire();
    const double seconds =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - startedAt).count();
    std::sort(micros.begin(), micros.end());
    std::cout << Json{{"url", url},
                      {"requests", count},
                      {"failed", failed.load()},
                      {"per_second", count / seconds},
                      {"median_us", micros[micros.size() / 2]},
                      {"p99_us", micros[micros.size() * 99 / 100]}}
                     .dump()
              << "\n";
}

} // namespace

namespace {

void printRounds()
{
    for (const std::size_t workers : {48, 350, 1200}) {
        for (const auto &[waiting, gangs] :
             {std::pair{20, 0}, {150, 0}, {900, 0}, {20, 20}, {80, 80}}) {
            const RoundTimes times = timeRounds(workers, waiting, gangs);
            std::cout << fmt::format("{:5} workers {:4} waiting steps, {:3} gangs: {:8.3f} ms per "
                                     "round, {} starts, {} advice calls\n",
                                     workers, waiting, gangs, times.meanMilliseconds, times.starts,
                                     times.adviceCalls);
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine line("bench: measures scheduling decisions and growth, or loads a URL", ' ',
                            "0.1");
        TCLAP::ValueArg<uint64_t> seed("", "seed", "seed of the simulated days", false, 1, "N",
                                       line);
        TCLAP::ValueArg<std::string> report("", "report", "file for the JSON report", false,
                                            "bench-report.json", "FILE", line);
        TCLAP::ValueArg<std::string> url("", "load", "URL to send requests to instead", false, "",
                                         "URL", line);
        TCLAP::ValueArg<int> count("", "count", "number of requests to send", false, 2000, "N",
                                   line);
        TCLAP::ValueArg<int> concurrency("", "at-once", "maximum number of requests in flight",
                                         false, 1, "N", line);
        TCLAP::SwitchArg rounds("", "rounds", "time a cell's dispatch rounds instead", line);
        line.parse(argc, argv);
        if (rounds.getValue()) {
            printRounds();
            return 0;
        }
        if (url.isSet()) {
            load(url.getValue(), count.getValue(), concurrency.getValue(), "{}");
            return 0;
        }
        const Json result = {{"seed", seed.getValue()},
                             {"days", benchDays(seed.getValue())},
                             {"slopes", benchSlopes()}};
        std::ofstream(report.getValue()) << result.dump(2) << "\n";
        return 0;
    } catch (const TCLAP::ArgException &error) {
        std::cerr << error.error() << " " << error.argId() << "\n";
        return 2;
    }
}
