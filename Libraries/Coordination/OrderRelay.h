#pragma once

#include "Protocol/WorkerOrders.h"
#include "State/Resources.h"
#include "Transport/GuardedTimers.h"

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

namespace Cranberrymount {

/**
 * Spreads orders to workers over the nodes of the cell.
 *
 * A leader gives orders itself to as many workers as one node can bear. Beyond that its followers
 * carry them, each those of its share of the workers in its zone, which keep their follower while
 * it stays; a zone that is cut off then costs the others nothing.
 * What decides stays with the leader: a carrier passes orders and replies on and remembers
 * nothing, and workers go by the epoch in the order, whoever brings it.
 */
class OrderRelay : public WorkerOrders
{
public:
    /** A follower that gives orders in the leader's place. Replies are unset if it is silent. */
    struct Carrier
    {
        CpuMillis processor;
        ZoneId zone;
        std::function<void(HoldCall, std::function<void(std::optional<HoldReply>)>)> hold;
        std::function<void(StartCall, std::function<void(std::optional<StartReply>)>)> start;
        std::function<void(StopCall, std::function<void(std::optional<StopReply>)>)> stop;
    };

    /**
     * Orders that come later than this to their carrier are not carried out: the leader may have
     * given them up, and the worker may have begun another life, which takes it half a second.
     */
    static constexpr Duration LatestOrder{250};
    /** Workers that one node gives orders to without noticeable load; see docs/CAPACITY.md. */
    static constexpr std::size_t MaxDirectWorkers = 64;

    /** @p direct gives orders from this node, to @p maxDirectWorkers workers at most. */
    OrderRelay(WorkerOrders &direct, TimerService &timers,
               std::size_t maxDirectWorkers = MaxDirectWorkers);

    void addCarrier(const EntryId &node, Carrier forwarder);
    void removeCarrier(const EntryId &node);

    void hold(HoldCall call, std::function<void(HoldReply)> done) override;
    void start(StartCall call, std::function<void(StartReply)> done) override;
    void stop(StopCall call, std::function<void(StopReply)> done) override;

private:
    struct ForwarderState
    {
        std::shared_ptr<const Carrier> forwarder;
        /** Silent before: gets no orders until then. */
        Instant suspendedUntil{};
    };
    struct Route
    {
        EntryId node;
        /** Null if this node gives the orders itself. */
        std::shared_ptr<const Carrier> forwarder;
        /** The carriers of this generation were chosen from. */
        uint64_t generation = 0;
        /** The carrier did not reach the worker: this node gives the orders until then. */
        Instant directUntil{};
        Duration directDuration{0};
        Instant usedAt{};
    };

    const Route &routeTo(const OrderAddress &to);
    void chooseForwarder(const OrderAddress &to, Route &route) const;
    void suspend(const EntryId &node);
    /** @return what suspends @p node if it does not reply, and hands on what is known to @p done.
     */
    template <typename Reply>
    std::function<void(std::optional<Reply>)> suspendIfNoReply(EntryId node,
                                                               std::function<void(Reply)> done);
    void handleHoldOutcome(const WorkerId &worker, const EntryId &node, HoldReply::Outcome outcome);
    /** Forgets routes to workers that are gone. */
    void removeStaleRoutes();

    WorkerOrders &m_direct;
    GuardedTimers m_timers;
    std::size_t m_maxDirectWorkers;
    std::map<EntryId, ForwarderState> m_forwarders;
    std::unordered_map<WorkerId, Route> m_routes;
    Instant m_sweptAt{};
    uint64_t m_generation = 1;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Cranberrymount
