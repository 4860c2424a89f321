// Random histories of a whole deployment in virtual time, judged by what its workers ran.

#include "World.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <iostream>

using namespace Cranberrymount;

namespace {

const Resources OneCore{CpuMillis(1000), MemoryMb(1000), AcceleratorCount(0)};
const Resources TenCores{CpuMillis(10'000), MemoryMb(10'000), AcceleratorCount(0)};

uint64_t numberFrom(const char *variable, uint64_t fallback)
{
    const char *value = std::getenv(variable);
    return value ? std::strtoull(value, nullptr, 10) : fallback;
}

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

/** One history: a deployment, its jobs, and faults that a seed chooses. */
class History
{
public:
    explicit History(uint64_t seed)
        : m_world(seed, World::Shape())
    {
        m_world.setTeamLimit(TeamId("red"), TenCores);
        m_world.setTeamLimit(TeamId("blue"), TenCores);
        m_world.change([](Configuration &configuration) {
            configuration.teams[TeamId("red")] = {2.0, TenCores, {}};
            configuration.teams[TeamId("blue")] = {1.0, TenCores, {}};
        });
    }

    void submitSome()
    {
        for (int job = 0; job < 3; ++job) {
            const bool isGang = m_world.below(3) == 0;
            const WorkPolicy policy = isGang ? WorkPolicy(GangPolicy()) : WorkPolicy(BatchPolicy());
            const JobSpec spec = makeJob("job" + std::to_string(m_submitted++),
                                         m_world.below(2) == 0 ? "red" : "blue", policy,
                                         isGang ? 4 : static_cast<uint32_t>(2 + m_world.below(10)));
            if (m_world.submit(spec))
                m_accepted.push_back(spec);
        }
    }

    void oneFault()
    {
        const auto entry =
            static_cast<std::size_t>(m_world.below(static_cast<int>(m_world.entryCount())));
        switch (m_world.below(8)) {
        case 0:
            return m_world.kill(entry);
        case 1:
            return m_world.restart(entry);
        case 2:
            return m_world.pause(entry, Duration(500 + m_world.below(15'000)));
        case 3:
            return m_world.storeDown(m_world.below(2) == 0);
        case 4:
            return m_world.cut(m_world.below(2), m_world.below(2) == 0);
        case 5:
            return m_world.heal();
        case 6:
            return m_world.setFaults(
                {m_world.below(10) / 100.0, m_world.below(10) / 100.0, m_world.below(10) / 100.0});
        default:
            return moveZone();
        }
    }

    void moveZone()
    {
        const bool isOut = m_world.isZoneOut(ZoneId("z0"));
        m_world.change([isOut](Configuration &configuration) {
            if (isOut)
                configuration.zonesOut.erase(ZoneId("z0"));
            else
                configuration.zonesOut.insert(ZoneId("z0"));
        });
    }

    /** Tries to cancel a job; one whose cancellation is not confirmed may end in either way. */
    void cancelOne()
    {
        if (m_accepted.empty())
            return;
        const auto at =
            static_cast<std::size_t>(m_world.below(static_cast<int>(m_accepted.size())));
        if (m_world.cancel(m_accepted[at].id))
            m_cancelled.push_back(m_accepted[at]);
        m_accepted.erase(m_accepted.begin() + static_cast<std::ptrdiff_t>(at));
    }

    /** Ends all faults and waits until every accepted job is recorded as done. */
    bool settles()
    {
        m_world.setFaults({});
        m_world.storeDown(false);
        m_world.heal();
        for (std::size_t entry = 0; entry < m_world.entryCount(); ++entry)
            m_world.restart(entry);
        if (m_world.isZoneOut(ZoneId("z0")))
            moveZone();
        return m_world.runUntil(
            [this] {
                for (const JobSpec &spec : m_accepted) {
                    if (!m_world.isRecordedDone(spec.id, spec.tasks))
                        return false;
                }
                return std::all_of(
                    m_cancelled.begin(), m_cancelled.end(),
                    [this](const JobSpec &spec) { return m_world.isRecordedEnded(spec.id); });
            },
            Duration(180'000));
    }

    /** @return what every entry shows of the jobs that are not done, for a failed history. */
    std::string unfinished()
    {
        std::string shown;
        for (std::size_t entry = 0; entry < m_world.entryCount(); ++entry) {
            const auto add = [&shown](const ControlReply &reply) { shown += reply.body + "\n"; };
            m_world.plane(entry)->control({"status", {}}, add);
            for (const JobSpec &spec : m_accepted) {
                if (!m_world.isRecordedDone(spec.id, spec.tasks))
                    m_world.plane(entry)->control({"job", spec.id.value()}, add);
            }
        }
        return shown;
    }

    World &world() { return m_world; }
    const std::vector<JobSpec> &accepted() const { return m_accepted; }
    const std::vector<JobSpec> &cancelled() const { return m_cancelled; }

private:
    World m_world;
    int m_submitted = 0;
    std::vector<JobSpec> m_accepted;
    std::vector<JobSpec> m_cancelled;
};

/** Lets a history settle and judges it by what its workers ran. */
void judge(History &history)
{
    const bool isSettled = history.settles();
    INFO(Catch::Detail::stringify(history.world().violations())
         << (isSettled ? "" : history.unfinished()));
    CHECK(isSettled);
    REQUIRE(history.world().violations().empty());
}

} // namespace

TEST_CASE("Random histories keep every promise and lose no accepted job", "[history]")
{
    const uint64_t first = numberFrom("HISTORY_SEED", 1);
    const uint64_t count = numberFrom("HISTORY_COUNT", 150);
    std::size_t events = 0;
    std::size_t starts = 0;
    std::size_t jobs = 0;
    for (uint64_t seed = first; seed < first + count; ++seed) {
        INFO("seed " << seed);
        History history(seed);
        history.world().run(Duration(4000));
        for (int step = 0; step < 12; ++step) {
            if (step % 3 == 0)
                history.submitSome();
            history.oneFault();
            history.world().run(Duration(200 + history.world().below(6000)));
        }
        judge(history);
        for (const JobSpec &spec : history.accepted())
            CHECK(history.world().doneAttempts(spec.id) == spec.tasks);
        events += history.world().eventCount();
        starts += history.world().startCount();
        jobs += history.accepted().size();
    }
    std::cout << count << " histories from seed " << first << ": " << events << " events, "
              << starts << " starts, " << jobs << " accepted jobs\n";
    CHECK(starts > 0);
}

TEST_CASE("Confirmed cancellation ends every task, also on the move", "[history][cancel]")
{
    const uint64_t first = numberFrom("HISTORY_SEED", 1);
    const uint64_t count = numberFrom("HISTORY_COUNT", 100);
    std::size_t cancelled = 0;
    for (uint64_t seed = first; seed < first + count; ++seed) {
        INFO("seed " << seed);
        History history(seed);
        history.world().run(Duration(4000));
        for (int step = 0; step < 12; ++step) {
            if (step % 3 == 0)
                history.submitSome();
            // Half of the histories are without faults, where cancellations meet moves.
            if (seed % 2 == 0)
                history.oneFault();
            else if (step % 4 == 3)
                history.moveZone();
            history.world().run(Duration(history.world().below(3000)));
            history.cancelOne();
        }
        judge(history);
        cancelled += history.cancelled().size();
    }
    std::cout << count << " histories from seed " << first << ": " << cancelled
              << " confirmed cancellations\n";
    CHECK(cancelled > 0);
}
