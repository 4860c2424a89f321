#pragma once

#include "State/Workload.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Cranberrymount {

/**
 * For each attempt of a task that starts after an earlier one: the time since that one ended at its
 * worker. Attempts that end with their worker don't count.
 */
class AttemptGaps
{
public:
    struct Gap
    {
        /** Negative if the earlier attempt still ran. */
        Duration time{0};
        /** The earlier attempt ended because its lease was over: nothing but a margin of time
         * separates the two. */
        bool isAfterLapse = false;
        /** Describes the later attempt. */
        std::string start;
    };

    void recordEnd(const TaskKey &task, Instant endedAt, bool isLapse)
    {
        m_ends[task] = {endedAt, isLapse};
    }

    /** Records a start beside an attempt that would end at @p endsAt. */
    void recordOverlap(Instant startedAt, Instant endsAt, bool isLapse, std::string start)
    {
        m_gaps.push_back({between(endsAt, startedAt), isLapse, std::move(start)});
    }

    void recordStart(const TaskKey &task, Instant startedAt, const std::string &start)
    {
        const auto found = m_ends.find(task);
        if (found != m_ends.end()) {
            m_gaps.push_back({between(found->second.at, startedAt), found->second.isLapse, start});
            m_ends.erase(found);
        }
    }

    const std::vector<Gap> &all() const { return m_gaps; }

    /** @return the smallest gap, of those after a lapse only if @p onlyAfterLapse; unset if
     * there is none. */
    std::optional<Gap> smallest(bool onlyAfterLapse) const
    {
        std::optional<Gap> smallest;
        for (const Gap &gap : m_gaps) {
            if ((gap.isAfterLapse || !onlyAfterLapse) && (!smallest || gap.time < smallest->time))
                smallest = gap;
        }
        return smallest;
    }

private:
    struct End
    {
        Instant at{};
        bool isLapse = false;
    };

    static Duration between(Instant from, Instant to)
    {
        return std::chrono::duration_cast<Duration>(to - from);
    }

    std::map<TaskKey, End> m_ends;
    std::vector<Gap> m_gaps;
};

} // namespace Cranberrymount
