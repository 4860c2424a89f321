#include "Decision/ShardScheduler.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <queue>

namespace Cranberrymount {

namespace {

/** Maximum number of tasks of one job placed before the teams' shares are compared again. */
constexpr std::size_t TasksPerTurn = 4;
/** Failed preemption attempts after which a pass stops trying for a team below its share. */
constexpr std::size_t MaxShareAttempts = 3;

/** One scheduling pass over a ShardView. */
class SchedulingPass
{
public:
    SchedulingPass(const ShardView &view, const ShardScheduler::Settings &settings)
        : m_view(view)
        , m_settings(settings)
        , m_allocator(view.workers, view.now)
        , m_teams(view.teams)
    {
    }

    ShardDecision run()
    {
        buildQueues();
        reserveForFirstGang();
        placeByShares(true);
        preemptForUrgent();
        placeByShares(false);
        preemptForShares();
        return std::move(m_decision);
    }

private:
    /** Groups of one team in the order in which they are tried. */
    struct TeamQueue
    {
        std::vector<WaitingGroup> groups;
        std::size_t next = 0;
    };

    /** Sorts the waiting groups into the queues of their teams. */
    void buildQueues();
    /** Places the first of the gangs that have waited long enough and can be placed, or reserves
     * capacity for it. */
    void reserveForFirstGang();
    /** Places the urgent or the other groups; the team furthest below its share goes next. */
    void placeByShares(bool urgent);
    /** Places tasks of the next group of @p queue. @return true if tasks were placed. */
    bool placeNextGroup(TeamQueue &queue);
    /** Places at most TasksPerTurn tasks. @return true if tasks were placed. */
    bool placeIndependent(WaitingGroup &group);
    /** Places all tasks or none. @return true if they were placed. */
    bool placeGang(const WaitingGroup &group);
    /** Preempts batch tasks for urgent groups that have waited long enough. */
    void preemptForUrgent();
    /**
     * Checkpoints batch tasks on the worker where the fewest suffice for one task of @p group;
     * those of the teams with the largest weighted share go first, then the most recently started.
     *
     * @param mayPreempt returns whether a running task may be checkpointed.
     * @return false if no worker qualifies, or if earlier checkpoints already free the capacity.
     */
    bool preemptFor(const WaitingGroup &group,
                    const std::function<bool(const RunningTask &)> &mayPreempt);

    /** Checkpoints batch tasks of teams above their share for teams that wait below theirs. */
    void preemptForShares();
    /** @return the fraction of the shard that the team uses, by its dominant resource. */
    double usedFraction(const TeamId &team) const;
    /** @return the fraction of the shard that each team with running or waiting work is entitled
     * to, out of what is in use. */
    std::map<TeamId, double> entitledFractions() const;
    /** @return the running tasks of the worker at @p position. */
    const std::vector<const RunningTask *> &runningOn(std::size_t position);

    /** Adds the start of one task to the decision and its resources to those in use. */
    void place(const WaitingGroup &group, uint32_t index, std::size_t position);
    /** @return the used fraction divided by the team's share; the maximum of double for an unknown
     * team. */
    double weightedShare(const TeamId &team) const;
    /** @return how many more tasks of @p group fit into the team's slice. */
    int64_t countWithinSlice(const WaitingGroup &group) const;

