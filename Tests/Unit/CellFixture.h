#pragma once

#include "CellSimulation.h"

#include <catch2/catch.hpp>

namespace Cranberrymount {

inline const Resources Small{CpuMillis(2'000), MemoryMb(4'000), AcceleratorCount(0)};
inline const Resources Large{CpuMillis(9'000), MemoryMb(4'000), AcceleratorCount(0)};

/** A cell with a ready leader; fails the test if a start has broken a rule. */
class CellFixture
{
protected:
    CellFixture()
    {
        m_cell.elect();
        REQUIRE(m_cell.runUntil([this] { return m_cell.leader().isReady(); }, Duration(1000)));
        m_cell.run(Duration(200));
    }
    ~CellFixture()
    {
        for (const std::string &violation : m_cell.violations)
            FAIL_CHECK(violation);
    }

    bool reachesState(const JobId &id, JobState state, Duration limit = Duration(20'000))
    {
        return m_cell.runUntil([&] { return m_cell.stateOf(id) == state; }, limit);
    }

    /** @return true if workers report @p count ends within 1.5 s while none can be written. */
    bool learnsUnwrittenEnds(std::size_t count)
    {
        return m_cell.runUntil([&] { return m_cell.leader().unwrittenEnds().size() == count; },
                               Duration(1500));
    }

    CellSimulation m_cell{1};
};

} // namespace Cranberrymount
