#pragma once

#include "Decision/ShardView.h"

namespace Cranberrymount {

/** Baseline policy: jobs in order of arrival, each task on the first worker that can hold it. */
ShardDecision decideFirstFit(const ShardView &view);

} // namespace Cranberrymount
