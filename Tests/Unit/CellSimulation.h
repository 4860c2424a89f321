#pragma once

#include "AttemptGaps.h"
#include "ClusterSimulation.h"
#include "MemoryStore.h"
#include "StoreContents.h"

#include "Coordination/CellScheduler.h"
#include "Coordination/CommandRelay.h"
#include "Protocol/WorkerCommands.h"

namespace Cranberrymount {

/** Transactional store in memory that can refuse calls, lose responses and commit late. */
class CellStore : public TransactionalStore
{
public:
    CellStore(EventQueue &events, uint64_t seed);

    void list(const std::string &prefix, std::function<void(StoreRead)> done) override;
    void probe(std::function<void(bool answers)> done) override;
    void commit(StoreTransaction transaction, std::function<void(CommitResult)> done) override;
    void createLease(Duration ttl, std::function<void(StoreLease)> done) override;
    void renewLease(StoreLeaseId id, std::function<void(StoreLease)> done) override;

    /** Writes the leadership claim of @p holder at once. @return its revision. */
    Revision claim(const std::string &holder) { return m_contents.claim(holder); }

    /** Reads and commits fail without effect. */
    bool isDown = false;
    /** Calls get no response until their timeout and have no effect. */
    bool isUnresponsive = false;
    /** Calls that wait for their timeout now, and the largest number of them so far. */
    std::size_t hangingCalls = 0;
    std::size_t maxHangingCalls = 0;
    /** Probability that the response to a commit is lost; the commit is then executed late. */
    double lostResponseRate = 0;
    /** Bounds of the time after which a commit whose response is lost is executed. */
    Duration minExecutionDelay{0};
    Duration maxExecutionDelay{3000};
    /** If set, commits for which it returns true are neither executed nor answered. */
    std::function<bool(const StoreTransaction &transaction)> dropsCommit;
    Duration latency{4};

    std::size_t keyCount(const std::string &prefix) const { return m_contents.list(prefix).size(); }
    /** Gives an existing key another value at once, as a fault of the store does. */
    void damage(const std::string &key) { m_contents.damage(key); }
    /** Transactions that were committed. */
    std::size_t commitCount = 0;

private:
    CommitResult apply(const StoreTransaction &transaction);
    /** Runs @p done after @p timeout; until then the call counts as hanging. */
    void hang(Duration timeout, std::function<void()> done);

    EventQueue &m_events;
    pcg32 m_random;
    StoreContents m_contents;
};

/** Fake worker with the behaviour that the platform's documentation describes. */
struct FakeCellWorker
{
    struct Run
    {
        uint32_t attempt;
        Instant startedAt;
        Instant endsAt;
        std::string checkpoint;
        RunOutcome outcome;
        Resources need;
        bool isStopping = false;
        /** A member of a gang that waits until all members run. */
        bool isWaiting = false;
        bool isService = false;
    };

