#include "Coordination/SlotTable.h"

#include <algorithm>

namespace Cranberrymount {

SlotTable::SlotTable(std::size_t maxWaiting)
    : m_maxWaiting(maxWaiting)
{
}

void SlotTable::setTargets(const std::vector<SlotTarget> &targets)
{
    const std::lock_guard lock(m_mutex);
    m_targets = targets;
}

bool SlotTable::isUsable(const SlotTarget &target, Instant now) const
{
    if (now < target.usableFrom || now >= target.usableUntil)
        return false;
    const auto suspect = m_suspectUntil.find(target.worker);
    return suspect == m_suspectUntil.end() || suspect->second <= now;
}

uint32_t SlotTable::freeSlotsOf(const SlotTarget &target) const
{
    const auto found = m_inUse.find(target.worker);
    const uint32_t used = found == m_inUse.end() ? 0 : found->second;
    return used >= target.slots ? 0 : target.slots - used;
}

std::optional<Slot> SlotTable::takeFreeSlot(Instant now, const std::set<WorkerId> &excluded)
{
    const SlotTarget *best = nullptr;
    uint32_t mostFree = 0;
    // Begins at another target after each slot taken, so that equally loaded targets take turns.
    for (std::size_t offset = 0; offset < m_targets.size(); ++offset) {
        const SlotTarget &target = m_targets[(m_next + offset) % m_targets.size()];
        const uint32_t free = freeSlotsOf(target);
        if (free <= mostFree || !isUsable(target, now) || excluded.contains(target.worker))
            continue;
        best = &target;
        mostFree = free;
    }
    if (!best)
        return std::nullopt;
    ++m_next;
    ++m_inUse[best->worker];
    return Slot{best->worker, best->url, best->epoch};
}

bool SlotTable::canServeLocked(Instant deadline, const std::set<WorkerId> &excluded) const
{
    return std::any_of(m_targets.begin(), m_targets.end(), [&](const SlotTarget &target) {
        const auto suspect = m_suspectUntil.find(target.worker);
        const bool isSuspicionOver = suspect == m_suspectUntil.end() || suspect->second < deadline;
        return isSuspicionOver && target.usableFrom < deadline && !excluded.contains(target.worker);
    });
}

bool SlotTable::canServe(Instant deadline, const std::set<WorkerId> &excluded) const
{
    const std::lock_guard lock(m_mutex);
    return canServeLocked(deadline, excluded);
}

void SlotTable::take(Instant now, const SlotWait &wait, const std::set<WorkerId> &excluded,
                     Granted granted)
{
    std::optional<Slot> slot;
    {
        const std::lock_guard lock(m_mutex);
        if (m_waiters.empty())
            slot = takeFreeSlot(now, excluded);
        const bool mayWait = now < wait.deadline && m_waiters.size() < m_maxWaiting
            && (wait.forNewTargets || canServeLocked(wait.deadline, excluded));
        if (!slot && mayWait) {
            m_waiters.push_back({wait, excluded, std::move(granted)});
            return;
        }
    }
    granted(std::move(slot));
}

void SlotTable::decrementInUse(const WorkerId &worker)
{
    const auto found = m_inUse.find(worker);
    if (found != m_inUse.end() && --found->second == 0)
        m_inUse.erase(found);
}

std::vector<std::function<void()>> SlotTable::serveWaiters(Instant now)
{
    std::vector<std::function<void()>> calls;
    while (!m_waiters.empty()) {
        Waiter &first = m_waiters.front();
        std::optional<Slot> slot;
        if (first.wait.deadline > now) {
            slot = takeFreeSlot(now, first.excluded);
            if (!slot)
                break;
        }
        calls.emplace_back([granted = std::move(first.granted), slot] { granted(slot); });
        m_waiters.pop_front();
    }
    return calls;
}

void SlotTable::release(const Slot &slot, Instant now)
{
    std::vector<std::function<void()>> calls;
    {
        const std::lock_guard lock(m_mutex);
        decrementInUse(slot.worker);
        calls = serveWaiters(now);
    }
    for (const auto &call : calls)
        call();
}

void SlotTable::releaseLater(const Slot &slot, Instant until)
{
    const std::lock_guard lock(m_mutex);
    m_delayedReleases.emplace_back(until, slot.worker);
}

void SlotTable::expire(Instant now)
{
    std::vector<std::function<void()>> calls;
    {
        const std::lock_guard lock(m_mutex);
        std::erase_if(m_delayedReleases, [&](const auto &delayed) {
            if (delayed.first > now)
                return false;
            decrementInUse(delayed.second);
            return true;
        });
        std::erase_if(m_suspectUntil, [now](const auto &item) { return item.second <= now; });
        calls = serveWaiters(now);
        std::erase_if(m_waiters, [&](Waiter &waiter) {
            const bool keepsWaiting = waiter.wait.deadline > now
                && (waiter.wait.forNewTargets
                    || canServeLocked(waiter.wait.deadline, waiter.excluded));
            if (keepsWaiting)
                return false;
            calls.emplace_back([granted = std::move(waiter.granted)] { granted(std::nullopt); });
            return true;
        });
    }
    for (const auto &call : calls)
        call();
}

void SlotTable::suspect(const WorkerId &worker, Instant until)
{
    const std::lock_guard lock(m_mutex);
    m_suspectUntil[worker] = until;
}

std::size_t SlotTable::freeSlots(Instant now) const
{
    const std::lock_guard lock(m_mutex);
    std::size_t free = 0;
    for (const SlotTarget &target : m_targets) {
        if (isUsable(target, now))
            free += freeSlotsOf(target);
    }
    return free;
}

std::size_t SlotTable::slotsInUse() const
{
    const std::lock_guard lock(m_mutex);
    std::size_t used = 0;
    for (const auto &[worker, count] : m_inUse)
        used += count;
    return used;
}

std::size_t SlotTable::waiting() const
{
    const std::lock_guard lock(m_mutex);
    return m_waiters.size();
}

} // namespace Cranberrymount
