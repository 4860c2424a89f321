#include "Coordination/Journal.h"
#include "Service/CellNode.h"

#include <asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <map>

using namespace Cranberrymount;

namespace {

constexpr uint16_t FirstPort = 18'475;

/** A platform without workers that answers after 1 ms. */
class SmallPlatform : public TransactionalStore,
                      public OperatorSource,
                      public WorkerCommands,
                      public PlacementAdvisor
{
public:
    explicit SmallPlatform(asio::io_context &context)
        : m_context(context)
    {
    }

    void list(const std::string &prefix, std::function<void(StoreRead)> done) override
    {
        StoreRead read{!isDisconnected, {}};
        for (const auto &[key, entry] : m_values) {
            if (!isDisconnected && key.starts_with(prefix))
                read.entries.push_back(entry);
        }
        respondLater([done, read] { done(read); });
    }
    void probe(std::function<void(bool)> done) override
    {
        respondLater([done] { done(true); });
    }
    void commit(StoreTransaction transaction, std::function<void(CommitResult)> done) override
    {
        CommitResult result{
            isDisconnected ? CommitResult::NotDone : CommitResult::Committed, {}, {}};
        for (const auto &condition : transaction.conditions) {
            const auto found = m_values.find(condition.key);
            const Revision present = found == m_values.end() ? Revision() : found->second.revision;
            if (present != condition.revision)
                result.outcome = CommitResult::Conflict;
        }
        if (result.outcome == CommitResult::Committed) {
            result.revision = Revision(++m_revision);
            for (const auto &put : transaction.puts)
                m_values[put.key] = {put.key, put.value, result.revision};
        }
        respondLater([done, result] { done(result); });
    }
    void createLease(Duration, std::function<void(StoreLease)> done) override
    {
        respondLater([done] { done({true, true, StoreLeaseId(1)}); });
    }
    void renewLease(StoreLeaseId id, std::function<void(StoreLease)> done) override
    {
        respondLater([done, id] { done({true, true, id}); });
    }
    void readOperators(std::function<void(OperatorView)> done) override
    {
        OperatorView view;
        view.answered = true;
        view.configuration.emplace().version = 1;
        respondLater([done, view] { done(view); });
    }
    void readWorkers(std::function<void(WorkerDirectory)> done) override
    {
        WorkerDirectory directory;
        directory.answered = true;
        respondLater([done, directory] { done(directory); });
    }
    void hold(HoldCall, std::function<void(HoldReply)>) override { }
    void start(StartCall, std::function<void(StartReply)>) override { }
    void stop(StopCall, std::function<void(StopReply)>) override { }
    void ask(AdviceCall, std::function<void(AdviceReply)>) override { }

    /** The store is unreachable: reads fail and commits are not executed. */
    bool isDisconnected = false;

    /** Writes the leadership claim of a leader with this name and address. */
    void writeClaim(const std::string &node, const Endpoint &address)
    {
        m_values[LeaderKey] = {LeaderKey,
                               fmt::format(R"({{"node":"{}","host":"{}","port":{}}})", node,
                                           address.host, address.port),
                               Revision(++m_revision)};
    }

    /** @return the value of the current leadership claim; empty if there is none. */
    std::string leader() const
    {
        const auto found = m_values.find(LeaderKey);
        return found == m_values.end() ? std::string() : found->second.value;
    }

private:
    void respondLater(std::function<void()> action)
    {
        const auto timer = std::make_shared<asio::steady_timer>(m_context, Duration(1));
        timer->async_wait(
            [timer, action = std::move(action)](const asio::error_code &) { action(); });
    }

    asio::io_context &m_context;
    std::map<std::string, StoreEntry> m_values;
    uint64_t m_revision = 0;
};

/**
 * A cell of three nodes over loopback: two with a large processor share, one of which leads, and
 * one with a small share.
 */
class SmallCellFixture
{
protected:
    SmallCellFixture()
    {
        for (const auto &[name, processor] : {std::pair{"a", 500}, {"b", 500}, {"c", 100}}) {
            CellSettings settings;
            settings.node = EntryId(name);
            settings.zone = ZoneId("z");
            settings.processor = CpuMillis(processor);
            settings.peer = {"127.0.0.1", static_cast<uint16_t>(FirstPort + m_nodes.size())};
            m_nodes.push_back(std::make_unique<CellNode>(
                m_context, settings,
                CellNode::Platform{m_platform, m_platform, m_platform, m_platform}));
            m_nodes.back()->start();
        }
        REQUIRE(runUntil([this] { return areReady(3) && leadsAny({0, 1}); }, Duration(8000)));
    }

