#pragma once

#include "Protocol/WorkerCommands.h"
#include "Transport/LogRateLimiter.h"
#include "Transport/ScopedTimers.h"

#include <deque>
#include <map>

namespace Cranberrymount {

/**
 * Limits the connections that this node opens to each worker, so that the cell keeps working on
 * what earlier leaders and forwarders have left over: a worker takes a limited number from all
 * nodes together, and those of a machine that lost power may stay open for good.
 *
 * The commands below reuse open connections, so the number of commands in flight to a worker is the
 * number of its connections. One is for the report request, one for other commands; another one is
 * opened only if commands wait. A worker that refuses or resets a new connection gets no further
 * one for a while, and its commands share those that are open. A command that finds none fails at
 * once and is known not to have been sent.
 */
class WorkerConnections : public WorkerCommands
{
public:
    /** Most connections of this node to one worker. A worker takes 64 from all nodes, so that 15
     * machines may lose power before it closes a connection of one of them. */
    static constexpr std::size_t MaxConnections = 4;
    /** A connection that is not used for this long is closed. */
    static constexpr std::chrono::seconds MaxIdleTime{5};
    /** A command that has waited for a connection for this long is not sent. */
    static constexpr Duration MaxQueueTime{200};

    struct Counts
    {
        /** New connections that workers have refused. */
        uint64_t refused = 0;
        /** New connections that workers have reset before their first response. */
        uint64_t reset = 0;
        /** Commands that were not sent, since no connection was free in time. */
        uint64_t unsent = 0;
        /** Workers that refused or reset the last new connection. */
        std::size_t fullWorkers = 0;
    };

    /**
     * @param commands sends the commands; reuses open connections and opens another one if all are
     *        in use
     * @param random returns numbers from 0 to 1, which spread the attempts of several nodes
     */
    WorkerConnections(WorkerCommands &commands, TimerService &timers, LogRateLimiter &log,
                      std::function<double()> random);

    void hold(HoldCall call, std::function<void(HoldReply)> done) override;
    void start(StartCall call, std::function<void(StartReply)> done) override;
    void stop(StopCall call, std::function<void(StopReply)> done) override;
    void closeConnections() override;
    std::size_t connectionCount() const override { return m_commands.connectionCount(); }

    Counts counts() const;

private:
    /** A command that waits for a connection. */
    struct Waiting
    {
        Instant since{};
        bool isHold = false;
        /** It was sent before on a connection that the worker reset. */
        bool isRepeated = false;
        /** Sends the command; @c isShared if it shares its connection with all others. */
        std::function<void(const Waiting &self, bool isNew, bool isShared)> send;
        /** Ends the command as not sent. */
        std::function<void()> fail;
    };
    struct Worker
    {
        std::deque<Waiting> holds;
        std::deque<Waiting> orders;
        std::size_t holdsInFlight = 0;
        std::size_t ordersInFlight = 0;
        /** Connections that a command has used successfully and that have not failed since. */
        std::size_t open = 0;
        /** Most commands in flight since the time below. */
        std::size_t peak = 0;
        Instant peakSince{};
        /** New connections that were refused or reset since the last one that was not. */
        uint32_t failures = 0;
        ConnectionFault lastFault = ConnectionFault::None;
        /** No new connection is opened before this time. */
        Instant mayOpenAt{};
        bool isTimerRunning = false;
        Instant usedAt{};
        /** Value of m_generation when this entry was created. */
        uint64_t generation = 0;

        std::size_t inFlight() const { return holdsInFlight + ordersInFlight; }
    };
    /** How a command was sent. */
    struct Sent
    {
        Endpoint address;
        uint64_t generation;
        bool isHold;
        bool isNew;
    };

    template <typename Call, typename Reply>
    void enqueue(Call call, std::function<void(Reply)> done,
                 void (WorkerCommands::*method)(Call, std::function<void(Reply)>), bool isHold);
    /** Sends the commands for which there is a connection, and fails those that waited too long. */
    void sendWaiting(const Endpoint &address);
    /** @return false if no command can be sent now. */
    bool sendNext(Worker &worker);
    std::size_t connectionLimit(const Worker &worker) const;
    /** @return true if the next command would use a new connection that the worker may reset after
     * the command was sent. */
    bool risksReset(const Worker &worker) const;
    /** @return how many commands other than report requests may be in flight now. */
    std::size_t orderLimit(const Worker &worker) const;
    void failUnsendable(const Endpoint &address);
    void recordUse(Worker &worker) const;
    /** How a command ended. */
    struct Result
    {
        bool isAnswered;
        /** The reply arrived on a connection that was open before. */
        bool isReused;
        ConnectionFault fault;
    };
    /** @return the worker's entry, or null if closeConnections() has removed it. */
    Worker *recordResult(const Sent &sent, const Result &result);
    void removeUnused();

    WorkerCommands &m_commands;
    ScopedTimers m_timers;
    LogRateLimiter &m_log;
    std::function<double()> m_random;
    std::map<Endpoint, Worker> m_workers;
    uint64_t m_generation = 0;
    Instant m_sweptAt{};
    Counts m_counts;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Cranberrymount
