#pragma once

#include "Protocol/WorkerCommands.h"
#include "State/Resources.h"
#include "Transport/ScopedTimers.h"

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

namespace Cranberrymount {

/**
 * Spreads the sending of commands to workers over the nodes of the cell.
 *
 * A leader sends all commands itself to as many workers as one node can handle. With more workers,
 * its followers forward the commands, each for a share of the workers in its own zone, so that a
 * zone that is cut off does not affect the others. A worker keeps its forwarder for as long as that
 * node stays.
 * All decisions remain with the leader: a forwarder passes commands and replies on and keeps no
 * state, and workers check the epoch in a command, whichever node sends it.
 */
class CommandRelay : public WorkerCommands
{
public:
    /** A follower that forwards the leader's commands. A reply is unset if it does not answer. */
    struct Forwarder
    {
        CpuMillis processor;
        ZoneId zone;
        std::function<void(HoldCall, std::function<void(std::optional<HoldReply>)>)> hold;
        std::function<void(StartCall, std::function<void(std::optional<StartReply>)>)> start;
        std::function<void(StopCall, std::function<void(std::optional<StopReply>)>)> stop;
    };

    /**
     * A forwarder drops commands that arrive later than this: the leader may have given them up,
     * and the worker may have restarted as another incarnation, which takes at least 0.5 s.
     */
    static constexpr Duration MaxCommandDelay{250};
    /** Workers that one node can send commands to without noticeable load; see docs/CAPACITY.md. */
    static constexpr std::size_t MaxDirectWorkers = 64;

    /**
     * @param direct sends commands from this node.
     * @param maxDirectWorkers number of workers above which followers forward the commands.
     */
    CommandRelay(WorkerCommands &direct, TimerService &timers,
                 std::size_t maxDirectWorkers = MaxDirectWorkers);

    void addForwarder(const EntryId &node, Forwarder forwarder);
    void removeForwarder(const EntryId &node);

    void hold(HoldCall call, std::function<void(HoldReply)> done) override;
    void start(StartCall call, std::function<void(StartReply)> done) override;
    void stop(StopCall call, std::function<void(StopReply)> done) override;

private:
    struct ForwarderState
    {
        std::shared_ptr<const Forwarder> forwarder;
        /** Gets no commands until then, since it did not answer. */
        Instant suspendedUntil{};
    };
    struct Route
    {
        EntryId node;
        /** Null if this node sends the commands itself. */
        std::shared_ptr<const Forwarder> forwarder;
        /** Value of m_generation when the forwarder was chosen. */
        uint64_t generation = 0;
        /** This node sends the commands until then: the forwarder did not reach the worker. */
        Instant directUntil{};
        Duration directDuration{0};
        Instant usedAt{};
    };

    const Route &routeTo(const CommandTarget &to);
    void chooseForwarder(const CommandTarget &to, Route &route) const;
    void suspend(const EntryId &node);
    /** @return a callback that passes the reply to @p done. If @p node did not answer, it suspends
     * @p node and passes a default reply. */
    template <typename Reply>
    std::function<void(std::optional<Reply>)> suspendIfNoReply(EntryId node,
                                                               std::function<void(Reply)> done);
    void handleHoldOutcome(const WorkerId &worker, const EntryId &node, HoldReply::Outcome outcome);
    /** Removes routes to workers that no longer exist. */
    void removeStaleRoutes();

    WorkerCommands &m_direct;
    ScopedTimers m_timers;
    std::size_t m_maxDirectWorkers;
    std::map<EntryId, ForwarderState> m_forwarders;
    std::unordered_map<WorkerId, Route> m_routes;
    Instant m_sweptAt{};
    /** Incremented when the set of usable forwarders changes, so that routes are chosen anew. */
    uint64_t m_generation = 1;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Cranberrymount
