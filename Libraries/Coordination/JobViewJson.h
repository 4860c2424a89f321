#pragma once

#include "Coordination/ShardKeeper.h"
#include "Protocol/Json.h"

namespace Cranberrymount {

/** @return everything that one shard knows of a job. */
Json encodeJobView(const JobView &view);
/** @return the counts of a job's tasks by state. */
Json summarizeJobView(const JobView &view);
/** Merges what several shards know of one job into one view; moving tasks may stand in two. */
Json mergeJobViews(const Json &views);
/** Merges the summaries of all shards into one for each job. */
Json mergeJobSummaries(const Json &summaries);
Json encodeShardStatus(const ShardStatus &status, const ZoneId &zone);

} // namespace Cranberrymount
