#include "Day.h"

#include <pcg_random.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <random>
#include <set>

namespace Cranberrymount {

namespace {

constexpr Duration TimeStep{100};

struct SimulatedTask
{
    TaskId task;
    TeamId team;
    std::size_t worker = 0;
    Resources resources;
    Instant since;
    Instant endsAt;
    bool urgent = false;
    bool isBatch = false;
};

/** Simulation of one day in virtual time. */
class DayRun
{
public:
    DayRun(const DayShape &shape, uint64_t seed)
        : m_shape(shape)
        , m_random(seed)
    {
        for (int number = 0; number < shape.workers; ++number) {
            WorkerCapacity worker;
            worker.id = WorkerId("w" + std::to_string(number));
            worker.rack = RackId("r" + std::to_string(number / shape.workersPerRack));
            worker.capacity = shape.capacity;
            const bool hasAccelerators =
                shape.acceleratorStride > 0 && number % shape.acceleratorStride == 0;
            worker.capacity.accelerators = AcceleratorCount(hasAccelerators ? 4 : 0);
            worker.free = worker.capacity;
            m_total += worker.capacity;
            m_workerIndexes[worker.id] = m_view.workers.size();
            m_view.workers.push_back(std::move(worker));
        }
        for (int team = 0; team < shape.teams; ++team) {
            // Shares 1, 2 and 3 in turn.
            m_view.teams[teamId(team)] = {1.0 + team % 3, {}, m_total};
        }
        m_view.now = Instant(Duration(1'000'000));
        m_nextJob = m_view.now;
    }

    DayResult run(const Policy &policy)
    {
        const Instant end = m_view.now + m_shape.length;
        while (m_view.now < end) {
            addArrivedJobs();
            endFinishedTasks();
            applyPolicy(policy);
            measureUsage();
            m_view.now += TimeStep;
        }
        return result();
    }

private:
    static TeamId teamId(int team) { return TeamId("team" + std::to_string(team)); }
    int uniformBelow(int bound) { return static_cast<int>(m_random(static_cast<uint64_t>(bound))); }
    double uniformFraction() { return std::generate_canonical<double, 53>(m_random); }
    Duration exponential(Duration mean)
    {
        const double drawn = -std::log(1.0 - uniformFraction()) * static_cast<double>(mean.count());
        return Duration(static_cast<int64_t>(drawn) + 1);
    }

    void addArrivedJobs()
    {
        while (m_nextJob <= m_view.now) {
            m_nextJob += exponential(m_shape.meanJobInterval);
            WaitingGroup group;
            group.job = JobId("job" + std::to_string(m_jobs++));
            group.team = teamId(uniformBelow(m_shape.teams));
            const bool isGang = uniformFraction() < m_shape.gangFraction;
            group.policy = isGang ? WorkPolicy(GangPolicy()) : WorkPolicy(BatchPolicy());
            group.urgent = !isGang && uniformFraction() < m_shape.urgentFraction;
            const int tasks = group.urgent ? 1 : 1 + uniformBelow(m_shape.maxTasks);
            for (int index = 0; index < tasks; ++index)
                group.indexes.push_back(static_cast<uint32_t>(index));
            // The ratio of processors to memory differs from job to job.
            const bool needsAccelerator =
                m_shape.acceleratorStride > 0 && !group.urgent && uniformBelow(6) == 0;
            group.perTask = {CpuMillis(1000L * (1 + uniformBelow(6))),
                             MemoryMb(1000L * (1 + uniformBelow(24))),
                             AcceleratorCount(needsAccelerator ? 1 : 0)};
            group.since = m_view.now;
            m_runTimes[group.job] = exponential(m_shape.meanRunTime);
            m_view.waiting.push_back(std::move(group));
        }
    }

    void endFinishedTasks()
    {
        std::erase_if(m_running, [this](const SimulatedTask &task) {
            if (task.endsAt > m_view.now)
                return false;
            release(task);
            recordRunTime(task);
            return true;
        });
    }

