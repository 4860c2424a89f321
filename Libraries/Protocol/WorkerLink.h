#pragma once

#include "State/Time.h"
#include "State/Worker.h"

#include <functional>
#include <string>
#include <vector>

namespace Cranberrymount {

/** Names one attempt of one task. */
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
    /** The worker responds as soon as a task ends, or else after this time. */
    Duration wait{0};
    /** True if the response should list every running attempt. */
    bool complete = false;
    /** Ended attempts that are recorded in the store; the worker may forget them. */
    std::vector<AttemptRef> acknowledged;
};

/** The result of a lease request. */
struct LeaseResult
{
    enum Outcome {
        Granted,
        /** Another holder's lease is still valid, or the worker has seen a higher epoch. */
        Held,
        Unreachable,
    };
    Outcome outcome = Unreachable;
    WorkerReport report;
};

/** Starts one attempt. */
struct StartCommand
{
    TaskId task;
    AttemptId attempt;
    TeamId team;
    Resources resources;
    std::string payload;
};

/** The result of a batch of start commands. */
struct StartResult
{
    enum Outcome {
        /** All attempts of the batch run. */
        Started,
        /** The worker refused the whole batch; no attempt runs. */
        Refused,
        /** No byte of the call left this process; no attempt runs. */
        NotSent,
        /** The attempts may run. */
        Unknown,
    };
    Outcome outcome = Unknown;
};

/**
 * The interface to workers. The only adapter that knows their protocol is @c HttpWorkerLink.
 *
 * Callbacks run on the control thread. Every call except probe() carries the lease's epoch;
 * a worker refuses an epoch below the highest that it has granted.
 */
class WorkerLink
{
public:
    virtual ~WorkerLink() = default;

    virtual void lease(const WorkerInfo &worker, LeaseRequest request,
                       std::function<void(LeaseResult)> done) = 0;
    /** Checks over a new connection whether the worker responds; does not affect its lease. */
    virtual void probe(const WorkerInfo &worker, std::function<void(bool)> done) = 0;
    virtual void start(const WorkerInfo &worker, Epoch epoch, std::vector<StartCommand> commands,
                       std::function<void(StartResult)> done) = 0;
    /**
     * Stops attempts, after a checkpoint if @p checkpoint is true; a later WorkerReport lists them
     * as ended.
     */
    virtual void stop(const WorkerInfo &worker, Epoch epoch, std::vector<AttemptRef> attempts,
                      bool checkpoint) = 0;
    /** Releases the lease; @p done gets true if the worker confirms the release. */
    virtual void release(const WorkerInfo &worker, EntryId holder, Epoch epoch,
                         std::function<void(bool)> done) = 0;
};

} // namespace Cranberrymount
