#pragma once

#include "Decision/AdviceBook.h"
#include "Protocol/PlacementAdvisor.h"
#include "State/Ids.h"
#include "Transport/GuardedTimers.h"

#include <map>

namespace Cranberrymount {

/**
 * Spreads calls for advice over the nodes of the cell. The advisor serves one call at a time for
 * each calling machine, so that a short call must not queue behind a long one.
 */
class AdviceDesk
{
public:
    using CallFunction = std::function<void(AdviceCall, std::function<void(AdviceReply)>)>;

    explicit AdviceDesk(TimerService &timers);

    /** Adds a node that can call the advisor. */
    void addCaller(const EntryId &node, CallFunction callAdvisor);
    void removeCaller(const EntryId &node);

    /** @return how many calls tryCall() would take now. */
    AdviceRoom capacity() const;

    /**
     * Calls the advisor through the node that is free first.
     * @return false if every node that may take a call of this cost is busy; @p done is then not
     *         called, and the caller can choose anew what is most urgent once one is free
     */
    bool tryCall(AdviceCall call, Duration cost, std::function<void(AdviceReply)> done);

private:
    struct Caller
    {
        CallFunction callAdvisor;
        /** When the calls given to this node will have been served. */
        Instant busyUntil{};
    };

    /** @return how many callers are set aside for short calls; the first ones are. */
    std::size_t reservedCallers() const;

    TimerService &m_timers;
    std::map<EntryId, Caller> m_callers;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Cranberrymount
