#pragma once

#include "Decision/ShardView.h"

namespace Cranberrymount {

/** The baseline: jobs in order of arrival, each task on the first worker that has room. */
ShardDecision decideFirstFit(const ShardView &view);

} // namespace Cranberrymount
