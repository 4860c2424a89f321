#pragma once

#include "State/Ids.h"
#include "State/Resources.h"

#include <optional>
#include <vector>

namespace Cranberrymount {

/** A shard that may become the home of a job's tasks, as last reported. */
struct ShardCandidate
{
    ShardId shard;
    ZoneId zone;
    /** Whether the shard is in the zone of the caller. */
    bool sameZone = false;
    Resources free;
    uint32_t waitingTasks = 0;
};

/**
 * Chooses the home shard of new tasks: the shard that can start the most of them at once; among
 * equals a shard in the caller's zone, then the one with the fewest waiting tasks. A shard where
 * tasks wait already counts as unable to start any at once.
 *
 * @param perTask size of each task.
 * @param tasks number of tasks.
 * @return the shard; nothing if @p candidates is empty.
 */
std::optional<ShardId> chooseHome(const std::vector<ShardCandidate> &candidates,
                                  const Resources &perTask, uint32_t tasks);

} // namespace Cranberrymount
