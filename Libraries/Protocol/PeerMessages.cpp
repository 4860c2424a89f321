#include "Protocol/PeerMessages.h"

#include "Protocol/Generated/Peer_generated.h"
#include "Protocol/ProtocolError.h"

#include <charconv>

namespace Cranberrymount {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

struct BodyOffset
{
    Wire::Body type;
    Offset<void> offset;
};

Offset<flatbuffers::Vector<uint8_t>> bytes(FlatBufferBuilder &builder, const std::string &text)
{
    return builder.CreateVector(reinterpret_cast<const uint8_t *>(text.data()), text.size());
}

std::string text(const flatbuffers::String *string)
{
    return string ? string->str() : std::string();
}

std::string text(const flatbuffers::Vector<uint8_t> *vector)
{
    return vector ? std::string(vector->begin(), vector->end()) : std::string();
}

class Encoder
{
public:
    explicit Encoder(FlatBufferBuilder &builder)
        : m_builder(builder)
    {
    }

    BodyOffset operator()(const Heartbeat &heartbeat)
    {
        std::vector<Offset<Wire::ShardSummary>> shards;
        for (const ShardSummary &shard : heartbeat.shards) {
            shards.push_back(Wire::CreateShardSummary(
                m_builder, m_builder.CreateString(shard.shard.value()), shard.epoch.value(),
                shard.active, shard.free.cpu.value(), shard.free.memory.value(),
                shard.free.accelerators.value(), shard.waitingTasks, shard.freeSlots));
        }
        const auto age = heartbeat.evidenceAge ? heartbeat.evidenceAge->count() : -1;
        return {Wire::Body::Heartbeat,
                Wire::CreateHeartbeat(m_builder, m_builder.CreateString(heartbeat.from.value()),
                                      m_builder.CreateString(heartbeat.zone.value()),
                                      m_builder.CreateString(heartbeat.address.text()),
                                      heartbeat.leaving, heartbeat.configRevision.value(), age,
                                      m_builder.CreateVector(shards))
                    .Union()};
    }

    BodyOffset operator()(const LookupCall &call)
    {
        return {Wire::Body::LookupCall,
                Wire::CreateLookupCall(m_builder, m_builder.CreateString(call.queue.value()),
                                       call.idempotent, call.hops,
                                       static_cast<uint32_t>(call.timeout.count()),
                                       bytes(m_builder, call.body))
                    .Union()};
    }

    BodyOffset operator()(const LookupReply &reply)
    {
        return {Wire::Body::LookupReply,
                Wire::CreateLookupReply(
                    m_builder, static_cast<Wire::LookupOutcome>(reply.outcome),
                    static_cast<uint16_t>(reply.status), m_builder.CreateString(reply.contentType),
                    bytes(m_builder, reply.body), m_builder.CreateString(reply.reason),
                    m_builder.CreateString(reply.worker.value()), reply.noTarget)
                    .Union()};
    }

    BodyOffset operator()(const ControlCall &call)
    {
        return {Wire::Body::ControlCall,
                Wire::CreateControlCall(m_builder, m_builder.CreateString(call.method),
                                        m_builder.CreateString(call.body))
                    .Union()};
    }

    BodyOffset operator()(const ControlReply &reply)
    {
        return {Wire::Body::ControlReply,
                Wire::CreateControlReply(m_builder, static_cast<uint16_t>(reply.status),
                                         m_builder.CreateString(reply.body))
                    .Union()};
    }

private:
    FlatBufferBuilder &m_builder;
};

Heartbeat decode(const Wire::Heartbeat &wire)
{
    Heartbeat heartbeat;
    heartbeat.from = EntryId(text(wire.from()));
    heartbeat.zone = ZoneId(text(wire.zone()));
    heartbeat.address = parseEndpoint(text(wire.address()));
    heartbeat.leaving = wire.leaving();
    heartbeat.configRevision = Revision(wire.config_revision());
    if (wire.evidence_age_ms() >= 0)
        heartbeat.evidenceAge = Duration(wire.evidence_age_ms());
    if (!wire.shards())
        return heartbeat;
    for (const Wire::ShardSummary *shard : *wire.shards()) {
        heartbeat.shards.push_back(
            {ShardId(text(shard->shard())), Epoch(shard->epoch()), shard->active(),
             Resources{CpuMillis(shard->free_cpu()), MemoryMb(shard->free_memory()),
                       AcceleratorCount(shard->free_accelerators())},
             shard->waiting_tasks(), shard->free_slots()});
    }
    return heartbeat;
}

LookupCall decode(const Wire::LookupCall &wire)
{
    return {QueueId(text(wire.queue())), wire.idempotent(), wire.hops(),
            Duration(wire.timeout_ms()), text(wire.body())};
}

LookupReply decode(const Wire::LookupReply &wire)
{
    if (wire.outcome() < Wire::LookupOutcome::MIN || wire.outcome() > Wire::LookupOutcome::MAX)
        throw ProtocolError("peer message has an unknown outcome");
    return {static_cast<LookupReply::Outcome>(wire.outcome()),
            wire.status(),
            text(wire.content_type()),
            text(wire.body()),
            text(wire.reason()),
            WorkerId(text(wire.worker())),
            wire.no_target()};
}

PeerMessage decodeBody(const Wire::Envelope &envelope)
{
    // The verifier accepts a type without its body.
    if (!envelope.body())
        throw ProtocolError("peer envelope has no body");
    switch (envelope.body_type()) {
    case Wire::Body::Heartbeat:
        return decode(*envelope.body_as_Heartbeat());
    case Wire::Body::LookupCall:
        return decode(*envelope.body_as_LookupCall());
    case Wire::Body::LookupReply:
        return decode(*envelope.body_as_LookupReply());
    case Wire::Body::ControlCall:
        return ControlCall{text(envelope.body_as_ControlCall()->method()),
                           text(envelope.body_as_ControlCall()->body())};
    case Wire::Body::ControlReply:
        return ControlReply{envelope.body_as_ControlReply()->status(),
                            text(envelope.body_as_ControlReply()->body())};
    case Wire::Body::NONE:
        break;
    }
    throw ProtocolError("peer message has a body of an unknown type");
}

} // namespace

std::string encodeEnvelope(const PeerEnvelope &envelope)
{
    FlatBufferBuilder builder;
    const auto trace = builder.CreateString(envelope.trace);
    const BodyOffset body = std::visit(Encoder(builder), envelope.message);
    builder.Finish(Wire::CreateEnvelope(builder, envelope.id, trace, body.type, body.offset));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

PeerEnvelope decodeEnvelope(const std::string &frame)
{
    const auto *data = reinterpret_cast<const uint8_t *>(frame.data());
    flatbuffers::Verifier verifier(data, frame.size());
    if (!Wire::VerifyEnvelopeBuffer(verifier))
        throw ProtocolError("peer frame is not a well-formed envelope");
    const Wire::Envelope &wire = *Wire::GetEnvelope(data);
    return {wire.id(), text(wire.trace()), decodeBody(wire)};
}

Endpoint parseEndpoint(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        throw ProtocolError("'" + text + "' is not IP:PORT");
    Endpoint endpoint;
    endpoint.host = text.substr(0, colon);
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data() + colon + 1, end, endpoint.port);
    if (result.ec != std::errc() || result.ptr != end || endpoint.port == 0)
        throw ProtocolError("'" + text + "' is not IP:PORT");
    return endpoint;
}

} // namespace Cranberrymount
