#pragma once

#include "Decision/AdviceBook.h"
#include "State/CellConfiguration.h"

#include <map>

namespace Cranberrymount {

/** A run that holds room on a worker. */
struct RoomHolder
{
    /** The run's job; owned by whoever filled DispatchInput in. */
    const JobId *job = nullptr;
    uint32_t occurrence = 0;
    uint32_t step = 0;
    Resources need;
    /** When the run is expected to end. */
    Instant expectedEnd{};
};

/** A worker as the dispatcher sees it. */
struct DispatchWorker
{
    /** Owned by whoever filled DispatchInput in. */
    const CellWorker *info = nullptr;
    Resources used;
    /** New work may start here: in contact, staying, its zone not taken out, not suspected. */
    bool acceptsWork = false;
    /** Time that work takes here, as a multiple of the average. */
    double slowness = 1;
    std::vector<RoomHolder> holders;

    Resources freeCapacity() const { return info->capacity - used; }
};

/** All that a round of decisions depends on. */
struct DispatchInput
{
    Instant now{};
    WallTime wallNow{};
    const JobTable *jobs = nullptr;
    const CellConfiguration *configuration = nullptr;
    const AdviceBook *advice = nullptr;
    /** Calls that the advisor's callers can make now. */
    AdviceRoom adviceRoom;
    std::vector<DispatchWorker> workers;
    /** What each team has running. */
    std::map<TeamId, Resources> teamUse;
};

struct StartDecision
{
    TaskKey task;
    uint32_t attempt = 0;
    /** Index into DispatchInput::workers. */
    std::size_t worker = 0;
    std::string ticket;
};

struct AdviceDecision
{
    StepKey step;
    std::vector<WorkerLife> workers;
    Duration cost{0};
    Duration ticketLife{0};
    /** The step has another call under way. */
    bool isExtra = false;
};

/** Steps that a round left with tasks to start, by what they lack. */
struct WaitingSteps
{
    std::size_t withoutRoom = 0;
    /** There is room that the advisor has not allowed yet. */
    std::size_t withoutTicket = 0;
    /** At their team's limit, or at what is kept free for more urgent work. */
    std::size_t atLimit = 0;
};

struct DispatchResult
{
    std::vector<StartDecision> starts;
    /** Most urgent first; which of them can be made now depends on who is free to call. */
    std::vector<AdviceDecision> advice;
    WaitingSteps waiting;
};

/** How urgent a step is; smaller goes first. */
struct StepUrgency
{
    enum Class {
        /** Owed, may displace others, and still in time. */
        Immediate,
        /** Owed and still in time. */
        InTime,
        /** Can only be late. */
        Late,
        /** So late that nobody is served by it, or more than its team is owed. */
        Leftover,
    };
    Class urgencyClass = InTime;
    /** Within a class: what the order goes by, in milliseconds. */
    int64_t rank = 0;
    /** Time left before the objective is lost. */
    Duration slack{0};
};

/**
 * Decides who starts where. Pure: all that it knows comes in with DispatchInput.
 *
 * Steps are taken in the order of their urgency. A gang starts whole or not at all; the most
 * urgent gangs that find no room keep workers free until they fit, and so does the late one that
 * has waited longest. Room that a gang has tickets for, or asks them for, is kept for it.
 */
class Dispatcher
{
public:
    explicit Dispatcher(DispatchInput input);

    DispatchResult decide();

    /** @return the urgency of a step of @p job. */
    static StepUrgency urgencyOf(const JobRecord &job, const StepKey &key,
                                 const QueueSettings &queue, WallTime now);

private:
    /** Workers of one pool that accept work. */
    struct Pool
    {
        std::vector<std::size_t> workers;
        CpuMillis capacity;
        CpuMillis used;
    };
    struct Candidate
    {
        StepKey key;
        const JobRecord *job;
        const QueueSettings *queue;
        /** Null if no worker of the pool accepts work. */
        Pool *pool;
        /** Null if the advisor said nothing yet. */
        const AdviceBook::StepAdvice *stepAdvice;
        StepUrgency urgency;

        const StepSpec &spec() const { return job->accepted.spec.steps[key.step]; }
    };
    /** A worker that may take tasks of a step now. */
    struct PlacementOption
    {
        std::size_t worker = 0;
        const std::string *ticket = nullptr;
        /** Tasks that it may take. */
        int64_t count = 0;
    };

    /** A worker that the advisor has allowed a step. */
    struct AllowedWorker
    {
        std::size_t worker = 0;
        const AdviceBook::Verdict *verdict = nullptr;
    };

