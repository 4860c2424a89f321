#include "Coordination/CommandRelay.h"

#include <glog/logging.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace Cranberrymount {

namespace {

/** An unresponsive forwarder gets no commands for this long; a frozen machine responds again after
 * some seconds. */
constexpr Duration ForwarderSuspension{5000};
/** How long this node itself calls a worker that its forwarder cannot reach; doubles up to the
 * maximum, since the path may be cut permanently. */
constexpr Duration MinDirectTime{3000};
constexpr Duration MaxDirectTime{60'000};
/** Routes that were not used for this long belong to workers that no longer exist. */
constexpr Duration RouteExpiry{30'000};
constexpr Duration SweepInterval{1000};

/**
 * Weighted rendezvous hashing: a worker is assigned to the forwarder with the highest score, so
 * that a forwarder that joins or leaves changes the assignment of its own workers only.
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

CommandRelay::CommandRelay(WorkerCommands &direct, TimerService &timers,
                           std::size_t maxDirectWorkers)
    : m_direct(direct)
    , m_timers(timers)
    , m_maxDirectWorkers(maxDirectWorkers)
{
}

void CommandRelay::addForwarder(const EntryId &node, Forwarder forwarder)
{
    m_forwarders[node] = {std::make_shared<const Forwarder>(std::move(forwarder)), {}};
    ++m_generation;
}

void CommandRelay::removeForwarder(const EntryId &node)
{
    m_forwarders.erase(node);
    ++m_generation;
}

void CommandRelay::chooseForwarder(const CommandTarget &to, Route &route) const
{
    const Instant now = m_timers.now();
    std::pair<bool, double> best{false, 0};
    route.forwarder = nullptr;
    route.generation = m_generation;
    for (const auto &[node, state] : m_forwarders) {
        if (state.suspendedUntil > now)
            continue;
        const std::pair candidate{state.forwarder->zone == to.zone,
                                  score(node, to.worker, state.forwarder->processor)};
        if (route.forwarder && candidate <= best)
            continue;
        best = candidate;
        route.node = node;
        route.forwarder = state.forwarder;
    }
}

const CommandRelay::Route &CommandRelay::routeTo(const CommandTarget &to)
{
    static const Route DirectRoute;
    const Instant now = m_timers.now();
    if (now - m_sweptAt > SweepInterval)
        removeStaleRoutes();
    Route &route = m_routes[to.worker];
    route.usedAt = now;
    if (m_routes.size() <= m_maxDirectWorkers || route.directUntil > now)
        return DirectRoute;
    if (route.generation != m_generation)
        chooseForwarder(to, route);
    return route;
}

void CommandRelay::hold(HoldCall call, std::function<void(HoldReply)> done)
{
    const Route &route = routeTo(call.to);
    if (!route.forwarder)
        return m_direct.hold(std::move(call), std::move(done));
    const WorkerId worker = call.to.worker;
    route.forwarder->hold(std::move(call),
                          [this, worker, node = route.node, done = std::move(done),
                           alive = std::weak_ptr(m_alive)](const std::optional<HoldReply> &reply) {
                              if (alive.expired())
                                  return;
                              if (reply)
                                  handleHoldOutcome(worker, node, reply->outcome);
                              else
                                  suspend(node);
                              done(reply.value_or(HoldReply()));
                          });
}

template <typename Reply>
std::function<void(std::optional<Reply>)>
CommandRelay::suspendIfNoReply(EntryId node, std::function<void(Reply)> done)
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

void CommandRelay::start(StartCall call, std::function<void(StartReply)> done)
{
    const Route &route = routeTo(call.to);
    if (!route.forwarder)
        return m_direct.start(std::move(call), std::move(done));
    route.forwarder->start(std::move(call),
                           suspendIfNoReply<StartReply>(route.node, std::move(done)));
}

void CommandRelay::stop(StopCall call, std::function<void(StopReply)> done)
{
    const Route &route = routeTo(call.to);
    if (!route.forwarder)
        return m_direct.stop(std::move(call), std::move(done));
    route.forwarder->stop(std::move(call),
                          suspendIfNoReply<StopReply>(route.node, std::move(done)));
}

/** Stops using an unresponsive forwarder for a while; its workers are reassigned with their next
 * command. */
void CommandRelay::suspend(const EntryId &node)
{
    const auto found = m_forwarders.find(node);
    const Instant now = m_timers.now();
    if (found == m_forwarders.end() || found->second.suspendedUntil > now)
        return;
    LOG(INFO) << "event=carrier_suspended node=" << node.value();
    found->second.suspendedUntil = now + ForwarderSuspension;
    ++m_generation;
    m_timers.after(ForwarderSuspension, [this] { ++m_generation; });
}

void CommandRelay::handleHoldOutcome(const WorkerId &worker, const EntryId &node,
                                     HoldReply::Outcome outcome)
{
    const auto found = m_routes.find(worker);
    if (found == m_routes.end() || found->second.node != node)
        return;
    Route &route = found->second;
    if (outcome != HoldReply::Unreachable) {
        route.directDuration = Duration(0);
        return;
    }
    // Direct calls show whether the worker itself or only the path from the forwarder is cut.
    route.directDuration = std::clamp(route.directDuration * 2, MinDirectTime, MaxDirectTime);
    route.directUntil = m_timers.now() + route.directDuration;
}

void CommandRelay::removeStaleRoutes()
{
    m_sweptAt = m_timers.now();
    std::erase_if(m_routes, [this](const auto &entry) {
        return m_sweptAt - entry.second.usedAt > RouteExpiry;
    });
}

} // namespace Cranberrymount
