#pragma once

#include "State/Ids.h"
#include "State/Time.h"

#include <map>
#include <unordered_map>

namespace Cranberrymount {

/**
 * Spreads the returns of refused submissions, for teams that submit many times their share: with
 * one fixed delay all refused clients return together, and most of them are refused again.
 *
 * Each refused job of a team gets the next return time, in the order in which the jobs were
 * refused. Return times follow each other at the rate at which the team's share admits jobs. A job
 * that returns before its time keeps it.
 */
class ReturnSchedule
{
public:
    /** Bounds on the delay that is given to a client. */
    struct Bounds
    {
        Duration shortest{1000};
        /** Callers of short jobs give up soon; those of long jobs accept to wait for the end of a
         * burst. */
        Duration longest{30'000};
    };

    ReturnSchedule() = default;
    explicit ReturnSchedule(Bounds bounds)
        : m_bounds(bounds)
    {
    }

    /**
     * Records that @p job was refused.
     * @param jobsPerSecond the rate at which the team's share admits jobs; more than 0
     * @return when its client should try again, counted from @p now
     */
    Duration recordRefusal(const TeamId &team, const JobId &job, double jobsPerSecond, Instant now);
    /** Forgets the return time of a job that was admitted. */
    void recordAdmission(const TeamId &team, const JobId &job);

    /** @return the number of jobs of @p team that have a return time. */
    std::size_t scheduledCount(const TeamId &team) const;

private:
    struct TeamReturns
    {
        Instant lastReturn{};
        std::unordered_map<JobId, Instant> returns;
    };

    /** Removes the jobs of all teams that have been given up. */
    void removePassed(Instant now);

    Bounds m_bounds;
    std::map<TeamId, TeamReturns> m_teams;
    Instant m_cleanedAt{};
};

} // namespace Cranberrymount
