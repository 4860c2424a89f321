#include "CellFixture.h"
#include "MemoryStore.h"

#include "Coordination/Journal.h"
#include "Protocol/JournalCodec.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace Cranberrymount;

namespace {

/** Timeouts of the platform's client. */
constexpr Duration CallTimeout{1000};
constexpr Duration ProbeTimeout{300};

/** Transactional store whose answers the test decides on, call by call. */
class ScriptedStore : public TransactionalStore
{
public:
    /** What happens to a commit. */
    enum class Fate : uint8_t {
        Answered,
        /** It is executed; its response is lost. */
        Executed,
        /** It is neither executed nor answered. */
        Dropped,
        Refused,
        /** The test executes and answers it. */
        Held,
    };
    struct HeldCommit
    {
        StoreTransaction transaction;
        std::function<void(CommitResult)> done;
    };

    explicit ScriptedStore(EventQueue &events)
        : m_events(events)
    {
    }

    void list(const std::string &prefix, std::function<void(StoreRead)> done) override
    {
        ++reads;
        if (!answersReads)
            return after(CallTimeout, [done = std::move(done)] { done({}); });
        auto answer = [this, prefix, done = std::move(done)] {
            done({true, m_contents.list(prefix)});
        };
        if (holdsReads)
            heldReads.emplace_back(std::move(answer));
        else
            after(latency(), std::move(answer));
    }
    void probe(std::function<void(bool answers)> done) override
    {
        ++probes;
        after(answersProbes ? latency() : ProbeTimeout,
              [done = std::move(done), answers = answersProbes] { done(answers); });
    }
    void commit(StoreTransaction transaction, std::function<void(CommitResult)> done) override
    {
        ++commits;
        const std::string &segment = transaction.puts.front().key;
        segments.insert(segment);
        switch (fate ? fate(++tries[segment], transaction) : Fate::Answered) {
        case Fate::Answered:
            return after(latency(),
                         [this, transaction = std::move(transaction), done = std::move(done)] {
                             done(execute(transaction));
                         });
        case Fate::Executed:
            after(latency(),
                  [this, transaction = std::move(transaction)] { execute(transaction); });
            return leaveUnanswered(std::move(done));
        case Fate::Dropped:
            return leaveUnanswered(std::move(done));
        case Fate::Refused:
            return after(latency(), [done = std::move(done)] {
                done({CommitResult::NotDone, {}, {}});
            });
        case Fate::Held:
            held.push_back({std::move(transaction), std::move(done)});
        }
    }
    void createLease(Duration, std::function<void(StoreLease)> done) override
    {
        done({true, true, StoreLeaseId(1)});
    }
    void renewLease(StoreLeaseId id, std::function<void(StoreLease)> done) override
    {
        done({true, true, id});
    }

    CommitResult execute(const StoreTransaction &transaction)
    {
        return m_contents.apply(transaction);
    }
    /** Writes a claim at once. @return its revision. */
    Revision claim(const std::string &holder) { return m_contents.claim(holder); }
    bool has(const std::string &key) const { return m_contents.has(key); }
    std::size_t callCount() const { return commits + reads; }
    /** @return calls beyond the first try of each commit. */
    std::size_t extraCalls() const { return callCount() - segments.size(); }

    /** Decides on a commit by the number of the try of its segment, from 1. */
    std::function<Fate(int number, const StoreTransaction &transaction)> fate;
    std::function<Duration()> latency = [] { return Duration(4); };
    bool answersReads = true;
    bool holdsReads = false;
    bool answersProbes = true;
    std::vector<HeldCommit> held;
    std::vector<std::function<void()>> heldReads;
    std::map<std::string, int> tries;
    std::set<std::string> segments;
    std::size_t commits = 0;
    std::size_t reads = 0;
    std::size_t probes = 0;

private:
    void after(Duration delay, std::function<void()> action)
    {
        m_events.at(m_events.now() + delay, std::move(action));
    }
    void leaveUnanswered(std::function<void(CommitResult)> done)
    {
        after(CallTimeout, [done = std::move(done)] { done({CommitResult::Unknown, {}, {}}); });
    }