    CellWorker info;
    Epoch epoch;
    /** How far the worker's clock advances in one second of real time; it may run 2% slow. */
    double clockRate = 1;
    Instant incarnationStart{};
    Instant leaseUntil{};
    std::map<TaskKey, Run> running;
    std::deque<EndReport> ended;
    /** When each run ended, by the number of its end report. */
    std::map<uint64_t, Instant> endTimes;
    /** When the lease last lapsed. */
    Instant leaseLapsedAt{};
    std::map<TaskKey, uint32_t> highestAttempt;
    uint64_t nextEnd = 1;
    bool isUnreachable = false;
    /** The worker can't update its entry in the store; a long silence removes the entry. */
    bool isCutFromStore = false;
    /** The entry in the store, and when the worker last renewed it. */
    CellWorker entry;
    Instant entryRenewedAt{};
    bool failsAll = false;
    /** Starts are executed, but their replies are lost. */
    bool losesReplies = false;
    /** Start commands beyond this number in flight lose their connection at once and have no
     * effect, as on a worker whose limit of connections is reached. */
    std::size_t maxStartsInFlight = SIZE_MAX;
    std::size_t startsInFlight = 0;
    /** Refuses the connections of start commands; its report requests use one that is open. */
    bool refusesStartConnections = false;
    std::size_t refusedStarts = 0;
    /** Refuses starts, and only them, as if it had seen a higher epoch. */
    bool fencesStarts = false;
    /** Commands refused because the worker has seen a higher epoch. */
    std::size_t fencedCommands = 0;
    /** Replies don't leave the worker until resetConnections(). */
    bool holdsReplies = false;
    /** Calls that libcurl sends again when the connections are reset. */
    std::vector<std::function<void()>> resends;
};

/**
 * One leader's process between its scheduler and the fakes. While it is frozen, everything that
 * arrives for it waits; calls that it has sent are executed all the same.
 */
class LeaderProcess : public TimerService,
                      public TransactionalStore,
                      public WorkerCommands,
                      public OperatorSource
{
public:
    LeaderProcess(TimerService &timers, TransactionalStore &store, WorkerCommands &commands,
                  OperatorSource &operators);

    /** Later with each call, as on a real machine: calls in one event get different times. */
    Instant now() const override
    {
        return m_timers.now() + std::chrono::nanoseconds(++m_clockReads);
    }
    void after(Duration delay, std::function<void()> callback) override;
    void list(const std::string &prefix, std::function<void(StoreRead)> done) override;
    void probe(std::function<void(bool answers)> done) override;
    void commit(StoreTransaction transaction, std::function<void(CommitResult)> done) override;
    void createLease(Duration ttl, std::function<void(StoreLease)> done) override;
    void renewLease(StoreLeaseId id, std::function<void(StoreLease)> done) override;
    void hold(HoldCall call, std::function<void(HoldReply)> done) override;
    void start(StartCall call, std::function<void(StartReply)> done) override;
    void stop(StopCall call, std::function<void(StopReply)> done) override;
    void readOperators(std::function<void(OperatorView)> done) override;
    void readWorkers(std::function<void(WorkerDirectory)> done) override;

    bool isFrozen() const { return m_isFrozen; }
    void freeze() { m_isFrozen = true; }
    /** Delivers what has arrived meanwhile, in the order of arrival. */
    void thaw();
    ResendPolicy storeResends{*this};
    /** Workers to which this process has lost the path; calls to them time out. */
    std::set<WorkerId> unreachable;
    /** This process has lost the path to the store; calls to it time out. */
    bool isCutFromStore = false;
    /** All answers, or this number of them, to reads of the configuration are lost. */
    bool losesOperatorReads = false;
    std::size_t operatorReadsToLose = 0;
    /** How long responses to this process' commits are on their way. */
    Duration commitResponseDelay{0};
    /** How long start commands of this process are on their way. */
    Duration startDelay{0};
    /** Start commands, and all commands, that this process has sent. */
    std::size_t startsSent = 0;
    std::size_t commandsSent = 0;

    /** Runs @p callback now, or after the process has thawed. */
    void deliver(std::function<void()> callback);

private:
    template <typename Reply>
    std::function<void(Reply)> delivering(std::function<void(Reply)> done);
    /** @return true if the call was answered as one to an unreachable worker. */
    template <typename Reply>
    bool failsToReach(const CommandTarget &to, const std::function<void(Reply)> &done);

    TimerService &m_timers;
    TransactionalStore &m_store;
    WorkerCommands &m_commands;
    OperatorSource &m_operators;
    bool m_isFrozen = false;
    mutable int64_t m_clockReads = 0;
    std::deque<std::function<void()>> m_delayed;
};

/**
 * Simulates a cell in virtual time: leaders, one after another or two at once, over one store and
 * fake workers. Every start that a worker executes is checked; @c violations lists broken
 * rules.
 */
class CellSimulation : public WorkerCommands, public PlacementAdvisor, public OperatorSource
{
public:
    explicit CellSimulation(uint64_t seed, std::size_t workers = 6);
    ~CellSimulation() override;

    // Fakes of the workers, the advisor and the platform.
    void hold(HoldCall call, std::function<void(HoldReply)> done) override;
    void start(StartCall call, std::function<void(StartReply)> done) override;
    void stop(StopCall call, std::function<void(StopReply)> done) override;
    void ask(AdviceCall call, std::function<void(AdviceReply)> done) override;
    void readOperators(std::function<void(OperatorView)> done) override;
    void readWorkers(std::function<void(WorkerDirectory)> done) override;

