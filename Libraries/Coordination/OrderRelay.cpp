#include "Coordination/OrderRelay.h"

#include <glog/logging.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace Cranberrymount {

namespace {

/** A silent carrier gets no orders for this long; a frozen machine is back after some seconds. */
constexpr Duration CarrierPause{5000};
/** How long a worker that its carrier does not reach is called from here; doubles up to the
 * longest, since the path may be cut for good. */
constexpr Duration FirstDirectTime{3000};
constexpr Duration LongestDirectTime{60'000};
/** Routes that were not used for this long belong to workers that are gone. */
constexpr Duration RouteLife{30'000};
constexpr Duration SweepInterval{1000};

/**
 * Weighted rendezvous hashing: the carrier with the highest score has the worker, so that only the
 * workers of a carrier that comes or goes change theirs.
 */
double score(const EntryId &node, const WorkerId &worker, CpuMillis weight)
{
    const uint64_t seed = XXH64(node.value().data(), node.value().size(), 0);
    const uint64_t hash = XXH64(worker.value().data(), worker.value().size(), seed);
    constexpr double Range = 18446744073709551616.0; // 2^64
    const double uniform = (static_cast<double>(hash) + 0.5) / Range;
    return -static_cast<double>(std::max<int64_t>(1, weight.value())) / std::log(uniform);
}

} // namespace

OrderRelay::OrderRelay(WorkerOrders &direct, TimerService &timers, std::size_t mostDirect)
    : m_direct(direct)
    , m_timers(timers)
    , m_mostDirect(mostDirect)
{
}

void OrderRelay::addCarrier(const EntryId &node, Carrier carrier)
{
    m_carriers[node] = {std::make_shared<const Carrier>(std::move(carrier)), {}};
    ++m_generation;
}

void OrderRelay::removeCarrier(const EntryId &node)
{
    m_carriers.erase(node);
    ++m_generation;
}

void OrderRelay::choose(const OrderAddress &to, Route &route) const
{
    const Instant now = m_timers.now();
    std::pair<bool, double> best{false, 0};
    route.carrier = nullptr;
    route.generation = m_generation;
    for (const auto &[node, member] : m_carriers) {
        if (member.suspendedUntil > now)
            continue;
        const std::pair one{member.carrier->zone == to.zone,
                            score(node, to.worker, member.carrier->processor)};
        if (route.carrier && one <= best)
            continue;
        best = one;
        route.node = node;
        route.carrier = member.carrier;
    }
}

const OrderRelay::Route &OrderRelay::routeTo(const OrderAddress &to)
{
    static const Route Here;
    const Instant now = m_timers.now();
    if (now - m_sweptAt > SweepInterval)
        sweep();
    Route &route = m_routes[to.worker];
    route.usedAt = now;
    if (m_routes.size() <= m_mostDirect || route.directUntil > now)
        return Here;
    if (route.generation != m_generation)
        choose(to, route);
    return route;
}

void OrderRelay::hold(HoldCall call, std::function<void(HoldReply)> done)
{
    const Route &route = routeTo(call.to);
    if (!route.carrier)
        return m_direct.hold(std::move(call), std::move(done));
    const WorkerId worker = call.to.worker;
    route.carrier->hold(std::move(call),
                        [this, worker, node = route.node, done = std::move(done),
                         alive = std::weak_ptr(m_alive)](const std::optional<HoldReply> &reply) {
                            if (alive.expired())
                                return;
                            if (reply)
                                noteHold(worker, node, reply->outcome);
                            else
                                suspend(node);
                            done(reply.value_or(HoldReply()));
                        });
}

template <typename Reply>
std::function<void(std::optional<Reply>)> OrderRelay::suspending(EntryId node,
                                                                 std::function<void(Reply)> done)
{
    return [this, node = std::move(node), done = std::move(done),
            alive = std::weak_ptr(m_alive)](const std::optional<Reply> &reply) {
        if (alive.expired())
            return;
        if (!reply)
            suspend(node);
        done(reply.value_or(Reply()));
    };
}

void OrderRelay::start(StartCall call, std::function<void(StartReply)> done)
{
    const Route &route = routeTo(call.to);
    if (!route.carrier)
        return m_direct.start(std::move(call), std::move(done));
    route.carrier->start(std::move(call), suspending<StartReply>(route.node, std::move(done)));
}

void OrderRelay::stop(StopCall call, std::function<void(StopReply)> done)
{
    const Route &route = routeTo(call.to);
    if (!route.carrier)
        return m_direct.stop(std::move(call), std::move(done));
    route.carrier->stop(std::move(call), suspending<StopReply>(route.node, std::move(done)));
}

/** Leaves a silent carrier out; its workers get others at their next order. */
void OrderRelay::suspend(const EntryId &node)
{
    const auto found = m_carriers.find(node);
    const Instant now = m_timers.now();
    if (found == m_carriers.end() || found->second.suspendedUntil > now)
        return;
    LOG(INFO) << "event=carrier_suspended node=" << node.value();
    found->second.suspendedUntil = now + CarrierPause;
    ++m_generation;
    m_timers.after(CarrierPause, [this] { ++m_generation; });
}

void OrderRelay::noteHold(const WorkerId &worker, const EntryId &node, HoldReply::Outcome outcome)
{
    const auto found = m_routes.find(worker);
    if (found == m_routes.end() || found->second.node != node)
        return;
    Route &route = found->second;
    if (outcome != HoldReply::Unreachable) {
        route.directFor = Duration(0);
        return;
    }
    // Whether the worker or the way from the carrier is cut shows from here.
    route.directFor = std::clamp(route.directFor * 2, FirstDirectTime, LongestDirectTime);
    route.directUntil = m_timers.now() + route.directFor;
}

void OrderRelay::sweep()
{
    m_sweptAt = m_timers.now();
    std::erase_if(m_routes, [this](const auto &entry) {
        return m_sweptAt - entry.second.usedAt > RouteLife;
    });
}

} // namespace Cranberrymount