    /** Records a job's run time from an ended task; all tasks of a job run equally long. */
    void recordRunTime(const SimulatedTask &task)
    {
        const auto ran = std::chrono::duration_cast<Duration>(m_view.now - task.since);
        m_knownRunTimes[task.task.job] = ran;
        m_totalRunTime += ran;
        ++m_endedTasks;
        if (WaitingGroup *group = find(task.task.job))
            group->runTime = ran;
    }

    Duration expectedRunTime(const JobId &job) const
    {
        const auto own = m_knownRunTimes.find(job);
        if (own != m_knownRunTimes.end())
            return own->second;
        return m_endedTasks > 0 ? m_totalRunTime / m_endedTasks : m_shape.meanRunTime;
    }

    void release(const SimulatedTask &task)
    {
        m_view.workers[task.worker].free += task.resources;
        m_view.teams[task.team].used -= task.resources;
    }

    void applyPolicy(const Policy &policy)
    {
        if (m_view.waiting.empty())
            return;
        m_view.running.clear();
        for (const SimulatedTask &task : m_running) {
            RunningTask runningTask{task.task,      task.team,   m_view.workers[task.worker].id,
                                    task.resources, task.urgent, task.isBatch,
                                    task.since};
            runningTask.expectedEnd = task.since + expectedRunTime(task.task.job);
            m_view.running.push_back(std::move(runningTask));
        }
        const auto startedAt = std::chrono::steady_clock::now();
        const ShardDecision decision = policy(m_view);
        const auto elapsed = std::chrono::steady_clock::now() - startedAt;
        const double micros = std::chrono::duration<double, std::micro>(elapsed).count();
        m_decisionMicros.push_back(micros / std::max<double>(1, decision.placements.size()));
        m_spentMicros += micros;
        m_placed += decision.placements.size();
        for (const TaskId &victim : decision.checkpoints)
            checkpoint(victim);
        for (const Placement &placement : decision.placements)
            start(placement);
        std::erase_if(m_view.waiting, [](const auto &group) { return group.indexes.empty(); });
    }

    WaitingGroup *find(const JobId &job)
    {
        const auto found =
            std::find_if(m_view.waiting.begin(), m_view.waiting.end(),
                         [&job](const WaitingGroup &group) { return group.job == job; });
        return found == m_view.waiting.end() ? nullptr : &*found;
    }

    void start(const Placement &placement)
    {
        WaitingGroup *group = find(placement.task.job);
        std::erase(group->indexes, placement.task.index);
        const std::size_t worker = m_workerIndexes.at(placement.worker);
        m_view.workers[worker].free -= placement.resources;
        m_view.teams[group->team].used += placement.resources;
        m_running.push_back({placement.task, group->team, worker, placement.resources, m_view.now,
                             m_view.now + m_runTimes.at(placement.task.job), group->urgent,
                             std::holds_alternative<BatchPolicy>(group->policy)});
        // Only first starts count as waits. The cost of a checkpoint shows in the number of tasks
        // that finish.
        if (m_resumed.contains(group->job))
            return;
        const double wait = std::chrono::duration<double>(m_view.now - group->since).count();
        m_waits.push_back(wait);
        if (std::holds_alternative<GangPolicy>(group->policy))
            m_gangWaits.push_back(wait);
        if (group->urgent)
            m_maxUrgentWait = std::max(m_maxUrgentWait, wait);
    }

    void checkpoint(const TaskId &victim)
    {
        const auto task =
            std::find_if(m_running.begin(), m_running.end(),
                         [&victim](const SimulatedTask &one) { return one.task == victim; });
        if (task == m_running.end())
            return;
        ++m_checkpointed;
        release(*task);
        WaitingGroup resumed;
        resumed.job = JobId(victim.job.value() + "+" + std::to_string(m_checkpointed));
        resumed.team = task->team;
        resumed.policy = BatchPolicy();
        resumed.perTask = task->resources;
        resumed.indexes = {victim.index};
        resumed.since = m_view.now;
        m_runTimes[resumed.job] = std::chrono::duration_cast<Duration>(task->endsAt - m_view.now)
            + m_shape.checkpointCost;
        m_resumed.insert(resumed.job);
        m_running.erase(task);
        m_view.waiting.push_back(std::move(resumed));
    }