    EventQueue &m_events;
    StoreContents m_contents;
};

using Fate = ScriptedStore::Fate;

/** A leader's journal, what it has told its owner, and the records that it has confirmed. */
struct ObservedJournal
{
    ObservedJournal(EventQueue &events, ScriptedStore &store, const std::string &holder)
        : timers(events)
        , resends(timers)
        , log(timers)
        , journal({store, timers, resends, log}, {store.claim(holder), events.now()}, observer())
    {
    }

    Journal::Observer observer()
    {
        Journal::Observer result;
        result.superseded = [this] { ++supersededCount; };
        result.reachabilityChanged = [this](bool isReachable) {
            reachability.emplace_back(isReachable, timers.now());
        };
        result.claimConfirmed = [] {};
        result.count = [this](const std::string &name, double by) { counters[name] += by; };
        return result;
    }

    /** Adds a record of the job with this number. */
    void append(uint32_t job)
    {
        journal.append(JobCancelled{JobId(fmt::format("{:016x}", job))},
                       [this, job] { confirmed.push_back(job); });
    }

    EventQueueTimers timers;
    ResendPolicy resends;
    LogRateLimiter log;
    int supersededCount = 0;
    std::vector<std::pair<bool, Instant>> reachability;
    std::map<std::string, double> counters;
    std::vector<uint32_t> confirmed;
    Journal journal;
};

/** A journal over a store that answers in 4 ms, and that has confirmed some commits. */
class JournalFixture
{
protected:
    JournalFixture() { runUnderLoad(*m_leader, Duration(2000)); }

    void run(Duration time) { m_events.runUntil(m_events.now() + time); }

    /** Appends a record every 10 ms. */
    void runUnderLoad(ObservedJournal &leader, Duration time)
    {
        const Instant end = m_events.now() + time;
        while (m_events.now() < end) {
            leader.append(m_nextJob++);
            run(Duration(10));
        }
    }

    bool runUntil(const std::function<bool()> &condition, Duration limit)
    {
        const Instant end = m_events.now() + limit;
        while (!condition() && m_events.now() < end)
            run(Duration(1));
        return condition();
    }

    /** Lets earlier commits end. */
    void settle()
    {
        run(Duration(500));
        REQUIRE(m_leader->confirmed.size() == m_nextJob);
        m_leader->confirmed.clear();
    }

    EventQueue m_events;
    ScriptedStore m_store{m_events};
    std::unique_ptr<ObservedJournal> m_leader =
        std::make_unique<ObservedJournal>(m_events, m_store, "first");
    uint32_t m_nextJob = 0;
};

} // namespace

// Guards against a lost answer that stops all confirmations until the call's timeout.
TEST_CASE_METHOD(JournalFixture,
                 "Commit that was executed without an answer is confirmed by a read at once",
                 "[journal]")
{
    settle();
    m_store.fate = [](int, const StoreTransaction &) { return Fate::Executed; };
    m_leader->append(1);
    CHECK(runUntil([this] { return !m_leader->confirmed.empty(); }, Duration(100)));
    run(Duration(3000));
    CHECK(m_leader->confirmed == std::vector<uint32_t>{1});
    CHECK(m_store.tries.rbegin()->second == 1);
    CHECK(m_leader->counters["journal_answered_by_read"] == 1);
}

TEST_CASE_METHOD(
    JournalFixture,
    "First commit of a leader that was executed without an answer is confirmed at once",
    "[journal]")
{
    ScriptedStore store(m_events);
    ObservedJournal leader(m_events, store, "only");
    store.fate = [](int, const StoreTransaction &) { return Fate::Executed; };
    leader.append(1);
    CHECK(runUntil([&leader] { return !leader.confirmed.empty(); }, Duration(100)));
}

