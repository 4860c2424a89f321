#include "CellSimulation.h"

#include "Coordination/CommandRelay.h"
#include "Coordination/PeerHub.h"
#include "Transport/AsioTimerService.h"
#include "Transport/MessageDelay.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <set>

using namespace Cranberrymount;

namespace {

WorkerId workerName(std::size_t number)
{
    return WorkerId(fmt::format("i-{:04}", number));
}

/** Answers every command at once and records which workers received one. */
class RecordingCommands : public WorkerCommands
{
public:
    void hold(HoldCall call, std::function<void(HoldReply)> done) override
    {
        held.insert(call.to.worker);
        HoldReply reply;
        reply.outcome = isUnreachable ? HoldReply::Unreachable : HoldReply::Answered;
        done(reply);
    }
    void start(StartCall call, std::function<void(StartReply)> done) override
    {
        started.insert(call.to.worker);
        done({StartReply::Started});
    }
    void stop(StopCall, std::function<void(StopReply)> done) override
    {
        done({StopReply::Accepted});
    }

    bool isUnreachable = false;
    std::set<WorkerId> held;
    std::set<WorkerId> started;
};

/** A leader's command relay and its forwarders, in virtual time. */
class RelayFixture
{
protected:
    void addForwarders(std::size_t count, int64_t processor)
    {
        for (std::size_t index = 0; index < count; ++index)
            addForwarder(EntryId(fmt::format("n{}-{}", processor, index)), processor);
    }

    void addForwarder(const EntryId &node, int64_t processor)
    {
        RecordingCommands &commands = m_forwarders[node];
        CommandRelay::Forwarder forwarder;
        forwarder.processor = CpuMillis(processor);
        forwarder.zone = m_zone;
        forwarder.hold = [this, node, &commands](const HoldCall &call, const auto &done) {
            if (m_unresponsive.contains(node))
                return done(std::nullopt);
            commands.hold(call, done);
        };
        forwarder.start = [&commands](const StartCall &call, const auto &done) {
            commands.start(call, done);
        };
        m_commandRelay.addForwarder(node, std::move(forwarder));
    }

    /** Sends a hold command to each of @p workers workers. @return the number of replies. */
    std::size_t holdAll(std::size_t workers)
    {
        std::size_t answered = 0;
        for (std::size_t index = 0; index < workers; ++index) {
            HoldCall call;
            call.to.worker = workerName(index);
            call.to.zone = m_zone;
            m_commandRelay.hold(std::move(call), [&answered](const HoldReply &reply) {
                answered += reply.outcome == HoldReply::Answered;
            });
        }
        return answered;
    }

    void clearHeld()
    {
        m_direct.held.clear();
        for (auto &[node, commands] : m_forwarders)
            commands.held.clear();
    }

    std::map<WorkerId, EntryId> forwarderOfWorkers() const
    {
        std::map<WorkerId, EntryId> forwarders;
        for (const auto &[node, commands] : m_forwarders) {
            for (const WorkerId &worker : commands.held)
                forwarders[worker] = node;
        }
        return forwarders;
    }

    EventQueue m_events;
    EventQueueTimers m_timers{m_events};
    RecordingCommands m_direct;
    std::map<EntryId, RecordingCommands> m_forwarders;
    std::set<EntryId> m_unresponsive;
    /** Zone of the forwarders that are added and of all workers. */
    ZoneId m_zone{"a"};
    CommandRelay m_commandRelay{m_direct, m_timers};
};

} // namespace

TEST_CASE_METHOD(RelayFixture, "Leader of a small pool sends all commands itself", "[orderrelay]")
{
    addForwarders(8, 250);
    CHECK(holdAll(48) == 48);
    CHECK(m_direct.held.size() == 48);
    CHECK(forwarderOfWorkers().empty());
}

// Guards against a leader that spends its processor time on calls to several hundred workers.
TEST_CASE_METHOD(RelayFixture, "Followers of a large pool's leader forward all its commands",
                 "[orderrelay]")
{
    addForwarders(28, 120);
    addForwarders(6, 500);
    holdAll(350);
    clearHeld();
    CHECK(holdAll(350) == 350);
    CHECK(m_direct.held.empty());
    CHECK(forwarderOfWorkers().size() == 350);
    std::size_t strong = 0;
    for (const auto &[node, commands] : m_forwarders) {
        if (node.value().starts_with("n500"))
            strong += commands.held.size();
        // The mean is 6.6 workers per weak forwarder and 28 per strong one.
        CHECK(commands.held.size() <= 50);
    }
    CHECK(strong > 110);
    CHECK(strong < 220);
}

TEST_CASE_METHOD(RelayFixture,
                 "Start command takes the same forwarder as its worker's hold commands",
                 "[orderrelay]")
{
    addForwarders(5, 250);
    holdAll(100);
    clearHeld();
    holdAll(100);
    StartCall call;
    call.to.worker = workerName(7);
    std::optional<StartReply> reply;
    m_commandRelay.start(std::move(call), [&reply](const StartReply &answer) { reply = answer; });
    REQUIRE(reply);
    CHECK(reply->outcome == StartReply::Started);
    CHECK(m_forwarders.at(forwarderOfWorkers().at(workerName(7))).started.contains(workerName(7)));
}

