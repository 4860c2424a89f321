#pragma once

#include "Service/EntryNode.h"
#include "Service/PlanBook.h"

#include <functional>
#include <string>
#include <vector>

namespace Cranberrymount {

/** Submitted jobs: checks, finds a home, asks all shards. Runs on the control thread. */
class JobBook
{
public:
    using Done = std::function<void(JsonResponse)>;

    explicit JobBook(EntryNode &node);

    /** Submits @p job for @p team; a name given by the submitter makes repeats harmless. */
    void submit(Json job, const TeamId &team, const std::string &trace, Done done);
    /** The next three see only jobs of @p team, or all jobs if it is empty. */
    void cancel(const JobId &id, const TeamId &team, const std::string &trace, Done done);
    void show(const JobId &id, const TeamId &team, const std::string &trace, Done done);
    void list(const TeamId &team, const std::string &trace, Done done);

private:
    void claimHome(const JobSpec &spec, const ShardId &home, const std::string &trace, Done done);
    void admit(const JobSpec &spec, const ShardId &home, bool mayBeRecorded,
               const std::string &trace, Done done);
    /** @return why @p spec can never run, or an empty text. */
    std::string unschedulableReason(const JobSpec &spec) const;

    EntryNode &m_node;
};

/** @return every fault of a submitted job, in words for its submitter. */
std::vector<std::string> validateJob(const Json &job);

} // namespace Cranberrymount