    /** A worker that the advisor may be asked about. */
    struct AdviceChoice
    {
        std::size_t worker = 0;
        bool isAllowed = false;
        int64_t places = 0;
        /** Slow workers are asked about only if the others have no room. */
        bool isSlow = false;
    };
    struct AdvicePlan
    {
        /** Best first. */
        std::vector<AdviceChoice> choices;
        /** Places on workers known to be allowed, whether or not a ticket is at hand. */
        int64_t allowedPlaces = 0;
        /** Places that a gang has tickets for, or may get them for with the calls under way. */
        double expectedPlaces = 0;
    };

    std::vector<Candidate> sortedCandidates();
    void placeStep(const Candidate &candidate);
    void placeSingles(const Candidate &candidate, const StepRun &step);
    void placeGang(const Candidate &candidate, const StepRun &step);
    /** @return workers with room, and a ticket if one is needed. */
    std::vector<PlacementOption> placementOptions(const Candidate &candidate) const;
    /** @return the workers of the step's pool that it is known to be allowed. */
    std::vector<AllowedWorker> allowedWorkers(const Candidate &candidate) const;
    /** Adds the worker to @p places if a task of the step may start there now. */
    void addPlacementOption(const Candidate &candidate, std::size_t worker,
                            std::vector<PlacementOption> &places) const;
    /** @return a worker for each of @p members, all in @p rack if one is given; or nothing. */
    std::vector<const PlacementOption *> chooseForGang(const std::vector<PlacementOption> &order,
                                                       std::size_t members,
                                                       const RackId *rack) const;
    /** @return the ticket if the step may start on the worker now, or null. */
    const std::string *ticketFor(const Candidate &candidate, std::size_t worker) const;
    /** @return what the advisor said of the worker, or null. */
    const AdviceBook::Verdict *verdictOn(const Candidate &candidate, std::size_t worker) const;
    /** @return what speaks against the worker for a task of the step; smaller is better. */
    int64_t placementCost(const Candidate &candidate, std::size_t worker) const;
    bool isEligible(const Candidate &candidate, std::size_t worker) const;
    /** @return the room that the step may use on the worker: not what is kept for another. */
    Resources freeCapacityFor(const Candidate &candidate, std::size_t worker) const;
    /** @return how many more tasks of the step the worker may take, by room and by the step's limit
     * for one worker. */
    int64_t placesOnWorker(const Candidate &candidate, std::size_t worker) const;
    /** @return how many more tasks of @p need the team may run. */
    int64_t teamHeadroom(const TeamId &team, const Resources &need) const;
    int64_t poolHeadroom(const Candidate &candidate, const Resources &need) const;
    void start(const Candidate &candidate, uint32_t index, uint32_t attempt, std::size_t worker,
               const std::string &ticket);
    /** Notes for the log that the step waits for room or for a ticket. */
    void countWaitingStep(const Candidate &candidate);
    AdvicePlan planAdvice(const Candidate &candidate) const;
    /** @return how many workers a call of the step names at most. */
    std::size_t workersPerCall(const Candidate &candidate) const;
    /**
     * Takes a worker into @p plan.
     * @param verdict null if the advisor was not asked about the worker.
     */
    void addToAdvicePlan(const Candidate &candidate, std::size_t worker,
                         const AdviceBook::Verdict *verdict, AdvicePlan &plan) const;
    void requestAdvice(const Candidate &candidate, uint32_t wanted);
    void reserveForGang(const Candidate &candidate, uint32_t wanted);
    /** Keeps the room that gangs have tickets for, or ask them for, until they start. */
    void reserveForGangsWithTickets();
    /** @return a gang's workers with room and a ticket, at hand or asked for. */
    std::vector<PlacementOption> optionsWithTickets(const Candidate &candidate) const;
    /** Finds the gang that has waited longest among those that are late already. */
    void findLongestWaitingGang();

    DispatchInput m_input;
    DispatchResult m_result;
    std::map<std::string, Pool> m_pools;
    /** Each worker's pool; null if it accepts no work. */
    std::vector<const Pool *> m_poolOf;
    std::unordered_map<WorkerLife, std::size_t> m_positions;
    /** What a gang keeps of a worker's room. */
    struct Reservation
    {
        const Candidate *holder = nullptr;
        Resources amount;
    };
    /** By worker. */
    std::vector<Reservation> m_reservations;
    std::vector<Candidate> m_candidates;
    /** Few nodes are free to make a long call. */
    bool m_areCallersScarce = false;
    std::size_t m_reservingGangs = 0;
    /** A late gang that reserves all the same, so that it starts at last; may be null. */
    const Candidate *m_longestWaitingGang = nullptr;
};

} // namespace Cranberrymount
