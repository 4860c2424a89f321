#pragma once

#include "Decision/GangReservation.h"
#include "Decision/ShardView.h"

#include <map>
#include <optional>

namespace Cranberrymount {

/** Allocates the free capacity of a shard's workers during one scheduling pass. */
class WorkerAllocator
{
public:
    WorkerAllocator(std::vector<WorkerCapacity> workers, Instant now);

    /**
     * Chooses a worker for one task of @p group by the group's policy: best fit for batch and gang
     * tasks, different racks for the replicas of a service.
     *
     * @return the position of the worker, or nothing if no worker can host the task.
     */
    std::optional<std::size_t> choose(const WaitingGroup &group) const;

    /** Subtracts one task of @p group from the worker's free capacity. */
    void allocate(std::size_t position, const WaitingGroup &group);
    /** Adds one task of @p group to the worker's free capacity again. */
    void release(std::size_t position, const WaitingGroup &group);
    /** Replaces the reservations; other work may use the workers only as they allow. */
    void reserve(const std::vector<ReservedWorker> &reserved);
    /** Excludes the worker from choose() for the rest of the pass. */
    void exclude(std::size_t position) { m_workers[position].usable = false; }

    const std::vector<WorkerCapacity> &workers() const { return m_workers; }
    /** @return the sum of the workers' capacity. */
    const Resources &capacity() const { return m_capacity; }

private:
    /** @return the worker with the lowest cost by @p costOn of those that can host a task. */
    template <typename Cost>
    std::optional<std::size_t> chooseCheapest(const WaitingGroup &group, Cost costOn) const;
    /** @return the worker on which a task leaves the least unusable capacity. */
    std::optional<std::size_t> chooseBestFit(const WaitingGroup &group) const;
    /** @return the least used worker in the rack with the fewest tasks of the job. */
    std::optional<std::size_t> chooseSpread(const WaitingGroup &group) const;

    /** @return true if a task of @p group may still run when the reserving gang is expected to
     * start; false for urgent tasks, which ignore reservations. */
    bool outlastsReservation(const ReservedWorker &reserved, const WaitingGroup &group) const;
    bool canHost(std::size_t position, const WaitingGroup &group) const;
    void changeFreeCapacity(std::size_t position, const WaitingGroup &group,
                            const Resources &change);

    std::vector<WorkerCapacity> m_workers;
    Instant m_now;
    /** By position of the worker. */
    std::map<std::size_t, ReservedWorker> m_reserved;
    Resources m_capacity;
};

} // namespace Cranberrymount
