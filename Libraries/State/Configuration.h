#pragma once

#include "State/Ids.h"
#include "State/Resources.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Cranberrymount {

/** A team as operators declare it. */
struct Team
{
    /** Weight of the team relative to the other teams when the whole fleet is in use. */
    double share = 1.0;
    /** Limit on the resources that the team uses across the fleet; never exceeded. */
    Resources limit;
    /** SHA-256 of each valid key of the team, in hex. */
    std::set<std::string> keyHashes;

    bool operator==(const Team &) const = default;
};

/** A queue of lookup requests. */
struct Queue
{
    /** True if callers need no key. */
    bool open = false;
    /** Teams whose keys are accepted; unused if @c open. */
    std::set<TeamId> teams;
    /** Longest time that a request may take at the target, in milliseconds. */
    uint32_t timeoutMs = 2000;

    bool operator==(const Queue &) const = default;
};

/** What operators decided about a plan. */
enum class PlanDecision {
    Confirmed,
    Rejected,
};

/**
 * The operators' configuration: one value in the store, so that every change is one
 * compare-and-swap and its revision orders all changes.
 */
struct Configuration
{
    Revision revision;
    std::map<TeamId, Team> teams;
    std::map<QueueId, Queue> queues;
    /** Availability zones that operators have taken out of service. */
    std::set<ZoneId> zonesOutOfService;
    /** Deadlines that operators set for jobs, seconds since the Unix epoch. */
    std::map<JobId, int64_t> deadlines;
    /** The latest decisions; a request to decide a plan again finds the first decision here. */
    std::vector<std::pair<PlanId, PlanDecision>> decisions;

    bool operator==(const Configuration &) const = default;
};

} // namespace Cranberrymount
