#pragma once

#include "Decision/GangReservation.h"
#include "Decision/ShardView.h"

#include <map>
#include <optional>

namespace Cranberrymount {

/** Room on the workers of one shard while a scheduling pass fills it. */
class WorkerAllocator
{
public:
    WorkerAllocator(std::vector<WorkerRoom> workers, Instant now);

    /**
     * Chooses a worker for one task of @p group by the group's policy: batch and gang tasks where
     * they leave the least unusable room, service replicas away from each other.
     *
     * @return the position of the worker, or nothing if no worker has room.
     */
    std::optional<std::size_t> choose(const WaitingGroup &group) const;

    void allocate(std::size_t position, const WaitingGroup &group);
    void release(std::size_t position, const WaitingGroup &group);
    /** Leaves others only what a reservation allows. */
    void reserve(const std::vector<ReservedWorker> &reserved);
    /** Keeps the worker from being chosen. */
    void exclude(std::size_t position) { m_workers[position].usable = false; }

    const std::vector<WorkerRoom> &workers() const { return m_workers; }
    /** @return the sum of the usable workers' capacity. */
    const Resources &capacity() const { return m_capacity; }

private:
    std::optional<std::size_t> chooseBestFit(const WaitingGroup &group) const;
    std::optional<std::size_t> chooseSpread(const WaitingGroup &group) const;

    /** @return true if a task of @p group needs room that a reservation keeps. */
    bool outlastsReservation(const ReservedWorker &reserved, const WaitingGroup &group) const;
    bool canHost(std::size_t position, const WaitingGroup &group) const;
    void changeFreeCapacity(std::size_t position, const WaitingGroup &group,
                            const Resources &change);

    std::vector<WorkerRoom> m_workers;
    Instant m_now;
    /** By position of the worker. */
    std::map<std::size_t, ReservedWorker> m_reserved;
    Resources m_capacity;
};

} // namespace Cranberrymount
