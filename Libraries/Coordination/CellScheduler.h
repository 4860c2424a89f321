#pragma once

#include "Coordination/AdviceDesk.h"
#include "Coordination/Journal.h"
#include "Coordination/SchedulerLoad.h"
#include "Coordination/WorkerHealth.h"
#include "Coordination/WorkerSession.h"
#include "Decision/Dispatcher.h"
#include "Decision/WorkerSpeeds.h"
#include "Protocol/ClientCall.h"
#include "Protocol/OperatorSource.h"
#include "Transport/LogBudget.h"

namespace Cranberrymount {

/** Figures of the cell that come from the platform's settings. */
struct CellTerms
{
    /** Longest lease that a worker grants. */
    Duration leaseLength{6000};
    /** How long an ended job is still shown. */
    Duration statusLife{120'000};
};

/** Reads the wall clock. */
using WallClock = std::function<WallTime()>;

/**
 * The leader's scheduler: takes calls, keeps the journal, gives orders to workers.
 *
 * It lives as long as one claim. All that it must not forget goes through the journal before it
 * takes effect; the rest is learned again from the workers by the next leader.
 */
class CellScheduler
{
public:
    struct Parts
    {
        TransactionalStore &store;
        OperatorSource &operators;
        WorkerOrders &commands;
        AdviceDesk &advice;
        TimerService &timers;
        WallClock wallClock;
        LogBudget &log;
        std::function<void(const std::string &name, double by)> count;
        /** Runs when the store takes commits again. */
        std::function<void()> storeRecovered;
    };

    /** @p superseded runs once another leader's claim is seen; the scheduler then does nothing. */
    CellScheduler(Parts parts, CellTerms terms, Revision claim, std::function<void()> superseded);

    /** Reads the journal, the operators' wishes and the workers; then begins to work. */
    void recover();
    bool isReady() const { return m_isReady; }
    /** @return time since the store last confirmed this claim. */
    Duration storeAge() const;
    /** @return how long the store has refused or not answered commits; 0 if it takes them. */
    Duration storeLostFor() const;

    /** Answers a submitter's call, at once unless it has to be written first. */
    void handle(ClientCall call, ClientRespond respond);

    /** @return ends that workers listed and that are not known to be written. */
    std::vector<RunEnded> unwrittenEnds() const;
    /** Takes in what an earlier leader saw and could not write; workers may be gone since. */
    void learnEnds(const std::vector<RunEnded> &ends);

    /** Decides nothing more; @p done runs after a moment for what is on its way to the store. */
    void quiesce(std::function<void()> done);
    /** What operators and workers said before now may be out of date, as after a suspension. */
    void distrustViews();

private:
    /** How far an order has come. */
    enum class RunPhase : uint8_t {
        /** The assignment is being written. */
        Recording,
        /** The order was sent. */
        StartSent,
        /** The worker has taken it. */
        Confirmed,
        /** It is unknown whether the worker has it. */
        Uncertain,
        /** Taken over from an earlier leader and not yet seen. */
        Inherited,
    };
    struct ActiveRun
    {
        uint32_t attempt = 0;
        WorkerLife worker;
        RunPhase phase = RunPhase::Recording;
        /** Reports asked for after this point show the run if it exists. */
        Instant reportableSince{};
        Instant beganAt{};
        std::string ticket;
        std::string checkpoint;
        /** It began from a checkpoint, or began under an earlier leader. */
        bool hasPartialDuration = false;
        int percent = 0;
        Instant percentChangedAt{};
        /** A report of the present worker life has shown it. */
        bool wasReported = false;
        bool isStopRequested = false;
        bool isStopAccepted = false;
        bool isStopInFlight = false;
        /** Its end is being written. */
        bool isEnding = false;
        Resources need;
        TeamId team;
        bool isGang = false;
        Duration estimate{0};
    };

    /** One attempt of one task. */
    using RunRef = std::pair<TaskKey, uint32_t>;
    /** Ends that a worker has listed and that it may not forget yet. */
    struct Acknowledgement
    {
        uint64_t lastNumber = 0;
        std::set<RunRef> unwritten;
    };

    void readJournal();
    void finishRecovery();
    void pollOperators();
    void pollWorkers();
    void applyDirectory(const WorkerDirectory &directory);
    void beginSession(const CellWorker &worker);
    void tick();
    void logLoad();

