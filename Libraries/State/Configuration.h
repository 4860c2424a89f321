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
    /** Part of the fleet, relative to the other teams' shares, when all is full. */
    double share = 1.0;
    /** Never exceeded across the fleet. */
    Resources limit;
    /** SHA-256 of each key that the team may show, in hex. */
    std::set<std::string> keyHashes;

    bool operator==(const Team &) const = default;
};

/** A queue of lookup requests. */
struct Queue
{
    /** True if callers need no key. */
    bool open = false;
    /** Teams whose keys are taken; unused if @c open. */
    std::set<TeamId> teams;
    /** Most milliseconds that a request may take at the target. */
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
    /** Availability zones that operators have taken out. */
    std::set<ZoneId> zonesOut;
    /** Deadlines that operators set for jobs, seconds since the Unix epoch. */
    std::map<JobId, int64_t> deadlines;
    /** The latest decisions; deciding a plan again finds the first decision here. */
    std::vector<std::pair<PlanId, PlanDecision>> decisions;

    bool operator==(const Configuration &) const = default;
};

} // namespace Cranberrymount
