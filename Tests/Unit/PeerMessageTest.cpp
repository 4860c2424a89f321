#include "Protocol/CellMessages.h"
#include "Protocol/Generated/Cell_generated.h"
#include "Protocol/Generated/Peer_generated.h"
#include "Protocol/PeerMessages.h"
#include "Protocol/ProtocolError.h"

#include <catch2/catch.hpp>
#include <pcg_random.hpp>

using namespace Cranberrymount;

namespace {

using Builder = flatbuffers::FlatBufferBuilder;

constexpr uint8_t UnknownValue = 200;

Frame finish(Builder &builder, CellWire::Message type, flatbuffers::Offset<void> message)
{
    builder.Finish(CellWire::CreateEnvelope(builder, 1, type, message));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

std::string finish(Builder &builder, Wire::Body type, flatbuffers::Offset<void> body)
{
    builder.Finish(Wire::CreateEnvelope(builder, 1, 0, type, body));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

std::vector<Frame> sampleFrames()
{
    ClientCall call;
    call.kind = ClientCall::Submit;
    call.spec.steps.resize(1);
    call.spec.steps[0].taskCount = 2;
    HoldReply report;
    report.running = {{{JobId("job"), 0, 0, 1}, 1, "checkpoint", 50}};
    report.ended = {{4, {JobId("job"), 0, 0, 0}, 1, RunOutcome::Done, ""}};
    const LeftoverEndsMessage ends{{{{JobId("job"), 0, 0, 0}, 1, RunOutcome::Done, ""}}};
    std::vector<Frame> frames;
    for (const CellMessage &message :
         {CellMessage(call), CellMessage(report), CellMessage(ends), CellMessage(StartCall()),
          CellMessage(ClientReply()), CellMessage(AdviceCall())})
        frames.push_back(encodeCellEnvelope({3, message}));
    return frames;
}

} // namespace

// Guards against a crash over a frame that names a message and has none.
TEST_CASE("Peer frame whose message is missing is refused", "[peermessages]")
{
    for (int type = 1; type <= static_cast<int>(CellWire::Message::MAX); ++type) {
        Builder builder;
        CHECK_THROWS_AS(
            decodeCellEnvelope(finish(builder, static_cast<CellWire::Message>(type), 0)),
            ProtocolError);
    }
    for (int type = 1; type <= static_cast<int>(Wire::Body::MAX); ++type) {
        Builder builder;
        CHECK_THROWS_AS(decodeEnvelope(finish(builder, static_cast<Wire::Body>(type), 0)),
                        ProtocolError);
    }
}

// Guards against kinds, outcomes and states that no code expects.
TEST_CASE("Peer message with an unknown kind, outcome or state is refused", "[peermessages]")
{
    Builder call;
    const auto request = CellWire::CreateClientRequest(call, UnknownValue);
    CHECK_THROWS_AS(
        decodeCellEnvelope(finish(call, CellWire::Message::ClientRequest, request.Union())),
        ProtocolError);
    for (const bool isOutcome : {false, true}) {
        Builder reply;
        const auto response = CellWire::CreateClientResponse(reply, isOutcome ? UnknownValue : 0,
                                                             isOutcome ? 0 : UnknownValue);
        CHECK_THROWS_AS(
            decodeCellEnvelope(finish(reply, CellWire::Message::ClientResponse, response.Union())),
            ProtocolError);
    }
    Builder lookup;
    const auto answer = Wire::CreateLookupReply(lookup, static_cast<Wire::LookupOutcome>(100));
    CHECK_THROWS_AS(decodeEnvelope(finish(lookup, Wire::Body::LookupReply, answer.Union())),
                    ProtocolError);
}

// Guards against a process that a damaged frame ends.
TEST_CASE("Damaged peer frame is refused or read", "[peermessages]")
{
    constexpr int Cases = 20'000;
    const std::vector<Frame> frames = sampleFrames();
    pcg32 random(11);
    int refused = 0;
    for (int count = 0; count < Cases; ++count) {
        Frame frame = frames[static_cast<std::size_t>(count) % frames.size()];
        for (uint32_t changes = 1 + random(3); changes > 0; --changes)
            frame[random(static_cast<uint32_t>(frame.size()))] = static_cast<char>(random(256));
        try {
            decodeCellEnvelope(frame);
        } catch (const ProtocolError &) {
            ++refused;
        }
    }
    CHECK(refused > Cases / 10);
    CHECK(refused < Cases);
}