    // Client calls; in CellCalls.cpp.
    void submit(const QueueSettings &queue, const TeamId &team, const JobId &id, ClientCall call,
                ClientRespond respond);
    void cancel(const JobId &id, ClientRespond respond);
    /** Refuses the submissions that were never sent to the store. */
    void refuseUnsentSubmissions();
    bool hasUnwrittenEnds(const JobId &id) const;
    bool isBeyondShare(const TeamId &team);
    bool isConfirmationStale() const;

    // Runs; in CellRuns.cpp.
    void adoptRuns();
    void recordStart(const StartDecision &decision, const WorkerLife &worker);
    ActiveRun makeRun(const JobRecord &job, uint32_t step) const;
    void addRun(const TaskKey &key, ActiveRun run);
    ActiveRun removeRun(std::map<TaskKey, ActiveRun>::iterator position);
    void sendStart(const TaskKey &key, uint32_t attempt);
    void handleStartReply(const TaskKey &key, uint32_t attempt, const StartReply &reply);
    void requestStop(const TaskKey &key, ActiveRun &run, const char *why);
    void sendStop(const TaskKey &key, ActiveRun &run);
    void handleReport(WorkerSession &session, const HoldReply &reply, Instant sentAt);
    void applyRunningReport(WorkerSession &session, const RunReport &report);
    void endMissingRuns(WorkerSession &session, const HoldReply &reply, Instant sentAt);
    void recordEnd(const TaskKey &key, ActiveRun &run, RunOutcome outcome,
                   const std::string &checkpoint);
    void acknowledge(const WorkerLife &life);
    void handleEndWritten(const RunRef &ref);
    void applyUnwrittenEnds();
    void finishRun(const RunEnded &record);
    void recordLostRuns(const WorkerLife &life, const char *why);
    /** Settles the runs of a life that ended: an order may have reached the next one. */
    void moveToNextIncarnation(const WorkerLife &ended, const WorkerLife &next);
    void stopRunsOfEndedJobs();
    void checkStalledRuns();
    WorkerSession *sessionOf(const WorkerLife &life);

    void scheduleDispatch();
    void dispatch();
    DispatchInput makeDispatchInput() const;
    bool acceptsStarts(const WorkerSession &session) const;
    void requestAdvice(const AdviceDecision &decision);
    void handleAdvice(const AdviceDecision &decision, const AdviceReply &reply, Instant sentAt);
    /** Drops what was learned for a job that is over. */
    void forgetDecisions(const JobId &job);
    void cleanJournal();

    Parts m_dependencies;
    CellTerms m_terms;
    Epoch m_epoch;
    std::function<void()> m_superseded;
    GuardedTimers m_timers;
    std::unique_ptr<Journal> m_journal;
    JobTable m_jobs;
    AdviceBook m_adviceBook;
    WorkerHealth m_health;
    WorkerSpeeds m_speeds;
    CellConfiguration m_configuration;
    std::set<ZoneId> m_evacuatedZones;
    std::map<WorkerId, std::unique_ptr<WorkerSession>> m_sessions;
    /** Sessions that ended during one of their own callbacks. */
    std::vector<std::unique_ptr<WorkerSession>> m_endedSessions;
    /** Lives that ended with runs, and when their leases are over. */
    std::map<WorkerLife, Instant> m_orphanLeasesEndAt;
    std::map<TaskKey, ActiveRun> m_runs;
    /** The same runs by worker. */
    std::map<WorkerLife, std::map<TaskKey, ActiveRun *>> m_runsByWorker;
    std::map<TeamId, Resources> m_teamUse;
    std::map<RunRef, RunEnded> m_unwrittenEnds;
    /** Ends that came before the journal was read. */
    std::vector<RunEnded> m_adoptedEnds;
    std::map<WorkerLife, Acknowledgement> m_pendingAcknowledgements;
    std::map<JobId, std::vector<ClientRespond>> m_unwrittenSubmissions;
    /** Segments before this number hold nothing of the job that a later snapshot lacks. */
    std::unordered_map<JobId, uint64_t> m_latestSnapshotSegments;
    struct ShareBucket
    {
        double tokens = 0;
        Instant filledAt{};
    };
    std::map<TeamId, ShareBucket> m_shareBuckets;
    Instant m_operatorsReadAt{};
    Instant m_workersReadAt{};
    Instant m_lastInheritedExtension{};
    bool m_isReady = false;
    bool m_isSuperseded = false;
    bool m_isQuiescing = false;
    bool m_isDispatchScheduled = false;
    /** No round of decisions before this time. */
    Instant m_earliestRoundAt{};
    SchedulerLoad m_load;
    Instant m_tickDueAt{};
    bool m_isStoreReachable = true;
    Instant m_storeOutageBeganAt{};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Cranberrymount
