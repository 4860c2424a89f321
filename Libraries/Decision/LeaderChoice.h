#pragma once

#include "State/Ids.h"
#include "State/Resources.h"

#include <vector>

namespace Cranberrymount {

/** A node that may become the leader of the cell. */
struct LeaderCandidate
{
    EntryId node;
    /** Processor capacity of the node. */
    CpuMillis processor;
};

/**
 * @param other processor capacity of another node.
 * @param current processor capacity of the current leader.
 * @return true if the other node is so much stronger that a hand-over is worth its cost.
 */
bool isClearlyStronger(CpuMillis other, CpuMillis current);

/** @return the candidates in the order in which a leader offers them its leadership claim:
 * strongest first, equally strong ones in the order given. */
std::vector<LeaderCandidate> handOverOrder(std::vector<LeaderCandidate> candidates);

/**
 * @param ordered candidates in the order of handOverOrder().
 * @return how many of them are as strong as the first.
 */
std::size_t strongestCount(const std::vector<LeaderCandidate> &ordered);

} // namespace Cranberrymount
