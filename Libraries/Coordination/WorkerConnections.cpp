#include "Coordination/WorkerConnections.h"

#include <glog/logging.h>

#include <algorithm>

namespace Cranberrymount {

namespace {

/** Commands that wait for longer than this get another connection. Workers respond within a few
 * milliseconds, so that shorter bursts are handled on one connection. */
constexpr Duration MaxWaitForOpenConnection{20};
/** Longest wait of a report request that shares the only connection with other commands. */
constexpr Duration SharedReportWait{100};
/** Pauses between new connections to a worker that refuses them, doubling up to the maximum. A
 * worker that restarts refuses them, too, so the maximum is below a second on average. */
constexpr Duration FirstPause{100};
constexpr Duration MaxPause{800};
/** Entries of workers that were not used for this long are removed. */
constexpr Duration EntryLifetime{30'000};
constexpr Duration SweepInterval{1000};

bool isAnswered(const HoldReply &reply)
{
    return reply.outcome != HoldReply::Unreachable;
}

bool isAnswered(const StartReply &reply)
{
    return reply.outcome != StartReply::Unknown && reply.fault == ConnectionFault::None;
}

bool isAnswered(const StopReply &reply)
{
    return reply.outcome != StopReply::Unknown;
}

/** Adapts a command to how it is sent. */
template <typename Call> void adapt(Call &, bool, bool) { }

void adapt(HoldCall &call, bool hasWaited, bool isShared)
{
    if (isShared)
        call.wait = std::min(call.wait, SharedReportWait);
    // The worker may have restarted meanwhile, and its next incarnation numbers its ends anew.
    if (hasWaited)
        call.acknowledgedEnds = 0;
}

} // namespace

WorkerConnections::WorkerConnections(WorkerCommands &commands, TimerService &timers,
                                     LogRateLimiter &log, std::function<double()> random)
    : m_commands(commands)
    , m_timers(timers)
    , m_log(log)
    , m_random(std::move(random))
{
}

void WorkerConnections::hold(HoldCall call, std::function<void(HoldReply)> done)
{
    enqueue(std::move(call), std::move(done), &WorkerCommands::hold, true);
}

void WorkerConnections::start(StartCall call, std::function<void(StartReply)> done)
{
    enqueue(std::move(call), std::move(done), &WorkerCommands::start, false);
}

void WorkerConnections::stop(StopCall call, std::function<void(StopReply)> done)
{
    enqueue(std::move(call), std::move(done), &WorkerCommands::stop, false);
}

template <typename Call, typename Reply>
void WorkerConnections::enqueue(Call call, std::function<void(Reply)> done,
                                void (WorkerCommands::*method)(Call, std::function<void(Reply)>),
                                bool isHold)
{
    const Instant now = m_timers.now();
    if (now - m_sweptAt > SweepInterval)
        removeUnused();
    const Endpoint address = call.to.address;
    Waiting waiting;
    waiting.since = now;
    waiting.isHold = isHold;
    waiting.fail = [this, done] {
        ++m_counts.unsent;
        Reply reply;
        if constexpr (std::is_same_v<Reply, StartReply>)
            reply.outcome = StartReply::Refused;
        reply.fault = ConnectionFault::Refused;
        done(reply);
    };
    waiting.send = [this, method, address, call = std::move(call),
                    done = std::move(done)](const Waiting &self, bool isNew, bool isShared) {
        Call sentCall = call;
        const bool hasWaited = m_timers.now() - self.since >= MaxWaitForOpenConnection;
        adapt(sentCall, hasWaited || self.isRepeated, isShared);
        const Sent sent{address, m_generation, self.isHold, isNew};
        std::function<void(Reply)> handleReply = [this, sent, self, done,
                                                  alive = std::weak_ptr(m_alive)](Reply reply) {
            if (alive.expired())
                return;
            Worker *worker =
                recordResult(sent, {isAnswered(reply), reply.reusedConnection, reply.fault});
            // A command that was not sent can use a connection that is open, and so can a report
            // request, which may be repeated if it acknowledges nothing.
            const bool mayRepeat = reply.fault == ConnectionFault::Refused
                || (sent.isHold && reply.fault == ConnectionFault::Reset);
            if (worker && mayRepeat && worker->open > 0) {
                auto &queue = sent.isHold ? worker->holds : worker->orders;
                queue.push_front(self);
                queue.front().isRepeated = true;
                return sendWaiting(sent.address);
            }
            if (worker)
                sendWaiting(sent.address);
            done(std::move(reply));
        };
        (m_commands.*method)(std::move(sentCall), std::move(handleReply));
    };
    const auto [position, isNew] = m_workers.try_emplace(address);
    Worker &worker = position->second;
    if (isNew)
        worker.generation = m_generation;
    worker.usedAt = now;
    (isHold ? worker.holds : worker.orders).push_back(std::move(waiting));
    sendWaiting(address);
}

void WorkerConnections::sendWaiting(const Endpoint &address)
{
    failUnsendable(address);
    // A command may end before it returns.
    auto found = m_workers.find(address);
    while (found != m_workers.end() && sendNext(found->second))
        found = m_workers.find(address);
    if (found == m_workers.end())
        return;
    Worker &worker = found->second;
    if (worker.isTimerRunning || (worker.orders.empty() && worker.holds.empty()))
        return;
    worker.isTimerRunning = true;
    m_timers.after(MaxWaitForOpenConnection, [this, address, generation = worker.generation] {
        const auto again = m_workers.find(address);
        if (again == m_workers.end() || again->second.generation != generation)
            return;
        again->second.isTimerRunning = false;
        sendWaiting(address);
    });
}

std::size_t WorkerConnections::connectionLimit(const Worker &worker) const
{
    if (worker.failures == 0)
        return MaxConnections;
    // One attempt at a time.
    return std::min(worker.open + (m_timers.now() >= worker.mayOpenAt ? 1 : 0), MaxConnections);
}

bool WorkerConnections::risksReset(const Worker &worker) const
{
    return worker.failures > 0 && worker.lastFault == ConnectionFault::Reset && worker.open > 0
        && worker.inFlight() >= worker.open;
}

std::size_t WorkerConnections::orderLimit(const Worker &worker) const
{
    const std::size_t limit = connectionLimit(worker);
    if (limit <= 1)
        return limit;
    std::size_t wanted = std::max<std::size_t>(1, worker.open > 0 ? worker.open - 1 : 0);
    if (!worker.orders.empty()) {
        const auto waited = m_timers.now() - worker.orders.front().since;
        wanted = std::max(
            wanted,
            1 + static_cast<std::size_t>(std::max<int64_t>(0, waited / MaxWaitForOpenConnection)));
    }
    return std::min(limit - 1, wanted);
}

bool WorkerConnections::sendNext(Worker &worker)
{
    const std::size_t limit = connectionLimit(worker);
    if (worker.inFlight() >= limit)
        return false;
    const bool canSendOrder =
        !worker.orders.empty() && !risksReset(worker) && worker.ordersInFlight < orderLimit(worker);
    const bool canSendHold =
        !worker.holds.empty() && worker.holdsInFlight < std::max<std::size_t>(1, limit - 1);
    if (!canSendOrder && !canSendHold)
        return false;
    const bool isOrder =
        canSendOrder && (!canSendHold || worker.orders.front().since <= worker.holds.front().since);
    std::deque<Waiting> &queue = isOrder ? worker.orders : worker.holds;
    const Waiting next = std::move(queue.front());
    queue.pop_front();
    const bool isNew = worker.inFlight() >= worker.open;
    const bool isShared = worker.failures > 0 && worker.open <= 1;
    ++(isOrder ? worker.ordersInFlight : worker.holdsInFlight);
    recordUse(worker);
    next.send(next, isNew, isShared);
    return true;
}

void WorkerConnections::failUnsendable(const Endpoint &address)
{
    const auto found = m_workers.find(address);
    if (found == m_workers.end())
        return;
    Worker &worker = found->second;
    const Instant now = m_timers.now();
    const bool hasConnection = connectionLimit(worker) > 0 || worker.inFlight() > 0;
    std::vector<Waiting> failed;
    for (std::deque<Waiting> *queue : {&worker.holds, &worker.orders}) {
        while (!queue->empty() && (!hasConnection || now - queue->front().since > MaxQueueTime)) {
            failed.push_back(std::move(queue->front()));
            queue->pop_front();
        }
    }
    // Deferred: the callers are not prepared for a reply before their call returns.
    for (const Waiting &waiting : failed)
        m_timers.after(Duration(0), waiting.fail);
}

void WorkerConnections::recordUse(Worker &worker) const
{
    const Instant now = m_timers.now();
    worker.usedAt = now;
    if (now - worker.peakSince > MaxIdleTime) {
        // The others were idle for so long that they are closed.
        worker.open = std::min(worker.open, worker.peak);
        worker.peak = 0;
        worker.peakSince = now;
    }
    worker.peak = std::max(worker.peak, worker.inFlight());
}

WorkerConnections::Worker *WorkerConnections::recordResult(const Sent &sent, const Result &result)
{
    const ConnectionFault fault = result.fault;
    m_counts.refused += fault == ConnectionFault::Refused ? 1 : 0;
    m_counts.reset += fault == ConnectionFault::Reset ? 1 : 0;
    const auto found = m_workers.find(sent.address);
    if (found == m_workers.end() || found->second.generation != sent.generation)
        return nullptr;
    Worker &worker = found->second;
    --(sent.isHold ? worker.holdsInFlight : worker.ordersInFlight);
    if (fault != ConnectionFault::None) {
        const Duration pause = exponentialBackoff(FirstPause, worker.failures, MaxPause);
        ++worker.failures;
        worker.lastFault = fault;
        worker.mayOpenAt = m_timers.now()
            + Duration(static_cast<int64_t>(static_cast<double>(pause.count())
                                            * (0.5 + m_random())));
        // A connection that was taken for open was not.
        if (!sent.isNew)
            worker.open = std::min(worker.open, worker.inFlight());
        LOG_EVENT(m_log, "worker_connection_refused")
            << "worker_address=" << sent.address.text()
            << " was_sent=" << (fault == ConnectionFault::Reset) << " failures=" << worker.failures
            << " open=" << worker.open << " in_flight=" << worker.inFlight() << " pause_ms="
            << std::chrono::duration_cast<Duration>(worker.mayOpenAt - m_timers.now()).count();
    } else if (result.isAnswered && sent.isNew) {
        // Another command's connection had become free before its reply was handled: this says
        // nothing about whether the worker accepts new ones.
        if (result.isReused && worker.failures > 0 && worker.open > 0)
            return &worker;
        worker.open = std::min(worker.open + 1, MaxConnections);
        worker.failures = 0;
    } else if (!result.isAnswered && !sent.isNew) {
        // The HTTP client closes a connection without a response.
        worker.open -= std::min<std::size_t>(worker.open, 1);
    }
    return &worker;
}

void WorkerConnections::closeConnections()
{
    ++m_generation;
    const auto workers = std::exchange(m_workers, {});
    m_commands.closeConnections();
    for (const auto &[address, worker] : workers) {
        for (const auto *queue : {&worker.holds, &worker.orders}) {
            for (const Waiting &waiting : *queue)
                m_timers.after(Duration(0), waiting.fail);
        }
    }
}

WorkerConnections::Counts WorkerConnections::counts() const
{
    Counts counts = m_counts;
    counts.fullWorkers = static_cast<std::size_t>(std::ranges::count_if(
        m_workers, [](const auto &entry) { return entry.second.failures > 0; }));
    return counts;
}

void WorkerConnections::removeUnused()
{
    m_sweptAt = m_timers.now();
    std::erase_if(m_workers, [this](const auto &entry) {
        const Worker &worker = entry.second;
        return worker.inFlight() == 0 && worker.holds.empty() && worker.orders.empty()
            && m_sweptAt - worker.usedAt > EntryLifetime;
    });
}

} // namespace Cranberrymount