// Guards against a commit that is confirmed twice, or before an earlier one, when it is sent again.
TEST_CASE_METHOD(JournalFixture,
                 "Commit that got lost is sent again and confirmed once, in order, by either try",
                 "[journal]")
{
    settle();
    const bool isFirstAnsweredFirst = GENERATE(true, false);
    const bool isFirstExecuted = GENERATE(true, false);
    INFO("first try answered first " << isFirstAnsweredFirst << ", executed " << isFirstExecuted);
    std::string lost;
    m_store.fate = [&lost](int, const StoreTransaction &transaction) {
        const std::string &segment = transaction.puts.front().key;
        if (lost.empty())
            lost = segment;
        return segment == lost ? Fate::Held : Fate::Answered;
    };
    for (uint32_t job = 1; job <= 4; ++job) {
        m_leader->append(job);
        run(Duration(30));
    }
    REQUIRE(runUntil([this] { return m_store.held.size() >= 2; }, Duration(200)));
    CHECK(m_leader->confirmed.empty());
    const auto executeAndAnswer = [this](std::size_t index) {
        const auto call = m_store.held[index];
        call.done(m_store.execute(call.transaction));
    };
    if (isFirstExecuted)
        m_store.execute(m_store.held[0].transaction);
    executeAndAnswer(isFirstAnsweredFirst ? 0 : 1);
    CHECK(m_leader->confirmed == std::vector<uint32_t>{1, 2, 3, 4});
    executeAndAnswer(isFirstAnsweredFirst ? 1 : 0);
    run(Duration(3000));
    CHECK(m_leader->confirmed == std::vector<uint32_t>{1, 2, 3, 4});
    CHECK(m_leader->supersededCount == 0);
    CHECK(m_leader->reachability.empty());
}

// Guards against a hand-over, or refused calls, because of one lost answer.
TEST_CASE_METHOD(JournalFixture, "Lost answer to one commit is no loss of the store", "[journal]")
{
    settle();
    const Fate fate = GENERATE(Fate::Executed, Fate::Dropped);
    std::string lost;
    m_store.fate = [&lost, fate](int number, const StoreTransaction &transaction) {
        const std::string &segment = transaction.puts.front().key;
        if (lost.empty())
            lost = segment;
        return segment == lost && number == 1 ? fate : Fate::Answered;
    };
    m_leader->append(m_nextJob++);
    run(Duration(3000));
    runUnderLoad(*m_leader, Duration(1000));
    CHECK(m_leader->reachability.empty());
    CHECK(m_store.probes == 0);
    CHECK(m_leader->supersededCount == 0);
}

TEST_CASE_METHOD(JournalFixture, "Store that refuses a commit is lost until it writes one",
                 "[journal]")
{
    settle();
    m_store.fate = [](int, const StoreTransaction &) { return Fate::Refused; };
    m_leader->append(1);
    run(Duration(50));
    REQUIRE(m_leader->reachability.size() == 1);
    CHECK_FALSE(m_leader->reachability.front().first);
    run(Duration(2000));
    CHECK(m_leader->reachability.size() == 1);
    m_store.fate = nullptr;
    CHECK(runUntil([this] { return m_leader->reachability.size() == 2; }, Duration(600)));
    run(Duration(1000));
    CHECK(m_leader->confirmed == std::vector<uint32_t>{1});
}

// Guards against a store that counts as lost, although it has written all that it was sent.
TEST_CASE_METHOD(JournalFixture,
                 "Commit that is executed without an answer after a refusal is confirmed by a read",
                 "[journal]")
{
    settle();
    m_store.fate = [](int number, const StoreTransaction &) {
        return number == 1 ? Fate::Refused : Fate::Executed;
    };
    m_leader->append(1);
    CHECK(runUntil([this] { return !m_leader->confirmed.empty(); }, Duration(300)));
    REQUIRE(m_leader->reachability.size() == 2);
    CHECK(m_leader->reachability.back().first);
}

