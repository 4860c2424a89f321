#pragma once

#include "State/Workload.h"

#include <optional>
#include <string>
#include <vector>

namespace Cranberrymount {

/** What one call for placement advice costs, and how long its tickets hold. */
struct AdviceCost
{
    Duration base{0};
    std::chrono::microseconds perWorker{0};
    Duration ticketLife{0};

    Duration costOf(std::size_t workers) const
    {
        return base + std::chrono::duration_cast<Duration>(perWorker * workers);
    }
};

/** One queue that takes jobs. */
struct QueueSettings
{
    QueueId id;
    std::string host;
    std::string pathPrefix;
    std::string pool;
    /** 0 goes first and may displace others. */
    int priority = 0;
    uint32_t maxAttempts = 1;
    /** A job is on time within this factor times its longest chain, plus @c startTarget. */
    double stretchFactor = 1;
    Duration startTarget{0};
    /** Set if only an advisor knows which workers may run a step. */
    std::optional<AdviceCost> advice;
    bool isOpenToAll = false;
};

struct PoolSettings
{
    std::string name;
    /** Workers of the pool refuse what does not fit. */
    bool workersEnforceCapacity = false;
};

/** One team with its keys, its share and its limit. */
struct TeamSettings
{
    TeamId id;
    std::vector<std::string> keys;
    /** Jobs a second that the team is owed. */
    double jobsPerSecond = 0;
    /** Limit on what runs at a time; 0 in a dimension for none. */
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

    /** @return the queue with the longest matching prefix, or null. */
    const QueueSettings *route(const std::string &host, const std::string &path) const;
    const QueueSettings *findQueue(const QueueId &id) const;
    /** @return the team that holds @p key, or null. */
    const TeamSettings *teamOfKey(const std::string &key) const;
    const TeamSettings *findTeam(const TeamId &id) const;
};

/** A worker as it announces itself. */
struct CellWorker
{
    WorkerLife life;
    Endpoint address;
    ZoneId zone;
    RackId rack;
    std::string pool;
    Resources capacity;
    std::vector<std::string> labels;
    /** The worker gets no new work and ends soon. */
    bool isLeaving = false;
};

} // namespace Cranberrymount
