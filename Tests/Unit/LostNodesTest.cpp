// Elections after any number of nodes was lost at once, and the protection of a healthy leader.

#include "ElectionHistory.h"

#include <catch2/catch.hpp>

using namespace Cranberrymount;

namespace {

using Loss = ElectionHistory::Loss;

constexpr std::size_t NodeCount = 8;
/** Time in which the first leader is elected and the nodes follow it. */
constexpr Duration SettlingTime{10'000};
constexpr Duration MaxTimeWithoutLeader{2000};

/** @return the numbers of all nodes but @p leader */
std::vector<std::size_t> followersOf(std::size_t leader)
{
    std::vector<std::size_t> followers;
    for (std::size_t number = 0; number < NodeCount; ++number) {
        if (number != leader)
            followers.push_back(number);
    }
    return followers;
}

} // namespace

// AVAIL (review/8): lost members counted against an election until their entries expired, 5.5 to
// 8 s after the loss, and all leases lapsed.
TEST_CASE("Nodes that are left have a leader in time after a loss of any number of nodes",
          "[leadership]")
{
    const Loss loss = GENERATE(Loss::Killed, Loss::PowerLost, Loss::CutOff);
    const std::size_t lost = GENERATE(range(std::size_t(1), NodeCount));
    CAPTURE(loss, lost);
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        ElectionHistory history(seed, NodeCount);
        // The loss falls on different moments between two heartbeats and between two commits.
        history.run(SettlingTime + Duration(137 * seed));
        const std::optional<std::size_t> leader = history.leader();
        REQUIRE(leader);
        const std::vector<std::size_t> followers = followersOf(*leader);
        history.lose(*leader, loss);
        for (std::size_t number = 0; number + 1 < lost; ++number)
            history.lose(followers[number], loss);
        CHECK(history.timeToLeader(Duration(10'000)) <= MaxTimeWithoutLeader);
        CHECK(history.findings().empty());
    }
}

// Guards against an election that a node with bad links wins while the leader is well, however few
// members are left beside it.
TEST_CASE("Node that reaches no peer does not depose a healthy leader", "[leadership]")
{
    const Loss loss = GENERATE(Loss::Killed, Loss::PowerLost);
    const std::size_t lost = GENERATE(range(std::size_t(0), NodeCount - 1));
    CAPTURE(loss, lost);
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        CAPTURE(seed);
        ElectionHistory history(seed, NodeCount);
        history.run(SettlingTime);
        const std::optional<std::size_t> leader = history.leader();
        REQUIRE(leader);
        const Revision claim = history.newestClaim();
        const std::vector<std::size_t> followers = followersOf(*leader);
        for (std::size_t number = 0; number < lost; ++number)
            history.lose(followers[number], loss);
        // The entries of the lost members expire meanwhile.
        history.cutFromPeers(followers.back(), Duration(20'000));
        history.run(Duration(25'000));
        CHECK(history.newestClaim() == claim);
        CHECK(history.leader() == leader);
    }
}
