// Random histories of a whole deployment in virtual time, checked by what its workers ran.

#include "ClusterSimulation.h"
#include "TestEnvironment.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>

using namespace Cranberrymount;

namespace {

const Resources OneCore{CpuMillis(1000), MemoryMb(1000), AcceleratorCount(0)};
const Resources TenCores{CpuMillis(10'000), MemoryMb(10'000), AcceleratorCount(0)};

JobSpec makeJob(const std::string &name, const std::string &team, const WorkPolicy &policy,
                uint32_t tasks)
{
    JobSpec spec;
    spec.id = JobId(name);
    spec.team = TeamId(team);
    spec.policy = policy;
    spec.tasks = tasks;
    spec.perTask = OneCore;
    return spec;
}

/** One random history: a deployment, its jobs, and faults that a seed determines. */
class History
{
public:
    explicit History(uint64_t seed)
        : m_simulation(seed, ClusterSimulation::Shape())
    {
        m_simulation.setTeamLimit(TeamId("red"), TenCores);
        m_simulation.setTeamLimit(TeamId("blue"), TenCores);
        m_simulation.change([](Configuration &configuration) {
            configuration.teams[TeamId("red")] = {2.0, TenCores, {}};
            configuration.teams[TeamId("blue")] = {1.0, TenCores, {}};
        });
    }

    /** Submits three random jobs; those that are confirmed are listed by accepted(). */
    void submitJobs()
    {
        for (int job = 0; job < 3; ++job) {
            const bool isGang = m_simulation.randomBelow(3) == 0;
            const WorkPolicy policy = isGang ? WorkPolicy(GangPolicy()) : WorkPolicy(BatchPolicy());
            const JobSpec spec =
                makeJob("job" + std::to_string(m_submitted++),
                        m_simulation.randomBelow(2) == 0 ? "red" : "blue", policy,
                        isGang ? 4 : static_cast<uint32_t>(2 + m_simulation.randomBelow(10)));
            if (m_simulation.submit(spec))
                m_accepted.push_back(spec);
        }
    }

