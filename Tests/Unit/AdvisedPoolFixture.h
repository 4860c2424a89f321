#pragma once

#include "MemoryStore.h"

#include "Coordination/AdviceCallScheduler.h"
#include "Decision/Dispatcher.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <random>

namespace Cranberrymount {

constexpr Duration RoundInterval{50};
constexpr Duration TicketLifetime{1400};
constexpr Duration GangLength{5000};
constexpr Duration BatchLength{2700};
constexpr Duration LookupLength{800};
/** Part of a run after which its progress tells when it ends. */
constexpr int UsableProgressDivisor = 10;

/**
 * A pool whose advisor serves one call at a time for each calling node, in virtual time: rounds of
 * the dispatcher, an advisor that allows a fixed part of the workers, and a stream of gangs, batch
 * work and lookups. Answers the load of the users' deployments in which gangs use up the advisor.
 */
class AdvisedPoolFixture
{
protected:
    struct Run
    {
        TaskKey task;
        uint32_t attempt;
        Resources need;
        Instant beganAt;
        Instant endsAt;
        Duration estimate;
    };

    void addWorkers(std::size_t workers)
    {
        m_infos.resize(workers);
        m_runs.resize(workers);
        for (std::size_t index = 0; index < workers; ++index) {
            m_infos[index].incarnation = {WorkerId(fmt::format("w{:04}", index)), 1};
            m_infos[index].pool = "pool";
            m_infos[index].capacity = {CpuMillis(16'000), MemoryMb(64'000), AcceleratorCount(0)};
        }
    }

    void build(std::size_t workers, std::size_t callers)
    {
        addWorkers(workers);
        addQueue("gang", 1, {Duration(520), std::chrono::microseconds(7400), TicketLifetime}, 2.2,
                 Duration(1000));
        addQueue("batch", 2, {Duration(140), std::chrono::microseconds(2000), TicketLifetime}, 4,
                 Duration(3000));
        addQueue("lookup", 0, {Duration(11), std::chrono::microseconds(160), TicketLifetime}, 1.5,
                 Duration(300));
        m_allowedFractions = {
            {QueueId("gang"), 0.25}, {QueueId("batch"), 0.45}, {QueueId("lookup"), 0.7}};
        addCallers(callers);
    }

    void addCallers(std::size_t callers)
    {
        for (std::size_t index = 0; index < callers; ++index) {
            m_scheduler.addCaller(
                EntryId(fmt::format("node-{:03}", index)),
                [this, index](AdviceCall call, std::function<void(AdviceReply)> done) {
                    ask(index, std::move(call), std::move(done));
                });
        }
        m_callerFreeAt.resize(callers);
    }

    void addQueue(const char *name, int priority, AdviceCost cost, double stretch, Duration target)
    {
        QueueSettings queue;
        queue.id = QueueId(name);
        queue.pool = "pool";
        queue.priority = priority;
        queue.stretchFactor = stretch;
        queue.startTarget = target;
        queue.advice = cost;
        m_configuration.queues.push_back(queue);
    }

    JobId submit(const char *queue, uint32_t tasks, int64_t cpu, Duration length, bool isGang)
    {
        JobAccepted job;
        job.job = JobId(fmt::format("{:016x}", ++m_jobCount * 0x9e3779b97f4a7c15ULL));
        job.queue = QueueId(queue);
        job.pool = "pool";
        job.maxAttempts = 3;
        job.acceptedAt = wallNow();
        job.spec.steps.resize(1);
        StepSpec &step = job.spec.steps[0];
        step.taskCount = tasks;
        step.need = {CpuMillis(cpu), MemoryMb(2 * cpu), AcceleratorCount(0)};
        step.estimate = std::chrono::duration_cast<Duration>(
            length * (1 + m_estimateError * m_signedError(m_errorRandom)));
        m_lengths[job.job] = length;
        step.isGang = isGang;
        m_jobs.apply(job, wallNow());
        m_submittedAt[job.job] = m_events.now();
        if (isGang && job.queue == QueueId("gang"))
            m_gangs.emplace(job.job, tasks);
        return job.job;
    }

