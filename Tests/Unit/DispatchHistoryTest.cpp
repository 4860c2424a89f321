#include "TestEnvironment.h"

#include "Decision/Dispatcher.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <pcg_random.hpp>

#include <deque>
#include <map>

using namespace Cranberrymount;

namespace {

constexpr int64_t WorkerCpu = 16'000;
constexpr Duration Round{100};
constexpr Duration TrafficLength{30'000};
/** Documented for users: so long after the end of the traffic no job may starve, which is one that
 * has nothing running for the second time although there is capacity for it twice over. */
constexpr Duration FinishTime{14'000};
constexpr Duration StarvedTime{3000};
/** Runs that end do so within this time after the traffic. */
constexpr Duration SettlingTime{180'000};

/** Plays the dispatcher in virtual time with random jobs whose run times differ from their
 * estimates. */
class DispatchHistory
{
public:
    explicit DispatchHistory(uint64_t seed)
        : m_random(seed)
    {
        for (const int priority : {0, 2}) {
            QueueSettings queue;
            queue.id = QueueId(priority == 0 ? "lookup" : "batch");
            queue.pool = "pool";
            queue.priority = priority;
            queue.stretchFactor = 1.5;
            queue.startTarget = Duration(1000);
            m_configuration.queues.push_back(queue);
        }
        const int64_t workers = 4 + below(7);
        m_configuration.teams.push_back({TeamId("free"), {}, 10, {}});
        m_configuration.teams.push_back(
            {TeamId("limited"),
             {},
             10,
             {CpuMillis(WorkerCpu * workers / 2), MemoryMb(0), AcceleratorCount(0)}});
        for (int64_t index = 0; index < workers; ++index) {
            CellWorker &info = m_infos.emplace_back();
            info.incarnation = {WorkerId(fmt::format("w{}", index)), 1};
            info.pool = "pool";
            info.capacity = {CpuMillis(WorkerCpu), MemoryMb(64'000), AcceleratorCount(0)};
            info.labels = {index % 2 == 0 ? "even" : "odd"};
        }
    }

    void play()
    {
        addLastingTasks();
        addEndlessRun();
        const uint32_t jobRate = 1 + below(8);
        for (; m_time < TrafficLength; m_time += Round) {
            if (below(10) < jobRate)
                addSingles();
            if (below(50) == 0)
                addGang();
            if (below(100) == 0)
                addHopelessJob();
            playRound();
        }
        while (m_time < TrafficLength + FinishTime)
            playRound(), m_time += Round;
        m_isWatching = true;
        while (m_time < TrafficLength + FinishTime + StarvedTime + Round)
            playRound(), m_time += Round;
        m_isWatching = false;
        while (m_time < TrafficLength + SettlingTime)
            playRound(), m_time += Round;
        checkSettled();
    }

private:
    struct Run
    {
        TaskKey task;
        uint32_t attempt = 0;
        std::size_t worker = 0;
        Resources need;
        Duration estimate{0};
        Instant beganAt{};
        Instant endsAt{};
        bool isService = false;
        bool isEndless = false;
    };

    uint32_t below(uint32_t bound) { return m_random(bound); }
    Instant now() const { return Instant(Duration(1'000'000)) + m_time; }
    WallTime wallNow() const { return WallTime(Duration(1'000'000)) + m_time; }

    /** @param realLength the run time of each task; 0 for one that never ends. */
    JobId add(StepSpec step, Duration realLength)
    {
        JobAccepted job;
        job.job = JobId(fmt::format("{:016x}", ++m_nextJob));
        job.queue = QueueId(below(4) == 0 ? "lookup" : "batch");
        job.team = TeamId(below(4) == 0 ? "limited" : "free");
        job.pool = "pool";
        job.maxAttempts = 3;
        job.acceptedAt = wallNow();
        job.isOverFairShare = below(5) == 0;
        step.need.memory = MemoryMb(100);
        job.spec.steps = {step};
        m_jobs.apply(job, wallNow());
        m_lengths[job.job] = realLength;
        return job.job;
    }

    static StepSpec makeStep(uint32_t tasks, int64_t cpu, Duration estimate)
    {
        StepSpec step;
        step.taskCount = tasks;
        step.need.cpu = CpuMillis(cpu);
        step.estimate = estimate;
        return step;
    }

    /** A run takes half to three times as long as its estimate says. */
    Duration realLength(Duration estimate)
    {
        return Duration(estimate.count() * (50 + below(250)) / 100);
    }

    /** Uses up to a quarter of the pool for good. */
    void addLastingTasks()
    {
        const auto count = static_cast<uint32_t>(m_infos.size()) - below(3);
        StepSpec step = makeStep(count, below(2) * 1000 + below(3000), Duration(below(2000)));
        step.isService = true;
        step.maxPerWorker = 1;
        if (step.need.cpu.value() > 0)
            add(step, Duration(0));
    }

    /** A task that runs for ever although it should not: a sixteenth of a worker at most. */
    void addEndlessRun()
    {
        if (below(3) == 0)
            add(makeStep(1 + below(2), 500, Duration(1000 + below(20'000))), Duration(0));
    }

    void addSingles()
    {
        const Duration estimate(100 + below(below(10) == 0 ? 8000 : 1500));
        add(makeStep(1 + below(3), 500 + below(3500), estimate), realLength(estimate));
    }

    void addGang()
    {
        const Duration estimate(500 + below(3000));
        const auto workers = static_cast<uint32_t>(m_infos.size());
        StepSpec step = makeStep(2 + below(workers), 1000 + below(WorkerCpu - 1000), estimate);
        step.isGang = true;
        step.maxPerWorker = below(3);
        if (below(4) == 0)
            step.requiredLabel = "even";
        add(step, realLength(estimate));
    }

    /** Too large for a worker, for the pool or for the label that it asks for. */
    void addHopelessJob()
    {
        const auto workers = static_cast<uint32_t>(m_infos.size());
        StepSpec step = makeStep(workers + 1, WorkerCpu, Duration(1000));
        step.isGang = true;
        const uint32_t kind = below(3);
        if (kind == 0)
            step = makeStep(1, WorkerCpu + 1, Duration(1000));
        else if (kind == 1)
            step.requiredLabel = "none";
        add(step, Duration(1000));
    }

    DispatchInput makeInput() const
    {
        DispatchInput input;
        input.now = now();
        input.wallNow = wallNow();
        input.jobs = &m_jobs;
        input.configuration = &m_configuration;
        input.advice = &m_advice;
        for (const CellWorker &info : m_infos) {
            DispatchWorker worker;
            worker.info = &info;
            worker.acceptsWork = true;
            input.workers.push_back(std::move(worker));
        }
        for (const Run &run : m_runs) {
            DispatchWorker &worker = input.workers[run.worker];
            worker.used += run.need;
            worker.allocations.push_back(
                {&run.task.job, 0, 0, run.need,
                 run.isService
                     ? NeverReleased
                     : expectedRelease(input.now, run.beganAt + run.estimate, run.estimate)});
            input.teamUse[m_jobs.find(run.task.job)->accepted.team] += run.need;
        }
        return input;
    }

    void playRound()
    {
        std::vector<RunEnded> ended;
        std::erase_if(m_runs, [&](const Run &run) {
            if (!run.isEndless && run.endsAt <= now())
                ended.push_back({run.task, run.attempt, RunOutcome::Done, ""});
            return !run.isEndless && run.endsAt <= now();
        });
        for (const RunEnded &end : ended)
            m_jobs.apply(end, wallNow());
        const DispatchResult result = Dispatcher(makeInput()).decide();
        for (const StartDecision &start : result.starts) {
            const StepSpec &spec = m_jobs.find(start.task.job)->accepted.spec.steps[0];
            const Duration length = m_lengths.at(start.task.job);
            m_jobs.apply(RunAssigned{start.task, start.attempt, m_infos[start.worker].incarnation},
                         wallNow());
            m_runs.push_back({start.task, start.attempt, start.worker, spec.need, spec.estimate,
                              now(), now() + length, spec.isService, length == Duration(0)});
        }
        if (m_isWatching)
            watch();
    }

    /** @return how many tasks of the step fit on the workers, beside all runs if @p isNow, else
     * beside those that never end. */
    int64_t placesOf(const StepSpec &spec, bool isNow) const
    {
        int64_t places = 0;
        for (std::size_t index = 0; index < m_infos.size(); ++index) {
            const CellWorker &info = m_infos[index];
            if (!spec.requiredLabel.empty()
                && std::ranges::find(info.labels, spec.requiredLabel) == info.labels.end())
                continue;
            Resources free = info.capacity;
            for (const Run &run : m_runs) {
                if (run.worker == index && (isNow || run.isEndless))
                    free -= run.need;
            }
            const int64_t count = spec.need.countFittingIn(free);
            places += spec.maxPerWorker == 0 ? count : std::min<int64_t>(count, spec.maxPerWorker);
        }
        return places;
    }

    int64_t teamPlacesOf(const JobRecord &job) const
    {
        const Resources cap = m_configuration.findTeam(job.accepted.team)->cap;
        if (cap.cpu.value() == 0)
            return INT32_MAX;
        Resources used;
        for (const Run &run : m_runs) {
            if (m_jobs.find(run.task.job)->accepted.team == job.accepted.team)
                used += run.need;
        }
        return (cap.cpu.value() - used.cpu.value()) / job.accepted.spec.steps[0].need.cpu.value();
    }

    /** Fails the test for jobs that starve by the users' rule. */
    void watch()
    {
        int64_t used = 0;
        for (const Run &run : m_runs)
            used += run.need.cpu.value();
        const bool isHalfFree = 2 * used < WorkerCpu * static_cast<int64_t>(m_infos.size());
        for (const StepKey &key : m_jobs.startableSteps(wallNow())) {
            const JobRecord &job = *m_jobs.find(key.job);
            const StepSpec &spec = job.accepted.spec.steps[0];
            const int64_t needed = spec.isGang ? 2 * int64_t(spec.taskCount) : 2;
            const bool starves = isHalfFree && m_jobs.findStep(key)->activeCount == 0
                && placesOf(spec, true) >= needed && teamPlacesOf(job) >= needed;
            Duration &since = m_starvingFor[key.job];
            since = starves ? since + Round : Duration(0);
            if (since == StarvedTime)
                FAIL_CHECK(describe(job) << " starves beside free capacity");
        }
    }

    /** Fails the test for jobs that still wait although only what never ends runs beside them. */
    void checkSettled()
    {
        for (const Run &run : m_runs) {
            if (!run.isEndless)
                FAIL_CHECK(describe(*m_jobs.find(run.task.job)) << " still runs");
        }
        for (const StepKey &key : m_jobs.startableSteps(wallNow())) {
            const JobRecord &job = *m_jobs.find(key.job);
            const StepSpec &spec = job.accepted.spec.steps[0];
            const int64_t needed = spec.isGang ? spec.taskCount : 1;
            if (placesOf(spec, false) >= needed && teamPlacesOf(job) >= needed)
                FAIL_CHECK(describe(job) << " waits for ever beside free capacity");
        }
    }

    std::string describe(const JobRecord &job) const
    {
        const StepSpec &spec = job.accepted.spec.steps[0];
        return fmt::format("job {} (queue {}, team {}, {} tasks of {} cpu, gang {}, service {}, "
                           "over share {})",
                           job.accepted.job.value(), job.accepted.queue.value(),
                           job.accepted.team.value(), spec.taskCount, spec.need.cpu.value(),
                           spec.isGang, spec.isService, job.accepted.isOverFairShare);
    }

    pcg32 m_random;
    Duration m_time{0};
    JobTable m_jobs;
    CellConfiguration m_configuration;
    AdviceCache m_advice;
    std::deque<CellWorker> m_infos;
    std::vector<Run> m_runs;
    /** Run time of each job's tasks; 0 for ever. */
    std::map<JobId, Duration> m_lengths;
    std::map<JobId, Duration> m_starvingFor;
    uint64_t m_nextJob = 0;
    bool m_isWatching = false;
};

} // namespace

// Guards against jobs that wait without bound beside free capacity: for a gang that can't be
// placed, for tasks that last, for runs that never end, for capacity kept for others.
TEST_CASE("Random mixes of gangs, tasks that last and hopeless jobs starve no job",
          "[dispatcher][dispatchhistory]")
{
    const uint64_t first = numberFromEnvironment("HISTORY_SEED", 1);
    const uint64_t count = numberFromEnvironment("HISTORY_COUNT", 40);
    for (uint64_t seed = first; seed < first + count; ++seed) {
        INFO("seed " << seed);
        DispatchHistory(seed).play();
    }
}
