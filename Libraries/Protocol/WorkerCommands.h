#pragma once

#include "State/CellConfiguration.h"
#include "Transport/ConnectionFault.h"

#include <functional>
#include <optional>

namespace Cranberrymount {

/** A time on a worker's own clock, in milliseconds. */
using WorkerClock = Counter<struct WorkerClockTag>;

/** The worker that a command goes to, and the epoch that authorizes the command. */
struct CommandTarget
{
    Endpoint address;
    WorkerId worker;
    Epoch epoch;
    /** The worker's zone; not sent to forwarders. */
    ZoneId zone = {};
};

/** Extends the lease of all runs on a worker and asks which runs are active or have ended. */
struct HoldCall
{
    CommandTarget to;
    /** New expiry of the lease; unset to leave it unchanged. */
    std::optional<WorkerClock> leaseUntil;
    /** Ends up to this number are recorded in the journal; the worker may forget them. */
    uint64_t acknowledgedEnds = 0;
    /** How long the worker may wait for the end of a run before it replies. */
    Duration wait{0};
};

/** An active run, as its worker reports it. */
struct RunReport
{
    TaskKey task;
    uint32_t attempt = 0;
    std::string checkpoint;
    /** Progress in percent. */
    int percent = 0;
};

/** The end of a run, as its worker reports it. */
struct EndReport
{
    /** Position in the worker's list of ends; counts from 1 in each incarnation. */
    uint64_t number = 0;
    TaskKey task;
    uint32_t attempt = 0;
    RunOutcome outcome = RunOutcome::Done;
    std::string checkpoint;
};

struct HoldReply
{
    enum Outcome {
        Answered,
        /** The worker has seen a higher epoch. */
        Fenced,
        /** Another incarnation of the worker, or another worker, responds at the address. */
        OtherIncarnation,
        Unreachable,
    };
    Outcome outcome = Unreachable;
    WorkerClock clock;
    /** Start of the worker's incarnation by its own clock, in milliseconds since 1970. */
    int64_t startedAtMs = 0;
    std::vector<RunReport> running;
    std::vector<EndReport> ended;
    /** Not sent to the leader by forwarders; Refused if the call was not sent. */
    ConnectionFault fault = ConnectionFault::None;
    /** The reply arrived on a connection that was open before the call; not sent to the leader by
     * forwarders. */
    bool reusedConnection = false;
};

/** Starts one attempt of a task. */
struct StartCall
{
    CommandTarget to;
    TaskKey task;
    uint32_t attempt = 0;
    std::string payload;
    WorkerClock leaseUntil;
    std::string checkpoint;
    /** The advisor's ticket for the worker; empty if the queue needs none. */
    std::string ticket;
};

struct StartReply
{
    enum Outcome {
        Started,
        Fenced,
        /** The attempt's number is not above that of one that was stopped or has ended there; that
         * may be this attempt, if the command was sent twice. */
        Outdated,
        /** The lease in the command had already expired. */
        LeaseExpired,
        NoCapacity,
        BadTicket,
        /** Refused for another reason; the attempt does not run. */
        Refused,
        OtherIncarnation,
        /** The command may have been executed, or may still be executed later. */
        Unknown,
    };
    Outcome outcome = Unknown;
    /** Other than None, the worker may have no connection left; Refused if the command was not
     * sent, in which case the outcome is Refused, too. */
    ConnectionFault fault = ConnectionFault::None;
    /** The reply arrived on a connection that was open before the call; not sent to the leader by
     * forwarders. */
    bool reusedConnection = false;
};

/** Stops one attempt of a task. */
struct StopCall
{
    CommandTarget to;
    TaskKey task;
    uint32_t attempt = 0;
};

struct StopReply
{
    enum Outcome { Accepted, Fenced, OtherIncarnation, Unknown };
    Outcome outcome = Unknown;
    /** Not sent to the leader by forwarders; Refused if the command was not sent. */
    ConnectionFault fault = ConnectionFault::None;
    /** The reply arrived on a connection that was open before the call; not sent to the leader by
     * forwarders. */
    bool reusedConnection = false;
};

/** Sends commands to workers; callbacks run on the control thread. */
class WorkerCommands
{
public:
    virtual ~WorkerCommands() = default;

    virtual void hold(HoldCall call, std::function<void(HoldReply)> done) = 0;
    virtual void start(StartCall call, std::function<void(StartReply)> done) = 0;
    virtual void stop(StopCall call, std::function<void(StopReply)> done) = 0;

    /** Aborts all commands and closes all connections to workers. */
    virtual void closeConnections() { }
    /** @return the number of open connections to workers. */
    virtual std::size_t connectionCount() const { return 0; }
};

} // namespace Cranberrymount
