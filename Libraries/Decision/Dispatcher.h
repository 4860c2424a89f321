#pragma once

#include "Decision/AdviceCache.h"
#include "Decision/LocalityWait.h"
#include "Decision/LocalityWaits.h"
#include "Decision/RunLengths.h"
#include "State/CellConfiguration.h"

#include <map>
#include <optional>
#include <string_view>

namespace Cranberrymount {

/** A run that occupies capacity on a worker. */
struct RunAllocation
{
    /** The run's job; owned by the creator of the DispatchInput. */
    const JobId *job = nullptr;
    uint32_t occurrence = 0;
    uint32_t step = 0;
    Resources need;
    /** When the run is expected to have freed its capacity; NeverReleased for a service. */
    Instant releasedAt{};
};

/** Release time of a run that does not end by itself, or can't be relied on to end. */
inline constexpr Instant NeverReleased = Instant::max();

/**
 * @param expectedEnd when the run is expected to end
 * @param expectedLength how long it is expected to take
 * @return when it is expected to have freed its capacity: later than @p expectedEnd if it is
 * overdue at @p now, and NeverReleased if it is long overdue
 */
Instant expectedRelease(Instant now, Instant expectedEnd, Duration expectedLength);

/** A worker as the dispatcher sees it. */
struct DispatchWorker
{
    /** Owned by the creator of the DispatchInput. */
    const CellWorker *info = nullptr;
    Resources used;
    /** Whether new work may start here: the worker answers, is neither leaving nor
     * quarantined, and its zone is in service. */
    bool acceptsWork = false;
    /** Run time on this worker as a multiple of the run time on an average worker. */
    double slowness = 1;
    std::vector<RunAllocation> allocations;

