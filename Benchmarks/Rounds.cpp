#include "Rounds.h"

#include "Decision/Dispatcher.h"

#include <fmt/format.h>

#include <deque>

namespace Cranberrymount {

namespace {

constexpr int Repetitions = 20;
constexpr std::size_t RunsPerWorker = 5;
/** Workers that the advisor checked in one earlier call. */
constexpr std::size_t WorkersPerAdviceCall = 30;

const Resources WorkerSize{CpuMillis(16'000), MemoryMb(64'000), AcceleratorCount(0)};
const Resources TaskSize{CpuMillis(2'400), MemoryMb(4'000), AcceleratorCount(0)};

JobId jobName(std::size_t number)
{
    return JobId(fmt::format("{:016x}", number * 0x9e3779b97f4a7c15ULL));
}

} // namespace

RoundTimes timeRounds(std::size_t workers, std::size_t waiting, std::size_t gangs)
{
    const Instant now = Instant() + Duration(1'000'000);
    const WallTime wallNow{Duration(1'000'000)};
    CellConfiguration configuration;
    QueueSettings queue;
    queue.id = QueueId("lookup");
    queue.pool = "pool";
    queue.stretchFactor = 1.5;
    queue.startTarget = Duration(300);
    queue.advice = AdviceCost{Duration(9), std::chrono::microseconds(130), Duration(1500)};
    configuration.queues.push_back(queue);
    JobTable jobs;
    AdviceCache advice;
    std::vector<CellWorker> workerInfos(workers);
    for (std::size_t index = 0; index < workers; ++index) {
        workerInfos[index].incarnation = {WorkerId(fmt::format("i-{:010x}", index * 7919)), 1};
        workerInfos[index].pool = "pool";
        workerInfos[index].capacity = WorkerSize;
    }
    for (std::size_t number = 0; number < waiting; ++number) {
        JobAccepted job;
        job.job = jobName(number);
        job.queue = queue.id;
        job.acceptedAt = wallNow - Duration(number * 10);
        job.spec.steps.resize(1);
        job.spec.steps[0] = {};
        job.spec.steps[0].isGang = number < gangs;
        job.spec.steps[0].taskCount = number < gangs ? 20 : 3;
        job.spec.steps[0].need = TaskSize;
        job.spec.steps[0].estimate = Duration(800);
        jobs.apply(job, wallNow);
        std::vector<WorkerIncarnation> queriedWorkers;
        std::map<WorkerId, std::string> tickets;
        const std::size_t calls = number < gangs ? 4 : 1;
        for (std::size_t index = 0; index < std::min(calls * WorkersPerAdviceCall, workers);
             ++index) {
            queriedWorkers.push_back(workerInfos[(number * 13 + index) % workers].incarnation);
            if (index % 4 == 0)
                tickets.emplace(queriedWorkers.back().id, "ticket");
        }
        advice.beginCall({job.job, 0, 0}, queriedWorkers);
        advice.recordAnswer({job.job, 0, 0}, queriedWorkers, tickets, now - Duration(1));
    }
    std::deque<JobId> running;
    RoundTimes times;
    std::chrono::nanoseconds total{0};
    for (int repetition = 0; repetition < Repetitions; ++repetition) {
        DispatchInput input;
        input.now = now;
        input.wallNow = wallNow;
        input.jobs = &jobs;
        input.configuration = &configuration;
        input.advice = &advice;
        input.adviceCapacity = {27, 100};
        for (std::size_t index = 0; index < workers; ++index) {
            DispatchWorker worker;
            worker.info = &workerInfos[index];
            worker.acceptsWork = true;
            for (std::size_t run = 0; run < RunsPerWorker; ++run) {
                running.push_back(jobName(waiting + index));
                worker.used += TaskSize;
                worker.allocations.push_back(
                    {&running.back(), 0, 0, TaskSize, now + Duration(500)});
            }
            input.workers.push_back(std::move(worker));
        }
        const auto startedAt = std::chrono::steady_clock::now();
        const DispatchResult result = Dispatcher(std::move(input)).decide();
        total += std::chrono::steady_clock::now() - startedAt;
        times.starts = result.starts.size();
        times.adviceCalls = result.advice.size();
    }
    times.meanMilliseconds = std::chrono::duration<double, std::milli>(total).count() / Repetitions;
    return times;
}

} // namespace Cranberrymount
