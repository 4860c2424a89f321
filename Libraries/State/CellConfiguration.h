#pragma once

#include "State/Workload.h"

#include <optional>
#include <string>
#include <vector>

namespace Cranberrymount {

/** How long a call to the advisor takes, and how long the tickets that it returns are valid. */
struct AdviceCost
{
    /** Time for a call, whatever the number of workers in it. */
    Duration base{0};
    /** Additional time for each worker that the call asks about. */
    std::chrono::microseconds perWorker{0};
    /** How long a ticket is valid. */
    Duration ticketLifetime{0};

    /** @return the expected time of a call about this many workers. */
    Duration costOf(std::size_t workers) const
    {
        return base + std::chrono::duration_cast<Duration>(perWorker * workers);
    }
};

/** One queue that accepts jobs; queues are told apart by host and path prefix. */
struct QueueSettings
{
    QueueId id;
    std::string host;
    std::string pathPrefix;
    /** Name of the pool of workers that runs the queue's jobs. */
    std::string pool;
    /** Jobs of priority 0 are placed first, and may use capacity that is reserved for gangs, while
     * they can still meet their objective and their team is within its fair share. */
    int priority = 0;
    /** Failed attempts of one task after which its job fails. */
    uint32_t maxAttempts = 1;
    /** A job is on time if it ends within this factor times the duration of its longest chain of
     * steps, plus @c startTarget. */
    double stretchFactor = 1;
    Duration startTarget{0};
    /** Set if only the advisor can say which workers may run a step. */
    std::optional<AdviceCost> advice;
    /** True if callers need no key. */
    bool isOpenToAll = false;
};

/** One pool of workers. */
struct PoolSettings
{
    std::string name;
    /** True if the pool's workers refuse tasks that exceed their free capacity. */
    bool workersEnforceCapacity = false;
};

/** One team with its keys, its fair share and its limit. */
struct TeamSettings
{
    TeamId id;
    std::vector<std::string> keys;
    /** The team's fair share, in submitted jobs per second; 0 for no such bound. */
    double jobsPerSecond = 0;
    /** Limit on the resources of the team's running tasks; 0 in a dimension for no limit. */
    Resources cap;
};

/** The operators' configuration of one cell. */
struct CellConfiguration
{
    int64_t version = 0;
    std::vector<QueueSettings> queues;
    std::vector<PoolSettings> pools;
    std::vector<TeamSettings> teams;
    std::size_t maxBodyBytes = 262'144;

    /** @return the queue of @p host with the longest prefix of @p path, or null. */
    const QueueSettings *route(const std::string &host, const std::string &path) const;
    /** @return the queue, or null. */
    const QueueSettings *findQueue(const QueueId &id) const;
    /** @return the team that holds @p key, or null. */
    const TeamSettings *teamOfKey(const std::string &key) const;
    /** @return the team, or null. */
    const TeamSettings *findTeam(const TeamId &id) const;
};

/** A worker as it announces itself. */
struct CellWorker
{
    WorkerIncarnation incarnation;
    Endpoint address;
    ZoneId zone;
    RackId rack;
    std::string pool;
    Resources capacity;
    std::vector<std::string> labels;
    /** True if the worker will end soon and must get no new tasks. */
    bool isLeaving = false;
    /** False while only the worker's own response names this incarnation: its capacity and labels
     * may have changed, so that it must get no new tasks. */
    bool isListed = true;
};

} // namespace Cranberrymount
