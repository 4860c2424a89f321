#pragma once

#include "Decision/ShardView.h"

#include <optional>

namespace Cranberrymount {

/** Room on the workers of one shard while a scheduling pass fills it. */
class WorkerChoice
{
public:
    explicit WorkerChoice(std::vector<WorkerRoom> workers);

    /**
     * Chooses a worker for one task of @p group by the group's policy: batch and gang tasks where
     * they leave the least unusable room, service replicas away from each other.
     *
     * @return the position of the worker, or nothing if no worker has room.
     */
    std::optional<std::size_t> choose(const WaitingGroup &group) const;

    void take(std::size_t position, const Resources &resources);
    void giveBack(std::size_t position, const Resources &resources);
    /** Keeps the worker from being chosen. */
    void setAside(std::size_t position) { m_workers[position].usable = false; }
    void admit(std::size_t position) { m_workers[position].usable = true; }

    const std::vector<WorkerRoom> &workers() const { return m_workers; }
    /** @return the sum of the usable workers' capacity. */
    const Resources &capacity() const { return m_capacity; }

private:
    std::optional<std::size_t> chooseTightest(const Resources &need) const;
    std::optional<std::size_t> chooseSpread(const WaitingGroup &group) const;

    std::vector<WorkerRoom> m_workers;
    Resources m_capacity;
};

} // namespace Cranberrymount
