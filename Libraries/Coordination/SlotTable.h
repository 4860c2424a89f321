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
    /** Requests of the lease's former holder may still run until then. */
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
    /** Wait even if no present target can provide a slot by then, since targets may be added. */
    bool forNewTargets = false;
};

/**
 * The slots of the targets whose leases this instance holds; they are counted nowhere else.
 *
 * Thread-safe: the control thread updates the targets, traffic threads take and release slots.
 */
class SlotTable
{
public:
    using Granted = std::function<void(std::optional<Slot>)>;

    explicit SlotTable(std::size_t maxWaiting);

    /** Replaces the targets; slots in use remain counted until they are released. */
    void setTargets(const std::vector<SlotTarget> &targets);
    /**
     * Takes a slot of a target that is not in @p excluded, at once or when one is released.
     * @param granted receives the slot, or nothing if none became free in time, no target can
     * provide one, or too many requests are waiting already.
     */
    void take(Instant now, const SlotWait &wait, const std::set<WorkerId> &excluded,
              Granted granted);
    /** @return true if any target not in @p excluded may provide a slot before @p deadline. */
    bool canServe(Instant deadline, const std::set<WorkerId> &excluded) const;
    void release(const Slot &slot, Instant now);
    /** Releases the slot at @p until, since its request may still run at the target. */
    void releaseLater(const Slot &slot, Instant until);
    /** Releases the slots whose delayed release is due, and rejects waiting requests whose deadline
     * has passed or that no target can serve any more. */
    void expire(Instant now);
    /** Takes no slots of @p worker before @p until, since it could not be reached. */
    void suspect(const WorkerId &worker, Instant until);

    std::size_t freeSlots(Instant now) const;
    std::size_t slotsInUse() const;
    /** @return the number of requests that wait for a slot. */
    std::size_t waiting() const;

private:
    struct Waiter
    {
        SlotWait wait;
        std::set<WorkerId> excluded;
        Granted granted;
    };

    std::optional<Slot> takeFreeSlot(Instant now, const std::set<WorkerId> &excluded);
    /** As canServe(); the caller holds the lock. */
    bool canServeLocked(Instant deadline, const std::set<WorkerId> &excluded) const;
    bool isUsable(const SlotTarget &target, Instant now) const;
    uint32_t freeSlotsOf(const SlotTarget &target) const;
    void decrementInUse(const WorkerId &worker);
    /** Takes slots for waiting requests. @return callbacks to run after the lock is released. */
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
