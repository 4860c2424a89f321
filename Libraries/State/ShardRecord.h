#pragma once

#include "State/Job.h"

#include <map>
#include <vector>

namespace Cranberrymount {

/** A job that a shard has admitted; kept after the job has ended or moved to another shard. */
struct AdmittedJob
{
    JobId job;
    /** Digest of the submission; tells a repeated submission from another job of the same name. */
    uint64_t digest = 0;

    bool operator==(const AdmittedJob &) const = default;
};

/**
 * The stored state of one shard: one value with one writer, the shard's owner.
 *
 * The owner writes it by compare-and-swap; the first write of a new owner fences the former owner.
 */
struct ShardRecord
{
    /** Epoch of the owner that wrote the record. */
    Epoch epoch;
    /** Number of writes by that owner; together with @c epoch it shows whether a write took effect.
     */
    uint64_t sequence = 0;
    /** Workers on which this shard may have tasks, with the version of the instance list that
     * named them. */
    std::map<WorkerId, InstanceListVersion> roster;
    std::map<JobId, JobPortion> portions;
    std::vector<OutgoingMove> outgoing;
    /** The latest admissions, oldest first. */
    std::vector<AdmittedJob> admitted;
    /** The latest cancelled jobs, oldest first; tasks of these jobs that are moved to this shard
     * later are not started. */
    std::vector<JobId> cancelled;
    /** Sequence of the last move to each other shard. */
    std::map<ShardId, uint64_t> lastSent;
    /** Sequence of the last applied move from each other shard; moves up to it are repeats and are
     * ignored. */
    std::map<ShardId, uint64_t> lastReceived;

    bool operator==(const ShardRecord &) const = default;
};

} // namespace Cranberrymount
