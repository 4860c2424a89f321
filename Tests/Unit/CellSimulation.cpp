#include "CellSimulation.h"

#include <fmt/format.h>

#include <algorithm>
#include <random>

namespace Cranberrymount {

namespace {

constexpr Duration CallTimeout{500};
constexpr Duration WorkerLatency{1};
/** Timeout of a forwarded command, beyond the wait of the command itself. */
constexpr Duration ForwardedCommandTimeout{1300};
/** How long a worker lets a member of a gang wait for the others. */
constexpr Duration GangWait = CellTerms().gangWait;
/** Documented for users: no task starts later than this after its cancellation was confirmed. */
constexpr Duration MaxStartDelayAfterCancel{3000};
/** An entry that its worker hasn't renewed for this long is removed from the store. */
constexpr Duration EntryLifetime{4500};
/** The other system's leader has sent its workers this epoch. */
constexpr Epoch ForeignEpoch{1'000'000};

} // namespace

CellSimulation::CellSimulation(uint64_t seed, std::size_t workerCount)
    : timers(events)
    , store(events, seed)
    , random(seed)
    , m_log(timers)
    , m_advice(timers)
{
    configuration.version = 1;
    QueueSettings queue;
    queue.id = QueueId("queue");
    queue.host = "host";
    queue.pathPrefix = "/queue/";
    queue.pool = "pool";
    queue.maxAttempts = 3;
    queue.stretchFactor = 2;
    queue.startTarget = Duration(1000);
    configuration.queues.push_back(queue);
    configuration.pools.push_back({"pool", false});
    configuration.teams.push_back({TeamId("team"), {"key"}, 1000, {}});
    for (std::size_t index = 0; index < workerCount; ++index) {
        FakeCellWorker worker;
        worker.info.incarnation = {WorkerId(fmt::format("w{}", index)), 1};
        worker.info.address = {"10.0.0.1", static_cast<uint16_t>(1000 + index)};
        worker.info.zone = ZoneId(index % 2 == 0 ? "a" : "b");
        worker.info.pool = "pool";
        worker.info.capacity = {CpuMillis(16'000), MemoryMb(64'000), AcceleratorCount(0)};
        worker.info.labels = {"kind", "rack"};
        worker.incarnationStart = events.now();
        renewEntry(worker);
        workers.push_back(std::move(worker));
    }
    addAdviceCallers(1);
}

CellSimulation::~CellSimulation() = default;

void CellSimulation::addAdviceCallers(std::size_t count)
{
    for (std::size_t index = 0; index < count; ++index) {
        m_advice.addCaller(EntryId(fmt::format("caller{}", m_adviceCallers++)),
                           [this](AdviceCall call, std::function<void(AdviceReply)> done) {
                               ask(std::move(call), std::move(done));
                           });
    }
}

std::size_t CellSimulation::addForeignWorker(const std::string &pool)
{
    FakeCellWorker worker;
    const std::size_t index = workers.size();
    worker.info = workers.front().info;
    worker.info.incarnation.id = WorkerId(fmt::format("w{}", index));
    worker.info.address.port = static_cast<uint16_t>(1000 + index);
    worker.info.pool = pool;
    worker.epoch = ForeignEpoch;
    worker.incarnationStart = events.now();
    renewEntry(worker);
    workers.push_back(std::move(worker));
    return index;
}

template <typename Reply, typename Call>
void CellSimulation::forwardCommand(std::size_t forwarder, Call call, Duration timeout,
                                    void (CellSimulation::*method)(Call,
                                                                   std::function<void(Reply)>),
                                    std::function<void(std::optional<Reply>)> done)
{
    const auto isFinished = std::make_shared<bool>(false);
    const auto finish = [isFinished, done = std::move(done)](std::optional<Reply> reply) {
        if (!std::exchange(*isFinished, true))
            done(std::move(reply));
    };
    events.at(events.now() + timeout, [finish] { finish(std::nullopt); });
    const bool isFaulty = events.now() < m_faultyUntil[forwarder];
    // 0: no fault, 1: the command is lost, 2: the reply is lost.
    const uint32_t fault = isFaulty ? random(3) : 0;
    if (fault == 1)
        return;
    // A follower does not execute commands that arrive later than this.
    const auto latest = static_cast<uint32_t>(CommandRelay::MaxCommandDelay.count());
    const Duration delay = isFaulty ? Duration(random(latest)) : WorkerLatency;
    events.at(events.now() + delay,
              [this, forwarder, call = std::move(call), method, finish, fault] {
                  (this->*method)(call, [this, forwarder, finish, fault](Reply reply) {
                      if (fault == 2)
                          return;
                      if (m_areRepliesBlocked[forwarder])
                          m_blockedReplies[forwarder].push_back([finish, reply] { finish(reply); });
                      else
                          finish(std::move(reply));
                  });
              });
}

void CellSimulation::releaseReplies(std::size_t forwarder)
{
    m_areRepliesBlocked.at(forwarder) = false;
    auto &blocked = m_blockedReplies[forwarder];
    while (!blocked.empty()) {
        const std::function<void()> deliver = std::move(blocked.front());
        blocked.pop_front();
        deliver();
    }
}

void CellSimulation::resetConnections(std::size_t index)
{
    workers[index].holdsReplies = false;
    for (const std::function<void()> &resend : std::exchange(workers[index].resends, {}))
        resend();
}

void CellSimulation::addForwarders(std::size_t count)
{
    m_commandRelay = std::make_unique<CommandRelay>(*this, timers, 0);
    m_faultyUntil.resize(count);
    m_areRepliesBlocked.resize(count);
    m_blockedReplies.resize(count);
    for (std::size_t index = 0; index < count; ++index) {
        CommandRelay::Forwarder forwarder;
        forwarder.processor = CpuMillis(100);
        forwarder.hold = [this, index](HoldCall call, auto done) {
            const Duration timeout = call.wait + ForwardedCommandTimeout;
            forwardCommand<HoldReply>(index, std::move(call), timeout, &CellSimulation::hold,
                                      std::move(done));
        };
        forwarder.start = [this, index](StartCall call, auto done) {
            forwardCommand<StartReply>(index, std::move(call), ForwardedCommandTimeout,
                                       &CellSimulation::start, std::move(done));
        };
        forwarder.stop = [this, index](StopCall call, auto done) {
            forwardCommand<StopReply>(index, std::move(call), ForwardedCommandTimeout,
                                      &CellSimulation::stop, std::move(done));
        };
        m_commandRelay->addForwarder(EntryId(fmt::format("carrier-{}", index)),
                                     std::move(forwarder));
    }
}

void CellSimulation::setForwarderFaulty(std::size_t forwarder, Duration time)
{
    m_faultyUntil[forwarder] = events.now() + time;
}

CellScheduler &CellSimulation::elect()
{
    const Revision claim = store.claim(fmt::format("leader-{}", ++m_claimCount));
    m_processes.push_back(std::make_unique<LeaderProcess>(
        timers, store, m_commandRelay ? static_cast<WorkerCommands &>(*m_commandRelay) : *this,
        *this));
    LeaderProcess &process = *m_processes.back();
    CellScheduler::Dependencies dependencies{
        process,
        process.storeResends,
        process,
        process,
        m_advice,
        process,
        [this] {
            return WallTime(std::chrono::duration_cast<Duration>(events.now().time_since_epoch()));
        },
        m_log,
        [](const std::string &, double) {},
        [] {}};
    m_leaders.push_back({&process,
                         std::make_unique<CellScheduler>(std::move(dependencies), terms, claim,
                                                         events.now(), [] {})});
    leader().recover();
    return leader();
}

void CellSimulation::killLeader()
{
    m_leaders.pop_back();
}

void CellSimulation::run(Duration time)
{
    events.runUntil(events.now() + time);
}

bool CellSimulation::runUntil(const std::function<bool()> &condition, Duration limit)
{
    const Instant end = events.now() + limit;
    while (!condition()) {
        if (events.now() >= end)
            return false;
        run(Duration(20));
    }
    return true;
}

JobId CellSimulation::submit(uint32_t tasks, Resources need, Duration length, bool isGang)
{
    WorkflowSpec spec;
    spec.steps.resize(1);
    spec.steps[0].taskCount = tasks;
    spec.steps[0].need = need;
    spec.steps[0].estimate = length;
    spec.steps[0].isGang = isGang;
    return submit(std::move(spec));
}

JobId CellSimulation::submit(WorkflowSpec spec)
{
    JobId id(fmt::format("{:016x}", m_nextJob++));
    m_specs[id] = spec;
    ClientCall call;
    call.kind = ClientCall::Submit;
    call.host = "host";
    call.path = "/queue/" + id.value();
    call.key = "key";
    call.spec = std::move(spec);
    handleAtLeader(std::move(call), [this, id](const ClientReply &reply) {
        if (reply.outcome == ClientReply::Accepted)
            accepted.insert(id);
        else
            refused.insert(id);
    });
    return id;
}

void CellSimulation::handleAtLeader(ClientCall call, const ClientResponder &respond)
{
    if (!leaderProcess().isFrozen())
        return leader().handle(std::move(call), respond);
    // The leader may have ended when its process thaws.
    leaderProcess().deliver([this, call, respond, scheduler = &leader()] {
        const auto isSame = [scheduler](const Leader &one) {
            return one.scheduler.get() == scheduler;
        };
        if (std::ranges::any_of(m_leaders, isSame))
            scheduler->handle(call, respond);
    });
}

ClientReply CellSimulation::call(ClientCall::Kind kind, const JobId &id, const std::string &key)
{
    ClientCall call;
    call.kind = kind;
    call.host = "host";
    call.path = "/queue/" + id.value();
    call.key = key;
    const auto spec = m_specs.find(id);
    if (kind == ClientCall::Submit && spec != m_specs.end())
        call.spec = spec->second;
    if (kind == ClientCall::Cancel)
        cancelRequested.insert(id);
    auto reply = std::make_shared<std::optional<ClientReply>>();
    handleAtLeader(std::move(call), [this, reply, kind, id](const ClientReply &answer) {
        *reply = answer;
        if (kind == ClientCall::Cancel && answer.outcome == ClientReply::Cancelled)
            cancelled.emplace(id, events.now());
        if (answer.outcome == ClientReply::JobShown && answer.state == JobState::Done)
            shownDone.insert(id);
    });
    runUntil([reply] { return reply->has_value(); }, Duration(3000));
    return reply->value_or(ClientReply());
}

JobState CellSimulation::stateOf(const JobId &id)
{
    return call(ClientCall::Status, id).state;
}

void CellSimulation::poll(const JobId &id)
{
    ClientCall call;
    call.kind = ClientCall::Status;
    call.host = "host";
    call.path = "/queue/" + id.value();
    call.key = "key";
    handleAtLeader(std::move(call), [this, id](const ClientReply &answer) {
        if (answer.outcome == ClientReply::JobShown && answer.state == JobState::Done)
            shownDone.insert(id);
    });
}

bool CellSimulation::hasAcknowledgedEnd(const JobId &id) const
{
    return std::ranges::any_of(m_doneTasks, [&id](const TaskKey &task) { return task.job == id; });
}

void CellSimulation::crash(std::size_t index)
{
    FakeCellWorker &worker = workers[index];
    worker.running.clear();
    worker.ended.clear();
    worker.highestAttempt.clear();
    worker.endTimes.clear();
    worker.nextEnd = 1;
    worker.epoch = Epoch();
    worker.incarnationStart = events.now();
    worker.leaseUntil = worker.leaseLapsedAt = {};
    ++worker.info.incarnation.startedAtMs;
    if (!worker.isCutFromStore)
        renewEntry(worker);
}

void CellSimulation::replace(std::size_t index)
{
    workers[index].info.incarnation.id =
        WorkerId(workers[index].info.incarnation.id.value() + "-next");
    crash(index);
}

void CellSimulation::reconnectToStore(std::size_t index)
{
    workers[index].isCutFromStore = false;
    renewEntry(workers[index]);
}

void CellSimulation::renewEntry(FakeCellWorker &worker)
{
    worker.entry = worker.info;
    worker.entryRenewedAt = events.now();
}

Resources CellSimulation::needOf(const TaskKey &task) const
{
    return m_specs.at(task.job).steps[task.step].need;
}

WorkerClock CellSimulation::clockOf(const FakeCellWorker &worker) const
{
    const auto elapsed =
        std::chrono::duration_cast<Duration>(events.now() - worker.incarnationStart);
    return WorkerClock(
        static_cast<uint64_t>(static_cast<double>(elapsed.count()) * worker.clockRate));
}

void CellSimulation::extendLease(FakeCellWorker &worker, WorkerClock until)
{
    const auto onRealClock = [&worker](auto time) {
        return Duration(static_cast<int64_t>(static_cast<double>(time) / worker.clockRate));
    };
    const Instant wanted = worker.incarnationStart + onRealClock(until.value());
    const Instant longest = events.now() + onRealClock(terms.leaseLength.count());
    worker.leaseUntil = std::max(worker.leaseUntil, std::min(wanted, longest));
}

void CellSimulation::addViolation(const std::string &what)
{
    violations.push_back(fmt::format(
        "{} ms: {}", std::chrono::duration_cast<Duration>(events.now().time_since_epoch()).count(),
        what));
}

FakeCellWorker *CellSimulation::find(const CommandTarget &to)
{
    const auto found = std::ranges::find(
        workers, to.address, [](const FakeCellWorker &worker) { return worker.info.address; });
    return found == workers.end() ? nullptr : &*found;
}

void CellSimulation::finish(FakeCellWorker &worker)
{
    if (worker.leaseUntil <= events.now())
        worker.leaseLapsedAt = std::max(worker.leaseLapsedAt, worker.leaseUntil);
    std::vector<std::pair<TaskKey, RunOutcome>> dueRuns;
    for (const auto &[task, run] : worker.running) {
        if (worker.leaseUntil <= events.now())
            dueRuns.emplace_back(task, RunOutcome::Lapsed);
        else if (run.endsAt <= events.now())
            dueRuns.emplace_back(task, run.outcome);
    }
    for (const auto &[task, outcome] : dueRuns)
        endRun(worker, task, outcome);
}

void CellSimulation::endRun(FakeCellWorker &worker, const TaskKey &task, RunOutcome outcome)
{
    const auto run = worker.running.extract(task);
    gaps.recordEnd(task, std::min(run.mapped().endsAt, worker.leaseUntil),
                   outcome == RunOutcome::Lapsed);
    if (outcome == RunOutcome::GangIncomplete)
        ++incompleteGangRuns;
    worker.endTimes[worker.nextEnd] = std::min(run.mapped().endsAt, events.now());
    worker.ended.push_back({worker.nextEnd++, task, run.mapped().attempt, outcome, ""});
}

void CellSimulation::hold(HoldCall call, std::function<void(HoldReply)> done)
{
    ++holdCount;
    const Instant limit = events.now() + call.wait;
    const auto poll = std::make_shared<std::function<void()>>();
    const FakeCellWorker *called = find(call.to);
    const int64_t incarnation = called ? called->info.incarnation.startedAtMs : 0;
    *poll = [this, call, limit, poll, incarnation, done = std::move(done)] {
        FakeCellWorker *worker = find(call.to);
        // A crash closes the connections of the worker's earlier incarnation.
        if (!worker || worker->isUnreachable
            || worker->info.incarnation.startedAtMs != incarnation) {
            events.at(events.now() + CallTimeout, [done] { done({}); });
            *poll = {};
            return;
        }
        finish(*worker);
        HoldReply reply;
        if (call.to.worker != worker->info.incarnation.id) {
            reply.outcome = HoldReply::OtherIncarnation;
            events.at(events.now() + WorkerLatency, [done, reply] { done(reply); });
            *poll = {};
            return;
        }
        reply.clock = clockOf(*worker);
        reply.startedAtMs = worker->info.incarnation.startedAtMs;
        if (call.to.epoch < worker->epoch) {
            ++worker->fencedCommands;
            reply.outcome = HoldReply::Fenced;
            events.at(events.now() + WorkerLatency, [done, reply] { done(reply); });
            *poll = {};
            return;
        }
        worker->epoch = call.to.epoch;
        if (call.leaseUntil)
            extendLease(*worker, *call.leaseUntil);
        while (!worker->ended.empty() && worker->ended.front().number <= call.acknowledgedEnds) {
            // Documented for users: a task that is done does not start again, unless its worker
            // lost its lease between the end and the acknowledgement.
            const EndReport &end = worker->ended.front();
            const Instant endedAt = worker->endTimes.at(end.number);
            if (end.outcome == RunOutcome::Done && worker->leaseLapsedAt < endedAt) {
                m_doneTasks.insert(end.task);
                const auto started = m_lastStarts.find(end.task);
                if (started != m_lastStarts.end() && started->second > endedAt)
                    addViolation(
                        fmt::format("{}.{}.{}: an end on {} is acknowledged after the task "
                                    "was started again",
                                    end.task.job.value(), end.task.step, end.task.index,
                                    worker->info.incarnation.id.value()));
            }
            worker->ended.pop_front();
        }
        if (worker->ended.empty() && events.now() < limit)
            return events.at(events.now() + Duration(10), [poll] {
                if (*poll)
                    (*poll)();
            });
        if (worker->holdsReplies) {
            worker->resends.push_back([this, call, done] { hold(call, done); });
            *poll = {};
            return;
        }
        for (const auto &[task, run] : worker->running)
            reply.running.push_back({task, run.attempt, "", percentOf(run)});
        reply.ended.assign(worker->ended.begin(), worker->ended.end());
        reply.outcome = HoldReply::Answered;
        events.at(events.now() + WorkerLatency, [done, reply] { done(reply); });
        *poll = {};
    };
    events.at(events.now() + WorkerLatency, [poll] { (*poll)(); });
}

Duration CellSimulation::lengthOf(const TaskKey &task) const
{
    return taskLength.count() > 0 ? taskLength : m_specs.at(task.job).steps[task.step].estimate;
}

void CellSimulation::beginGang(const TaskKey &task, uint32_t attempt)
{
    std::vector<std::pair<FakeCellWorker *, TaskKey>> members;
    for (FakeCellWorker &worker : workers) {
        finish(worker);
        for (const auto &[key, run] : worker.running) {
            if (key.job == task.job && key.occurrence == task.occurrence && key.step == task.step
                && run.attempt == attempt && run.isWaiting)
                members.emplace_back(&worker, key);
        }
    }
    if (members.size() < m_specs.at(task.job).steps[task.step].taskCount)
        return;
    for (const auto &[worker, key] : members) {
        FakeCellWorker::Run &run = worker->running.at(key);
        run.isWaiting = false;
        run.startedAt = events.now();
        if (run.outcome != RunOutcome::GangIncomplete)
            continue;
        run.outcome = worker->failsAll ? RunOutcome::Failed : RunOutcome::Done;
        run.endsAt = events.now() + lengthOf(key);
    }
}

int CellSimulation::percentOf(const FakeCellWorker::Run &run) const
{
    if (run.isWaiting)
        return 0;
    if (isProgressStalled)
        return 30;
    const auto length = estimatedLength.count() > 0 ? Instant::duration(estimatedLength)
                                                    : run.endsAt - run.startedAt;
    // A task of a service is at work after a short startup, and says so.
    const int most = run.isService ? 100 : 99;
    return std::min<int>(most, static_cast<int>(100 * (events.now() - run.startedAt) / length));
}

void CellSimulation::checkStart(const FakeCellWorker &worker, const StartCall &call,
                                const Resources &need, Instant sentAt)
{
    const std::string name =
        fmt::format("{}.{}.{} attempt {} on {}", call.task.job.value(), call.task.step,
                    call.task.index, call.attempt, worker.info.incarnation.id.value());
    for (FakeCellWorker &other : workers) {
        finish(other);
        const auto run = other.running.find(call.task);
        if (run == other.running.end())
            continue;
        addViolation(name + " starts while it runs on " + other.info.incarnation.id.value());
        const Instant leaseUntil = other.leaseUntil;
        gaps.recordOverlap(events.now(), std::min(run->second.endsAt, leaseUntil),
                           leaseUntil < run->second.endsAt, name);
    }
    gaps.recordStart(call.task, events.now(), name);
    if (m_doneTasks.contains(call.task))
        addViolation(name + " starts after its end was acknowledged");
    if (shownDone.contains(call.task.job))
        addViolation(name + " starts after its job was shown as done");
    const auto cancelledAt = cancelled.find(call.task.job);
    if (cancelledAt != cancelled.end() && sentAt > cancelledAt->second + MaxStartDelayAfterCancel)
        addViolation(name + " starts after its job was cancelled");
    if (refused.contains(call.task.job) && !accepted.contains(call.task.job))
        addViolation(name + " starts though its job was refused");
    Resources used = need;
    for (const auto &[task, run] : worker.running)
        used += run.need;
    if (!used.fitsIn(worker.info.capacity))
        addViolation(name + " exceeds the capacity");
    Resources team;
    for (const FakeCellWorker &other : workers) {
        for (const auto &[task, run] : other.running)
            team += run.need;
    }
    const Resources cap = configuration.teams.front().cap;
    if (cap.cpu.value() > 0 && team.cpu + need.cpu > cap.cpu)
        addViolation(name + " exceeds the team's limit");
    checkPlacement(worker, call.task, name);
}

void CellSimulation::checkPlacement(const FakeCellWorker &worker, const TaskKey &task,
                                    const std::string &name)
{
    const StepSpec &step = m_specs.at(task.job).steps[task.step];
    if (!step.requiredLabel.empty()
        && std::ranges::find(worker.info.labels, step.requiredLabel) == worker.info.labels.end())
        addViolation(name + " starts on a worker without the label " + step.requiredLabel);
    if (!m_poolsOfQueue.contains(worker.info.pool))
        addViolation(name + " starts in a pool to which no configuration sends its queue");
    const auto ofStep = std::ranges::count_if(worker.running, [&task](const auto &entry) {
        const TaskKey &key = entry.first;
        return key.job == task.job && key.occurrence == task.occurrence && key.step == task.step;
    });
    if (step.maxPerWorker > 0 && ofStep >= static_cast<int64_t>(step.maxPerWorker))
        addViolation(name + " exceeds the step's limit per worker");
}

template <typename Reply>
bool CellSimulation::isExecutedLate(const CommandTarget &to, const std::function<void(Reply)> &done,
                                    std::function<void()> execute)
{
    const FakeCellWorker *worker = find(to);
    if (lateCommandRate == 0 || !worker || worker->isUnreachable
        || std::uniform_real_distribution<double>(0, 1)(random) >= lateCommandRate)
        return false;
    events.at(events.now() + CallTimeout, [done] { done(Reply()); });
    const Duration delay(std::uniform_int_distribution<int>(2000, 12'000)(random));
    events.at(events.now() + delay,
              [this, worker, incarnation = worker->info.incarnation, execute = std::move(execute)] {
                  if (lateCommandsOutliveWorkers || worker->info.incarnation == incarnation)
                      execute();
              });
    return true;
}

bool CellSimulation::isRefused()
{
    return refusalRate > 0 && std::uniform_real_distribution<double>(0, 1)(random) < refusalRate;
}

void CellSimulation::start(StartCall call, std::function<void(StartReply)> done)
{
    events.at(events.now() + WorkerLatency, [this, call, done = std::move(done)] {
        const Instant sentAt = events.now();
        FakeCellWorker *worker = find(call.to);
        if (worker && worker->refusesStartConnections) {
            ++worker->refusedStarts;
            return done({StartReply::Refused, ConnectionFault::Refused});
        }
        if (worker && worker->holdsReplies && !worker->isUnreachable) {
            executeStart(
                call, [](const StartReply &) {}, sentAt);
            worker->resends.push_back(
                [this, call, done] { executeStart(call, done, events.now()); });
            return;
        }
        if (isExecutedLate(call.to, done, [this, call, sentAt] {
                executeStart(
                    call, [](const StartReply &) {}, sentAt);
            }))
            return;
        if (worker && !worker->isUnreachable && isRefused()) {
            events.at(events.now() + WorkerLatency, [done] { done({StartReply::Refused}); });
            return;
        }
        executeStart(call, done, sentAt);
    });
}

void CellSimulation::executeStart(const StartCall &call,
                                  const std::function<void(StartReply)> &done, Instant sentAt)
{
    FakeCellWorker *worker = find(call.to);
    const auto answer = [this, done](StartReply::Outcome outcome, Duration delay) {
        events.at(events.now() + delay, [done, outcome] { done({outcome}); });
    };
    if (!worker || worker->isUnreachable)
        return answer(StartReply::Unknown, CallTimeout);
    if (worker->startsInFlight >= worker->maxStartsInFlight)
        return answer(StartReply::Unknown, WorkerLatency);
    ++worker->startsInFlight;
    events.at(events.now() + WorkerLatency, [this, to = call.to] {
        if (FakeCellWorker *again = find(to))
            --again->startsInFlight;
    });
    finish(*worker);
    if (call.to.worker != worker->info.incarnation.id)
        return answer(StartReply::OtherIncarnation, WorkerLatency);
    if (call.to.epoch < worker->epoch || worker->fencesStarts) {
        ++worker->fencedCommands;
        return answer(StartReply::Fenced, WorkerLatency);
    }
    worker->epoch = call.to.epoch;
    if (call.leaseUntil <= clockOf(*worker))
        return answer(StartReply::LeaseExpired, WorkerLatency);
    const auto running = worker->running.find(call.task);
    if (running != worker->running.end() && running->second.attempt == call.attempt)
        return answer(StartReply::Started, WorkerLatency);
    uint32_t &highest = worker->highestAttempt[call.task];
    if (call.attempt <= highest)
        return answer(StartReply::Outdated, WorkerLatency);
    const Resources need = needOf(call.task);
    checkStart(*worker, call, need, sentAt);
    ++startCount;
    m_lastStarts[call.task] = events.now();
    highest = call.attempt;
    extendLease(*worker, call.leaseUntil);
    const bool isGang = m_specs.at(call.task.job).steps[call.task.step].isGang;
    FakeCellWorker::Run &run = worker->running[call.task];
    run = {call.attempt,
           events.now(),
           events.now() + lengthOf(call.task),
           "",
           worker->failsAll ? RunOutcome::Failed : RunOutcome::Done,
           need};
    run.isService = m_specs.at(call.task.job).steps[call.task.step].isService;
    if (isGang) {
        run.isWaiting = true;
        run.outcome = RunOutcome::GangIncomplete;
        run.endsAt = events.now() + GangWait;
        beginGang(call.task, call.attempt);
    }
    answer(worker->losesReplies ? StartReply::Unknown : StartReply::Started,
           worker->losesReplies ? CallTimeout : WorkerLatency);
}

void CellSimulation::stop(StopCall call, std::function<void(StopReply)> done)
{
    events.at(events.now() + WorkerLatency, [this, call, done = std::move(done)] {
        if (!isExecutedLate(call.to, done,
                            [this, call] { executeStop(call, [](const StopReply &) {}); }))
            executeStop(call, done);
    });
}

void CellSimulation::executeStop(const StopCall &call, const std::function<void(StopReply)> &done)
{
    FakeCellWorker *worker = find(call.to);
    if (!worker || worker->isUnreachable) {
        events.at(events.now() + CallTimeout, [done] { done({}); });
        return;
    }
    finish(*worker);
    if (call.to.worker != worker->info.incarnation.id)
        return done({StopReply::OtherIncarnation});
    if (call.to.epoch < worker->epoch) {
        ++worker->fencedCommands;
        return done({StopReply::Fenced});
    }
    uint32_t &highest = worker->highestAttempt[call.task];
    highest = std::max(highest, call.attempt);
    const auto run = worker->running.find(call.task);
    if (run != worker->running.end() && run->second.attempt == call.attempt) {
        run->second.outcome = RunOutcome::Stopped;
        run->second.endsAt = std::min(run->second.endsAt, events.now() + stopTime);
    }
    done({StopReply::Accepted});
}

void CellSimulation::ask(AdviceCall call, std::function<void(AdviceReply)> done)
{
    const Duration cost = adviceCost.costOf(call.workers.size());
    events.at(events.now() + cost, [this, call, done = std::move(done)] {
        AdviceReply reply;
        reply.answered = true;
        const std::hash<std::string> hash;
        for (const WorkerId &worker : call.workers) {
            if (hash(call.step.job.value() + worker.value()) % workersPerAllowed == 0)
                reply.allowed.push_back({worker, "ticket"});
        }
        done(reply);
    });
}

void CellSimulation::readOperators(std::function<void(OperatorView)> done)
{
    ++viewReads;
    events.at(events.now() + store.latency, [this, done = std::move(done)] {
        m_poolsOfQueue.insert(configuration.queues.front().pool);
        done({!store.isDown, configuration, evacuated});
    });
}

void CellSimulation::readWorkers(std::function<void(WorkerDirectory)> done)
{
    ++viewReads;
    events.at(events.now() + store.latency, [this, done = std::move(done)] {
        WorkerDirectory directory;
        directory.answered = !store.isDown;
        for (FakeCellWorker &worker : workers) {
            if (!worker.isCutFromStore)
                renewEntry(worker);
            if (events.now() - worker.entryRenewedAt < EntryLifetime)
                directory.workers.push_back(worker.entry);
        }
        done(directory);
    });
}

} // namespace Cranberrymount
