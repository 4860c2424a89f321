#pragma once

#include "State/Ids.h"
#include "State/Resources.h"

#include <optional>
#include <vector>

namespace Cranberrymount {

/** What is known of a shard that could take work. */
struct ShardCandidate
{
    ShardId shard;
    ZoneId zone;
    bool sameZone = false;
    Resources free;
    uint32_t waitingTasks = 0;
};

/**
 * Chooses the home of @p tasks tasks of @p perTask: the shard that can start the most of them at
 * once; then the caller's own zone; then the shortest queue.
 *
 * @return nothing if @p candidates is empty.
 */
std::optional<ShardId> chooseHome(const std::vector<ShardCandidate> &candidates,
                                  const Resources &perTask, uint32_t tasks);

} // namespace Cranberrymount