    /** Adds a worker of another system, whose leader has a much higher epoch.
     * @return its index. */
    std::size_t addForeignWorker(const std::string &pool);
    /** Lets @p count followers forward all commands of the leaders that are elected from now on. */
    void addForwarders(std::size_t count);
    /** For @p time the forwarder delays commands and loses some of them and of their replies. */
    void setForwarderFaulty(std::size_t forwarder, Duration time);
    /** Replies of the forwarder wait on its link to the leader until releaseReplies(). */
    void blockReplies(std::size_t forwarder) { m_areRepliesBlocked.at(forwarder) = true; }
    void releaseReplies(std::size_t forwarder);
    /** Resets the connections of a worker whose replies are held; an HTTP client that finds its
     * reused connection reset sends the request again on a new one. */
    void resetConnections(std::size_t worker);

    /** Adds @p count nodes that call the advisor for the leader. */
    void addAdviceCallers(std::size_t count);

    /** Creates a new leader; earlier ones continue until they notice it. */
    CellScheduler &elect();
    CellScheduler &leader() { return *m_leaders.back().scheduler; }
    /** The process of the latest leader; it exists as long as the simulation. */
    LeaderProcess &leaderProcess() { return *m_leaders.back().process; }
    /** The processes of all leaders so far, ended ones included. */
    const std::vector<std::unique_ptr<LeaderProcess>> &processes() const { return m_processes; }
    /** Destroys the latest leader without a shutdown, as a crash of its process does. */
    void killLeader();

    void run(Duration time);
    /** Runs until @p condition holds. @return false if it does not hold within @p limit. */
    bool runUntil(const std::function<bool()> &condition, Duration limit);

    /** Submits a job of one step whose tasks run for @p length. @return its id. */
    JobId submit(uint32_t tasks, Resources need, Duration length, bool isGang = false);
    JobId submit(WorkflowSpec spec);
    /** Sends a call to the leader. @return its reply, or a default one after 3 s without one. */
    ClientReply call(ClientCall::Kind kind, const JobId &id, const std::string &key = "key");
    JobState stateOf(const JobId &id);
    /** Asks the leader for the state of a job without waiting; the reply counts for shownDone. */
    void poll(const JobId &id);
    /** @return true if a leader has acknowledged that a task of the job is done. */
    bool hasAcknowledgedEnd(const JobId &id) const;
    /** Restarts a worker as a new incarnation that has lost its runs and ends. */
    void crash(std::size_t worker);
    /** Like crash(), but the next incarnation has another id at the same address. */
    void replace(std::size_t worker);
    /** Lets a worker reach the store again, where it renews its entry. */
    void reconnectToStore(std::size_t worker);

