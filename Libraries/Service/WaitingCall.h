#pragma once

#include "Protocol/ClientCall.h"
#include "State/Time.h"

namespace Cranberrymount {

/** A submitter's call that an entry has not answered yet. */
struct WaitingCall
{
    ClientCall call;
    ClientRespond respond;
    Instant deadline{};
    /** A leader may have taken it in. */
    bool wasSent = false;

    /** @return true if a refusal would claim more than the entry knows. */
    bool mayHaveRun() const;

    /** Answers the submitter. A later leader's refusal does not rule out that an earlier one
     * stored the job, so that such a submission stays undetermined. */
    void answer(ClientReply reply) const;
};

} // namespace Cranberrymount
