#include "Coordination/AdviceCallScheduler.h"

#include <algorithm>

namespace Cranberrymount {

namespace {

/** One of this many callers is reserved for short calls. */
constexpr std::size_t CallersPerReservedCaller = 4;
/** Without a short call for this long, long calls may use all callers. */
constexpr Duration ShortCallReserveTime{5000};
/** Added to a call's timeout: a round trip through a peer, and a margin for a busy node. */
constexpr Duration RelayAllowance{400};
/** A caller whose call failed counts as busy for this long, so that others are tried first. */
constexpr Duration FailurePenalty{1500};
/** A node accepts its next call this long before it becomes free, to cover the transit time. A
 * short call may queue behind a few short ones, so that the node is not idle between them. */
constexpr Duration LongOverlap{15};
constexpr Duration ShortOverlap{60};
/** Cost of a lookup's call about some 30 workers, by the users' deployment files. */
constexpr Duration TypicalShortCallCost{15};

} // namespace

AdviceCallScheduler::AdviceCallScheduler(TimerService &timers)
    : m_timers(timers)
    , m_lastShortCallAt(timers.now())
{
}

void AdviceCallScheduler::addCaller(const EntryId &node, CallFunction callAdvisor)
{
    m_callers[node] = {std::move(callAdvisor), m_timers.now()};
}

void AdviceCallScheduler::removeCaller(const EntryId &node)
{
    m_callers.erase(node);
}

std::size_t AdviceCallScheduler::reservedCallers() const
{
    if (m_timers.now() - m_lastShortCallAt > ShortCallReserveTime)
        return 0;
    return m_callers.size() / CallersPerReservedCaller;
}

AdviceCapacity AdviceCallScheduler::capacity() const
{
    const Instant now = m_timers.now();
    AdviceCapacity capacity;
    capacity.longCallers = m_callers.size() - reservedCallers();
    std::size_t position = 0;
    for (const auto &[node, caller] : m_callers) {
        const bool isReserved = position++ < reservedCallers();
        capacity.longCalls += !isReserved && caller.busyUntil <= now + LongOverlap;
        const auto backlog = std::max(caller.busyUntil, now) - now;
        if (backlog <= ShortOverlap)
            capacity.shortCalls +=
                1 + static_cast<std::size_t>((ShortOverlap - backlog) / TypicalShortCallCost);
    }
    return capacity;
}

bool AdviceCallScheduler::tryCall(AdviceCall call, Duration cost,
                                  std::function<void(AdviceReply)> done)
{
    const Instant now = m_timers.now();
    const bool isLong = cost > LongAdviceCallThreshold;
    if (!isLong)
        m_lastShortCallAt = now;
    Caller *best = nullptr;
    EntryId bestNode;
    std::size_t position = 0;
    for (auto &[node, caller] : m_callers) {
        const bool isReserved = position++ < reservedCallers();
        if (caller.busyUntil > now + (isLong ? LongOverlap : ShortOverlap))
            continue;
        if (isReserved && isLong)
            continue;
        if (!best || std::max(caller.busyUntil, now) < std::max(best->busyUntil, now)) {
            best = &caller;
            bestNode = node;
        }
    }
    if (!best)
        return false;
    best->busyUntil = std::max(best->busyUntil, now) + cost;
    call.timeout = std::chrono::duration_cast<Duration>(best->busyUntil - now) + RelayAllowance;
    best->callAdvisor(std::move(call),
                      [this, bestNode, done = std::move(done),
                       alive = std::weak_ptr(m_alive)](AdviceReply reply) {
                          if (alive.expired())
                              return;
                          const auto found = m_callers.find(bestNode);
                          if (found != m_callers.end() && !reply.answered)
                              found->second.busyUntil = m_timers.now() + FailurePenalty;
                          done(std::move(reply));
                      });
    return true;
}

} // namespace Cranberrymount
