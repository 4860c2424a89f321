#pragma once

#include "State/Ids.h"
#include "State/Resources.h"
#include "State/Time.h"
#include "State/Worker.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Cranberrymount {

/** What an owner tells its peers of one shard. */
struct ShardSummary
{
    ShardId shard;
    Epoch epoch;
    /** False while the owner is still taking the shard's workers over. */
    bool active = false;
    Resources free;
    uint32_t waitingTasks = 0;
    uint32_t freeSlots = 0;
};

/** Sent to peers at a fixed period. */
struct Heartbeat
{
    EntryId from;
    ZoneId zone;
    /** Where the sender accepts peer links. */
    Endpoint address;
    bool leaving = false;
    Revision configRevision;
    /** Age of the sender's evidence that no newer configuration was accepted. */
    std::optional<Duration> evidenceAge;
    std::vector<ShardSummary> shards;
};

/** A lookup request, passed to the owner of a target's slots. */
struct LookupCall
{
    QueueId queue;
    bool idempotent = true;
    uint8_t hops = 1;
    Duration timeout{2000};
    std::string body;
};

/** What became of a lookup request. */
struct LookupReply
{
    enum Outcome {
        Answered,
        /** No byte reached a target, or the target refused it unread. */
        NotRun,
        /** A target may have run it. */
        Unknown,
    };
    Outcome outcome = NotRun;
    int status = 0;
    std::string contentType;
    std::string body;
    std::string reason;
    WorkerId worker;
    /** The entry has no target that could serve the request; others may. */
    bool noTarget = false;
};

/** A rare call between entry instances; @c body is JSON. */
struct ControlCall
{
    std::string method;
    std::string body;
};

/** The answer to a @c ControlCall; @c status as in HTTP. */
struct ControlReply
{
    int status = 200;
    std::string body;
};

using PeerMessage = std::variant<Heartbeat, LookupCall, LookupReply, ControlCall, ControlReply>;

/** A message with what ties it to its answer and its trace. */
struct PeerEnvelope
{
    /** 0 if no answer is wanted. */
    uint64_t id = 0;
    std::string trace;
    PeerMessage message;
};

/** @return the bytes of one frame. */
std::string encodeEnvelope(const PeerEnvelope &envelope);

/** @throws ProtocolError if @p frame is not a whole, well-formed envelope. */
PeerEnvelope decodeEnvelope(const std::string &frame);

/** @throws ProtocolError if @p text is not an IP number, a colon and a port. */
Endpoint parseEndpoint(const std::string &text);

} // namespace Cranberrymount
