#pragma once

#include "MemoryStore.h"
#include "World.h"

#include "Coordination/CellScheduler.h"
#include "Coordination/OrderRelay.h"
#include "Protocol/WorkerOrders.h"

namespace Cranberrymount {

/** A transactional store of one map; it can refuse, lose answers and carry out calls late. */
class CellStore : public TransactionalStore
{
public:
    CellStore(EventQueue &events, uint64_t seed);

    void list(const std::string &prefix, std::function<void(StoreRead)> done) override;
    void probe(std::function<void(bool answers)> done) override;
    void commit(StoreTransaction transaction, std::function<void(CommitResult)> done) override;
    void createLease(Duration ttl, std::function<void(StoreLease)> done) override;
    void renewLease(StoreLeaseId id, std::function<void(StoreLease)> done) override;

    /** Writes the leader's claim at once. @return its revision. */
    Revision claim(const std::string &holder);

    bool isDown = false;
    /** Calls get no answer and have no effect. */
    bool isSilent = false;
    /** Calls that hang at present, and the most that did at a time. */
    std::size_t hangingCalls = 0;
    std::size_t mostHangingCalls = 0;
    double lostAnswers = 0;
    Duration latency{4};

    std::size_t keyCount(const std::string &prefix) const;
    /** Transactions that were carried out. */
    std::size_t commitCount = 0;

private:
    CommitResult apply(const StoreTransaction &transaction);
    /** Runs @p done after @p timeout; until then the call holds a connection. */
    void hang(Duration timeout, std::function<void()> done);

    EventQueue &m_events;
    pcg32 m_random;
    std::map<std::string, StoreEntry> m_values;
    uint64_t m_revision = 1;
};

/** One worker as the platform's pages describe it. */
struct CellTestWorker
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
    };

    CellWorker info;
    Epoch epoch;
    Instant incarnationStart{};
    Instant leaseUntil{};
    std::map<TaskKey, Run> running;
    std::deque<EndReport> ended;
    /** When each listed end came about, by its number. */
    std::map<uint64_t, Instant> endTimes;
    /** When the lease last ran out. */
    Instant leaseLapsedAt{};
    std::map<TaskKey, uint32_t> highestAttempt;
    uint64_t nextEnd = 1;
    bool isCut = false;
    bool failsAll = false;
    /** Orders are carried out, and their answers lost. */
    bool isMute = false;
};

/**
 * A cell in virtual time: schedulers, one after another or two at once, over one store and fake
 * workers. The judge looks at every start that a worker carries out.
 */
class CellWorld : public WorkerOrders, public PlacementAdvisor, public OperatorSource
{
public:
    explicit CellWorld(uint64_t seed, std::size_t workers = 6);
    ~CellWorld() override;

    // The platform's side.
    void hold(HoldCall call, std::function<void(HoldReply)> done) override;
    void start(StartCall call, std::function<void(StartReply)> done) override;
    void stop(StopCall call, std::function<void(StopReply)> done) override;
    void ask(AdviceCall call, std::function<void(AdviceReply)> done) override;
    void readOperators(std::function<void(OperatorView)> done) override;
    void readWorkers(std::function<void(WorkerDirectory)> done) override;

    /** Lets @p count followers carry all orders of the leaders that are elected from now on. */
    void addCarriers(std::size_t count);
    /** The carrier loses orders and replies, or is late with them, for @p time. */
    void disturbCarrier(std::size_t carrier, Duration time);

    /** Makes a new leader; earlier ones go on until they notice. */
    CellScheduler &elect();
    CellScheduler &leader() { return *m_schedulers.back(); }
    /** Ends the process of the last leader without a word. */
    void killLeader();

    void run(Duration time);
    /** @return true once @p condition holds, within @p limit. */
    bool runUntil(const std::function<bool()> &condition, Duration limit);

    /** Submits a job of one step. @return its id. */
    JobId submit(uint32_t tasks, Resources need, Duration length, bool isGang = false);
    JobId submit(WorkflowSpec spec);
    ClientReply call(ClientCall::Kind kind, const JobId &id, const std::string &key = "key");
    JobState stateOf(const JobId &id);
    void crash(std::size_t worker);

    EventQueue events;
    QueueTimers timers;
    CellStore store;
    CellConfiguration configuration;
    std::set<ZoneId> evacuated;
    std::vector<CellTestWorker> workers;
    pcg32 random;
    /** Jobs whose submission was answered with success. */
    std::set<JobId> accepted;
    std::set<JobId> refused;
    /** Jobs that somebody tried to cancel; without an answer it may have taken effect. */
    std::set<JobId> cancelTried;
    /** When each cancellation was answered with success. */
    std::map<JobId, Instant> cancelled;
    std::vector<std::string> violations;
    std::size_t startCount = 0;
    /** Reads of the operators' and of the workers' lists. */
    std::size_t viewReads = 0;
    /** Reports that workers were asked for. */
    std::size_t holdCount = 0;
    /** How long tasks run; 0 for as long as their submitter estimated. */
    Duration taskLength{0};
    /** Runs show progress by their estimate, which may be shorter than they take. */
    Duration estimatedLength{0};
    /** Runs show no progress. */
    bool isStandingStill = false;

private:
    CellTestWorker *find(const OrderAddress &to);
    /** Gives an order by way of a carrier. */
    template <typename Reply, typename Call>
    void forwardCommand(std::size_t carrier, Call call, Duration timeout,
                        void (CellWorld::*method)(Call, std::function<void(Reply)>),
                        std::function<void(std::optional<Reply>)> done);
    int percentOf(const CellTestWorker::Run &run) const;
    void finish(CellTestWorker &worker);
    void endRun(CellTestWorker &worker, const TaskKey &task, RunOutcome outcome);
    void checkStart(const CellTestWorker &worker, const StartCall &call, const Resources &need);
    WorkerClock clockOf(const CellTestWorker &worker) const;
    Resources needOf(const TaskKey &task) const;
    void addViolation(const std::string &what);

    LogBudget m_log;
    AdviceDesk m_advice;
    std::unique_ptr<OrderRelay> m_relay;
    std::vector<Instant> m_faultyUntil;
    std::vector<std::unique_ptr<CellScheduler>> m_schedulers;
    std::map<JobId, WorkflowSpec> m_specs;
    std::set<TaskKey> m_doneTasks;
    uint64_t m_nextJob = 1;
    int m_claimCount = 0;
};

} // namespace Cranberrymount