TEST_CASE_METHOD(RelayFixture, "Workers change forwarder only to a node that joins", "[orderrelay]")
{
    addForwarders(10, 250);
    holdAll(200);
    clearHeld();
    holdAll(200);
    const auto before = forwarderOfWorkers();
    clearHeld();
    addForwarder(EntryId("newcomer"), 250);
    holdAll(200);
    for (const auto &[worker, node] : forwarderOfWorkers())
        CHECK((node == before.at(worker) || node == EntryId("newcomer")));
}

TEST_CASE_METHOD(RelayFixture,
                 "Worker that its forwarder cannot reach is called by the leader directly",
                 "[orderrelay]")
{
    addForwarders(2, 250);
    holdAll(100);
    m_forwarders.begin()->second.isUnreachable = true;
    const std::size_t unreachableCount = 100 - holdAll(100);
    CHECK(unreachableCount > 0);
    m_direct.held.clear();
    CHECK(holdAll(100) == 100);
    CHECK(m_direct.held.size() == unreachableCount);
}

// Guards against a zone that is cut off and makes workers of other zones unreachable.
TEST_CASE_METHOD(RelayFixture, "Worker's forwarder is in the worker's zone if that zone has one",
                 "[orderrelay]")
{
    m_zone = ZoneId("b");
    addForwarders(3, 500);
    m_zone = ZoneId("a");
    addForwarders(2, 100);
    holdAll(100);
    clearHeld();
    CHECK(holdAll(100) == 100);
    for (const auto &[worker, node] : forwarderOfWorkers())
        CHECK(node.value().starts_with("n100"));
    m_commandRelay.removeForwarder(EntryId("n100-0"));
    m_commandRelay.removeForwarder(EntryId("n100-1"));
    clearHeld();
    CHECK(holdAll(100) == 100);
    CHECK(forwarderOfWorkers().size() == 100);
}

TEST_CASE_METHOD(RelayFixture, "Unresponsive forwarder is suspended at once and used again later",
                 "[orderrelay]")
{
    addForwarders(3, 250);
    holdAll(100);
    const EntryId unresponsive = m_forwarders.begin()->first;
    m_unresponsive.insert(unresponsive);
    holdAll(100);
    CHECK(holdAll(100) == 100);
    m_unresponsive.clear();
    m_events.runUntil(m_events.now() + Duration(6000));
    clearHeld();
    CHECK(holdAll(100) == 100);
    CHECK_FALSE(m_forwarders.at(unresponsive).held.empty());
}

TEST_CASE_METHOD(RelayFixture, "Leader whose followers have left sends all commands itself",
                 "[orderrelay]")
{
    addForwarders(2, 250);
    holdAll(100);
    for (const auto &[node, commands] : m_forwarders)
        m_commandRelay.removeForwarder(node);
    m_direct.held.clear();
    CHECK(holdAll(100) == 100);
    CHECK(m_direct.held.size() == 100);
}

TEST_CASE("Message delay is measured against the fastest message of its link", "[orderrelay]")
{
    MessageDelay delay;
    CHECK_FALSE(delay.measure(Duration(5000), Duration(90'000)));
    CHECK(delay.measure(Duration(5200), Duration(90'200)) == Duration(0));
    CHECK(delay.measure(Duration(5400), Duration(92'400)) == Duration(2000));
    CHECK(delay.measure(Duration(7500), Duration(92'499)) == Duration(0));
}

TEST_CASE("Follower forwards its leader's command and returns the worker's reply", "[orderrelay]")
{
    constexpr uint16_t LeaderPort = 18'473;
    asio::io_context context(1);
    AsioTimerService timers(context);
    RecordingCommands leadersCommands;
    RecordingCommands followersCommands;
    std::optional<StartReply> reply;
    PeerHub *leaderHub = nullptr;
    PeerHub::Handlers leaderHandlers;
    leaderHandlers.commands = &leadersCommands;
    leaderHandlers.followerLeft = [](const EntryId &) {};
    leaderHandlers.followerJoined = [&](const EntryId &node) {
        leaderHub->sendHeartbeat(node, {});
        StartCall call;
        call.to.worker = workerName(1);
        call.task = {JobId("0123456789abcdef"), 1, 2, 3};
        call.payload = "text";
        leaderHub->forwarder(node).start(std::move(call), [&](std::optional<StartReply> answer) {
            reply = answer;
            context.stop();
        });
    };
    PeerHub leader(context, timers, {EntryId("l"), CpuMillis(500), ZoneId("a")},
                   {"127.0.0.1", LeaderPort}, leaderHandlers);
    leaderHub = &leader;
    PeerHub::Handlers followerHandlers;
    followerHandlers.commands = &followersCommands;
    PeerHub follower(context, timers, {EntryId("f"), CpuMillis(120), ZoneId("a")}, {"127.0.0.1", 0},
                     followerHandlers);
    follower.follow(Endpoint{"127.0.0.1", LeaderPort});
    context.run_for(std::chrono::seconds(5));
    REQUIRE(reply);
    CHECK(reply->outcome == StartReply::Started);
    CHECK(followersCommands.started.contains(workerName(1)));
    CHECK(leadersCommands.started.empty());
}
