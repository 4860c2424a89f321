#pragma once

#include "State/Time.h"
#include "State/Worker.h"

#include <functional>
#include <string>
#include <vector>

namespace Cranberrymount {

/** One attempt of one task. */
struct AttemptRef
{
    TaskId task;
    AttemptId attempt;
    auto operator<=>(const AttemptRef &) const = default;
};

/** Asks a worker for its exclusive lease, or renews it. */
struct LeaseRequest
{
    EntryId holder;
    Epoch epoch;
    Duration ttl{6000};
    /** The worker answers at once when a task ends, else after this time. */
    Duration wait{0};
    /** True to get everything that runs in the answer. */
    bool complete = false;
    /** Ends that are recorded in the store; the worker may forget them. */
    std::vector<AttemptRef> acknowledged;
};

/** A worker's answer to a lease request. */
struct LeaseAnswer
{
    enum Outcome {
        Granted,
        /** Another holder's lease is alive, or a higher epoch was seen. */
        Held,
        Unreachable,
    };
    Outcome outcome = Unreachable;
    WorkerReport report;
};

/** Starts one attempt. */
struct StartOrder
{
    TaskId task;
    AttemptId attempt;
    TeamId team;
    Resources resources;
    std::string payload;
};

/** What became of a batch of start orders. */
struct StartAnswer
{
    enum Outcome {
        /** All orders of the batch run. */
        Started,
        /** The worker refused the whole batch; none runs. */
        Refused,
        /** No order left this process; none runs. */
        NotSent,
        Unknown,
    };
    Outcome outcome = Unknown;
};

/**
 * A worker's own interface. The only adapter that knows its protocol is @c HttpWorkerLink.
 *
 * Callbacks run on the control thread. Every call carries the lease's epoch; a worker refuses
 * an epoch below the highest that it has granted.
 */
class WorkerLink
{
public:
    virtual ~WorkerLink() = default;

    virtual void lease(const WorkerInfo &worker, LeaseRequest request,
                       std::function<void(LeaseAnswer)> done) = 0;
    /** Asks over a new connection whether the worker is there; has no effect on its lease. */
    virtual void probe(const WorkerInfo &worker, std::function<void(bool)> done) = 0;
    virtual void start(const WorkerInfo &worker, Epoch epoch, std::vector<StartOrder> commands,
                       std::function<void(StartAnswer)> done) = 0;
    /** Stops attempts, with a checkpoint first if @p checkpoint; their ends come by report. */
    virtual void stop(const WorkerInfo &worker, Epoch epoch, std::vector<AttemptRef> attempts,
                      bool checkpoint) = 0;
    /** Hands the lease back; @p done gets true if the worker took it back. */
    virtual void release(const WorkerInfo &worker, EntryId holder, Epoch epoch,
                         std::function<void(bool)> done) = 0;
};

} // namespace Cranberrymount
