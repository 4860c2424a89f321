#pragma once

#include "State/CellConfiguration.h"

#include <functional>
#include <optional>

namespace Cranberrymount {

/** A point of a worker's own clock, in milliseconds. */
using WorkerClock = Counter<struct WorkerClockTag>;

/** Where an order goes and on whose authority. */
struct OrderAddress
{
    Endpoint address;
    WorkerId worker;
    Epoch epoch;
    /** The worker's zone; not sent to carriers. */
    ZoneId zone = {};
};

/** Extends the lease of everything on a worker and asks what runs and what has ended. */
struct HoldCall
{
    OrderAddress to;
    /** New end of the lease; unset to leave it as it is. */
    std::optional<WorkerClock> leaseUntil;
    /** Ends up to this number are recorded; the worker may forget them. */
    uint64_t acknowledgedEnds = 0;
    /** How long the worker may wait for an end before it answers. */
    Duration wait{0};
};

struct RunReport
{
    TaskKey task;
    uint32_t attempt = 0;
    std::string checkpoint;
    /** Progress in percent. */
    int percent = 0;
};

struct EndReport
{
    /** Position in the worker's list of ends; counts from 1 in each life. */
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
        /** Another life of the worker, or another worker, answers at the address. */
        OtherLife,
        Unreachable,
    };
    Outcome outcome = Unreachable;
    WorkerClock clock;
    int64_t bornMs = 0;
    std::vector<RunReport> running;
    std::vector<EndReport> ended;
};

struct StartCall
{
    OrderAddress to;
    TaskKey task;
    uint32_t attempt = 0;
    std::string payload;
    WorkerClock leaseUntil;
    std::string checkpoint;
    /** The advisor's permission; empty if the queue needs none. */
    std::string ticket;
};

struct StartReply
{
    enum Outcome {
        Started,
        Fenced,
        /** The attempt is not above one that was stopped or ended there. */
        Outdated,
        /** The lease given had already run out. */
        TooLate,
        NoRoom,
        BadTicket,
        /** Refused for another reason; nothing runs. */
        Refused,
        OtherLife,
        /** The order may be carried out, also later. */
        Unknown,
    };
    Outcome outcome = Unknown;
};

struct StopCall
{
    OrderAddress to;
    TaskKey task;
    uint32_t attempt = 0;
};

struct StopReply
{
    enum Outcome { Accepted, Fenced, OtherLife, Unknown };
    Outcome outcome = Unknown;
};

/** Orders to workers; callbacks run on the control thread. */
class WorkerOrders
{
public:
    virtual ~WorkerOrders() = default;

    virtual void hold(HoldCall call, std::function<void(HoldReply)> done) = 0;
    virtual void start(StartCall call, std::function<void(StartReply)> done) = 0;
    virtual void stop(StopCall call, std::function<void(StopReply)> done) = 0;
};

} // namespace Cranberrymount
