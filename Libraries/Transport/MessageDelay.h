#pragma once

#include "State/Time.h"

#include <algorithm>
#include <optional>

namespace Cranberrymount {

/**
 * Tells how late the messages of one link come, though the clocks of its ends have nothing in
 * common but their rate: against the quickest message so far.
 */
class MessageDelay
{
public:
    /**
     * Takes a message in.
     * @param sentAt on the sender's clock.
     * @param receivedAt on the receiver's clock.
     * @return by how much longer it took than the quickest; unset for the first one.
     */
    std::optional<Duration> note(Duration sentAt, Duration receivedAt)
    {
        const Duration difference = receivedAt - sentAt;
        if (!m_minDifference) {
            m_minDifference = difference;
            return std::nullopt;
        }
        m_minDifference = std::min(*m_minDifference, difference);
        return difference - *m_minDifference;
    }

private:
    std::optional<Duration> m_minDifference;
};

} // namespace Cranberrymount
