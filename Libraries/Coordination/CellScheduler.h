#pragma once

#include "Coordination/AdviceCallScheduler.h"
#include "Coordination/Journal.h"
#include "Coordination/SchedulerLoad.h"
#include "Coordination/WorkerHealth.h"
#include "Coordination/WorkerSession.h"
#include "Decision/Dispatcher.h"
#include "Decision/ReturnSchedule.h"
#include "Decision/StartLatency.h"
#include "Decision/WorkerSpeeds.h"
#include "Protocol/ClientCall.h"
#include "Protocol/OperatorSource.h"
#include "Transport/LogRateLimiter.h"

namespace Cranberrymount {

/** Lease and retention times of the cell, from the platform's settings, and how much of its journal
 * it keeps. */
struct CellTerms
{
    /** Longest lease that a worker grants. */
    Duration leaseLength{6000};
    /** How long the status of an ended job can still be queried. */
    Duration statusRetention{120'000};
    /** How long a worker lets a member of a gang wait for the other members before it ends it. */
    Duration gangWait{3000};
    /** A change of the configuration must take effect within this time. */
    Duration configApply{2000};
    /** Run time on remote workers as a multiple of the local run time, for steps that are slower
     * there; 1 if they need not wait for local workers. */
    double remoteFactor = 1;
    /** Ended jobs are removed from memory this long after their status retention is over. */
    Duration forgetMargin{30'000};
    /** Segments kept before old ones are replaced by snapshots: 10 s of a busy cell, so that a new
     * leader reads little more than the open jobs. */
    std::size_t maxSegments = 400;
};

/** Reads the wall clock. */
using WallClock = std::function<WallTime()>;

/**
 * The leader's scheduler: answers clients' calls, writes the journal and sends commands to workers.
 *
 * One instance serves one leadership claim. State that must survive a change of leader is written
 * to the journal before it takes effect; the next leader queries the workers for the rest.
 */
class CellScheduler
{
public:
    struct Dependencies
    {
        TransactionalStore &store;
        /** When calls to the store are sent again. */
        ResendPolicy &resends;
        OperatorSource &operators;
        WorkerCommands &commands;
        AdviceCallScheduler &advice;
        TimerService &timers;
        WallClock wallClock;
        LogRateLimiter &log;
        std::function<void(const std::string &name, double by)> count;
        /** Runs when the store accepts commits again after an outage. */
        std::function<void()> storeRecovered;
    };

    /**
     * @param claimHeldAt a time at which this leader held the claim for certain.
     * @param superseded runs once, when the claim of another leader is detected; the scheduler then
     * stops acting.
     */
    CellScheduler(Dependencies dependencies, CellTerms terms, Revision claim, Instant claimHeldAt,
                  std::function<void()> superseded);

    /** Reads the journal, the operators' settings and the worker list, then starts scheduling. */
    void recover();
    bool isReady() const { return m_isReady; }
    /** @return time since the store last confirmed this leadership claim. */
    Duration timeSinceStoreConfirmation() const;
    /** @return how long the store has refused or not answered commits; 0 if it accepts them. */
    Duration storeOutageDuration() const;

    /** Until the store has confirmed the claim again, sends no command but report requests without
     * the store: another leader may have claimed since. */
    void doubtClaim();

    /**
     * Answers a client's call: at once, or after its record is written to the journal, or after the
     * store has proven that no other leader has acted since the call arrived. A call that this
     * leader did not run, since it has lost its claim, is answered with Isolated: the next leader
     * can serve it.
     */
    void handle(ClientCall call, ClientResponder respond);

    /** @return run ends that workers reported and that the store has not confirmed yet. */
    std::vector<RunEnded> unwrittenEnds() const;
    /** Records run ends that an earlier leader received and could not write; the workers that
     * reported them may be gone. */
    void adoptEnds(const std::vector<RunEnded> &ends);

    /** Stops making decisions; @p done runs after a short delay in which commits in flight can
     * finish. */
    void quiesce(std::function<void()> done);
    /** Ignores everything that still arrives, since the claim is lost, and passes back the calls
     * that wait for a proof of it. */
    void abandon();

private:
    /** How far the start of a run has come. */
    enum class RunPhase : uint8_t {
        /** The assignment is being written to the journal. */
        Recording,
        /** The start command was sent. */
        StartSent,
        /** The worker confirmed the run. */
        Confirmed,
        /** It is unknown whether the worker received the start command. */
        Uncertain,
        /** Taken over from an earlier leader and not yet reported by a worker. */
        Inherited,
    };
    struct ActiveRun
    {
        uint32_t attempt = 0;
        WorkerIncarnation worker;
        RunPhase phase = RunPhase::Recording;
        /** Reports requested after this time list the run if it exists. */
        Instant reportableSince{};
        Instant beganAt{};
        std::string ticket;
        std::string checkpoint;
        /** The measured duration doesn't cover the whole task: the run resumed from a checkpoint or
         * began under an earlier leader. */
        bool hasPartialDuration = false;
        int percent = 0;
        Instant percentChangedAt{};
        /** The worker's current incarnation has listed the run in a report. */
        bool wasReported = false;
        bool isStopRequested = false;
        bool isStopAccepted = false;
        bool isStopInFlight = false;
        /** The end of the run is being written to the journal. */
        bool isEnding = false;
        Resources need;
        TeamId team;
        bool isGang = false;
        bool isService = false;
        /** The task takes longer than on a local worker. */
        bool isRemote = false;
        /** Expected run time. */
        Duration estimate{0};
    };

    /** One attempt of one task. */
    using RunRef = std::pair<TaskKey, uint32_t>;
    /** The ends that a worker has reported and must keep until all of them are written. */
    struct Acknowledgement
    {
        uint64_t lastNumber = 0;
        std::size_t unwrittenCount = 0;
    };

    void readJournal();
    void retryReadingJournal();
    /** Applies the records of the segments in @p read, and continues the journal after them. */
    void continueJournal(const StoreRead &read);
    /** Notes the worker of a run that is recorded again, on the worker's next incarnation. */
    void noteRestart(const JournalRecord &record);
    Journal::Observer journalObserver();
    void finishRecovery();
    void pollOperators();
    /** @param sentAt when the answered read was sent */
    void applyOperators(OperatorView view, Instant sentAt);
    void pollWorkers();
    /** Begins and ends sessions by the latest worker list, configuration and runs. */
    void applyDirectory();
    /** @return true if the configuration or an open job names the pool. */
    bool isPoolNamed(const std::string &pool) const;
    void beginSession(const CellWorker &worker);
    /** Ends the session with an incarnation that has ended, and remembers its leases. */
    void endSession(std::map<WorkerId, std::unique_ptr<WorkerSession>>::iterator position);
    /** Follows the incarnation that has answered in place of the session's. */
    void handleOtherIncarnation(WorkerSession &session, const HoldReply &reply);
    void tick();
    void logLoad();

    /** A client's call that has not been answered. */
    struct PendingCall
    {
        ClientCall call;
        ClientResponder respond;
        Instant arrivedAt;
    };

    // Client calls; in CellCalls.cpp.
    void serve(PendingCall pending);
    void showState(const JobId &id, PendingCall pending);
    /** @return true if the claim held after the call had arrived, so that no other leader can have
     * changed this leader's state before that. */
    bool isProven(const PendingCall &pending) const;
    /** @return true if another leader may have acted since the claim was last confirmed: the
     * process has stood still since, or the claim is in doubt. */
    bool mayBeReplaced() const;
    /** Serves the call again once the store has proven the claim, or refuses it if the store does
     * not answer. */
    void awaitProof(PendingCall pending);
    /** @return the calls that wait for a proof and have arrived before @p time. */
    std::vector<PendingCall> takeUnproven(Instant time);
    void serveProvenCalls();
    /** Answers a call for which the store does not prove the claim in time. */
    void refuseUnproven(const PendingCall &pending);
    /** Does so for all calls that have waited too long. */
    void refuseUnprovenCalls();
    /** Passes the calls that wait for a proof back to the nodes that they have come from. */
    void returnUnprovenCalls();
    /** @return true if each change of the configuration that must be in force is known. */
    bool isConfigurationRecent() const;
    void submit(const QueueSettings &queue, const TeamId &team, const JobId &id,
                PendingCall pending);
    void cancel(const JobId &id, PendingCall pending);
    /** @return true if a record that is appended now will be written soon. */
    bool canWriteSoon() const;
    /** While nothing can be written soon, refuses the submissions whose records were never sent to
     * the store. */
    void refuseUnsentSubmissions();
    /** Takes a token from the team's bucket.
     * @return true if none is left: the team is over its fair share. */
    bool isOverFairShare(const TeamId &team);
    /** @return time since this leader held its claim for certain. */
    Duration claimAge() const;
    /** @return the longest lease that this leader may grant now; 0 or less for none. */
    Duration grantableLease() const;
    /** Notes that the process runs, and whether it has stood still since the last call. */
    void observeActivity();
    /** @return true if the claim was not confirmed for so long that memory may be out of date. */
    bool isConfirmationStale() const;
    /** Handles the refusal of a start or stop by a worker that has seen a higher epoch. */
    void handleRefusedCommand(const WorkerIncarnation &worker);
    /** Doubts the claim after @p worker has refused a command that it has not refused before. */
    void doubtClaimOver(const WorkerIncarnation &worker);
    /** @return true if the store has not confirmed the claim since a worker refused the epoch. */
    bool isClaimInDoubt() const;
    /** Continues with what has waited for the confirmation of the claim. */
    void handleClaimConfirmed();

    // Runs; in CellRuns.cpp.
    void adoptRuns();
    /**
     * After a part of the journal could not be read, workers may have runs that this leader does
     * not know of. Such a run is known once its worker has reported, and over once all leases that
     * an earlier leader can have extended have expired.
     * @return true while a listed worker may have such a run
     */
    bool mayHaveUnknownRuns();
    /** Takes over a run that a worker has reported and whose assignment could not be read. */
    void adoptReportedRun(const WorkerSession &session, const TaskKey &task, uint32_t attempt);
    /** Notes whether @p reply has shown all runs of the worker, and none of them is to be stopped.
     */
    void noteKnownRuns(const WorkerSession &session, const HoldReply &reply);
    void recordStart(const StartDecision &decision, const WorkerIncarnation &worker);
    ActiveRun makeRun(const JobRecord &job, uint32_t step, bool isRemote = false) const;
    void addRun(const TaskKey &key, ActiveRun run);
    ActiveRun removeRun(std::map<TaskKey, ActiveRun>::iterator position);
    void sendStart(const TaskKey &key, uint32_t attempt);
    void sendDeferredCommands();
    void handleStartReply(const TaskKey &key, uint32_t attempt, const StartReply &reply);
    void requestStop(const TaskKey &key, ActiveRun &run, const char *why);
    void sendStop(const TaskKey &key, ActiveRun &run);
    void handleReport(WorkerSession &session, const HoldReply &reply, Instant sentAt);
    void applyRunningReport(WorkerSession &session, const RunReport &report);
    void endMissingRuns(WorkerSession &session, const HoldReply &reply, Instant sentAt);
    void recordEnd(const TaskKey &key, ActiveRun &run, RunOutcome outcome,
                   const std::string &checkpoint);
    void acknowledge(const WorkerIncarnation &incarnation);
    void handleEndWritten(const RunRef &ref);
    void finishRun(const RunEnded &record);
    void recordLostRuns(const WorkerIncarnation &incarnation, const char *why);
    /** Records the runs of an unreachable worker as lost whose leases are over. */
    void recordExpiredRuns(const WorkerSession &session);
    /** @return true if the run may be on the next incarnation of its worker, and not known to be
     * on this one. */
    static bool mayHaveMoved(const ActiveRun &run);
    void recordLostRun(const TaskKey &key, ActiveRun &run, const char *why);
    /** Moves runs that the next incarnation may have received to it, and records the other runs of
     * the ended incarnation as lost. */
    void moveToNextIncarnation(const WorkerIncarnation &ended, const WorkerIncarnation &next);
    void stopRunsOfEndedJobs();
    void checkStalledRuns();
    void stopGang(const TaskKey &member, uint32_t attempt, const char *why);
    void stopIncompleteGangs();
    static const char *phaseName(RunPhase phase);
    WorkerSession *sessionOf(const WorkerIncarnation &incarnation);

    void scheduleDispatch();
    void dispatch();
    DispatchInput makeDispatchInput() const;
    /** @return when the run is expected to free its capacity: by its reported progress, else by the
     * estimate. */
    static Instant expectedReleaseOf(const ActiveRun &run, Instant now);
    /** Logs for each gang that can't be placed why, again only after the reason has changed. */
    void logBlockedGangs(const std::vector<BlockedGang> &gangs);
    bool acceptsStarts(const WorkerSession &session) const;
    void requestAdvice(const AdviceDecision &decision);
    void handleAdvice(const AdviceDecision &decision, const AdviceReply &reply, Instant sentAt);
    /** Drops the cached advice, speed measurements and log state of an ended job. */
    void forgetDecisions(const JobId &job);
    void cleanJournal();

    Dependencies m_dependencies;
    CellTerms m_terms;
    Epoch m_epoch;
    Instant m_claimHeldAt;
    std::function<void()> m_superseded;
    ScopedTimers m_timers;
    std::unique_ptr<Journal> m_journal;
    JobTable m_jobs;
    AdviceCache m_adviceCache;
    struct BlockedGangLog
    {
        GangObstacle obstacle = GangObstacle::None;
        Instant loggedAt{};
    };
    /** The last log line about each gang that could not be placed. */
    std::map<StepKey, BlockedGangLog> m_blockedGangLogs;
    WorkerHealth m_health;
    WorkerSpeeds m_speeds;
    RunLengths m_runLengths;
    LocalityWaits m_localityWaits;
    StartLatency m_startLatency;
    CellConfiguration m_configuration;
    std::set<ZoneId> m_evacuatedZones;
    std::map<WorkerId, std::unique_ptr<WorkerSession>> m_sessions;
    /** Ended sessions, one of which may be on the stack. */
    std::vector<std::unique_ptr<WorkerSession>> m_endedSessions;
    /** Incarnations that have ended but are listed or have runs assigned to them, and when all
     * leases are over that commands to them may have granted on the worker's next incarnation. */
    std::map<WorkerIncarnation, Instant> m_endedIncarnations;
    std::map<TaskKey, ActiveRun> m_runs;
    /** The entries of m_runs, grouped by worker. */
    std::unordered_map<WorkerIncarnation, std::map<TaskKey, ActiveRun *>> m_runsByWorker;
    std::map<TeamId, Resources> m_teamUse;
    struct UnwrittenEnd
    {
        RunEnded record;
        /** Workers that have reported the end; they must keep it until it is written. */
        std::set<WorkerIncarnation> reporters = {};
    };
    std::map<RunRef, UnwrittenEnd> m_unwrittenEnds;
    /** Ends that arrived before the recovery was complete. */
    std::vector<RunEnded> m_adoptedEnds;
    std::map<WorkerIncarnation, Acknowledgement> m_pendingAcknowledgements;
    std::map<JobId, std::vector<ClientResponder>> m_unwrittenSubmissions;
    /** Calls that wait for a proof of the claim, in order of arrival. */
    std::deque<PendingCall> m_unprovenCalls;
    /** For each job the segment of its latest snapshot, which covers all of the job's records in
     * earlier segments. */
    std::unordered_map<JobId, uint64_t> m_latestSnapshotSegments;
    struct ShareBucket
    {
        double tokens = 0;
        Instant filledAt{};
    };
    std::map<TeamId, ShareBucket> m_shareBuckets;
    /** When the clients of jobs that were refused for their team's share should return. */
    ReturnSchedule m_returns;
    /** When a worker last refused the epoch while it was unknown whether the claim still holds. */
    std::optional<Instant> m_claimDoubtedAt;
    /** Workers whose refusal the next confirmation of the claim explains: they are not ours. */
    std::set<WorkerIncarnation> m_refusingWorkers;
    /** Recorded starts that wait until the claim is confirmed. */
    std::vector<RunRef> m_deferredStarts;
    Instant m_operatorsReadAt{};
    Instant m_workersReadAt{};
    WorkerDirectory m_directory;
    /** Listed workers that are not used. */
    std::set<WorkerId> m_unusedWorkers;
    /** When all leases are over that earlier leaders may have granted. */
    Instant m_inheritedExpiry{};
    /** The same for leases on workers that have restarted: commands to the incarnation before may
     * have reached the next one, which grants the longest lease. */
    Instant m_inheritedExpiryAfterRestart{};
    /** Workers of which an earlier leader has recorded that a run may be on their next incarnation.
     */
    std::set<WorkerId> m_restartedWorkers;
    /** A part of the journal could not be read, and leases of runs that only this part names may
     * not have expired yet. */
    bool m_isJournalIncomplete = false;
    /** While the journal is incomplete: workers whose latest report has listed known runs only. */
    std::set<WorkerIncarnation> m_fullyKnownWorkers;
    bool m_isReady = false;
    bool m_isSuperseded = false;
    bool m_isQuiescing = false;
    bool m_isDispatchScheduled = false;
    /** The next round of decisions must not start before this time. */
    Instant m_earliestRoundAt{};
    SchedulerLoad m_load;
    Instant m_tickDueAt{};
    Instant m_lastActiveAt{};
    /** When the process last went on after it had stood still; a successor may lead since. */
    Instant m_resumedAt{};
    bool m_isStoreReachable = true;
    Instant m_storeOutageBeganAt{};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Cranberrymount
