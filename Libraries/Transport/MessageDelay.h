#pragma once

#include "State/Time.h"

#include <algorithm>
#include <optional>

namespace Cranberrymount {

/**
 * Measures how much later than the fastest message so far each message of one link arrives. The
 * clocks of the two ends need not be synchronized; they only have to run at the same rate.
 */
class MessageDelay
{
public:
    /**
     * Records a message.
     * @param sentAt on the sender's clock.
     * @param receivedAt on the receiver's clock.
     * @return how much longer the message took than the fastest one; unset for the first message.
     */
    std::optional<Duration> measure(Duration sentAt, Duration receivedAt)
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
