#pragma once

#include "Service/EntryNode.h"
#include "Service/PlanApi.h"

#include <functional>
#include <string>
#include <vector>

namespace Cranberrymount {

/**
 * Handles jobs for submitters and operators: validates a submitted job, records it at its home
 * shard, and queries all shards for jobs. Runs on the control thread.
 */
class JobApi
{
public:
    using Done = std::function<void(JsonResponse)>;

    explicit JobApi(EntryNode &node);

    /** Submits @p job for @p team; an id chosen by the submitter makes repeats idempotent. */
    void submit(Json job, const TeamId &team, const std::string &trace, Done done);
    // The next three cover only jobs of @p team, or all jobs if it is empty.
    void cancel(const JobId &id, const TeamId &team, const std::string &trace, Done done);
    void show(const JobId &id, const TeamId &team, const std::string &trace, const Done &done);
    void list(const TeamId &team, const std::string &trace, const Done &done);

private:
    /** Records @p home as the home shard of a job whose id the submitter chose, then admits the job
     * there. A repeated submission goes to the home that the first one recorded. */
    void claimHome(const JobSpec &spec, const ShardId &home, const std::string &trace, Done done);
    /**
     * Asks the owner of @p home to record the job.
     * @param mayBeRecorded true if an earlier submission may have recorded it
     */
    void admit(const JobSpec &spec, const ShardId &home, bool mayBeRecorded,
               const std::string &trace, Done done);
    /** @return why @p spec can never run; empty if it can. */
    std::string unschedulableReason(const JobSpec &spec) const;

    EntryNode &m_node;
};

/** @return every fault of a submitted job as a message for its submitter; empty if it is valid. */
std::vector<std::string> validateJob(const Json &job);

} // namespace Cranberrymount
