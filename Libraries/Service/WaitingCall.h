#pragma once

#include "Protocol/ClientCall.h"
#include "State/Time.h"

namespace Cranberrymount {

/** @return true if the outcome says that the call did not run. */
bool isRefusal(ClientReply::Outcome outcome);

/** A submitter's call to which this node has not responded yet. */
struct WaitingCall
{
    ClientCall call;
    ClientResponder respond;
    Instant deadline{};
    /** True if the call was sent to a leader whose reply left its outcome open. */
    bool wasSent = false;

    /** @return true if the call may have taken effect and must not be reported as refused. */
    bool mayHaveRun() const;

    /** Responds to the submitter. A submission that was sent to an earlier leader is reported as
     * undetermined if a later leader refuses it, since the earlier one may have stored the job. */
    void answer(ClientReply reply) const;
};

} // namespace Cranberrymount
