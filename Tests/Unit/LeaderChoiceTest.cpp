#include "Decision/LeaderChoice.h"

#include <catch2/catch.hpp>

using namespace Cranberrymount;

namespace {

const LeaderCandidate Small{EntryId("small"), CpuMillis(120)};
const LeaderCandidate OtherSmall{EntryId("other-small"), CpuMillis(120)};
const LeaderCandidate Big{EntryId("big"), CpuMillis(500)};

} // namespace

TEST_CASE("Big node gets the claim before small ones when a leader leaves", "[leaderchoice]")
{
    const auto order = handOverOrder({Small, OtherSmall, Big});
    CHECK(order[0].node == Big.node);
    CHECK(order[1].node == Small.node);
    CHECK(order[2].node == OtherSmall.node);
    CHECK(strongestCount(order) == 1);
}

TEST_CASE("Nodes of one size share the chance to succeed a leader", "[leaderchoice]")
{
    CHECK(strongestCount(handOverOrder({Small, OtherSmall})) == 2);
    CHECK(strongestCount({}) == 0);
}

TEST_CASE("Small leader is replaced by a big node, but not by an equal one", "[leaderchoice]")
{
    CHECK(isClearlyStronger(Big.processor, Small.processor));
    CHECK_FALSE(isClearlyStronger(Small.processor, Big.processor));
    CHECK_FALSE(isClearlyStronger(Small.processor, OtherSmall.processor));
    CHECK_FALSE(isClearlyStronger(CpuMillis(550), Big.processor));
}