    EventQueue events;
    EventQueueTimers timers;
    CellStore store;
    /** Of the leaders that are elected from now on. */
    CellTerms terms;
    CellConfiguration configuration;
    std::set<ZoneId> evacuated;
    std::vector<FakeCellWorker> workers;
    pcg32 random;
    /** Jobs whose submission was accepted. */
    std::set<JobId> accepted;
    std::set<JobId> refused;
    /** Jobs that were to be cancelled; without a reply the cancellation may have taken effect. */
    std::set<JobId> cancelRequested;
    /** When the cancellation of each job was confirmed. */
    std::map<JobId, Instant> cancelled;
    /** Jobs that a leader has shown as done. */
    std::set<JobId> shownDone;
    std::vector<std::string> violations;
    std::size_t startCount = 0;
    /** Runs that a worker ended because the other members of their gang did not start in time. */
    std::size_t incompleteGangRuns = 0;
    /** Times between the attempts of each task; those of an ended incarnation don't count. */
    AttemptGaps gaps;
    /** Number of calls to readOperators() and readWorkers(). */
    std::size_t viewReads = 0;
    /** Number of calls to hold(). */
    std::size_t holdCount = 0;
    /** How long tasks run; 0 means as long as their estimate. */
    Duration taskLength{0};
    /** Duration from which runs compute their progress; 0 means the real duration. */
    Duration estimatedLength{0};
    /** How long a run goes on after its worker has accepted a stop. */
    Duration stopTime{300};
    /** How long the advisor takes for a call. */
    AdviceCost adviceCost{Duration(20), {}, Duration(1500)};
    /** The advisor allows a job on one of this many workers. */
    std::size_t workersPerAllowed = 1;
    /** All runs report the same progress forever. */
    bool isProgressStalled = false;
    /** Probability that a start or stop gets no reply and is executed 2 to 12 s later. */
    double lateCommandRate = 0;
    /** Probability that a worker refuses a start, which it then does not execute. */
    double refusalRate = 0;
    /** Late commands wait at their sender and reach the worker's next incarnation if it restarts;
     * otherwise they wait in the worker's process and end with it. */
    bool lateCommandsOutliveWorkers = false;

private:
    /** Hands a call to the latest leader, at once or when its process thaws. */
    void handleAtLeader(ClientCall call, const ClientResponder &respond);
    FakeCellWorker *find(const CommandTarget &to);
    void executeStart(const StartCall &call, const std::function<void(StartReply)> &done,
                      Instant sentAt);
    void executeStop(const StopCall &call, const std::function<void(StopReply)> &done);
    /**
     * Executes a command late if the dice say so; its sender then gets no reply.
     * @return true if the command was taken; the caller must not execute it.
     */
    template <typename Reply>
    bool isExecutedLate(const CommandTarget &to, const std::function<void(Reply)> &done,
                        std::function<void()> execute);
    /** @return true if the dice say that a worker refuses a start. */
    bool isRefused();
    void renewEntry(FakeCellWorker &worker);
    /** Forwards a command to a worker; @p done gets no reply if none arrives within @p timeout. */
    template <typename Reply, typename Call>
    void forwardCommand(std::size_t forwarder, Call call, Duration timeout,
                        void (CellSimulation::*method)(Call, std::function<void(Reply)>),
                        std::function<void(std::optional<Reply>)> done);
    int percentOf(const FakeCellWorker::Run &run) const;
    /** Ends the runs of @p worker whose time is over, or all of them if its lease has lapsed. */
    void finish(FakeCellWorker &worker);
    void endRun(FakeCellWorker &worker, const TaskKey &task, RunOutcome outcome);
    /** Lets the members of the gang of @p task begin their work if all of them run now. */
    void beginGang(const TaskKey &task, uint32_t attempt);
    Duration lengthOf(const TaskKey &task) const;
    /** Adds a violation for each rule that the start, which was sent at @p sentAt, would break. */
    void checkStart(const FakeCellWorker &worker, const StartCall &call, const Resources &need,
                    Instant sentAt);
    /** Adds a violation for each limit on the placement of the task's step that a start would break
     * on @p worker; @p name describes the start. */
    void checkPlacement(const FakeCellWorker &worker, const TaskKey &task, const std::string &name);
    WorkerClock clockOf(const FakeCellWorker &worker) const;
    /** Extends the worker's lease until @p until by its clock, but not beyond the longest lease. */
    void extendLease(FakeCellWorker &worker, WorkerClock until);
    Resources needOf(const TaskKey &task) const;
    void addViolation(const std::string &what);

    LogRateLimiter m_log;
    AdviceCallScheduler m_advice;
    std::size_t m_adviceCallers = 0;
    std::unique_ptr<CommandRelay> m_commandRelay;
    std::vector<Instant> m_faultyUntil;
    std::vector<bool> m_areRepliesBlocked;
    std::vector<std::deque<std::function<void()>>> m_blockedReplies;
    struct Leader
    {
        LeaderProcess *process;
        std::unique_ptr<CellScheduler> scheduler;
    };

    std::vector<std::unique_ptr<LeaderProcess>> m_processes;
    std::vector<Leader> m_leaders;
    std::map<JobId, WorkflowSpec> m_specs;
    /** The pools of the queue in all configurations that were read so far. */
    std::set<std::string> m_poolsOfQueue;
    std::set<TaskKey> m_doneTasks;
    std::map<TaskKey, Instant> m_lastStarts;
    uint64_t m_nextJob = 1;
    int m_claimCount = 0;
};

} // namespace Cranberrymount
