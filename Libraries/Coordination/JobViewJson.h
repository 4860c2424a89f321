#pragma once

#include "Coordination/ShardController.h"
#include "Protocol/Json.h"

namespace Cranberrymount {

/** @return all that one shard knows about a job. */
Json encodeJobView(const JobView &view);
/** @return a job's id, team and kind, and the counts of its tasks by state. */
Json summarizeJobView(const JobView &view);
/** Merges several shards' views of one job; a task that is moving may occur in two of them. */
Json mergeJobViews(const Json &views);
/** Merges the job summaries of all shards into one summary per job. */
Json mergeJobSummaries(const Json &summaries);
Json encodeShardStatus(const ShardStatus &status, const ZoneId &zone);

} // namespace Cranberrymount