    /** Submits jobs of the three kinds at a rate that @p load scales; 1 asks for as many cores as
     * the pool has. */
    void submitMix(double load, Duration time)
    {
        const double cores = 16.0 * static_cast<double>(m_infos.size()) * load;
        const Instant end = m_events.now() + time;
        // Core-seconds of the mean job of each kind, by its part of the load.
        const double gangRate = cores * 0.5 / (30 * 4.5 * 5.0);
        const double batchRate = cores * 0.3 / (30 * 2.6 * 2.7);
        const double lookupRate = cores * 0.2 / (4 * 3.7 * 0.8);
        std::exponential_distribution<double> next(1);
        std::lognormal_distribution<double> scatter(-0.15, 0.55);
        std::array<double, 3> due{};
        for (double now = 0; m_events.now() < end; now += 0.05) {
            const auto arrive = [&](std::size_t kind, double rate, const auto &submitOne) {
                for (due[kind] = std::max(due[kind], now - 1); due[kind] <= now;
                     due[kind] += next(m_random) / rate)
                    submitOne();
            };
            const auto tasks = [&](double mean) {
                return static_cast<uint32_t>(std::max(1.0, mean * scatter(m_random)));
            };
            arrive(0, gangRate, [&] {
                // By the users' rules a gang must not starve if it fits twice over.
                const auto widest = static_cast<uint32_t>(m_infos.size() / 3);
                submit("gang", std::min(tasks(30), widest), 4'500, GangLength, true);
            });
            arrive(1, batchRate, [&] { submit("batch", tasks(30), 2'600, BatchLength, false); });
            arrive(2, lookupRate, [&] { submit("lookup", tasks(4), 3'700, LookupLength, false); });
            runRound();
        }
    }

    void runRound()
    {
        m_events.runUntil(m_events.now() + RoundInterval);
        finishRuns();
        DispatchInput input;
        input.now = m_events.now();
        input.wallNow = wallNow();
        input.jobs = &m_jobs;
        input.configuration = &m_configuration;
        input.advice = &m_advice;
        input.adviceCapacity = m_scheduler.capacity();
        for (std::size_t index = 0; index < m_infos.size(); ++index) {
            DispatchWorker worker;
            worker.info = &m_infos[index];
            worker.acceptsWork = true;
            for (const Run &run : m_runs[index]) {
                worker.used += run.need;
                worker.allocations.push_back(
                    {&run.task.job, 0, run.task.step, run.need, expectedEnd(run)});
            }
            input.workers.push_back(std::move(worker));
        }
        m_idleCallers = input.adviceCapacity.longCalls;
        const DispatchResult result = Dispatcher(std::move(input)).decide();
        m_waiting = result.waiting;
        for (const StartDecision &start : result.starts)
            beginRun(start);
        for (const AdviceDecision &decision : result.advice)
            requestAdvice(decision);
    }

    void beginRun(const StartDecision &start)
    {
        const JobRecord &job = *m_jobs.find(start.task.job);
        const StepSpec &spec = job.accepted.spec.steps[start.task.step];
        m_waits.try_emplace(
            start.task.job,
            std::chrono::duration_cast<Duration>(m_events.now() - m_submittedAt[start.task.job]));
        m_runs[start.worker].push_back({start.task, start.attempt, spec.need, m_events.now(),
                                        m_events.now() + runLength(start.task.job), spec.estimate});
        m_jobs.apply(RunAssigned{start.task, start.attempt, m_infos[start.worker].incarnation},
                     wallNow());
    }

    /** @return the run time of a task of the job. */
    Duration runLength(const JobId &job)
    {
        return std::chrono::duration_cast<Duration>(
            m_lengths[job] * (1 + m_taskScatter * m_signedError(m_errorRandom)));
    }

    /** @return when the scheduler expects the run to end: by its estimate first, and by its
     * progress once that is known. */
    Instant expectedEnd(const Run &run) const
    {
        const Instant now = m_events.now();
        const Duration length = std::chrono::duration_cast<Duration>(run.endsAt - run.beganAt);
        if (now - run.beganAt >= length / UsableProgressDivisor)
            return expectedRelease(now, run.endsAt, length);
        return expectedRelease(now, run.beganAt + run.estimate, run.estimate);
    }

    void finishRuns()
    {
        for (auto &runs : m_runs) {
            std::erase_if(runs, [this](const Run &run) {
                const bool isOver = run.endsAt <= m_events.now();
                if (isOver)
                    m_jobs.apply(RunEnded{run.task, run.attempt, RunOutcome::Done, ""}, wallNow());
                return isOver;
            });
        }
    }

    void requestAdvice(const AdviceDecision &decision)
    {
        AdviceCall call;
        call.step = decision.step;
        for (const WorkerIncarnation &worker : decision.workers)
            call.workers.push_back(worker.id);
        const QueueId queue = m_jobs.find(decision.step.job)->accepted.queue;
        const bool isAccepted = m_scheduler.tryCall(
            std::move(call), decision.cost, [this, decision, queue](const AdviceReply &reply) {
                std::map<WorkerId, std::string> tickets;
                for (const AdviceTicket &ticket : reply.allowed)
                    tickets.emplace(ticket.worker, ticket.ticket);
                m_advice.recordAnswer(decision.step, decision.workers, tickets,
                                      m_events.now() + TicketLifetime, queue);
            });
        if (!isAccepted)
            return;
        m_advice.beginCall(decision.step, decision.workers);
        ++m_calls[queue];
        ++m_callsOf[decision.step.job];
        m_callTime[queue] += decision.cost;
    }

    /** The advisor: serves the calls of a node one after the other. */
    void ask(std::size_t caller, AdviceCall call, std::function<void(AdviceReply)> done)
    {
        const QueueSettings &queue =
            *m_configuration.findQueue(m_jobs.find(call.step.job)->accepted.queue);
        Instant &freeAt = m_callerFreeAt[caller];
        freeAt = std::max(freeAt, m_events.now()) + queue.advice->costOf(call.workers.size());
        m_events.at(freeAt,
                    [this, call = std::move(call), queue = queue.id, done = std::move(done)] {
                        AdviceReply reply;
                        reply.answered = true;
                        for (const WorkerId &worker : call.workers) {
                            const std::size_t hash =
                                std::hash<std::string>()(call.step.job.value() + worker.value());
                            if (static_cast<double>(hash % 1000) < 1000 * m_allowedFractions[queue])
                                reply.allowed.push_back({worker, "ticket"});
                        }
                        done(std::move(reply));
                    });
    }

    WallTime wallNow() const
    {
        return WallTime(std::chrono::duration_cast<Duration>(m_events.now().time_since_epoch()));
    }

    /** @return the wait of the gang before its start, or so far if it has not started. */
    Duration waitOf(const JobId &job)
    {
        const auto found = m_waits.find(job);
        return found != m_waits.end()
            ? found->second
            : std::chrono::duration_cast<Duration>(m_events.now() - m_submittedAt[job]);
    }

    /** @return the given quantile of the waits of all gangs. */
    Duration gangWait(double quantile)
    {
        std::vector<Duration> waits;
        for (const auto &[job, members] : m_gangs)
            waits.push_back(waitOf(job));
        std::ranges::sort(waits);
        return waits.at(static_cast<std::size_t>(quantile * static_cast<double>(waits.size() - 1)));
    }

    /** @return the time of calls that gangs of this size need if each is asked about once: one
     * place on each worker, and as many workers as have a place for each member. */
    Duration neededGangCallTime() const
    {
        const AdviceCost &cost = *m_configuration.queues.front().advice;
        Duration total{0};
        for (const auto &[job, members] : m_gangs) {
            const auto workers = static_cast<std::size_t>(members / 0.25);
            total += cost.costOf(workers) + cost.base * ((workers - 1) / 100);
        }
        return total;
    }

    EventQueue m_events;
    EventQueueTimers m_timers{m_events};
    AdviceCallScheduler m_scheduler{m_timers};
    JobTable m_jobs;
    CellConfiguration m_configuration;
    AdviceCache m_advice;
    std::vector<CellWorker> m_infos;
    std::vector<std::vector<Run>> m_runs;
    std::vector<Instant> m_callerFreeAt;
    std::map<QueueId, double> m_allowedFractions;
    std::map<JobId, Instant> m_submittedAt;
    std::map<JobId, Duration> m_waits;
    /** The members of each gang. */
    std::map<JobId, uint32_t> m_gangs;
    std::map<QueueId, Duration> m_callTime;
    std::map<QueueId, std::size_t> m_calls;
    std::map<JobId, std::size_t> m_callsOf;
    /** The mean run time of the tasks of each job. */
    std::map<JobId, Duration> m_lengths;
    /** By which part of a run time the submitters' estimates are off at most, and the tasks of a
     * step differ from their mean. */
    double m_estimateError = 0;
    double m_taskScatter = 0;
    std::uniform_real_distribution<double> m_signedError{-1, 1};
    std::mt19937 m_errorRandom{7};
    /** Callers that could make a long call at the last round, and what steps waited for then. */
    std::size_t m_idleCallers = 0;
    WaitingSteps m_waiting;
    std::mt19937 m_random{20261205};
    uint64_t m_jobCount = 0;
};

} // namespace Cranberrymount
