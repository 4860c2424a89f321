#include "Decision/ShardView.h"

namespace Cranberrymount {

std::unordered_map<std::string_view, std::size_t>
positionsByName(const std::vector<WorkerCapacity> &workers)
{
    std::unordered_map<std::string_view, std::size_t> positions;
    for (std::size_t position = 0; position < workers.size(); ++position)
        positions[workers[position].id.value()] = position;
    return positions;
}

const char *describe(WaitReason reason)
{
    switch (reason) {
    case WaitReason::NoCapacity:
        return "no worker of the shard has enough free capacity for one task";
    case WaitReason::TeamLimit:
        return "the team has reached its limit, or the slice of it that this shard holds";
    case WaitReason::GangIncomplete:
        return "the shard does not have enough free capacity for all tasks of the gang at once";
    case WaitReason::BehindReservation:
        return "the free capacity is reserved for a gang that has waited longer";
    }
    return "unknown";
}

} // namespace Cranberrymount