    const ShardView &m_view;
    const ShardScheduler::Settings &m_settings;
    WorkerAllocator m_allocator;
    std::map<TeamId, TeamQuota> m_teams;
    std::map<TeamId, TeamQueue> m_urgent;
    std::map<TeamId, TeamQueue> m_normal;
    bool m_hasReservation = false;
    /** The job of the gang that was placed or got a reservation before all other work. */
    JobId m_firstGang;
    /** By position of the worker; filled at the first use. */
    std::vector<std::vector<const RunningTask *>> m_running;
    ShardDecision m_decision;
};

bool comesBefore(const WaitingGroup &left, const WaitingGroup &right)
{
    constexpr int64_t NoDeadline = std::numeric_limits<int64_t>::max();
    const int64_t leftDeadline = left.deadline == 0 ? NoDeadline : left.deadline;
    const int64_t rightDeadline = right.deadline == 0 ? NoDeadline : right.deadline;
    return std::tie(leftDeadline, left.since, left.job)
        < std::tie(rightDeadline, right.since, right.job);
}

void SchedulingPass::buildQueues()
{
    for (const WaitingGroup &group : m_view.waiting)
        (group.urgent ? m_urgent : m_normal)[group.team].groups.push_back(group);
    for (auto *queues : {&m_urgent, &m_normal}) {
        for (auto &[team, queue] : *queues)
            std::sort(queue.groups.begin(), queue.groups.end(), comesBefore);
    }
}

double SchedulingPass::weightedShare(const TeamId &team) const
{
    const auto found = m_teams.find(team);
    if (found == m_teams.end())
        return std::numeric_limits<double>::max();
    const double share = std::max(found->second.share, 1e-9);
    return found->second.used.dominantShareOf(m_allocator.capacity()) / share;
}

int64_t SchedulingPass::countWithinSlice(const WaitingGroup &group) const
{
    const auto found = m_teams.find(group.team);
    if (found == m_teams.end())
        return 0;
    const Resources available = found->second.slice - found->second.used;
    return group.perTask.countFittingIn(available);
}

void SchedulingPass::reserveForFirstGang()
{
    using Rank = std::tuple<double, Instant, JobId>;
    std::map<Rank, const WaitingGroup *> gangs;
    for (const WaitingGroup &group : m_view.waiting) {
        if (!std::holds_alternative<GangPolicy>(group.policy)
            || m_view.now - group.since < m_settings.gangReservationDelay
            || countWithinSlice(group) < static_cast<int64_t>(group.indexes.size()))
            continue;
        gangs.emplace(Rank(weightedShare(group.team), group.since, group.job), &group);
    }
    // A gang that can't be placed must not keep its place in front of those that can.
    for (const auto &[rank, gang] : gangs) {
        m_firstGang = gang->job;
        if (placeGang(*gang))
            return;
        m_decision.reasons[gang->job] = WaitReason::GangIncomplete;
        const auto reserved =
            reserveWorkersFor(*gang, m_allocator.workers(), m_view.running, m_view.now);
        m_hasReservation = !reserved.empty();
        if (!m_hasReservation)
            continue;
        m_allocator.reserve(reserved);
        return;
    }
    m_firstGang = JobId();
}

void SchedulingPass::placeByShares(bool urgent)
{
    auto &queues = urgent ? m_urgent : m_normal;
    using Turn = std::pair<double, TeamId>;
    std::priority_queue<Turn, std::vector<Turn>, std::greater<>> turns;
    for (const auto &[team, queue] : queues)
        turns.emplace(weightedShare(team), team);
    while (!turns.empty()) {
        const TeamId team = turns.top().second;
        turns.pop();
        TeamQueue &queue = queues[team];
        if (queue.next >= queue.groups.size())
            continue;
        if (!placeNextGroup(queue))
            ++queue.next;
        turns.emplace(weightedShare(team), team);
    }
}

bool SchedulingPass::placeNextGroup(TeamQueue &queue)
{
    WaitingGroup &group = queue.groups[queue.next];
    if (group.indexes.empty() || group.job == m_firstGang)
        return false;
    if (!std::holds_alternative<GangPolicy>(group.policy))
        return placeIndependent(group);
    if (placeGang(group)) {
        group.indexes.clear();
        return true;
    }
    return false;
}

bool SchedulingPass::placeIndependent(WaitingGroup &group)
{
    std::size_t placed = 0;
    while (placed < TasksPerTurn && !group.indexes.empty()) {
        const auto position = m_allocator.choose(group);
        if (!position) {
            m_decision.reasons[group.job] =
                m_hasReservation ? WaitReason::BehindReservation : WaitReason::NoCapacity;
            break;
        }
        // Checked after the capacity: if no worker has any, the task does not wait for the limit.
        if (countWithinSlice(group) < 1) {
            m_decision.reasons[group.job] = WaitReason::TeamLimit;
            break;
        }
        place(group, group.indexes.back(), *position);
        ++group.runningByRack[m_allocator.workers()[*position].rack];
        group.indexes.pop_back();
        ++placed;
    }
    return placed > 0;
}

bool SchedulingPass::placeGang(const WaitingGroup &group)
{
    std::vector<std::size_t> positions;
    for (std::size_t member = 0; member < group.indexes.size(); ++member) {
        const auto position = m_allocator.choose(group);
        if (!position)
            break;
        m_allocator.allocate(*position, group);
        positions.push_back(*position);
    }
    for (const std::size_t position : positions)
        m_allocator.release(position, group);
    if (positions.size() < group.indexes.size()) {
        m_decision.reasons[group.job] = WaitReason::GangIncomplete;
        return false;
    }
    if (countWithinSlice(group) < static_cast<int64_t>(group.indexes.size())) {
        m_decision.reasons[group.job] = WaitReason::TeamLimit;
        return false;
    }
    for (std::size_t member = 0; member < positions.size(); ++member)
        place(group, group.indexes[member], positions[member]);
    m_decision.reasons.erase(group.job);
    return true;
}

void SchedulingPass::place(const WaitingGroup &group, uint32_t index, std::size_t position)
{
    m_allocator.allocate(position, group);
    m_teams[group.team].used += group.perTask;
    m_decision.placements.push_back(
        {{group.job, index}, m_allocator.workers()[position].id, group.perTask});
}

void SchedulingPass::preemptForUrgent()
{
    for (const auto &[team, queue] : m_urgent) {
        for (const WaitingGroup &group : queue.groups) {
            if (group.indexes.empty() || m_view.now - group.since < m_settings.urgentPreemptionDelay
                || countWithinSlice(group) < 1)
                continue;
            preemptFor(group, [](const RunningTask &) { return true; });
        }
    }
}

const std::vector<const RunningTask *> &SchedulingPass::runningOn(std::size_t position)
{
    if (m_running.empty()) {
        const auto positions = positionsByName(m_allocator.workers());
        m_running.resize(m_allocator.workers().size());
        for (const RunningTask &task : m_view.running) {
            const auto found = positions.find(task.worker.value());
            if (found != positions.end())
                m_running[found->second].push_back(&task);
        }
    }
    return m_running[position];
}

bool SchedulingPass::preemptFor(const WaitingGroup &group,
                                const std::function<bool(const RunningTask &)> &mayPreempt)
{
    std::vector<const RunningTask *> best;
    std::size_t bestPosition = 0;
    for (std::size_t position = 0; position < m_allocator.workers().size(); ++position) {
        const WorkerCapacity &worker = m_allocator.workers()[position];
        if (!worker.usable || !group.perTask.fitsIn(worker.capacity))
            continue;
        std::vector<const RunningTask *> victims;
        Resources free = worker.free;
        for (const RunningTask *task : runningOn(position)) {
            if (task->isStopping)
                free += task->resources;
            else if (task->isBatch && !task->urgent && mayPreempt(*task))
                victims.push_back(task);
        }
        std::sort(victims.begin(), victims.end(), [this](const auto *left, const auto *right) {
            const double leftShare = weightedShare(left->team);
            const double rightShare = weightedShare(right->team);
            return std::tie(rightShare, right->since) < std::tie(leftShare, left->since);
        });
        std::size_t needed = 0;
        while (needed < victims.size() && !group.perTask.fitsIn(free))
            free += victims[needed++]->resources;
        if (!group.perTask.fitsIn(free))
            continue;
        // The free capacity suffices once the checkpoints of earlier passes have ended.
        if (needed == 0)
            return false;
        victims.resize(needed);
        if (best.empty() || victims.size() < best.size()) {
            best = victims;
            bestPosition = position;
        }
    }
    if (best.empty())
        return false;
    for (const RunningTask *victim : best)
        m_decision.checkpoints.push_back(victim->task);
    m_allocator.exclude(bestPosition);
    return true;
}

double SchedulingPass::usedFraction(const TeamId &team) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? 0 : found->second.used.dominantShareOf(m_allocator.capacity());
}

std::map<TeamId, double> SchedulingPass::entitledFractions() const
{
    double inUse = 0;
    double shares = 0;
    std::map<TeamId, double> fractions;
    for (const auto &[id, team] : m_teams) {
        const double used = usedFraction(id);
        const bool wants = m_normal.contains(id) || m_urgent.contains(id);
        if (used <= 0 && !wants)
            continue;
        inUse += used;
        shares += team.share;
        fractions[id] = team.share;
    }
    for (auto &[id, fraction] : fractions)
        fraction *= inUse / std::max(shares, 1e-9);
    return fractions;
}

void SchedulingPass::preemptForShares()
{
    const std::map<TeamId, double> entitled = entitledFractions();
    const auto fractionOf = [this](const Resources &resources) {
        return resources.dominantShareOf(m_allocator.capacity());
    };
    // Neither team may cross its share, or the teams would keep preempting each other.
    // FIXME: Each task is checked alone; several preempted tasks of one team may still cross it.
    const auto mayPreempt = [&](const RunningTask &task) {
        const auto fraction = entitled.find(task.team);
        const double left = usedFraction(task.team) - fractionOf(task.resources);
        return fraction != entitled.end() && left >= fraction->second + m_settings.shareTolerance
            && m_view.now - task.since >= m_settings.sharePreemptionMinRun;
    };
    for (const auto &[team, queue] : m_normal) {
        std::size_t failedAttempts = 0;
        for (const WaitingGroup &group : queue.groups) {
            const double after = usedFraction(team) + fractionOf(group.perTask);
            const bool isGang = std::holds_alternative<GangPolicy>(group.policy);
            if (group.indexes.empty() || isGang || countWithinSlice(group) < 1
                || m_view.now - group.since < m_settings.sharePreemptionDelay
                || after + m_settings.shareTolerance > entitled.at(team))
                continue;
            if (preemptFor(group, mayPreempt) || ++failedAttempts >= MaxShareAttempts)
                break;
        }
    }
}

} // namespace

ShardScheduler::ShardScheduler()
    : ShardScheduler(Settings())
{
}

ShardScheduler::ShardScheduler(Settings settings)
    : m_settings(settings)
{
}

ShardDecision ShardScheduler::decide(const ShardView &view) const
{
    return SchedulingPass(view, m_settings).run();
}

} // namespace Cranberrymount
