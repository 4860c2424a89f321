#pragma once

#include "Decision/Dispatcher.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <deque>

namespace Cranberrymount {

/** A pool of equal workers and jobs of one step each; no network is involved. */
class DispatcherFixture
{
protected:
    DispatcherFixture()
    {
        m_configuration.version = 1;
        addQueue("lookup", 0, {});
        addQueue("batch", 2, {});
        addQueue("advised", 2,
                 AdviceCost{Duration(10), std::chrono::microseconds(100), Duration(1500)});
        addQueue("slowly-advised", 2,
                 AdviceCost{Duration(500), std::chrono::microseconds(8000), Duration(1500)});
        m_configuration.teams.push_back({TeamId("team"), {"key"}, 10, {}});
    }

    void addQueue(const char *name, int priority, std::optional<AdviceCost> advice)
    {
        QueueSettings queue;
        queue.id = QueueId(name);
        queue.pool = "pool";
        queue.priority = priority;
        queue.stretchFactor = 4;
        queue.startTarget = Duration(1000);
        queue.advice = advice;
        m_configuration.queues.push_back(queue);
    }

    void addWorkers(std::size_t count, int64_t cpu)
    {
        for (std::size_t index = 0; index < count; ++index) {
            CellWorker &info = m_infos.emplace_back();
            info.incarnation = {WorkerId(fmt::format("w{}", m_workers.size())), 1};
            info.pool = "pool";
            info.capacity = {CpuMillis(cpu), MemoryMb(1'000'000), AcceleratorCount(0)};
            DispatchWorker worker;
            worker.info = &info;
            worker.acceptsWork = true;
            m_workers.push_back(worker);
        }
    }

    /** Adds workers of 10 cores that share a rack. */
    void addRack(const char *rack, std::size_t count)
    {
        addWorkers(count, 10'000);
        for (std::size_t index = m_infos.size() - count; index < m_infos.size(); ++index)
            m_infos[index].rack = RackId(rack);
    }

    /** Adds a run of another job to each worker of a rack. */
    void addRunOnRack(const char *rack, int64_t cpu, Duration endsIn, Duration length)
    {
        static const JobId OtherJob("x");
        const Resources need{CpuMillis(cpu), MemoryMb(0), AcceleratorCount(0)};
        for (DispatchWorker &worker : m_workers) {
            if (worker.info->rack.value() != rack)
                continue;
            worker.used += need;
            worker.allocations.push_back(
                {&OtherJob, 0, 0, need, expectedRelease(m_instant, m_instant + endsIn, length)});
        }
    }

    JobId addJob(const char *queue, uint32_t tasks, int64_t cpu, Duration estimate,
                 bool isGang = false, bool isOverFairShare = false)
    {
        JobAccepted job;
        job.job = JobId(fmt::format("{:016x}", ++m_nextJob));
        job.queue = QueueId(queue);
        job.team = TeamId("team");
        job.pool = "pool";
        job.maxAttempts = 3;
        job.acceptedAt = m_now;
        job.isOverFairShare = isOverFairShare;
        job.spec.steps.resize(1);
        StepSpec &step = job.spec.steps[0];
        step.taskCount = tasks;
        step.need = {CpuMillis(cpu), MemoryMb(1), AcceleratorCount(0)};
        step.estimate = estimate;
        step.isGang = isGang;
        m_jobs.apply(job, m_now);
        return job.job;
    }

    /** Adds a run of another job to each worker. */
    void addRunEverywhere(int64_t cpu, Duration endsIn, Duration length, bool isService = false)
    {
        static const JobId OtherJob("x");
        const Resources need{CpuMillis(cpu), MemoryMb(0), AcceleratorCount(0)};
        for (DispatchWorker &worker : m_workers) {
            worker.used += need;
            worker.allocations.push_back(
                {&OtherJob, 0, 0, need,
                 isService ? NeverReleased
                           : expectedRelease(m_instant, m_instant + endsIn, length)});
        }
    }

    StepSpec &stepOf(const JobId &job) { return m_jobs.find(job)->accepted.spec.steps[0]; }

    DispatchResult decide()
    {
        DispatchInput input;
        input.now = m_instant;
        input.wallNow = m_now;
        input.jobs = &m_jobs;
        input.configuration = &m_configuration;
        input.advice = &m_advice;
        input.adviceCapacity = m_adviceCapacity;
        input.workers = m_workers;
        input.teamUse = m_teamUse;
        input.startDelay = m_startDelay;
        input.remoteFactor = m_remoteFactor;
        input.runLengths = &m_runLengths;
        input.localityWaits = &m_localityWaits;
        DispatchResult result = Dispatcher(std::move(input)).decide();
        m_localityWaits.update(result.localityDecisions, m_instant,
                               [this](const char *name, double by) { m_counts[name] += by; });
        return result;
    }

    /**
     * Fills the workers, which have 16 cores each, with services: 34 of 40 places of 4 cores are in
     * use by others, and one more task has ended after its job grew old.
     */
    JobId addServiceWithEndedTask()
    {
        addWorkers(10, 16'000);
        for (std::size_t worker = 0; worker < 9; ++worker) {
            const int64_t cpu = worker < 8 ? 16'000 : 8'000;
            m_workers[worker].used = {CpuMillis(cpu), MemoryMb(4), AcceleratorCount(0)};
        }
        JobId job = addService(1);
        runService(job, 0, Duration(60'000), RunOutcome::Failed);
        return job;
    }

    JobId addService(uint32_t tasks, bool isGang = false, bool isOverFairShare = false)
    {
        JobId job = addJob("batch", tasks, 4'000, Duration(1000), isGang, isOverFairShare);
        m_jobs.find(job)->accepted.spec.steps[0].isService = true;
        return job;
    }

    /** Lets a task run on worker 0 for @p length. */
    void runService(const JobId &job, uint32_t index, Duration length, RunOutcome outcome)
    {
        m_jobs.apply(RunAssigned{{job, 0, 0, index}, 1, m_infos[0].incarnation}, m_now);
        m_now += length;
        m_instant += length;
        m_jobs.apply(RunEnded{{job, 0, 0, index}, 1, outcome, ""}, m_now);
    }

    static std::size_t startsOf(const DispatchResult &result, const JobId &job)
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            result.starts, [&job](const StartDecision &start) { return start.task.job == job; }));
    }

    WallTime m_now{Duration(1'000'000)};
    Instant m_instant{Duration(1'000'000)};
    JobTable m_jobs;
    CellConfiguration m_configuration;
    AdviceCache m_advice;
    AdviceCapacity m_adviceCapacity{40, 40};
    std::deque<CellWorker> m_infos;
    std::vector<DispatchWorker> m_workers;
    std::map<TeamId, Resources> m_teamUse;
    Duration m_startDelay{60};
    double m_remoteFactor = 1;
    RunLengths m_runLengths;
    LocalityWaits m_localityWaits;
    std::map<std::string, double> m_counts;
    uint64_t m_nextJob = 0;
};

} // namespace Cranberrymount
