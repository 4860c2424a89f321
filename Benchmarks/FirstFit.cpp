#include "FirstFit.h"

#include <algorithm>

namespace Cranberrymount {

ShardDecision decideFirstFit(const ShardView &view)
{
    ShardDecision decision;
    std::vector<WorkerCapacity> workers = view.workers;
    auto teams = view.teams;
    std::vector<WaitingGroup> groups = view.waiting;
    std::stable_sort(groups.begin(), groups.end(),
                     [](const auto &left, const auto &right) { return left.since < right.since; });
    for (const WaitingGroup &group : groups) {
        std::vector<Placement> placements;
        std::vector<std::size_t> positions;
        TeamQuota &team = teams[group.team];
        for (const uint32_t index : group.indexes) {
            const auto found = std::find_if(
                workers.begin(), workers.end(), [&group](const WorkerCapacity &worker) {
                    return worker.usable && group.perTask.fitsIn(worker.free);
                });
            if (found == workers.end() || !(team.used + group.perTask).fitsIn(team.slice))
                break;
            found->free -= group.perTask;
            team.used += group.perTask;
            positions.push_back(found - workers.begin());
            placements.push_back({{group.job, index}, found->id, group.perTask});
        }
        const bool isGang = std::holds_alternative<GangPolicy>(group.policy);
        if (isGang && placements.size() < group.indexes.size()) {
            for (const std::size_t position : positions) {
                workers[position].free += group.perTask;
                team.used -= group.perTask;
            }
            continue;
        }
        decision.placements.insert(decision.placements.end(), placements.begin(), placements.end());
    }
    return decision;
}

} // namespace Cranberrymount