    bool leads(std::size_t node) const
    {
        const std::string name = std::string("\"node\":\"") + "abc"[node] + "\"";
        return m_platform.leader().find(name) != std::string::npos;
    }
    bool leadsAny(const std::vector<std::size_t> &nodes) const
    {
        return std::ranges::any_of(nodes, [this](std::size_t node) { return leads(node); });
    }
    bool areReady(long count) const
    {
        return std::ranges::count_if(m_nodes, [](const auto &node) { return node->isReady(); })
            >= count;
    }
    bool runUntil(const std::function<bool()> &condition, Duration limit)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!condition() && std::chrono::steady_clock::now() < end)
            m_context.run_for(Duration(10));
        return condition();
    }

    asio::io_context m_context{1};
    SmallPlatform m_platform{m_context};
    std::vector<std::unique_ptr<CellNode>> m_nodes;
};

} // namespace

// Guards against seconds without a leader when nodes are stopped one after another.
TEST_CASE_METHOD(SmallCellFixture,
                 "Leader that stops is replaced at once although another node has stopped before",
                 "[cellnode]")
{
    // Callers wait 1.5 s for a leader; an election after missed heartbeats takes longer.
    constexpr Duration MaxElectionTime{1000};
    const std::size_t leader = leads(0) ? 0 : 1;
    m_nodes[1 - leader]->retire([] {});
    m_context.run_for(Duration(300));
    REQUIRE(leads(leader));
    m_nodes[leader]->retire([] {});
    CHECK(runUntil([this] { return leads(2) && m_nodes[2]->isReady(); }, MaxElectionTime));
}

namespace {

/** A follower whose leader is simulated: it only sends heartbeats. */
class SingleFollowerFixture
{
protected:
    SingleFollowerFixture()
    {
        const Endpoint address{"127.0.0.1", FirstPort + 10};
        m_platform.writeClaim("leader", address);
        PeerHub::Handlers handlers;
        handlers.followerJoined = [](const EntryId &) {};
        handlers.followerLeft = [](const EntryId &) {};
        handlers.vote = [](Revision) { return false; };
        handlers.clientCall = [](const ClientCall &, const ClientResponder &) {};
        m_leader = std::make_unique<PeerHub>(m_context, m_timers,
                                             HelloMessage{EntryId("leader"), CpuMillis(500), {}},
                                             address, std::move(handlers));
        sendHeartbeats();
        CellSettings settings;
        settings.node = EntryId("follower");
        settings.peer = {"127.0.0.1", FirstPort + 11};
        m_node = std::make_unique<CellNode>(
            m_context, settings,
            CellNode::Platform{m_platform, m_platform, m_platform, m_platform});
        m_node->start();
        m_context.run_for(Duration(1500));
        REQUIRE(m_node->isReady());
    }

    void sendHeartbeats()
    {
        if (!m_platform.isDisconnected)
            m_leader->broadcast({Revision(1), Duration(0), true});
        m_timers.after(Duration(100), [this] { sendHeartbeats(); });
    }

    asio::io_context m_context{1};
    AsioTimerService m_timers{m_context};
    SmallPlatform m_platform{m_context};
    std::unique_ptr<PeerHub> m_leader;
    std::unique_ptr<CellNode> m_node;
};

} // namespace

// Guards against nodes that accept calls and let them time out after their zone was partitioned
// without a reset of its connections.
TEST_CASE_METHOD(SingleFollowerFixture, "Follower without heartbeats from its leader refuses calls",
                 "[cellnode]")
{
    m_platform.isDisconnected = true;
    m_context.run_for(Duration(1000));
    CHECK_FALSE(m_node->isReady());
    std::optional<ClientReply> reply;
    ClientCall call;
    call.kind = ClientCall::Submit;
    m_node->handle(std::move(call), Duration(3000),
                   [&reply](const ClientReply &answer) { reply = answer; });
    m_context.run_for(Duration(1500));
    REQUIRE(reply);
    CHECK(reply->outcome == ClientReply::Isolated);
}
