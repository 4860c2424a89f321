#include "Decision/WorkerAllocator.h"

#include <limits>

namespace Cranberrymount {

namespace {

/** Cost of a worker with a free accelerator for tasks that need none; keeps such workers free. */
constexpr double IdleAcceleratorPenalty = 4.0;

double fraction(int64_t amount, int64_t whole)
{
    return whole > 0 ? static_cast<double>(amount) / static_cast<double>(whole) : 0.0;
}

/**
 * @return the cost of the capacity that a task would leave unused; lower is a tighter fit. Capacity
 * left in the proportions of the worker stays usable for others, so uneven leftovers cost more.
 */
double leftoverCost(const WorkerCapacity &worker, const Resources &need)
{
    const Resources left = worker.free - need;
    const double cpu = fraction(left.cpu.value(), worker.capacity.cpu.value());
    const double memory = fraction(left.memory.value(), worker.capacity.memory.value());
    double cost = cpu + memory + (cpu - memory) * (cpu - memory);
    if (worker.capacity.accelerators.value() == 0)
        return cost;
    cost += fraction(left.accelerators.value(), worker.capacity.accelerators.value());
    if (need.accelerators.value() == 0 && worker.free.accelerators.value() > 0)
        cost += IdleAcceleratorPenalty;
    return cost;
}

} // namespace

WorkerAllocator::WorkerAllocator(std::vector<WorkerCapacity> workers, Instant now)
    : m_workers(std::move(workers))
    , m_now(now)
{
    for (const WorkerCapacity &worker : m_workers)
        m_capacity += worker.capacity;
}

std::optional<std::size_t> WorkerAllocator::choose(const WaitingGroup &group) const
{
    if (std::holds_alternative<ServicePolicy>(group.policy))
        return chooseSpread(group);
    return chooseBestFit(group);
}

template <typename Cost>
std::optional<std::size_t> WorkerAllocator::chooseCheapest(const WaitingGroup &group,
                                                           Cost costOn) const
{
    std::optional<std::size_t> best;
    double bestCost = std::numeric_limits<double>::max();
    for (std::size_t position = 0; position < m_workers.size(); ++position) {
        if (!canHost(position, group))
            continue;
        const double cost = costOn(m_workers[position]);
        if (cost < bestCost) {
            bestCost = cost;
            best = position;
        }
    }
    return best;
}

std::optional<std::size_t> WorkerAllocator::chooseBestFit(const WaitingGroup &group) const
{
    return chooseCheapest(group, [&group](const WorkerCapacity &worker) {
        return leftoverCost(worker, group.perTask);
    });
}

std::optional<std::size_t> WorkerAllocator::chooseSpread(const WaitingGroup &group) const
{
    return chooseCheapest(group, [&group](const WorkerCapacity &worker) {
        const auto found = group.runningByRack.find(worker.rack);
        const double sameRack = found == group.runningByRack.end() ? 0 : found->second;
        const Resources used = worker.capacity - worker.free;
        return sameRack + used.dominantShareOf(worker.capacity);
    });
}

bool WorkerAllocator::outlastsReservation(const ReservedWorker &reserved,
                                          const WaitingGroup &group) const
{
    return !group.urgent && (!group.runTime || m_now + *group.runTime > reserved.until);
}

bool WorkerAllocator::canHost(std::size_t position, const WaitingGroup &group) const
{
    const WorkerCapacity &worker = m_workers[position];
    if (!worker.usable || !group.perTask.fitsIn(worker.free))
        return false;
    const auto reserved = m_reserved.find(position);
    return reserved == m_reserved.end() || !outlastsReservation(reserved->second, group)
        || group.perTask.fitsIn(reserved->second.spare);
}

void WorkerAllocator::changeFreeCapacity(std::size_t position, const WaitingGroup &group,
                                         const Resources &change)
{
    m_workers[position].free += change;
    const auto reserved = m_reserved.find(position);
    if (reserved != m_reserved.end() && outlastsReservation(reserved->second, group))
        reserved->second.spare += change;
}

void WorkerAllocator::allocate(std::size_t position, const WaitingGroup &group)
{
    changeFreeCapacity(position, group, Resources() - group.perTask);
}

void WorkerAllocator::release(std::size_t position, const WaitingGroup &group)
{
    changeFreeCapacity(position, group, group.perTask);
}

void WorkerAllocator::reserve(const std::vector<ReservedWorker> &reserved)
{
    m_reserved.clear();
    for (const ReservedWorker &worker : reserved)
        m_reserved.emplace(worker.position, worker);
}

} // namespace Cranberrymount
