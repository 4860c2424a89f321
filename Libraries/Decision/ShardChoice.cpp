#include "Decision/ShardChoice.h"

#include <algorithm>
#include <tuple>

namespace Cranberrymount {

std::optional<ShardId> chooseHome(const std::vector<ShardCandidate> &candidates,
                                  const Resources &perTask, uint32_t tasks)
{
    const ShardCandidate *best = nullptr;
    std::tuple<int64_t, bool, int64_t> bestRank;
    for (const ShardCandidate &candidate : candidates) {
        const int64_t startable =
            candidate.waitingTasks > 0 ? 0 : perTask.countFittingIn(candidate.free);
        const std::tuple rank(std::min<int64_t>(startable, tasks), candidate.sameZone,
                              -static_cast<int64_t>(candidate.waitingTasks));
        if (!best || rank > bestRank) {
            best = &candidate;
            bestRank = rank;
        }
    }
    if (!best)
        return std::nullopt;
    return best->shard;
}

} // namespace Cranberrymount
