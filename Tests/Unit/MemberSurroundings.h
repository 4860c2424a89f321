#pragma once

#include "MemoryStore.h"

#include "Coordination/Leadership.h"
#include "Coordination/PeerHub.h"
#include "Coordination/ResendPolicy.h"
#include "Transport/AsioTimerService.h"

#include <asio/io_context.hpp>

namespace Cranberrymount {

/** What the leadership of a member that knows no other node needs besides the store; base of
 * fixtures. */
class MemberSurroundings
{
protected:
    static CellMember member() { return {EntryId("n"), {"127.0.0.1", 2}, CpuMillis(1000)}; }

    EventQueue m_events;
    EventQueueTimers m_timers{m_events};
    ResendPolicy m_resends{m_timers};
    asio::io_context m_context{1};
    AsioTimerService m_peerTimers{m_context};
    PeerHub m_peers{m_context,
                    m_peerTimers,
                    {EntryId("n"), CpuMillis(1000), {}},
                    {"127.0.0.1", 0},
                    PeerHub::Handlers{}};
};

} // namespace Cranberrymount
