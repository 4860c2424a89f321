// A node leads once for each claim that it has written, whatever becomes of its other tries.

#include "MemberSurroundings.h"

#include "Coordination/Journal.h"

#include <asio.hpp>
#include <catch2/catch.hpp>

using namespace Cranberrymount;

namespace {

/** A node that is offered another node's claim; the test answers its tries to write it. */
class ClaimFixture : public TransactionalStore, protected MemberSurroundings
{
protected:
    struct Try
    {
        StoreTransaction transaction;
        std::function<void(CommitResult)> answer;
    };

    ClaimFixture()
    {
        m_leadership.handleAnnouncement({OtherClaim, EntryId("other"), {"127.0.0.1", 1}});
    }

    void offerClaim() { m_leadership.takeOver({OtherClaim, false}); }

    /** The store executes @p number if its condition holds. @return the answer to it */
    CommitResult execute(std::size_t number)
    {
        const StoreTransaction &transaction = m_tries.at(number).transaction;
        if (transaction.conditions.front().revision != m_claim.revision)
            return {CommitResult::Conflict, {}, {m_claim}};
        m_claim = {LeaderKey, transaction.puts.front().value,
                   Revision(m_claim.revision.value() + 1)};
        return {CommitResult::Committed, m_claim.revision, {}};
    }

    void answer(std::size_t number, const CommitResult &result)
    {
        m_tries.at(number).answer(result);
        runFor(Duration(20));
    }

    void runFor(Duration time)
    {
        constexpr Duration Step{5};
        for (Duration passed{0}; passed < time; passed += Step) {
            m_context.restart();
            m_context.poll();
            m_events.runUntil(m_events.now() + Step);
        }
    }

    /** Waits until the node has sent @p count tries. @return true if it has */
    bool sendsTries(std::size_t count)
    {
        for (int attempt = 0; attempt < 100 && m_tries.size() < count; ++attempt)
            runFor(Duration(20));
        return m_tries.size() == count;
    }

    /** The node gives up its open tries, since it can't look for their claims. */
    void giveUpTries()
    {
        const std::size_t reads = m_claimReads;
        m_answersReads = false;
        for (int attempt = 0; attempt < 20 && m_claimReads == reads; ++attempt)
            runFor(Duration(5));
        runFor(Duration(5));
        m_answersReads = true;
    }

    /** @return the value of a member's entry, and of a claim of that member */
    static std::string memberValue(const std::string &node, int port)
    {
        return R"({"host":"127.0.0.1","node":")" + node + R"(","nonce":0,"port":)"
            + std::to_string(port) + R"(,"processor":1000})";
    }

    void list(const std::string &prefix, std::function<void(StoreRead)> done) override
    {
        StoreRead read{true, {}};
        if (prefix == LeaderKey)
            read.entries.push_back(m_claim);
        else
            read.entries = m_members;
        if (prefix == LeaderKey)
            ++m_claimReads;
        if (!m_answersReads)
            read = {};
        if (prefix == LeaderKey ? m_holdsClaimReads : m_holdsMemberReads)
            m_heldReads.push_back([read, done = std::move(done)] { done(read); });
        else
            m_events.at(m_events.now(), [read, done = std::move(done)] { done(read); });
    }
    void commit(StoreTransaction transaction, std::function<void(CommitResult)> done) override
    {
        m_tries.push_back({std::move(transaction), std::move(done)});
    }
    void probe(std::function<void(bool)>) override { }
    void createLease(Duration, std::function<void(StoreLease)>) override { }
    void renewLease(StoreLeaseId, std::function<void(StoreLease)>) override { }

    static constexpr Revision OtherClaim{7};

    StoreEntry m_claim{LeaderKey, "{}", OtherClaim};
    std::vector<StoreEntry> m_members;
    std::vector<Try> m_tries;
    /** False if each read ends without an answer. */
    bool m_answersReads = true;
    std::size_t m_claimReads = 0;
    /** Reads of the claim, or of the members, are answered when the test calls them. */
    bool m_holdsClaimReads = false;
    bool m_holdsMemberReads = false;
    std::vector<std::function<void()>> m_heldReads;
    std::vector<Revision> m_won;
    Leadership m_leadership{
        *this,
        m_timers,
        m_resends,
        m_peers,
        member(),
        [] { return 0.5; },
        {[this](Revision claim, Instant) { m_won.push_back(claim); }, [] {}, [] {}}};
};

} // namespace

// TWICE: a node whose first try was never answered became leader again with the claim of its
// second one, and two schedulers acted with one epoch.
TEST_CASE_METHOD(ClaimFixture, "Claim that another try has won makes no second leader",
                 "[leadership]")
{
    offerClaim();
    offerClaim();
    REQUIRE(m_tries.size() == 2);
    const CommitResult second = execute(1);
    answer(1, second);
    REQUIRE(m_won == std::vector{second.revision});
    answer(0, {});
    CHECK(m_won == std::vector{second.revision});
}

// TWICE, the same with a late answer to a try that a later one of the node has replaced.
TEST_CASE_METHOD(ClaimFixture, "Late answer to a replaced claim makes no leader", "[leadership]")
{
    m_leadership.begin();
    offerClaim();
    offerClaim();
    REQUIRE(m_tries.size() == 2);
    const CommitResult first = execute(0);
    answer(1, execute(1));
    giveUpTries();
    CHECK(m_won.empty());
    // The node finds its own claim in the store, for which it does not lead, and writes another.
    REQUIRE(sendsTries(3));
    answer(0, first);
    const CommitResult third = execute(2);
    answer(2, third);
    CHECK(m_won == std::vector{third.revision});
}