    void measureUsage()
    {
        if (m_view.waiting.empty())
            return;
        Resources used;
        for (const auto &[id, team] : m_view.teams)
            used += team.used;
        m_packing.push_back(used.dominantShareOf(m_total));
        measureShares();
    }

    /** Measures the teams' shares only while every team has jobs waiting. */
    void measureShares()
    {
        std::set<TeamId> teamsWithWaitingTasks;
        for (const WaitingGroup &group : m_view.waiting)
            teamsWithWaitingTasks.insert(group.team);
        if (teamsWithWaitingTasks.size() < m_view.teams.size())
            return;
        double totalUsed = 0;
        double weights = 0;
        for (const auto &[id, team] : m_view.teams) {
            totalUsed += team.used.dominantShareOf(m_total);
            weights += team.share;
        }
        double error = 0;
        for (const auto &[id, team] : m_view.teams)
            error +=
                std::abs(team.used.dominantShareOf(m_total) - totalUsed * team.share / weights);
        m_shareErrors.push_back(error / static_cast<double>(m_view.teams.size()));
    }

    static double mean(const std::vector<double> &values)
    {
        if (values.empty())
            return 0;
        return std::accumulate(values.begin(), values.end(), 0.0)
            / static_cast<double>(values.size());
    }

    static double quantile(std::vector<double> values, double at)
    {
        if (values.empty())
            return 0;
        std::sort(values.begin(), values.end());
        return values[static_cast<std::size_t>(at * static_cast<double>(values.size() - 1))];
    }

    DayResult result() const
    {
        DayResult result;
        // Tasks that never started count with the time that they have waited until now.
        std::vector<double> waits = m_waits;
        std::vector<double> gangWaits = m_gangWaits;
        for (const WaitingGroup &group : m_view.waiting) {
            if (m_resumed.contains(group.job))
                continue;
            const double wait = std::chrono::duration<double>(m_view.now - group.since).count();
            waits.insert(waits.end(), group.indexes.size(), wait);
            if (std::holds_alternative<GangPolicy>(group.policy))
                gangWaits.insert(gangWaits.end(), group.indexes.size(), wait);
        }
        result.meanWaitSeconds = mean(waits);
        result.p99WaitSeconds = quantile(waits, 0.99);
        result.maxUrgentWaitSeconds = m_maxUrgentWait;
        result.gangMeanWaitSeconds = mean(gangWaits);
        result.gangTasksStarted = m_gangWaits.size();
        result.packing = mean(m_packing);
        result.shareError = mean(m_shareErrors);
        result.started = m_waits.size();
        result.checkpointed = m_checkpointed;
        result.finished = static_cast<std::size_t>(m_endedTasks);
        result.decisionP99Micros = quantile(m_decisionMicros, 0.99);
        result.decisionsPerSecond =
            m_spentMicros > 0 ? static_cast<double>(m_placed) * 1e6 / m_spentMicros : 0;
        return result;
    }

    const DayShape &m_shape;
    pcg64 m_random;
    ShardView m_view;
    Resources m_total;
    std::map<WorkerId, std::size_t> m_workerIndexes;
    Instant m_nextJob;
    int m_jobs = 0;
    std::map<JobId, Duration> m_runTimes;
    std::map<JobId, Duration> m_knownRunTimes;
    Duration m_totalRunTime{0};
    int64_t m_endedTasks = 0;
    std::set<JobId> m_resumed;
    std::vector<SimulatedTask> m_running;
    std::vector<double> m_waits;
    std::vector<double> m_gangWaits;
    std::vector<double> m_packing;
    std::vector<double> m_shareErrors;
    std::vector<double> m_decisionMicros;
    double m_spentMicros = 0;
    std::size_t m_placed = 0;
    double m_maxUrgentWait = 0;
    std::size_t m_checkpointed = 0;
};

} // namespace

DayResult runDay(const DayShape &shape, uint64_t seed, const Policy &policy)
{
    return DayRun(shape, seed).run(policy);
}

} // namespace Cranberrymount
