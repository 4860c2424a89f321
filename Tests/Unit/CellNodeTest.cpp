#include "CellSimulation.h"

#include "Service/CellNode.h"

#include <catch2/catch.hpp>

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
