#pragma once

#include "Protocol/ClientCall.h"
#include "Protocol/PlacementAdvisor.h"
#include "Protocol/WorkerCommands.h"
#include "State/Ids.h"
#include "State/Resources.h"
#include "Transport/FrameLink.h"

#include <variant>

namespace Cranberrymount {

/** First message on every link; the sender introduces itself. */
struct HelloMessage
{
    EntryId node;
    /** Processor capacity of the node. */
    CpuMillis processor;
    ZoneId zone;
    /** The node is shutting down: it neither leads nor sends commands to workers any more. */
    bool isStopping = false;
    /** The node understands compressed frames; nodes of earlier versions do not. */
    bool acceptsCompression = true;
};

/** State of the leader, sent to every follower several times a second. */
struct HeartbeatMessage
{
    /** Revision of the sender's leadership claim. */
    Revision claim;
    /** Time since the store last confirmed a commit of the leader. */
    Duration timeSinceStoreConfirmation{0};
    /** False while the leader is still reading the journal. */
    bool isReady = false;
};

/** Asks whether the receiver, too, considers the holder of a leadership claim failed. */
struct VoteRequest
{
    Revision claim;
};

/** Reply to a VoteRequest or an AnnouncementMessage. */
struct VoteResponse
{
    /** True in every reply to an AnnouncementMessage. */
    bool agrees = false;
};

/** Asks the receiver to take over the sender's leadership claim. */
struct HandOverMessage
{
    Revision claim;
    /**
     * True if the sender steps down because the store does not respond to it; it remains leader if
     * the store responds again.
     */
    bool isStoreUnresponsive = false;
};

/** Ends of runs that a leader could not write to the journal before it lost its claim. */
struct LeftoverEndsMessage
{
    std::vector<RunEnded> ends;
};

/** Names the leader, so that members find it without the store; the reply is a VoteResponse. */
struct AnnouncementMessage
{
    Revision claim;
    EntryId node;
    Endpoint address;
};

using CellMessage = std::variant<HelloMessage, HeartbeatMessage, ClientCall, ClientReply,
                                 AdviceCall, AdviceReply, VoteRequest, VoteResponse,
                                 HandOverMessage, AnnouncementMessage, LeftoverEndsMessage,
                                 HoldCall, HoldReply, StartCall, StartReply, StopCall, StopReply>;

struct CellEnvelope
{
    /** Matches a response to its request; 0 for messages without a response. */
    uint64_t correlation = 0;
    CellMessage message;
    /** Time of sending on the sender's boot clock. */
    Duration sentAt{0};
};

Frame encodeCellEnvelope(const CellEnvelope &envelope);

/** @throws ProtocolError if @p frame is not an output of encodeCellEnvelope(). */
CellEnvelope decodeCellEnvelope(const Frame &frame);

} // namespace Cranberrymount