    void injectFault()
    {
        const auto entry = static_cast<std::size_t>(
            m_simulation.randomBelow(static_cast<int>(m_simulation.entryCount())));
        switch (m_simulation.randomBelow(8)) {
        case 0:
            return m_simulation.kill(entry);
        case 1:
            return m_simulation.restart(entry);
        case 2:
            return m_simulation.pause(entry, Duration(500 + m_simulation.randomBelow(15'000)));
        case 3:
            return m_simulation.setStoreDown(m_simulation.randomBelow(2) == 0);
        case 4:
            return m_simulation.isolateZone(m_simulation.randomBelow(2),
                                            m_simulation.randomBelow(2) == 0);
        case 5:
            return m_simulation.heal();
        case 6:
            return m_simulation.setFaults({m_simulation.randomBelow(10) / 100.0,
                                           m_simulation.randomBelow(10) / 100.0,
                                           m_simulation.randomBelow(10) / 100.0});
        default:
            return toggleZone();
        }
    }

    /** Takes zone z0 out of service, or returns it to service. */
    void toggleZone()
    {
        const bool isOutOfService = m_simulation.isZoneOutOfService(ZoneId("z0"));
        m_simulation.change([isOutOfService](Configuration &configuration) {
            if (isOutOfService)
                configuration.zonesOutOfService.erase(ZoneId("z0"));
            else
                configuration.zonesOutOfService.insert(ZoneId("z0"));
        });
    }

    /**
     * Tries to cancel an accepted job, which then no longer counts as accepted. If the cancellation
     * is not confirmed, the job may end as done or as cancelled and is not checked.
     */
    void cancelRandomJob()
    {
        if (m_accepted.empty())
            return;
        const auto index =
            static_cast<std::size_t>(m_simulation.randomBelow(static_cast<int>(m_accepted.size())));
        if (m_simulation.cancel(m_accepted[index].id))
            m_cancelled.push_back(m_accepted[index]);
        m_accepted.erase(m_accepted.begin() + static_cast<std::ptrdiff_t>(index));
    }

    /**
     * Ends all faults and waits until every accepted job is recorded as done and every cancelled
     * one as ended.
     * @return false if that takes more than 180 s of virtual time.
     */
    bool endFaultsAndAwaitJobs()
    {
        m_simulation.setFaults({});
        m_simulation.setStoreDown(false);
        m_simulation.heal();
        for (std::size_t entry = 0; entry < m_simulation.entryCount(); ++entry)
            m_simulation.restart(entry);
        if (m_simulation.isZoneOutOfService(ZoneId("z0")))
            toggleZone();
        return m_simulation.runUntil(
            [this] {
                for (const JobSpec &spec : m_accepted) {
                    if (!m_simulation.isRecordedDone(spec.id, spec.tasks))
                        return false;
                }
                return std::all_of(
                    m_cancelled.begin(), m_cancelled.end(),
                    [this](const JobSpec &spec) { return m_simulation.isRecordedEnded(spec.id); });
            },
            Duration(180'000));
    }

    /** @return the status of each entry and of the jobs that are not done, for a failed history. */
    std::string describeUnfinishedJobs()
    {
        std::string description;
        for (std::size_t entry = 0; entry < m_simulation.entryCount(); ++entry) {
            const auto add = [&description](const ControlReply &reply) {
                description += reply.body + "\n";
            };
            m_simulation.controlPlane(entry)->control({"status", {}}, add);
            for (const JobSpec &spec : m_accepted) {
                if (!m_simulation.isRecordedDone(spec.id, spec.tasks))
                    m_simulation.controlPlane(entry)->control({"job", spec.id.value()}, add);
            }
        }
        return description;
    }

    ClusterSimulation &simulation() { return m_simulation; }
    const std::vector<JobSpec> &accepted() const { return m_accepted; }
    const std::vector<JobSpec> &cancelled() const { return m_cancelled; }

private:
    ClusterSimulation m_simulation;
    int m_submitted = 0;
    std::vector<JobSpec> m_accepted;
    std::vector<JobSpec> m_cancelled;
};

/** Ends the faults, then checks that all jobs end and that no start has broken a rule. */
void checkOutcome(History &history)
{
    const bool isSettled = history.endFaultsAndAwaitJobs();
    INFO(Catch::Detail::stringify(history.simulation().violations())
         << (isSettled ? "" : history.describeUnfinishedJobs()));
    CHECK(isSettled);
    REQUIRE(history.simulation().violations().empty());
}

} // namespace

TEST_CASE("Random histories break no rule and run each accepted task to its end exactly once",
          "[history]")
{
    const uint64_t first = numberFromEnvironment("HISTORY_SEED", 1);
    const uint64_t count = numberFromEnvironment("HISTORY_COUNT", 150);
    std::size_t events = 0;
    std::size_t starts = 0;
    std::size_t jobs = 0;
    for (uint64_t seed = first; seed < first + count; ++seed) {
        INFO("seed " << seed);
        History history(seed);
        history.simulation().run(Duration(4000));
        for (int step = 0; step < 12; ++step) {
            if (step % 3 == 0)
                history.submitJobs();
            history.injectFault();
            history.simulation().run(Duration(200 + history.simulation().randomBelow(6000)));
        }
        checkOutcome(history);
        for (const JobSpec &spec : history.accepted())
            CHECK(history.simulation().doneAttempts(spec.id) == spec.tasks);
        events += history.simulation().eventCount();
        starts += history.simulation().startCount();
        jobs += history.accepted().size();
    }
    std::cout << count << " histories from seed " << first << ": " << events << " events, "
              << starts << " starts, " << jobs << " accepted jobs\n";
    CHECK(starts > 0);
}

TEST_CASE("Confirmed cancellation ends every task, even while the tasks move to another shard",
          "[history][cancel]")
{
    const uint64_t first = numberFromEnvironment("HISTORY_SEED", 1);
    const uint64_t count = numberFromEnvironment("HISTORY_COUNT", 100);
    std::size_t cancelled = 0;
    for (uint64_t seed = first; seed < first + count; ++seed) {
        INFO("seed " << seed);
        History history(seed);
        history.simulation().run(Duration(4000));
        for (int step = 0; step < 12; ++step) {
            if (step % 3 == 0)
                history.submitJobs();
            // Odd seeds have no faults, but a zone that is taken out of service and returned, so
            // that cancellations coincide with moves of tasks.
            if (seed % 2 == 0)
                history.injectFault();
            else if (step % 4 == 3)
                history.toggleZone();
            history.simulation().run(Duration(history.simulation().randomBelow(3000)));
            history.cancelRandomJob();
        }
        checkOutcome(history);
        cancelled += history.cancelled().size();
    }
    std::cout << count << " histories from seed " << first << ": " << cancelled
              << " confirmed cancellations\n";
    CHECK(cancelled > 0);
}