// TWICE, the same with an unanswered try that was written: its value counts, not the latest one.
TEST_CASE_METHOD(ClaimFixture, "Node leads with the claim whose answer was lost", "[leadership]")
{
    offerClaim();
    offerClaim();
    const Revision written = execute(0).revision;
    answer(1, execute(1));
    answer(0, {});
    CHECK(m_won == std::vector{written});
}

// LATE: a node that found its own claim in the store, and whose next try was refused, followed
// itself and waited for the votes of a majority.
TEST_CASE_METHOD(ClaimFixture, "Node whose own claim stands needs no votes to claim again",
                 "[leadership]")
{
    // Both peers are cut off from this node.
    m_members = {{"cell/member/a", memberValue("a", 3), Revision(1)},
                 {"cell/member/b", memberValue("b", 4), Revision(2)}};
    m_leadership.begin();
    offerClaim();
    offerClaim();
    REQUIRE(m_tries.size() == 2);
    const CommitResult first = execute(0);
    answer(1, execute(1));
    giveUpTries();
    REQUIRE(sendsTries(3));
    answer(2, {CommitResult::NotDone, {}, {}});
    answer(0, first);
    REQUIRE(sendsTries(4));
    const CommitResult fourth = execute(3);
    answer(3, fourth);
    CHECK(m_won == std::vector{fourth.revision});
}

// A read of the claim that was answered late set the known claim back, so that the late answer to
// an earlier try made the node leader with a claim that it knew to be replaced or its own already.
TEST_CASE_METHOD(ClaimFixture, "Late read of the claim does not set the known claim back",
                 "[leadership]")
{
    m_claim.value = memberValue("other", 1);
    m_holdsClaimReads = true;
    m_leadership.begin();
    for (int attempt = 0; attempt < 100 && m_heldReads.empty(); ++attempt)
        runFor(Duration(20));
    REQUIRE(m_heldReads.size() == 1);
    const AnnouncementMessage later{
        Revision(OtherClaim.value() + 2), EntryId("third"), {"127.0.0.1", 3}};
    m_leadership.handleAnnouncement(later);
    m_heldReads.front()();
    CHECK(m_leadership.claim() == later.claim);
}

// A claim whose answer was lost was looked for only after the call's time-out of a second.
TEST_CASE_METHOD(ClaimFixture, "Claim whose answer is lost is found at once", "[leadership]")
{
    offerClaim();
    REQUIRE(m_tries.size() == 1);
    const CommitResult written = execute(0);
    runFor(Duration(100));
    CHECK(m_won == std::vector{written.revision});
    // The lost answer comes nevertheless.
    answer(0, written);
    CHECK(m_won == std::vector{written.revision});
    CHECK(m_tries.size() == 1);
}

// A claim that the store had not executed was sent again only after more than a second.
TEST_CASE_METHOD(ClaimFixture, "Claim that is not in the store is sent again", "[leadership]")
{
    offerClaim();
    REQUIRE(m_tries.size() == 1);
    runFor(Duration(100));
    REQUIRE(m_tries.size() >= 2);
    CHECK(m_tries[0].transaction.puts.front().value == m_tries[1].transaction.puts.front().value);
    CHECK(m_tries[1].transaction.conditions.front().revision == OtherClaim);
    const CommitResult second = execute(1);
    answer(1, second);
    CHECK(m_won == std::vector{second.revision});
    // The store executes the first copy late.
    CHECK(execute(0).outcome == CommitResult::Conflict);
    answer(0, execute(0));
    CHECK(m_won == std::vector{second.revision});
}

// A refused copy hides that an earlier one was executed.
TEST_CASE_METHOD(ClaimFixture, "Copy that finds the claim written makes the node leader",
                 "[leadership]")
{
    offerClaim();
    runFor(Duration(100));
    REQUIRE(m_tries.size() >= 2);
    const CommitResult first = execute(0);
    answer(1, execute(1));
    CHECK(m_won == std::vector{first.revision});
    answer(0, first);
    CHECK(m_won == std::vector{first.revision});
}

// Copies must stop once another node has the claim, and after the time of one try.
TEST_CASE_METHOD(ClaimFixture, "Claim that another node has won is not sent again", "[leadership]")
{
    offerClaim();
    REQUIRE(m_tries.size() == 1);
    m_claim = {LeaderKey, memberValue("other", 1), Revision(OtherClaim.value() + 1)};
    runFor(Duration(3000));
    CHECK(m_tries.size() == 1);
    CHECK(m_won.empty());
}

// A claim that is never answered must not hold back the next election, nor press the store.
TEST_CASE_METHOD(ClaimFixture, "Claim that is never answered is given up", "[leadership]")
{
    offerClaim();
    runFor(Duration(1500));
    const std::size_t copies = m_tries.size();
    CHECK(copies > 5);
    CHECK(copies < 25);
    runFor(Duration(3000));
    CHECK(m_tries.size() == copies);
}

// Votes were asked against a leader that had followed the suspected one in the meantime.
TEST_CASE_METHOD(ClaimFixture, "Late list of members opens no election against a later leader",
                 "[leadership]")
{
    m_claim.value = memberValue("other", 1);
    m_holdsMemberReads = true;
    m_leadership.begin();
    for (int attempt = 0; attempt < 200 && m_heldReads.empty(); ++attempt)
        runFor(Duration(20));
    REQUIRE(m_heldReads.size() == 1);
    m_claim = {LeaderKey, memberValue("third", 3), Revision(OtherClaim.value() + 2)};
    m_leadership.handleAnnouncement({m_claim.revision, EntryId("third"), {"127.0.0.1", 3}});
    m_heldReads.front()();
    runFor(Duration(5));
    CHECK(m_tries.empty());
}
