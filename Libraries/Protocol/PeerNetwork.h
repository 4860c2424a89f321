#pragma once

#include "Protocol/PeerMessages.h"

#include <functional>

namespace Cranberrymount {

/** What became of a call to a peer. */
struct PeerResult
{
    enum Outcome {
        Answered,
        /** No byte of the call left this process. */
        NotSent,
        Unknown,
    };
    Outcome outcome = NotSent;
    PeerMessage message = {};
};

/** Messages between entry instances. The adapter over TCP is @c TcpPeerNetwork. */
class PeerNetwork
{
public:
    virtual ~PeerNetwork() = default;

    /** Sends without an answer; may be lost. */
    virtual void send(const Endpoint &peer, PeerMessage message) = 0;
    /** Calls and gets one answer within @p timeout. */
    virtual void call(const Endpoint &peer, PeerMessage message, const std::string &trace,
                      Duration timeout, std::function<void(PeerResult)> done) = 0;
};

} // namespace Cranberrymount