    /** @return the capacity that no run occupies. */
    Resources freeCapacity() const { return info->capacity - used; }
};

/** Everything that one scheduling round depends on. */
struct DispatchInput
{
    Instant now{};
    WallTime wallNow{};
    const JobTable *jobs = nullptr;
    const CellConfiguration *configuration = nullptr;
    const AdviceCache *advice = nullptr;
    /** Advice calls that can be made now. */
    AdviceCapacity adviceCapacity;
    std::vector<DispatchWorker> workers;
    /** Resources that each team's runs use. */
    std::map<TeamId, Resources> teamUse;
    /** Time after which a start that is decided now has reached its worker. */
    Duration startDelay{60};
    /** Run time away from a step's data rack, or of a gang that wants one rack on several, as a
     * multiple of the local run time; 1 if no step waits for a local placement. */
    double remoteFactor = 1;
    /** Null if only the submitters' estimates are known. */
    const RunLengths *runLengths = nullptr;
    /** Null if no step has waited before. */
    const LocalityWaits *localityWaits = nullptr;
};

/** A task to start and the worker to start it on. */
struct StartDecision
{
    TaskKey task;
    uint32_t attempt = 0;
    /** Index into DispatchInput::workers. */
    std::size_t worker = 0;
    /** Empty if the queue needs no advice. */
    std::string ticket;
    /** The task takes longer than on a local worker; only set if DispatchInput::remoteFactor is
     * above 1. */
    bool isRemote = false;
};

/** An advice call to make. */
struct AdviceDecision
{
    StepKey step;
    std::vector<WorkerIncarnation> workers;
    /** How long the call is expected to take. */
    Duration cost{0};
    /** How long the tickets in the answer stay valid. */
    Duration ticketLifetime{0};
    /** The step already has another call in flight or planned. */
    bool isExtra = false;
};

/** Number of steps whose tasks a round could not all start, by what they wait for. */
struct WaitingSteps
{
    std::size_t withoutCapacity = 0;
    /** Workers have free capacity, but a valid ticket is missing. */
    std::size_t withoutTicket = 0;
    /** The team is at its limit, or the rest of the pool is kept free for more urgent work. */
    std::size_t atLimit = 0;
    /** All tasks that can't start locally wait for a local placement, although some could start
     * elsewhere. */
    std::size_t forLocality = 0;
    /** Of all these, steps without a running task that have waited for more than 3 s and more than
     * 10 s; steps of services also if other tasks run, by the task that has waited longest. */
    std::size_t olderThan3s = 0;
    std::size_t olderThan10s = 0;
};

/** Why a gang could not start even if all other runs that are expected to end had ended. */
enum class GangObstacle {
    None,
    /** No worker of the pool accepts work. */
    NoWorkers,
    /** The gang is larger than its team's limit. */
    TeamLimit,
    /** It would fit beside no other run either: the workers are too small or too few, or lack the
     * label. */
    TooLarge,
    /** The advisor does not allow the step on enough workers. */
    Advice,
    /** Runs that do not end, or are long overdue, use the capacity. */
    EndlessRuns,
};

/** @return the name of @p obstacle in log lines. */
const char *nameOf(GangObstacle obstacle);

/** A gang that can't be placed on the present workers beside the runs that do not end. */
struct BlockedGang
{
    StepKey step;
    GangObstacle obstacle = GangObstacle::None;
};

/** The decisions of one scheduling round. */
struct DispatchResult
{
    std::vector<StartDecision> starts;
    /** Most urgent first, but the first calls of all steps before further calls of any step; how
     * many can be made now depends on the callers that are free. */
    std::vector<AdviceDecision> advice;
    WaitingSteps waiting;
    /** Gangs that hold and request nothing until workers or runs change. */
    std::vector<BlockedGang> blockedGangs;
    /** Decisions about steps that take longer on remote workers: those that start or wait. */
    std::vector<LocalityDecision> localityDecisions;
};

/** How urgent a step is; steps with smaller class and rank are placed first. */
struct StepUrgency
{
    enum Class {
        /** Of a queue with priority 0, within the team's fair share, and can still meet its
         * objective; or a service with a task that has ended or waits too long. May use all free
         * capacity, also what is reserved for gangs. */
        Immediate,
        /** Within the team's fair share, and can still meet its objective. */
        InTime,
        /** Can no longer meet its objective. */
        Late,
        /** Too late to earn any credit, or over its team's fair share; no service, however old its
         * job is, once a task has run. */
        Leftover,
    };
    Class urgencyClass = InTime;
    /** Sort key within a class, in milliseconds: remaining run time if Late, otherwise slack. */
    int64_t rank = 0;
    /** How much later the step can start and still meet its objective; negative if too late. */
    Duration slack{0};
};

/**
 * Decides which tasks start on which workers, and about which workers the advisor is asked. The
 * result depends on the DispatchInput only.
 *
 * Steps are placed in the order of their urgency. A gang starts whole or not at all. The most
 * urgent gangs that do not fit reserve workers until they fit, and so does the late gang that has
 * waited longest. Free capacity for which a gang has or requests tickets is reserved for it. A gang
 * that would not fit even after all runs that are expected to end have ended reserves nothing.
 *
 * A step that takes longer on remote workers waits for a local placement while that pays off.
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
        /** The part of @c used of runs that are not expected to end. */
        CpuMillis usedForGood;
        /** The largest member of the gangs that wait; zero if none does. */
        Resources memberNeed;
    };
    /** A worker on which the advisor allows a step. */
    struct AllowedWorker
    {
        std::size_t worker = 0;
        const AdviceCache::Verdict *verdict = nullptr;
    };
    /** A step with tasks to start. */
    struct Candidate
    {
        StepKey key;
        const JobRecord *job;
        const QueueSettings *queue;
        /** Null if no worker of the pool accepts work. */
        Pool *pool;
        /** Null if the advisor was not asked yet, or if the queue needs no advice. */
        const AdviceCache::StepAdvice *stepAdvice;
        StepUrgency urgency;
        /** Workers of the pool on which the advisor allowed the step, in ascending order. */
        std::vector<AllowedWorker> allowed;

        const StepSpec &spec() const { return job->accepted.spec.steps[key.step]; }
    };
    /** A worker that can start tasks of a step now. */
    struct PlacementOption
    {
        std::size_t worker = 0;
        const std::string *ticket = nullptr;
        /** Number of tasks that can start there. */
        int64_t count = 0;
    };
    /** A worker that the advisor may be asked about. */
    struct AdviceChoice
    {
        std::size_t worker = 0;
        /** The advisor allowed the step there; if not set, it was not asked about the worker. */
        bool isAllowed = false;
        /** Number of tasks of the step that are expected to fit on the worker. */
        int64_t places = 0;
        /** The advisor is asked about slow workers only if the others have no free capacity. */
        bool isSlow = false;
        /** Places, divided among the calls of other steps that name the worker too, and smaller if
         * a task there takes room from gangs. */
        double rank = 0;
    };
    /** Workers that the advisor may be asked about for a step, and the places found so far. */
    struct AdvicePlan
    {
        /** Best first. */
        std::vector<AdviceChoice> choices;
        /** Places on workers that the advisor allowed, with or without a valid ticket. */
        int64_t allowedPlaces = 0;
        /** Places with tickets that are valid when the answer to a call made now arrives. */
        int64_t placesWithTicket = 0;
        /** Tasks that fit on the allowed workers once all runs that are expected to end have ended.
         */
        int64_t allowedCapacity = 0;
    };

    /** @return the steps with tasks to start, most urgent first. */
    std::vector<Candidate> sortedCandidates();
    void placeStep(const Candidate &candidate);
    /** Starts as many tasks of a step as possible and requests tickets for the others. */
    void placeSingles(const Candidate &candidate, const StepRun &step);
    /** Starts all members of a gang, or reserves workers and requests tickets for them. */
    void placeGang(const Candidate &candidate, const StepRun &step);
    /** @return workers with free capacity for the step and, if one is needed, a valid ticket. */
    std::vector<PlacementOption> placementOptions(const Candidate &candidate) const;
    /** @return the workers of the step's pool on which the advisor allowed the step. */
    std::vector<AllowedWorker> findAllowedWorkers(const Candidate &candidate) const;
    /** @return the index of the worker, unless it accepts no work. */
    std::optional<std::size_t> positionOf(const WorkerIncarnation &incarnation) const;
    /** Adds the worker to @p places if a task of the step fits there now. */
    void addPlacementOption(const Candidate &candidate, std::size_t worker,
                            const std::string *ticket, std::vector<PlacementOption> &places) const;
    /** @return true if a start that is decided at @p decidedAt arrives before the ticket expires.
     */
    bool isTicketValid(const AdviceCache::Verdict &verdict, Instant decidedAt) const;
    /**
     * @param order the workers to use, in this order.
     * @param rack the rack that all workers must be in; null for any.
     * @return one entry for each of @p members, or nothing if they do not all fit.
     */
    std::vector<const PlacementOption *> chooseForGang(const std::vector<PlacementOption> &order,
                                                       std::size_t members,
                                                       const RackId *rack) const;
    /** @return the slowness above which workers are avoided for work of this urgency. */
    static double slownessLimit(const StepUrgency &urgency);
    /** Sets memberNeed of all pools. */
    void findMemberNeeds();
    /** @return how many fewer members of waiting gangs fit on the worker beside one task of the
     * step; 0 if the step is a gang itself. */
    int64_t lostMembers(const Candidate &candidate, std::size_t worker) const;
    /** @return how badly the worker suits a task of the step; smaller is better. */
    int64_t placementCost(const Candidate &candidate, std::size_t worker) const;
    /** @return true if the worker has the label that the step requires. */
    bool isEligible(const Candidate &candidate, std::size_t worker) const;
    /** @return true if nothing of the step runs, it has waited long, and most of the pool is free.
     */
    bool isLeftBehind(const Candidate &candidate) const;
    /** @return true if a task of the step may use capacity of the worker that is reserved for a
     * gang: it is more urgent than any gang, ends before the gang can start, or is left behind. */
    bool mayUseReserved(const Candidate &candidate, std::size_t worker) const;
    /** @return how many more tasks of the step the worker can take, by its free capacity without
     * what is reserved for another step, and by the step's limit per worker. */
    int64_t placesOnWorker(const Candidate &candidate, std::size_t worker) const;
    /** @return how many more tasks of size @p need the team may run. */
    int64_t teamHeadroom(const TeamId &team, const Resources &need) const;
    /** @return the same if the team's runs used @p used. */
    int64_t teamHeadroomBeside(const Resources &used, const TeamId &team,
                               const Resources &need) const;
    /** @return how many more tasks of size @p need fit into the step's pool beside the capacity
     * that is kept for more urgent work: a percentage of what runs that do not end leave. */
    int64_t poolHeadroom(const Candidate &candidate, const Resources &need) const;
    /** Adds a start to the result and its resources to those in use. */
    void start(const Candidate &candidate, uint32_t index, uint32_t attempt, std::size_t worker,
               const std::string &ticket, bool isRemote);
    /** @return the counter of what the step waits for: free capacity or a ticket. */
    std::size_t &missingOf(const Candidate &candidate);
    /** Adds the step to @p counter, and to those that count waiting steps by age. */
    void countWaitingStep(const Candidate &candidate, std::size_t &counter);

    // Advice; in DispatchAdvice.cpp.
    /** Sets m_callsNaming by the calls in flight. */
    void countCallsNamingWorkers();
    /** @return true if a call about the step may be made now; not while others are in flight. */
    bool mayAskAbout(const Candidate &candidate) const;
    /**
     * Passes the eligible workers of the step's pool that the advisor was not asked about to
     * @p visit, until that returns false. Each job starts at another position of the pool, so that
     * the steps do not all ask about the same workers.
     */
    template <typename Visit>
    void visitUnknownWorkers(const Candidate &candidate, Visit visit) const;
    /**
     * @param answerAt when the answer to a call made now is expected.
     * @param maxUnknown limit on the workers in the plan that the advisor was not asked about.
     * @param rack the rack that the plan is limited to; null for all.
     */
    AdvicePlan planAdvice(const Candidate &candidate, Instant answerAt, std::size_t maxUnknown,
                          const RackId *rack = nullptr) const;
    /** @return how many tasks of the step are expected to fit on the worker at @p answerAt. */
    int64_t placesAt(const Candidate &candidate, std::size_t worker, Instant answerAt) const;
    /** Requests tickets for a step of which @p wanted tasks cannot start yet. */
    void requestSinglesAdvice(const Candidate &candidate, uint32_t wanted);
    /**
     * Requests the tickets for all members of a gang, with calls that are made together so that all
     * tickets are valid at the same time. If there is no room for the gang, only asks which workers
     * it may run on.
     *
     * @param mayStart the pool has room for the gang beside what is kept for more urgent work.
     * @param rack the rack that the gang waits for, and the only one that is asked about; null for
     * all.
     */
    void requestGangAdvice(const Candidate &candidate, uint32_t members, bool mayStart,
                           const RackId *rack = nullptr);
    /** @return the maximum number of calls that are made for a gang at a time. */
    std::size_t maxGangCalls() const;
    /** Asks about workers on which a gang may wait for room, in @p rack if it is not null, until
     * enough of them are known. */
    void learnWorkersForGang(const Candidate &candidate, uint32_t members, int64_t allowedCapacity,
                             const RackId *rack);
    /** Adds @p calls calls about @p workers, spread evenly. */
    void addAdviceCalls(const Candidate &candidate, const std::vector<std::size_t> &workers,
                        std::size_t calls);

    // Reservations; in DispatchReservations.cpp.
    /** @return true if the gang may reserve whole workers: it can still meet its objective, or is
     * the late one that has waited longest. */
    bool mayReserve(const Candidate &candidate) const;
    /** Sets m_releasable and usedForGood of all pools. */
    void findEndlessRuns();
    /** @return what keeps the gang from being placed once all runs that are expected to end have
     * ended. */
    GangObstacle obstacleOf(const Candidate &candidate) const;
    /** Adds the gang to the result's blocked gangs if something keeps it from being placed.
     * @return true if so. */
    bool noteObstacle(const Candidate &candidate);
    /** @return how many members of the gang fit on one worker with this free capacity. */
    static int64_t membersFittingIn(const Candidate &candidate, const Resources &freeCapacity);
    /** @return true if the advisor has allowed the step on the worker or was not asked about it. */
    bool mayBeAllowed(const Candidate &candidate, std::size_t worker) const;
    /** Reserves whole workers for the gang: those that will be the first to have free capacity for
     * its members. Gangs that could start elsewhere and wait for @p rack leave one reservation to
     * those that can't start. */
    void reserveForGang(const Candidate &candidate, uint32_t wanted, const RackId *rack = nullptr);
    /** Reserves the capacity for which gangs have or request tickets, until they start. */
    void reserveForGangsWithTickets();
    /** @return a gang's workers with free capacity and a ticket that is valid or requested. */
    std::vector<PlacementOption> optionsWithTickets(const Candidate &candidate) const;
    /** Sets m_longestWaitingGang to the late gang that has waited longest of those that can be
     * placed. */
    void findLongestWaitingGang();

    // Local placement; in DispatchLocality.cpp.
    /** @return true if the step's tasks take longer on remote workers. */
    bool prefersLocal(const Candidate &candidate) const;
    /** @return true if the step names a data rack and the worker is elsewhere. */
    bool isAwayFromData(const Candidate &candidate, std::size_t worker) const;
    /** @return the expected run time of a task of the step on a local worker. */
    Duration expectedLengthOf(const Candidate &candidate) const;
    /** @return how much longer the step may wait for a local placement; 0 if it must not wait. */
    Duration localityHorizon(const Candidate &candidate) const;
    /** @return places for all members on local workers, as chooseForGang(). */
    std::vector<const PlacementOption *>
    chooseLocallyForGang(const Candidate &candidate, const std::vector<PlacementOption> &order,
                         std::size_t members) const;
    /** @return true if a gang on these workers takes longer than on local ones. */
    bool isRemoteForGang(const Candidate &candidate,
                         const std::vector<const PlacementOption *> &chosen) const;
    /** A place that becomes available within the horizon. */
    struct ExpectedPlace
    {
        Instant when;
        /** Probability that the advisor allows the worker. */
        double weight = 1;
    };
    /** Adds the places for the step on @p worker until @p horizon; those that are free now if
     * @p withFreeNow. */
    void addExpectedPlaces(const Candidate &candidate, std::size_t worker, Instant horizon,
                           bool withFreeNow, double weight,
                           std::vector<ExpectedPlace> &places) const;
    /** @return how many tasks of the step use the capacity for which more urgent steps wait on the
     * rack. */
    int64_t placesAwaitedBefore(const Candidate &candidate, const RackId &rack) const;
    /** @return the rack that is expected to hold all members soonest, if waiting for it pays off;
     * otherwise null. */
    const RackId *findRackToWaitFor(const Candidate &candidate, std::size_t members) const;
    /** Lets a gang that could start now wait for @p rack. */
    void waitForRack(const Candidate &candidate, uint32_t members, const RackId &rack);
    /** @return how many of @p wanted tasks that can't start locally now should wait for the data
     * rack. */
    int64_t countWaitingForDataRack(const Candidate &candidate, int64_t wanted) const;
    /** @return how many of @p wanted tasks may start remotely; the others that can't start on
     * @p options wait for the data rack. */
    int64_t maxRemoteStarts(const Candidate &candidate, const std::vector<PlacementOption> &options,
                            int64_t wanted);
    /**
     * Notes the decision about a step that is no gang.
     * @param options the places that are left.
     * @param started tasks that were started, and @p remoteStarts of them remotely.
     * @param remaining tasks that were not started.
     * @return the number of tasks that wait although they could start remotely.
     */
    int64_t noteDataRackDecision(const Candidate &candidate,
                                 const std::vector<PlacementOption> &options, int64_t started,
                                 int64_t remoteStarts, int64_t remaining);
    /** @return true if a worker in the data rack has free capacity but no valid ticket. */
    bool lacksLocalTicket(const Candidate &candidate) const;
    /** @return true if the gang waited for a rack in the last round and may still do so. */
    bool isWaitingForRack(const Candidate &candidate) const;
    /** Sorts the options of a gang that wants one rack: first those of a rack that holds it.
     * @return true if there is such a rack. */
    bool putWholeRackFirst(const Candidate &candidate, std::vector<PlacementOption> &places) const;
    /** Sorts the choices of a gang that wants one rack by rack: the one with the most expected
     * places comes first. */
    void groupByRack(const Candidate &candidate, std::vector<AdviceChoice> &choices) const;

    DispatchInput m_input;
    DispatchResult m_result;
    std::map<std::string, Pool> m_pools;
    /** By worker; null if the worker accepts no work. */
    std::vector<const Pool *> m_poolOf;
    /** Indexes into DispatchInput::workers of the workers that accept work, by worker id. */
    std::unordered_map<std::string_view, std::size_t> m_positions;
    /** Capacity of a worker that is reserved for a gang. */
    struct Reservation
    {
        const Candidate *holder = nullptr;
        Resources amount;
        /** When the gang's members are expected to fit, and how many of them. */
        Instant freeAt{};
        int64_t places = 0;
        /** When the gang is expected to start; tasks that end by then may use the worker. */
        Instant startsAt{};
    };
    /** By worker. */
    std::vector<Reservation> m_reservations;
    /** By worker: its capacity without what runs use that are not expected to end; zero if no step
     * depends on it. */
    std::vector<Resources> m_releasable;
    std::vector<Candidate> m_candidates;
    /** By worker: number of steps whose advice calls in flight or planned name it. */
    std::vector<uint32_t> m_callsNaming;
    /** Gangs with a reservation, apart from m_longestWaitingGang. */
    std::size_t m_reservingGangs = 0;
    /** Resources that steps wait for in this round, by rack. */
    std::map<RackId, Resources> m_awaited;
    /** A late gang that may reserve workers too, so that it cannot wait forever; may be null. */
    const Candidate *m_longestWaitingGang = nullptr;
};

} // namespace Cranberrymount
