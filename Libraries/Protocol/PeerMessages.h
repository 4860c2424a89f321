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

/** State of one shard, as its owner reports it to its peers. */
struct ShardSummary
{
    ShardId shard;
    Epoch epoch;
    /** False while the owner is still taking over the shard's workers. */
    bool active = false;
    Resources free;
    uint32_t waitingTasks = 0;
    uint32_t freeSlots = 0;
};

/** Sent to every peer at a fixed interval. */
struct Heartbeat
{
    EntryId from;
    ZoneId zone;
    /** Where the sender accepts peer links. */
    Endpoint address;
    /** True if the sender is shutting down. */
    bool leaving = false;
    Revision configRevision;
    /** Age of the sender's evidence that no newer configuration was accepted; unset for none. */
    std::optional<Duration> evidenceAge;
    std::vector<ShardSummary> shards;
};

/** A lookup request, forwarded to the entry that owns the slots of a target. */
struct LookupCall
{
    QueueId queue;
    bool idempotent = true;
    /** How many times the call may still be forwarded. */
    uint8_t hops = 1;
    Duration timeout{2000};
    std::string body;
};

/** The outcome of a lookup request. */
struct LookupReply
{
    enum Outcome {
        Answered,
        /** No byte reached a target, or the target refused the request without reading it. */
        NotRun,
        /** A target may have run the request. */
        Unknown,
    };
    Outcome outcome = NotRun;
    /** HTTP status of the target's response. */
    int status = 0;
    std::string contentType;
    std::string body;
    /** Why there is no response, for @c NotRun and @c Unknown. */
    std::string reason;
    WorkerId worker;
    /** The entry has no target that could serve the request; other entries may. */
    bool noTarget = false;
};

/** An infrequent call between entry instances; @c body is JSON. */
struct ControlCall
{
    std::string method;
    std::string body;
};

/** The reply to a @c ControlCall; @c status is an HTTP status. */
struct ControlReply
{
    int status = 200;
    std::string body;
};

using PeerMessage = std::variant<Heartbeat, LookupCall, LookupReply, ControlCall, ControlReply>;

/** A message with the id that matches a reply to its call, and with its trace context. */
struct PeerEnvelope
{
    /** 0 if the sender expects no reply. */
    uint64_t id = 0;
    /** W3C traceparent of the request that caused the message. */
    std::string trace;
    PeerMessage message;
};

/** @return the content of one frame. */
std::string encodeEnvelope(const PeerEnvelope &envelope);

/** @throws ProtocolError if @p frame is not a complete, well-formed envelope. */
PeerEnvelope decodeEnvelope(const std::string &frame);

/** @throws ProtocolError if @p text is not an IP address, a colon and a port. */
Endpoint parseEndpoint(const std::string &text);

} // namespace Cranberrymount
