#pragma once

#include "Decision/AdviceCache.h"
#include "Protocol/PlacementAdvisor.h"
#include "State/Ids.h"
#include "Transport/ScopedTimers.h"

#include <map>

namespace Cranberrymount {

/**
 * Distributes calls to the advisor over the nodes of the cell. The advisor serves one call at a
 * time for each calling machine, so a short call must not queue behind a long one.
 */
class AdviceCallScheduler
{
public:
    using CallFunction = std::function<void(AdviceCall, std::function<void(AdviceReply)>)>;

    explicit AdviceCallScheduler(TimerService &timers);

    /** Adds a node that can call the advisor. */
    void addCaller(const EntryId &node, CallFunction callAdvisor);
    void removeCaller(const EntryId &node);

    /** @return how many calls tryCall() would accept now. */
    AdviceCapacity capacity() const;

    /**
     * Calls the advisor through the node that becomes free first.
     * @param cost expected time that the advisor needs for the call
     * @return false if every node that may make a call of this cost is busy; @p done is then not
     *         called, and the caller can choose the most urgent call again once a node is free
     */
    bool tryCall(AdviceCall call, Duration cost, std::function<void(AdviceReply)> done);

private:
    struct Caller
    {
        CallFunction callAdvisor;
        /** When the advisor is expected to have served all calls assigned to this node. */
        Instant busyUntil{};
    };

    /** @return how many callers, counted from the first, are reserved for short calls; none if no
     * short call was made lately. */
    std::size_t reservedCallers() const;

    TimerService &m_timers;
    std::map<EntryId, Caller> m_callers;
    Instant m_lastShortCallAt;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Cranberrymount
