#pragma once

#include "State/Ids.h"
#include "State/Resources.h"

#include <vector>

namespace Cranberrymount {

/** A node that may lead. */
struct LeaderCandidate
{
    EntryId node;
    /** Share of a processor that the node has. */
    CpuMillis processor;
};

/** @return true if the cell gains by being led from @p other instead of @p current. */
bool isClearlyStronger(CpuMillis other, CpuMillis current);

/** @return the candidates in the order in which a leader offers its claim: strongest first. */
std::vector<LeaderCandidate> handOverOrder(std::vector<LeaderCandidate> candidates);

/** @return how many of @p ordered, as handOverOrder() gives it, are as strong as the first. */
std::size_t strongestCount(const std::vector<LeaderCandidate> &ordered);

} // namespace Cranberrymount
