#include "Protocol/CellMessages.h"

#include "Protocol/Generated/Cell_generated.h"
#include "Protocol/JournalCodec.h"
#include "Protocol/ProtocolError.h"

namespace Cranberrymount {

namespace {

using Builder = flatbuffers::FlatBufferBuilder;

std::string text(const flatbuffers::String *string)
{
    return string ? string->str() : std::string();
}

/** @return the value @p wire of an enumeration. @throws ProtocolError if it is above @p last. */
template <typename Value> Value unpackValue(uint8_t wire, Value last)
{
    if (wire > static_cast<uint8_t>(last))
        throw ProtocolError("peer message has an unknown kind, outcome or state");
    return static_cast<Value>(wire);
}

flatbuffers::Offset<void> pack(Builder &builder, const HelloMessage &message)
{
    return CellWire::CreateHelloDirect(builder, message.node.value().c_str(),
                                       static_cast<uint32_t>(message.processor.value()),
                                       message.zone.value().c_str(), message.isStopping,
                                       message.acceptsCompression)
        .Union();
}

flatbuffers::Offset<void> pack(Builder &builder, const HeartbeatMessage &message)
{
    return CellWire::CreateHeartbeat(
               builder, message.claim.value(),
               static_cast<uint32_t>(message.timeSinceStoreConfirmation.count()), message.isReady)
        .Union();
}

flatbuffers::Offset<void> pack(Builder &builder, const ClientCall &message)
{
    flatbuffers::Offset<flatbuffers::Vector<uint8_t>> workflow;
    if (message.kind == ClientCall::Submit) {
        JobAccepted specRecord;
        specRecord.spec = message.spec;
        const std::string bytes = encodeJournal({specRecord});
        workflow =
            builder.CreateVector(reinterpret_cast<const uint8_t *>(bytes.data()), bytes.size());
    }
    const auto host = builder.CreateString(message.host);
    const auto path = builder.CreateString(message.path);
    const auto key = builder.CreateString(message.key);
    return CellWire::CreateClientRequest(builder, message.kind, host, path, key, workflow).Union();
}

flatbuffers::Offset<void> pack(Builder &builder, const ClientReply &message)
{
    return CellWire::CreateClientResponseDirect(
               builder, message.outcome, static_cast<uint8_t>(message.state), message.pending,
               static_cast<uint32_t>(message.retryAfter.count()), message.detail.c_str())
        .Union();
}

flatbuffers::Offset<void> pack(Builder &builder, const AdviceCall &message)
{
    std::vector<flatbuffers::Offset<flatbuffers::String>> workers;
    workers.reserve(message.workers.size());
    for (const WorkerId &worker : message.workers)
        workers.push_back(builder.CreateString(worker.value()));
    return CellWire::CreateAdviceRequestDirect(builder, message.step.job.value().c_str(),
                                               message.step.occurrence, message.step.step, &workers,
                                               static_cast<uint32_t>(message.timeout.count()))
        .Union();
}

flatbuffers::Offset<void> pack(Builder &builder, const AdviceReply &message)
{
    std::vector<flatbuffers::Offset<flatbuffers::String>> workers;
    std::vector<flatbuffers::Offset<flatbuffers::String>> tickets;
    for (const AdviceTicket &ticket : message.allowed) {
        workers.push_back(builder.CreateString(ticket.worker.value()));
        tickets.push_back(builder.CreateString(ticket.ticket));
    }
    return CellWire::CreateAdviceResponseDirect(builder, message.answered, &workers, &tickets)
        .Union();
}

flatbuffers::Offset<void> pack(Builder &builder, const VoteRequest &message)
{
    return CellWire::CreateVoteRequest(builder, message.claim.value()).Union();
}

flatbuffers::Offset<void> pack(Builder &builder, const VoteResponse &message)
{
    return CellWire::CreateVoteResponse(builder, message.agrees).Union();
}

flatbuffers::Offset<void> pack(Builder &builder, const HandOverMessage &message)
{
    return CellWire::CreateHandOver(builder, message.claim.value(), message.isStoreUnresponsive)
        .Union();
}

flatbuffers::Offset<void> pack(Builder &builder, const LeftoverEndsMessage &message)
{
    const std::vector<JournalRecord> records(message.ends.begin(), message.ends.end());
    const std::string bytes = encodeJournal(records);
    return CellWire::CreateLeftoverEnds(
               builder,
               builder.CreateVector(reinterpret_cast<const uint8_t *>(bytes.data()), bytes.size()))
        .Union();
}

flatbuffers::Offset<void> pack(Builder &builder, const AnnouncementMessage &message)
{
    return CellWire::CreateAnnouncementDirect(builder, message.claim.value(),
                                              message.node.value().c_str(),
                                              message.address.host.c_str(), message.address.port)
        .Union();
}

flatbuffers::Offset<CellWire::OrderTarget> packTarget(Builder &builder, const CommandTarget &to)
{
    return CellWire::CreateOrderTargetDirect(builder, to.address.host.c_str(), to.address.port,
                                             to.worker.value().c_str(), to.epoch.value());
}

flatbuffers::Offset<CellWire::TaskName> packTask(Builder &builder, const TaskKey &task)
{
    // Many rows of a report have the same job id, which is then stored once.
    return CellWire::CreateTaskName(builder, builder.CreateSharedString(task.job.value()),
                                    task.occurrence, task.step, task.index);
}

flatbuffers::Offset<void> pack(Builder &builder, const HoldCall &message)
{
    return CellWire::CreateHoldRequest(builder, packTarget(builder, message.to),
                                       message.leaseUntil.value_or(WorkerClock()).value(),
                                       message.acknowledgedEnds,
                                       static_cast<uint32_t>(message.wait.count()))
        .Union();
}

flatbuffers::Offset<void> pack(Builder &builder, const HoldReply &message)
{
    std::vector<flatbuffers::Offset<CellWire::RunRow>> running;
    running.reserve(message.running.size());
    for (const RunReport &run : message.running) {
        const auto task = packTask(builder, run.task);
        running.push_back(CellWire::CreateRunRow(
            builder, task, run.attempt, builder.CreateString(run.checkpoint), run.percent));
    }
    std::vector<flatbuffers::Offset<CellWire::EndRow>> ended;
    ended.reserve(message.ended.size());
    for (const EndReport &end : message.ended) {
        const auto task = packTask(builder, end.task);
        ended.push_back(CellWire::CreateEndRow(builder, end.number, task, end.attempt,
                                               static_cast<uint8_t>(end.outcome),
                                               builder.CreateString(end.checkpoint)));
    }
    return CellWire::CreateHoldResponseDirect(builder, message.outcome, message.clock.value(),
                                              message.startedAtMs, &running, &ended)
        .Union();
}

flatbuffers::Offset<void> pack(Builder &builder, const StartCall &message)
{
    const auto to = packTarget(builder, message.to);
    const auto task = packTask(builder, message.task);
    const auto payload = builder.CreateString(message.payload);
    const auto checkpoint = builder.CreateString(message.checkpoint);
    const auto ticket = builder.CreateString(message.ticket);
    return CellWire::CreateStartRequest(builder, to, task, message.attempt, payload,
                                        message.leaseUntil.value(), checkpoint, ticket)
        .Union();
}

flatbuffers::Offset<void> pack(Builder &builder, const StartReply &message)
{
    return CellWire::CreateStartResponse(builder, message.outcome,
                                         static_cast<uint8_t>(message.fault))
        .Union();
}

flatbuffers::Offset<void> pack(Builder &builder, const StopCall &message)
{
    const auto to = packTarget(builder, message.to);
    const auto task = packTask(builder, message.task);
    return CellWire::CreateStopRequest(builder, to, task, message.attempt).Union();
}

flatbuffers::Offset<void> pack(Builder &builder, const StopReply &message)
{
    return CellWire::CreateStopResponse(builder, message.outcome).Union();
}

/** The union in the schema lists its members in the order of @c CellMessage, after NONE. */
CellWire::Message unionTypeOf(const CellMessage &message)
{
    return static_cast<CellWire::Message>(message.index() + 1);
}

ClientCall unpack(const CellWire::ClientRequest &wire)
{
    ClientCall call;
    call.kind = unpackValue(wire.kind(), ClientCall::Cancel);
    call.host = text(wire.host());
    call.path = text(wire.path());
    call.key = text(wire.key());
    if (wire.workflow()) {
        const std::string bytes(reinterpret_cast<const char *>(wire.workflow()->data()),
                                wire.workflow()->size());
        for (JournalRecord &record : decodeJournal(bytes)) {
            if (auto *specRecord = std::get_if<JobAccepted>(&record))
                call.spec = std::move(specRecord->spec);
        }
    }
    return call;
}

LeftoverEndsMessage unpack(const CellWire::LeftoverEnds &wire)
{
    LeftoverEndsMessage message;
    if (!wire.records())
        return message;
    const std::string bytes(reinterpret_cast<const char *>(wire.records()->data()),
                            wire.records()->size());
    for (JournalRecord &record : decodeJournal(bytes)) {
        if (auto *end = std::get_if<RunEnded>(&record))
            message.ends.push_back(std::move(*end));
    }
    return message;
}

ClientReply unpack(const CellWire::ClientResponse &wire)
{
    return {unpackValue(wire.outcome(), ClientReply::Undetermined),
            unpackValue(wire.state(), JobState::Cancelled), wire.pending(),
            Duration(wire.retry_after_ms()), text(wire.detail())};
}

AdviceCall unpack(const CellWire::AdviceRequest &wire)
{
    AdviceCall call;
    call.step = {JobId(text(wire.job())), wire.occurrence(), wire.step()};
    call.timeout = Duration(wire.timeout_ms());
    if (wire.workers()) {
        for (const auto *worker : *wire.workers())
            call.workers.emplace_back(worker->str());
    }
    return call;
}

AdviceReply unpack(const CellWire::AdviceResponse &wire)
{
    AdviceReply reply;
    reply.answered = wire.answered();
    if (wire.workers() && wire.tickets() && wire.workers()->size() == wire.tickets()->size()) {
        for (flatbuffers::uoffset_t index = 0; index < wire.workers()->size(); ++index)
            reply.allowed.push_back(
                {WorkerId(wire.workers()->Get(index)->str()), wire.tickets()->Get(index)->str()});
    }
    return reply;
}

CommandTarget unpackTarget(const CellWire::OrderTarget *wire)
{
    if (!wire)
        throw ProtocolError("command to a worker has no target");
    return {{text(wire->host()), wire->port()},
            WorkerId(text(wire->worker())),
            Epoch(wire->epoch()),
            {}};
}

TaskKey unpackTask(const CellWire::TaskName *wire)
{
    if (!wire)
        throw ProtocolError("command or worker report has no task");
    return {JobId(text(wire->job())), wire->occurrence(), wire->step(), wire->index()};
}

HoldCall unpack(const CellWire::HoldRequest &wire)
{
    HoldCall call;
    call.to = unpackTarget(wire.to());
    if (wire.lease_until() > 0)
        call.leaseUntil = WorkerClock(wire.lease_until());
    call.acknowledgedEnds = wire.acknowledged_ends();
    call.wait = Duration(wire.wait_ms());
    return call;
}

HoldReply unpack(const CellWire::HoldResponse &wire)
{
    HoldReply reply;
    reply.outcome = unpackValue(wire.outcome(), HoldReply::Unreachable);
    reply.clock = WorkerClock(wire.clock());
    reply.startedAtMs = wire.born_ms();
    if (wire.running()) {
        reply.running.reserve(wire.running()->size());
        for (const auto *row : *wire.running())
            reply.running.push_back(
                {unpackTask(row->task()), row->attempt(), text(row->checkpoint()), row->percent()});
    }
    if (wire.ended()) {
        reply.ended.reserve(wire.ended()->size());
        for (const auto *row : *wire.ended())
            reply.ended.push_back({row->number(), unpackTask(row->task()), row->attempt(),
                                   unpackValue(row->outcome(), RunOutcome::Lost),
                                   text(row->checkpoint())});
    }
    return reply;
}

StartCall unpack(const CellWire::StartRequest &wire)
{
    StartCall call;
    call.to = unpackTarget(wire.to());
    call.task = unpackTask(wire.task());
    call.attempt = wire.attempt();
    call.payload = text(wire.payload());
    call.leaseUntil = WorkerClock(wire.lease_until());
    call.checkpoint = text(wire.checkpoint());
    call.ticket = text(wire.ticket());
    return call;
}

StopCall unpack(const CellWire::StopRequest &wire)
{
    return {unpackTarget(wire.to()), unpackTask(wire.task()), wire.attempt()};
}

} // namespace

Frame encodeCellEnvelope(const CellEnvelope &envelope)
{
    Builder builder(256);
    const auto message =
        std::visit([&builder](const auto &alternative) { return pack(builder, alternative); },
                   envelope.message);
    builder.Finish(CellWire::CreateEnvelope(builder, envelope.correlation,
                                            unionTypeOf(envelope.message), message,
                                            static_cast<uint64_t>(envelope.sentAt.count())));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

CellEnvelope decodeCellEnvelope(const Frame &frame)
{
    const auto *bytes = reinterpret_cast<const uint8_t *>(frame.data());
    flatbuffers::Verifier verifier(bytes, frame.size());
    if (!CellWire::VerifyEnvelopeBuffer(verifier))
        throw ProtocolError("peer message is not a well-formed envelope");
    const CellWire::Envelope *wire = CellWire::GetEnvelope(bytes);
    CellEnvelope envelope;
    envelope.correlation = wire->correlation();
    envelope.sentAt = Duration(wire->sent_at_ms());
    // The verifier accepts a type without its message.
    if (!wire->message())
        throw ProtocolError("peer envelope has no message");
    switch (wire->message_type()) {
    case CellWire::Message::Hello: {
        const auto *hello = wire->message_as_Hello();
        envelope.message = HelloMessage{
            EntryId(text(hello->node())), CpuMillis(hello->processor_millis()),
            ZoneId(text(hello->zone())), hello->is_stopping(), hello->accepts_compression()};
        break;
    }
    case CellWire::Message::Heartbeat: {
        const auto *heartbeat = wire->message_as_Heartbeat();
        envelope.message =
            HeartbeatMessage{Revision(heartbeat->claim()), Duration(heartbeat->store_age_ms()),
                             heartbeat->is_ready()};
        break;
    }
    case CellWire::Message::ClientRequest:
        envelope.message = unpack(*wire->message_as_ClientRequest());
        break;
    case CellWire::Message::ClientResponse:
        envelope.message = unpack(*wire->message_as_ClientResponse());
        break;
    case CellWire::Message::AdviceRequest:
        envelope.message = unpack(*wire->message_as_AdviceRequest());
        break;
    case CellWire::Message::AdviceResponse:
        envelope.message = unpack(*wire->message_as_AdviceResponse());
        break;
    case CellWire::Message::VoteRequest:
        envelope.message = VoteRequest{Revision(wire->message_as_VoteRequest()->claim())};
        break;
    case CellWire::Message::VoteResponse:
        envelope.message = VoteResponse{wire->message_as_VoteResponse()->agrees()};
        break;
    case CellWire::Message::HandOver:
        envelope.message = HandOverMessage{Revision(wire->message_as_HandOver()->claim()),
                                           wire->message_as_HandOver()->is_store_lost()};
        break;
    case CellWire::Message::Announcement: {
        const auto *announcement = wire->message_as_Announcement();
        envelope.message = AnnouncementMessage{Revision(announcement->claim()),
                                               EntryId(text(announcement->node())),
                                               {text(announcement->host()), announcement->port()}};
        break;
    }
    case CellWire::Message::LeftoverEnds:
        envelope.message = unpack(*wire->message_as_LeftoverEnds());
        break;
    case CellWire::Message::HoldRequest:
        envelope.message = unpack(*wire->message_as_HoldRequest());
        break;
    case CellWire::Message::HoldResponse:
        envelope.message = unpack(*wire->message_as_HoldResponse());
        break;
    case CellWire::Message::StartRequest:
        envelope.message = unpack(*wire->message_as_StartRequest());
        break;
    case CellWire::Message::StartResponse:
        envelope.message = StartReply{
            unpackValue(wire->message_as_StartResponse()->outcome(), StartReply::Unknown),
            unpackValue(wire->message_as_StartResponse()->connection_fault(),
                        ConnectionFault::Reset)};
        break;
    case CellWire::Message::StopRequest:
        envelope.message = unpack(*wire->message_as_StopRequest());
        break;
    case CellWire::Message::StopResponse:
        envelope.message =
            StopReply{unpackValue(wire->message_as_StopResponse()->outcome(), StopReply::Unknown)};
        break;
    case CellWire::Message::NONE:
        throw ProtocolError("peer message has an unknown type");
    }
    return envelope;
}

} // namespace Cranberrymount
