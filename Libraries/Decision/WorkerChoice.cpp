#include "Decision/WorkerChoice.h"

#include <limits>

namespace Cranberrymount {

namespace {

/** Keeps tasks that need no accelerator off workers that have a free one. */
constexpr double IdleAcceleratorPenalty = 4.0;

double part(int64_t amount, int64_t whole)
{
    return whole > 0 ? static_cast<double>(amount) / static_cast<double>(whole) : 0.0;
}

/**
 * Lower is tighter. Rooms that end up in the proportions of the worker stay usable for others, so
 * uneven leftovers cost more than even ones.
 */
double leftoverCost(const WorkerRoom &worker, const Resources &need)
{
    const Resources left = worker.free - need;
    const double cpu = part(left.cpu.value(), worker.capacity.cpu.value());
    const double memory = part(left.memory.value(), worker.capacity.memory.value());
    double cost = cpu + memory + (cpu - memory) * (cpu - memory);
    if (worker.capacity.accelerators.value() == 0)
        return cost;
    cost += part(left.accelerators.value(), worker.capacity.accelerators.value());
    if (need.accelerators.value() == 0 && worker.free.accelerators.value() > 0)
        cost += IdleAcceleratorPenalty;
    return cost;
}

} // namespace

WorkerChoice::WorkerChoice(std::vector<WorkerRoom> workers, Instant now)
    : m_workers(std::move(workers))
    , m_now(now)
{
    for (const WorkerRoom &worker : m_workers)
        m_capacity += worker.capacity;
}

std::optional<std::size_t> WorkerChoice::choose(const WaitingGroup &group) const
{
    if (std::holds_alternative<ServicePolicy>(group.policy))
        return chooseSpread(group);
    return chooseTightest(group);
}

std::optional<std::size_t> WorkerChoice::chooseTightest(const WaitingGroup &group) const
{
    std::optional<std::size_t> best;
    double bestCost = std::numeric_limits<double>::max();
    for (std::size_t position = 0; position < m_workers.size(); ++position) {
        const WorkerRoom &worker = m_workers[position];
        if (!hasRoom(position, group))
            continue;
        const double cost = leftoverCost(worker, group.perTask);
        if (cost < bestCost) {
            bestCost = cost;
            best = position;
        }
    }
    return best;
}

std::optional<std::size_t> WorkerChoice::chooseSpread(const WaitingGroup &group) const
{
    std::optional<std::size_t> best;
    double bestCost = std::numeric_limits<double>::max();
    for (std::size_t position = 0; position < m_workers.size(); ++position) {
        const WorkerRoom &worker = m_workers[position];
        if (!hasRoom(position, group))
            continue;
        const auto found = group.runningByRack.find(worker.rack);
        const double sameRack = found == group.runningByRack.end() ? 0 : found->second;
        const Resources used = worker.capacity - worker.free;
        const double cost = sameRack + used.dominantPartOf(worker.capacity);
        if (cost < bestCost) {
            bestCost = cost;
            best = position;
        }
    }
    return best;
}

bool WorkerChoice::outlasts(const ReservedWorker &reserved, const WaitingGroup &group) const
{
    return !group.urgent && (!group.runTime || m_now + *group.runTime > reserved.until);
}

bool WorkerChoice::hasRoom(std::size_t position, const WaitingGroup &group) const
{
    const WorkerRoom &worker = m_workers[position];
    if (!worker.usable || !group.perTask.fitsIn(worker.free))
        return false;
    const auto reserved = m_reserved.find(position);
    return reserved == m_reserved.end() || !outlasts(reserved->second, group)
        || group.perTask.fitsIn(reserved->second.spare);
}

void WorkerChoice::changeRoom(std::size_t position, const WaitingGroup &group,
                              const Resources &change)
{
    m_workers[position].free += change;
    const auto reserved = m_reserved.find(position);
    if (reserved != m_reserved.end() && outlasts(reserved->second, group))
        reserved->second.spare += change;
}

void WorkerChoice::take(std::size_t position, const WaitingGroup &group)
{
    changeRoom(position, group, Resources() - group.perTask);
}

void WorkerChoice::giveBack(std::size_t position, const WaitingGroup &group)
{
    changeRoom(position, group, group.perTask);
}

void WorkerChoice::reserve(const std::vector<ReservedWorker> &reserved)
{
    m_reserved.clear();
    for (const ReservedWorker &worker : reserved)
        m_reserved.emplace(worker.position, worker);
}

} // namespace Cranberrymount
