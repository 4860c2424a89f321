#pragma once

#include "Protocol/PeerMessages.h"

#include <functional>

namespace Cranberrymount {

/** The outcome of a call to a peer. */
struct PeerResult
{
    enum Outcome {
        Answered,
        /** No byte of the call left this process. */
        NotSent,
        /** The call was sent and no reply arrived; the peer may have executed it. */
        Unknown,
    };
    Outcome outcome = NotSent;
    /** The reply, after @c Answered. */
    PeerMessage message = {};
};

/** Sends messages between entry instances. @c TcpPeerNetwork is the adapter for TCP. */
class PeerNetwork
{
public:
    virtual ~PeerNetwork() = default;

    /** Sends a message that gets no reply and may be lost. */
    virtual void send(const Endpoint &peer, PeerMessage message) = 0;
    /** Sends a call; @p done gets its reply, or another outcome after @p timeout at the latest. */
    virtual void call(const Endpoint &peer, PeerMessage message, const std::string &trace,
                      Duration timeout, std::function<void(PeerResult)> done) = 0;
};

} // namespace Cranberrymount
