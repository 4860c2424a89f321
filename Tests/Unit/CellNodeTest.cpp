#include "CellSimulation.h"
#include "EndToEnd/PortReservation.h"

#include "Service/CellNode.h"

#include <asio/post.hpp>
#include <catch2/catch.hpp>

#include <unistd.h>

using namespace Cranberrymount;

namespace {

CellSettings nodeSettings()
{
    CellSettings settings;
    settings.node = EntryId("n");
    settings.zone = ZoneId("a");
    // Any free port: no other node connects.
    settings.peer = {"127.0.0.1", 0};
    return settings;
}

/** A node whose store never responds, since the virtual time of the simulation does not advance. */
class LeaderlessNodeFixture
{
protected:
    LeaderlessNodeFixture() { m_node.start(); }

    void runFor(Duration time) { m_context.run_for(time); }

    CellSimulation m_simulation{1};
    asio::io_context m_context{1};
    CellNode m_node{
        m_context, nodeSettings(), {m_simulation.store, m_simulation, m_simulation, m_simulation}};
};

} // namespace

TEST_CASE_METHOD(LeaderlessNodeFixture,
                 "Call to a newly started node waits for a leader, then is refused", "[cellnode]")
{
    std::optional<ClientReply> reply;
    m_node.handle({}, Duration(3000), [&reply](const ClientReply &answer) { reply = answer; });
    runFor(Duration(500));
    CHECK_FALSE(reply);
    runFor(Duration(1500));
    REQUIRE(reply);
    CHECK(reply->outcome == ClientReply::Isolated);
    CHECK(reply->retryAfter >= Duration(1000));
    CHECK_FALSE(m_node.isReady());
}

// LOST: calls waited for a leader until the process ended.
TEST_CASE_METHOD(LeaderlessNodeFixture,
                 "Stopping node without a leader refuses waiting and new calls at once",
                 "[cellnode][shutdown]")
{
    std::vector<ClientReply> replies;
    const auto record = [&replies](const ClientReply &reply) { replies.push_back(reply); };
    m_node.handle({}, Duration(3000), record);
    // Longer than a leader that stops takes to hand its claim over.
    runFor(Duration(600));
    CHECK(replies.empty());
    m_node.retire([] {});
    runFor(Duration(100));
    CHECK(replies.size() == 1);
    m_node.handle({}, Duration(3000), record);
    runFor(Duration(100));
    REQUIRE(replies.size() == 2);
    for (const ClientReply &reply : replies)
        CHECK(reply.outcome == ClientReply::Isolated);
}

namespace {

/** A node that passes its calls to a leader, which never answers them. */
class SilentLeaderFixture
{
protected:
    SilentLeaderFixture()
    {
        PeerHub::Handlers handlers;
        handlers.clientCall = [this](const ClientCall &, ClientResponder respond) {
            m_leaderHolds.push_back(std::move(respond));
        };
        handlers.followerJoined = [](const EntryId &) {};
        handlers.followerLeft = [](const EntryId &) {};
        m_leader = std::make_unique<PeerHub>(m_context, m_timers,
                                             HelloMessage{EntryId("leader"), CpuMillis(1), {}},
                                             leaderAddress(), std::move(handlers));
        m_node.start();
        m_leader->announce(nodeAddress(), {Revision(1), EntryId("leader"), leaderAddress()});
        runFor(Duration(200));
        m_leader->broadcast({Revision(1), Duration(0), true});
        runFor(Duration(50));
    }

    Endpoint nodeAddress() const { return {"127.0.0.1", m_nodePort.port()}; }
    Endpoint leaderAddress() const { return {"127.0.0.1", m_leaderPort.port()}; }

    CellSettings settings() const
    {
        CellSettings settings = nodeSettings();
        settings.peer = nodeAddress();
        return settings;
    }

