#pragma once

#include "State/Job.h"

#include <map>
#include <vector>

namespace Cranberrymount {

/** A job that a shard has admitted, also after it ended or moved away. */
struct AdmittedJob
{
    JobId job;
    /** Tells a repeated submission from another job of the same name. */
    uint64_t digest = 0;

    bool operator==(const AdmittedJob &) const = default;
};

/**
 * All that the store keeps of one shard, in one value with one writer, the shard's owner.
 *
 * Source: written by the owner under compare-and-swap; a new owner's first write fences the former.
 */
struct ShardRecord
{
    /** Epoch of the owner that wrote the record. */
    Epoch epoch;
    /** Counts the writes of that owner; with @c epoch it tells whether a write took effect. */
    uint64_t sequence = 0;
    /** Workers that this shard may have tasks on, with the list version that named them. */
    std::map<WorkerId, ListVersion> roster;
    std::map<JobId, Portion> portions;
    std::vector<OutgoingMove> outgoing;
    /** The latest admissions, oldest first. */
    std::vector<AdmittedJob> admitted;
    /** The latest cancelled jobs, oldest first; tasks of theirs that still move here start no more.
     */
    std::vector<JobId> cancelled;
    /** Last sequence sent to each other shard. */
    std::map<ShardId, uint64_t> lastSent;
    /** Last sequence taken in from each other shard; repeats at or below it are dropped. */
    std::map<ShardId, uint64_t> lastReceived;

    bool operator==(const ShardRecord &) const = default;
};

} // namespace Cranberrymount
