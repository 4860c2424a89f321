#pragma once

#include "Protocol/ClientCall.h"
#include "Protocol/PlacementAdvisor.h"
#include "Protocol/WorkerOrders.h"
#include "State/Ids.h"
#include "State/Resources.h"
#include "Transport/FrameLink.h"

#include <variant>

namespace Cranberrymount {

struct HelloMessage
{
    EntryId node;
    /** Share of a processor that the node has. */
    CpuMillis processor;
    ZoneId zone;
    /** The node ends soon: it neither leads nor gives orders any more. */
    bool isStopping = false;
};

/** How the leader stands, as it tells its followers. */
struct HeartbeatMessage
{
    Revision claim;
    /** Time since the store last confirmed a commit of the leader. */
    Duration storeAge{0};
    /** False while the leader still reads the journal. */
    bool isReady = false;
};

/** Asks whether the receiver, too, hears nothing sound of the holder of a claim. */
struct VoteRequest
{
    Revision claim;
};

struct VoteResponse
{
    bool agrees = false;
};

/** The receiver is to take over the sender's claim. */
struct HandOverMessage
{
    Revision claim;
    /** The sender stays if the store serves it again. */
    bool isStoreLost = false;
};

/** Ends of runs that a leader could not write any more before it lost its claim. */
struct LeftoverEndsMessage
{
    std::vector<RunEnded> ends;
};

/** Tells a member who leads, so that it needs no store to find out; a VoteResponse answers it. */
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
    /** Ties a response to its request; 0 for messages without one. */
    uint64_t correlation = 0;
    CellMessage message;
    /** On the sender's boot clock. */
    Duration sentAt{0};
};

Frame encodeCellEnvelope(const CellEnvelope &envelope);

/** @throws ProtocolError if @p frame is not what encodeCellEnvelope() makes. */
CellEnvelope decodeCellEnvelope(const Frame &frame);

} // namespace Cranberrymount