    void handle(ClientCall::Kind kind)
    {
        ClientCall call;
        call.kind = kind;
        m_node.handle(std::move(call), Duration(60'000),
                      [this](const ClientReply &reply) { m_replies.push_back(reply.outcome); });
        runFor(Duration(50));
    }

    static ClientReply accepted()
    {
        ClientReply reply;
        reply.outcome = ClientReply::Accepted;
        return reply;
    }

    void runFor(Duration time)
    {
        m_context.restart();
        m_context.run_for(time);
    }

    PortReservation m_nodePort{static_cast<unsigned>(getpid())};
    PortReservation m_leaderPort{static_cast<unsigned>(getpid())};
    CellSimulation m_simulation{1};
    asio::io_context m_context{1};
    AsioTimerService m_timers{m_context};
    std::vector<ClientResponder> m_leaderHolds;
    std::unique_ptr<PeerHub> m_leader;
    CellNode m_node{
        m_context, settings(), {m_simulation.store, m_simulation, m_simulation, m_simulation}};
    std::vector<ClientReply::Outcome> m_replies;
};

} // namespace

// LOST: calls that the leader had not answered ended with a closed connection.
TEST_CASE_METHOD(SilentLeaderFixture,
                 "Stopping node answers each call that its leader holds once and truly",
                 "[cellnode][shutdown]")
{
    handle(ClientCall::Submit);
    handle(ClientCall::Status);
    handle(ClientCall::Cancel);
    m_node.retire([] {});
    handle(ClientCall::Submit);
    // While it has a leader, a stopping node refuses nothing.
    CHECK(m_leaderHolds.size() == 4);
    CHECK(m_replies.empty());
    CHECK(m_node.stopCounts().held == 3);
    m_node.answerHeldCalls();
    CHECK(m_replies
          == std::vector{ClientReply::Undetermined, ClientReply::Isolated,
                         ClientReply::Undetermined, ClientReply::Undetermined});
    CHECK(m_node.stopCounts().undetermined == 3);
    CHECK(m_node.stopCounts().refused == 1);
    CHECK(m_node.stopCounts().left == 0);
    // A call that is read after that is refused before it returns to the event loop.
    m_node.handle({}, Duration(60'000),
                  [this](const ClientReply &reply) { m_replies.push_back(reply.outcome); });
    CHECK(m_replies.back() == ClientReply::Isolated);
    // The leader's late answers reach nobody.
    for (const ClientResponder &respond : m_leaderHolds)
        respond(accepted());
    runFor(Duration(100));
    CHECK(m_replies.size() == 5);
}

// A refusal during a plain rolling restart, although there is a leader.
TEST_CASE_METHOD(SilentLeaderFixture, "Stopping node with a leader serves a late call",
                 "[cellnode][shutdown]")
{
    m_node.retire([] {});
    handle(ClientCall::Submit);
    REQUIRE(m_leaderHolds.size() == 1);
    m_leaderHolds.front()(accepted());
    runFor(Duration(100));
    CHECK(m_replies == std::vector{ClientReply::Accepted});
    CHECK(m_node.stopCounts().served == 1);
}

// Guards against 503 for a call that the next leader can serve, and against 504 for a submission
// that no leader has stored.
TEST_CASE_METHOD(SilentLeaderFixture,
                 "Call that a former leader passes back is sent to the next leader", "[cellnode]")
{
    handle(GENERATE(ClientCall::Submit, ClientCall::Status, ClientCall::Cancel));
    REQUIRE(m_leaderHolds.size() == 1);
    ClientReply passedBack;
    passedBack.outcome = ClientReply::Isolated;
    m_leaderHolds.front()(passedBack);
    runFor(Duration(150));
    CHECK(m_replies.empty());
    REQUIRE(m_leaderHolds.size() == 2);
    passedBack.outcome = ClientReply::Unavailable;
    m_leaderHolds.back()(passedBack);
    runFor(Duration(50));
    CHECK(m_replies == std::vector{ClientReply::Unavailable});
}

namespace {

/** A node that leads; its store stops responding to commits at a given moment. */
class LeadingNodeFixture : public TransactionalStore, public OperatorSource
{
protected:
    LeadingNodeFixture()
    {
        m_node.start();
        for (int attempt = 0; attempt < 100 && !m_node.isReady(); ++attempt)
            runFor(Duration(20));
        REQUIRE(m_node.isReady());
        m_respondsToCommits = false;
        ClientCall call;
        call.kind = ClientCall::Submit;
        call.host = "host";
        call.path = "/queue/0123456789abcdef";
        call.spec.steps.resize(1);
        call.spec.steps.front().taskCount = 1;
        m_node.handle(std::move(call), Duration(60'000),
                      [this](const ClientReply &reply) { m_replies.push_back(reply.outcome); });
        // The record is sent to the store.
        runFor(Duration(60));
        REQUIRE(m_replies.empty());
    }

    void runFor(Duration time)
    {
        m_context.restart();
        m_context.run_for(time);
    }

    void list(const std::string &prefix, std::function<void(StoreRead)> done) override
    {
        StoreRead read{true, {}};
        if (prefix == LeaderKey && m_claim)
            read.entries.push_back(*m_claim);
        respond<StoreRead>(std::move(read), std::move(done));
    }
    void probe(std::function<void(bool)> done) override { respond<bool>(true, std::move(done)); }
    void commit(StoreTransaction transaction, std::function<void(CommitResult)> done) override
    {
        if (!m_respondsToCommits)
            return;
        const Revision revision(++m_revision);
        for (const StoreTransaction::Put &put : transaction.puts) {
            if (put.key == LeaderKey)
                m_claim = {put.key, put.value, revision};
        }
        respond<CommitResult>({CommitResult::Committed, revision, {}}, std::move(done));
    }
    /** Another node announces to this one that it holds the claim @p claim. */
    void announce(Revision claim)
    {
        PeerHub::Handlers handlers;
        handlers.followerJoined = [](const EntryId &) {};
        handlers.followerLeft = [](const EntryId &) {};
        m_other = std::make_unique<PeerHub>(
            m_context, m_timers, HelloMessage{EntryId("other"), CpuMillis(1), {}},
            Endpoint{"127.0.0.1", m_otherPort.port()}, std::move(handlers));
        m_other->announce({"127.0.0.1", m_nodePort.port()},
                          {claim, EntryId("other"), {"127.0.0.1", m_otherPort.port()}});
        runFor(Duration(800));
    }
    void createLease(Duration, std::function<void(StoreLease)> done) override
    {
        respond<StoreLease>({true, true, StoreLeaseId(1)}, std::move(done));
    }
    void renewLease(StoreLeaseId id, std::function<void(StoreLease)> done) override
    {
        respond<StoreLease>({true, true, id}, std::move(done));
    }
    void readOperators(std::function<void(OperatorView)> done) override
    {
        OperatorView view{true, CellConfiguration(), {}};
        view.configuration->version = 1;
        view.configuration->queues.resize(1);
        QueueSettings &queue = view.configuration->queues.front();
        queue.id = QueueId("queue");
        queue.host = "host";
        queue.pathPrefix = "/queue/";
        queue.isOpenToAll = true;
        respond<OperatorView>(std::move(view), std::move(done));
    }
    void readWorkers(std::function<void(WorkerDirectory)> done) override
    {
        respond<WorkerDirectory>({true, {}}, std::move(done));
    }

    CellSettings settings() const
    {
        CellSettings settings = nodeSettings();
        settings.peer = {"127.0.0.1", m_nodePort.port()};
        return settings;
    }

    template <typename Result> void respond(Result result, std::function<void(Result)> done)
    {
        asio::post(m_context,
                   [result = std::move(result), done = std::move(done)] { done(result); });
    }

    CellSimulation m_simulation{1};
    PortReservation m_nodePort{static_cast<unsigned>(getpid())};
    PortReservation m_otherPort{static_cast<unsigned>(getpid())};
    asio::io_context m_context{1};
    AsioTimerService m_timers{m_context};
    bool m_respondsToCommits = true;
    uint64_t m_revision = 0;
    std::optional<StoreEntry> m_claim;
    std::unique_ptr<PeerHub> m_other;
    std::vector<ClientReply::Outcome> m_replies;
    CellNode m_node{m_context, settings(), {*this, *this, m_simulation, m_simulation}};
};

} // namespace

// LOST: a submission whose record was being written had no answer when its node ended.
TEST_CASE_METHOD(LeadingNodeFixture, "Stopping leader answers a submission that is being stored",
                 "[cellnode][shutdown]")
{
    m_node.retire([] {});
    m_node.answerHeldCalls();
    CHECK(m_replies == std::vector{ClientReply::Undetermined});
    CHECK(m_node.stopCounts().left == 0);
}

// LOST: a scheduler without its claim dropped the submissions that it was storing.
TEST_CASE_METHOD(LeadingNodeFixture,
                 "Submission that is being stored is answered when its node ceases to lead",
                 "[cellnode][shutdown]")
{
    m_node.retire([] {});
    runFor(Duration(1500));
    CHECK(m_replies == std::vector{ClientReply::Undetermined});
}

// Guards against a leader that steps down for an announcement that the store contradicts.
TEST_CASE_METHOD(LeadingNodeFixture,
                 "Announcement of a claim that the store lacks deposes no leader", "[cellnode]")
{
    announce(Revision(1'000'000));
    CHECK(m_node.isReady());
    CHECK(m_replies.empty());
}

// Guards against a leader that goes on although the store names the one that was announced.
TEST_CASE_METHOD(LeadingNodeFixture, "Leader steps down when the store confirms an announcement",
                 "[cellnode]")
{
    m_claim->revision = Revision(1'000'000);
    announce(Revision(1'000'000));
    CHECK_FALSE(m_node.isReady());
    CHECK(m_replies == std::vector{ClientReply::Undetermined});
}

TEST_CASE(
    "Submission that an earlier leader may have stored is undetermined if a later one refuses it",
    "[cellnode]")
{
    std::optional<ClientReply> reply;
    WaitingCall waiting;
    waiting.respond = [&reply](const ClientReply &answer) { reply = answer; };
    const auto outcomeOf = [&](ClientCall::Kind kind, bool wasSent, ClientReply::Outcome outcome) {
        waiting.call.kind = kind;
        waiting.wasSent = wasSent;
        ClientReply answer;
        answer.outcome = outcome;
        waiting.answer(answer);
        return reply->outcome;
    };
    const auto refusal =
        GENERATE(ClientReply::Unavailable, ClientReply::TooBusy, ClientReply::Isolated,
                 ClientReply::NoSuchQueue, ClientReply::UnknownKey, ClientReply::Malformed);
    CHECK(outcomeOf(ClientCall::Submit, true, refusal) == ClientReply::Undetermined);
    CHECK(outcomeOf(ClientCall::Submit, false, refusal) == refusal);
    CHECK(outcomeOf(ClientCall::Status, true, refusal) == refusal);
    CHECK(outcomeOf(ClientCall::Submit, true, ClientReply::Accepted) == ClientReply::Accepted);
}

namespace {

/**
 * A node that finds the claim of its former process; the store refuses its first try to write
 * another one. It has one worker, which the advisor must allow.
 */
class RestartedNodeFixture : public TransactionalStore,
                             public OperatorSource,
                             public WorkerCommands,
                             public PlacementAdvisor
{
protected:
    RestartedNodeFixture()
    {
        m_claim.value = R"({"host":"127.0.0.1","node":"n","nonce":0,"port":)"
            + std::to_string(m_nodePort.port()) + "}";
        m_node.start();
        for (int attempt = 0; attempt < 200 && !m_node.isReady(); ++attempt)
            runFor(Duration(20));
        REQUIRE(m_node.isReady());
        REQUIRE(m_claimTries > 1);
    }

    void runFor(Duration time)
    {
        m_context.restart();
        m_context.run_for(time);
    }

    void list(const std::string &prefix, std::function<void(StoreRead)> done) override
    {
        StoreRead read{true, {}};
        if (prefix == LeaderKey)
            read.entries.push_back(m_claim);
        respond<StoreRead>(std::move(read), std::move(done));
    }
    void probe(std::function<void(bool)> done) override { respond<bool>(true, std::move(done)); }
    void commit(StoreTransaction transaction, std::function<void(CommitResult)> done) override
    {
        const StoreTransaction::Put &put = transaction.puts.front();
        if (put.key == LeaderKey && ++m_claimTries == 1)
            return respond<CommitResult>({CommitResult::NotDone, {}, {}}, std::move(done));
        const Revision revision(++m_revision);
        if (put.key == LeaderKey)
            m_claim = {put.key, put.value, revision};
        respond<CommitResult>({CommitResult::Committed, revision, {}}, std::move(done));
    }
    void createLease(Duration, std::function<void(StoreLease)> done) override
    {
        respond<StoreLease>({true, true, StoreLeaseId(1)}, std::move(done));
    }
    void renewLease(StoreLeaseId id, std::function<void(StoreLease)> done) override
    {
        respond<StoreLease>({true, true, id}, std::move(done));
    }
    void readOperators(std::function<void(OperatorView)> done) override
    {
        OperatorView view{true, CellConfiguration(), {}};
        view.configuration->version = 1;
        view.configuration->pools.push_back({"pool", false});
        view.configuration->queues.resize(1);
        QueueSettings &queue = view.configuration->queues.front();
        queue.id = QueueId("queue");
        queue.host = "host";
        queue.pathPrefix = "/queue/";
        queue.pool = "pool";
        queue.isOpenToAll = true;
        queue.advice = AdviceCost{Duration(5), {}, Duration(10'000)};
        respond<OperatorView>(std::move(view), std::move(done));
    }
    void readWorkers(std::function<void(WorkerDirectory)> done) override
    {
        CellWorker worker;
        worker.incarnation = {WorkerId("w"), 1};
        worker.address = {"127.0.0.1", 1};
        worker.zone = ZoneId("a");
        worker.pool = "pool";
        worker.capacity = {CpuMillis(16'000), MemoryMb(64'000), AcceleratorCount(0)};
        respond<WorkerDirectory>({true, {worker}}, std::move(done));
    }
    void hold(HoldCall call, std::function<void(HoldReply)> done) override
    {
        HoldReply reply;
        reply.outcome = HoldReply::Answered;
        reply.clock = WorkerClock(1);
        reply.startedAtMs = 1;
        m_timers.after(call.wait + Duration(1), [reply, done = std::move(done)] { done(reply); });
    }
    void start(StartCall, std::function<void(StartReply)>) override { ++m_starts; }
    void stop(StopCall, std::function<void(StopReply)>) override { }
    void ask(AdviceCall call, std::function<void(AdviceReply)> done) override
    {
        AdviceReply reply{true, {}};
        for (const WorkerId &worker : call.workers)
            reply.allowed.push_back({worker, "ticket"});
        respond<AdviceReply>(std::move(reply), std::move(done));
    }

    CellSettings settings() const
    {
        CellSettings settings = nodeSettings();
        settings.peer = {"127.0.0.1", m_nodePort.port()};
        return settings;
    }

    template <typename Result> void respond(Result result, std::function<void(Result)> done)
    {
        asio::post(m_context,
                   [result = std::move(result), done = std::move(done)] { done(result); });
    }

    PortReservation m_nodePort{static_cast<unsigned>(getpid())};
    asio::io_context m_context{1};
    AsioTimerService m_timers{m_context};
    uint64_t m_revision = 10;
    StoreEntry m_claim{LeaderKey, {}, Revision(10)};
    std::size_t m_claimTries = 0;
    std::size_t m_starts = 0;
    CellNode m_node{m_context, settings(), {*this, *this, *this, *this}};
};

} // namespace

// Guards against a node that followed itself for the time between two tries to claim, and as the
// leader made no calls to the advisor any more.
TEST_CASE_METHOD(RestartedNodeFixture,
                 "Node whose first claim after a restart was refused goes on to ask the advisor",
                 "[cellnode]")
{
    ClientCall call;
    call.kind = ClientCall::Submit;
    call.host = "host";
    call.path = "/queue/0123456789abcdef";
    call.spec.steps.resize(1);
    call.spec.steps.front().taskCount = 1;
    m_node.handle(std::move(call), Duration(5000), [](const ClientReply &) {});
    runFor(Duration(1500));
    CHECK(m_starts == 1);
}
