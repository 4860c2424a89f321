#include "Service/WaitingCall.h"

namespace Cranberrymount {

bool isRefusal(ClientReply::Outcome outcome)
{
    switch (outcome) {
    case ClientReply::NoSuchQueue:
    case ClientReply::UnknownKey:
    case ClientReply::Malformed:
    case ClientReply::TooBusy:
    case ClientReply::Unavailable:
    case ClientReply::Isolated:
        return true;
    default:
        return false;
    }
}

bool WaitingCall::mayHaveRun() const
{
    return wasSent && call.kind != ClientCall::Status;
}

void WaitingCall::answer(ClientReply reply) const
{
    if (wasSent && call.kind == ClientCall::Submit && isRefusal(reply.outcome)) {
        reply.outcome = ClientReply::Undetermined;
        reply.detail =
            "an earlier leader may have stored the job; reply of a later one: " + reply.detail;
    }
    respond(std::move(reply));
}

} // namespace Cranberrymount
