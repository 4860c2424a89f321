#pragma once

#include "State/Time.h"
#include "State/Worker.h"

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace Cranberrymount {

/** A target whose slots this instance hands out, since it holds the worker's lease. */
struct SlotTarget
{
    WorkerId worker;
    std::string url;
    uint32_t slots = 0;
    Epoch epoch;
    /** A former holder's requests may still run before this point. */
    Instant usableFrom;
    /** End of the worker's lease. */
    Instant usableUntil;
};

/** One slot of one target, taken for one request. */
struct Slot
{
    WorkerId worker;
    std::string url;
    Epoch epoch;
};

/** How a request waits if no slot is free. */
struct SlotWait
{
    Instant deadline;
    /** Wait also while no target could give a slot by then, since targets may come. */
    bool forNewTargets = false;
};

/**
 * The slots of the targets whose leases this instance holds; the only place that counts them.
 *
 * Safe to use from any thread: control updates the targets, traffic takes and gives back slots.
 */
class SlotTable
{
public:
    using Granted = std::function<void(std::optional<Slot>)>;

    explicit SlotTable(std::size_t maxWaiting);

    /** Replaces the targets; slots in use stay counted until they are given back. */
    void setTargets(const std::vector<SlotTarget> &targets);
    /**
     * Gives a slot of a target that is not in @p excluded, at once or when one is given back.
     * @p granted gets nothing if none came free in time, none can, or too many wait already.
     */
    void take(Instant now, const SlotWait &wait, const std::set<WorkerId> &excluded,
              Granted granted);
    /** @return true if some target could give a slot by @p deadline. */
    bool canServe(Instant deadline, const std::set<WorkerId> &excluded) const;
    void giveBack(const Slot &slot, Instant now);
    /** Keeps the slot counted until @p until, since its request may still run at the target. */
    void giveBackLater(const Slot &slot, Instant until);
    /** Ends waits whose deadline has passed and slots that were kept. */
    void expire(Instant now);
    /** Keeps requests off a target for a while after it could not be reached. */
    void suspect(const WorkerId &worker, Instant until);

    std::size_t freeSlots(Instant now) const;
    std::size_t slotsInUse() const;
    std::size_t waiting() const;

private:
    struct Waiter
    {
        SlotWait wait;
        std::set<WorkerId> excluded;
        Granted granted;
    };

    std::optional<Slot> takeFreeSlot(Instant now, const std::set<WorkerId> &excluded);
    bool canServeLocked(Instant deadline, const std::set<WorkerId> &excluded) const;
    bool isUsable(const SlotTarget &target, Instant now) const;
    uint32_t freeSlotsOf(const SlotTarget &target) const;
    void decrementInUse(const WorkerId &worker);
    /** Takes slots for waiters and returns what to call once the lock is released. */
    std::vector<std::function<void()>> serveWaiters(Instant now);

    mutable std::mutex m_mutex;
    std::size_t m_maxWaiting;
    std::vector<SlotTarget> m_targets;
    std::map<WorkerId, uint32_t> m_inUse;
    std::map<WorkerId, Instant> m_suspectUntil;
    std::vector<std::pair<Instant, WorkerId>> m_delayedReleases;
    std::deque<Waiter> m_waiters;
    std::size_t m_next = 0;
};

} // namespace Cranberrymount