// Guards against probes that multiply each time the store is lost.
TEST_CASE_METHOD(JournalFixture, "Store that refuses every other commit is probed at one pace",
                 "[journal]")
{
    settle();
    m_store.fate = [](int number, const StoreTransaction &) {
        return number == 1 ? Fate::Refused : Fate::Answered;
    };
    const std::size_t before = m_store.probes;
    runUnderLoad(*m_leader, Duration(10'000));
    CHECK(m_store.probes - before <= 101);
}

TEST_CASE_METHOD(JournalFixture,
                 "Store that answers no call for 0.4 s is lost until one probe is answered",
                 "[journal]")
{
    settle();
    m_store.fate = [](int, const StoreTransaction &) { return Fate::Dropped; };
    m_store.answersReads = m_store.answersProbes = false;
    const Instant sentAt = m_events.now();
    m_leader->append(1);
    run(Duration(395));
    CHECK(m_leader->reachability.empty());
    run(Duration(55));
    REQUIRE(m_leader->reachability.size() == 1);
    CHECK_FALSE(m_leader->reachability.front().first);
    CHECK(m_leader->reachability.front().second - sentAt >= Duration(400));
    run(Duration(5000));
    CHECK(m_leader->reachability.size() == 1);
    m_store.answersProbes = true;
    CHECK(runUntil([this] { return m_leader->reachability.size() == 2; }, Duration(200)));
    CHECK(m_leader->reachability.back().first);
    CHECK(m_leader->confirmed.empty());
    m_store.answersReads = true;
    m_store.fate = nullptr;
    run(Duration(1000));
    CHECK(m_leader->confirmed == std::vector<uint32_t>{1});
}

// Guards against pressing a store harder that executes no writes.
TEST_CASE_METHOD(JournalFixture,
                 "Calls beyond first tries to a store that answers only reads stay in the budget",
                 "[journal]")
{
    settle();
    const Duration latency = GENERATE(Duration(4), Duration(100));
    m_store.latency = [latency] { return latency; };
    runUnderLoad(*m_leader, Duration(2000));
    const uint32_t lostPercent = GENERATE(30, 50, 70, 100);
    pcg32 random(1);
    m_store.fate = [&random, lostPercent](int, const StoreTransaction &) {
        return random(100) < lostPercent ? Fate::Dropped : Fate::Answered;
    };
    const std::size_t before = m_store.extraCalls();
    runUnderLoad(*m_leader, Duration(10'000));
    INFO("latency " << latency.count() << ", lost " << lostPercent << " of 100");
    const double budget = ResendPolicy::MaxExtraCallBurst + 10 * ResendPolicy::ExtraCallsPerSecond;
    CHECK(static_cast<double>(m_store.extraCalls() - before) <= budget);
    CHECK(m_leader->reachability.empty());
}

// Guards against copies of every call to a store that is slow and loses nothing.
TEST_CASE_METHOD(JournalFixture, "Slow store gets next to no copies once its pace is known",
                 "[journal]")
{
    pcg32 random(1);
    m_store.latency = [&random] { return Duration(230 + random(20)); };
    runUnderLoad(*m_leader, Duration(3000));
    const std::size_t extra = m_store.extraCalls();
    const std::size_t commits = m_store.commits;
    runUnderLoad(*m_leader, Duration(10'000));
    CHECK(m_store.commits - commits > 200);
    CHECK(m_store.extraCalls() - extra <= (m_store.commits - commits) / 100);
    CHECK(m_leader->reachability.empty());
}

TEST_CASE_METHOD(JournalFixture, "Store on a calm day gets no copies", "[journal]")
{
    pcg32 random(1);
    m_store.latency = [&random] { return Duration(random(10) == 0 ? 4 + random(17) : 4); };
    runUnderLoad(*m_leader, Duration(60'000));
    CHECK(m_store.extraCalls() == 0);
    CHECK(m_store.commits > 2000);
}

// Guards against a record that is confirmed although only another leader has written the same one.
TEST_CASE_METHOD(JournalFixture,
                 "Segment of another leader with the same number and records confirms nothing",
                 "[journal]")
{
    ScriptedStore store(m_events);
    ObservedJournal first(m_events, store, "first");
    store.fate = [](int, const StoreTransaction &) { return Fate::Dropped; };
    first.append(1);
    run(Duration(20));
    store.fate = nullptr;
    ObservedJournal second(m_events, store, "second");
    second.append(1);
    REQUIRE(runUntil([&second] { return second.confirmed.size() == 1; }, Duration(100)));
    REQUIRE(store.segments.size() == 1);
    store.holdsReads = true;
    REQUIRE(runUntil([&store] { return !store.heldReads.empty(); }, Duration(200)));
    store.heldReads.front()();
    run(Duration(3000));
    CHECK(first.confirmed.empty());
    CHECK(first.supersededCount == 1);
}

// Guards against a leader that goes on, or confirms a record, after its claim was lost.
TEST_CASE_METHOD(JournalFixture,
                 "Leader whose claim was lost is superseded by the first conflict that is answered",
                 "[journal]")
{
    enum class Order : uint8_t { FirstTryBeforeRead, LaterTryBeforeFirst, FirstTryBeforeLater };
    const Order order =
        GENERATE(Order::FirstTryBeforeRead, Order::LaterTryBeforeFirst, Order::FirstTryBeforeLater);
    INFO("order " << static_cast<int>(order));
    settle();
    m_store.fate = [](int, const StoreTransaction &) { return Fate::Held; };
    m_store.holdsReads = true;
    m_leader->append(1);
    run(Duration(20));
    m_leader->append(2);
    run(Duration(20));
    m_store.claim("second");
    REQUIRE(runUntil([this] { return !m_store.heldReads.empty(); }, Duration(200)));
    const auto answer = [this](std::size_t index) {
        const auto call = m_store.held[index];
        call.done(m_store.execute(call.transaction));
    };
    const std::size_t firstTries = m_store.held.size();
    if (order != Order::FirstTryBeforeRead) {
        m_store.heldReads.front()();
        REQUIRE(m_store.held.size() > firstTries);
    }
    answer(order == Order::LaterTryBeforeFirst ? m_store.held.size() - 1 : 0);
    CHECK(m_leader->supersededCount == 1);
    const std::size_t calls = m_store.callCount();
    for (std::size_t index = 0; index < m_store.held.size(); ++index)
        answer(index);
    for (const auto &read : m_store.heldReads)
        read();
    run(Duration(5000));
    CHECK(m_leader->supersededCount == 1);
    CHECK(m_leader->confirmed.empty());
    CHECK(m_store.callCount() == calls);
}

// Guards against a commit that its leader takes for lost although it was executed before the claim
// was lost, and the opposite.
TEST_CASE_METHOD(JournalFixture,
                 "Commit that was executed before the claim was lost is confirmed or in doubt",
                 "[journal]")
{
    const bool isReadFirst = GENERATE(true, false);
    settle();
    m_store.fate = [](int, const StoreTransaction &) { return Fate::Held; };
    m_store.holdsReads = true;
    m_leader->append(1);
    run(Duration(20));
    m_store.execute(m_store.held.front().transaction);
    const Instant lostAt = m_events.now();
    m_store.claim("second");
    REQUIRE(runUntil([this] { return !m_store.heldReads.empty(); }, Duration(200)));
    if (isReadFirst)
        m_store.heldReads.front()();
    CHECK(m_leader->confirmed.size() == (isReadFirst ? 1 : 0));
    CHECK(m_leader->journal.claimHeldAt() <= lostAt);
    // A copy conflicts; its first try would have been answered as written.
    const auto call = m_store.held.front();
    call.done(m_store.execute(call.transaction));
    run(Duration(3000));
    CHECK(m_leader->supersededCount == (isReadFirst ? 0 : 1));
    CHECK(m_leader->confirmed.size() == (isReadFirst ? 1 : 0));
}

// Guards against a healthy leader whose use of the store does not show, so that a node with bad
// links takes it for gone, and against one more write with every commit.
TEST_CASE_METHOD(JournalFixture, "Journal shows the leader's activity at most five times a second",
                 "[journal]")
{
    const bool isIdle = GENERATE(true, false);
    std::vector<Instant> written{m_events.now()};
    m_store.fate = [this, &written](int, const StoreTransaction &transaction) {
        const auto &last = transaction.puts.back();
        if (last.key == LeaderActivityKey)
            written.push_back(m_events.now());
        return ScriptedStore::Fate::Answered;
    };
    // An idle leader confirms its claim every 400 ms.
    for (int round = 0; round < 10; ++round) {
        if (!isIdle) {
            runUnderLoad(*m_leader, Duration(400));
            continue;
        }
        m_leader->journal.confirmClaim();
        run(Duration(400));
    }
    REQUIRE(written.size() > 8);
    for (std::size_t number = 1; number < written.size(); ++number) {
        CHECK(written[number] - written[number - 1] <= Duration(500));
        if (number > 1)
            CHECK(written[number] - written[number - 1] >= Duration(200));
    }
}
