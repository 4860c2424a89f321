#include "State/CellConfiguration.h"

#include <algorithm>

namespace Cranberrymount {

const QueueSettings *CellConfiguration::route(const std::string &host,
                                              const std::string &path) const
{
    const QueueSettings *best = nullptr;
    for (const QueueSettings &queue : queues) {
        if (queue.host != host || !path.starts_with(queue.pathPrefix))
            continue;
        if (!best || queue.pathPrefix.size() > best->pathPrefix.size())
            best = &queue;
    }
    return best;
}

const QueueSettings *CellConfiguration::findQueue(const QueueId &id) const
{
    const auto found = std::ranges::find(queues, id, &QueueSettings::id);
    return found == queues.end() ? nullptr : &*found;
}

const TeamSettings *CellConfiguration::teamOfKey(const std::string &key) const
{
    for (const TeamSettings &team : teams) {
        if (std::ranges::find(team.keys, key) != team.keys.end())
            return &team;
    }
    return nullptr;
}

const TeamSettings *CellConfiguration::findTeam(const TeamId &id) const
{
    const auto found = std::ranges::find(teams, id, &TeamSettings::id);
    return found == teams.end() ? nullptr : &*found;
}

} // namespace Cranberrymount
