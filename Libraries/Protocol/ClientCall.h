#pragma once

#include "State/Workload.h"

#include <functional>
#include <string>

namespace Cranberrymount {

/** A call of a client that submits jobs, as the node received it. */
struct ClientCall
{
    enum Kind : uint8_t { Submit, Status, Cancel };
    Kind kind = Status;
    std::string host;
    std::string path;
    /** API key of the caller's team; empty if the call has none. */
    std::string key;
    /** The submitted job; only for @c Submit. */
    WorkflowSpec spec;
};

/** The reply to a @c ClientCall. */
struct ClientReply
{
    enum Outcome : uint8_t {
        Accepted,
        JobShown,
        QueueShown,
        Cancelled,
        /** No job with this id is known. */
        NoSuchJob,
        NoSuchQueue,
        UnknownKey,
        Malformed,
        /** Not run: there is more work than the cell can serve. */
        TooBusy,
        /** Not run: the cell cannot serve the call at present. */
        Unavailable,
        /** Not run: this node reaches no leader to serve the call; another node may. */
        Isolated,
        /** The call may have taken effect. */
        Undetermined,
    };
    Outcome outcome = Unavailable;
    JobState state = JobState::Queued;
    /** Number of waiting jobs, for @c QueueShown. */
    uint32_t pending = 0;
    /** Time after which the client may retry a refused call. */
    Duration retryAfter{0};
    std::string detail;
};

using ClientResponder = std::function<void(ClientReply)>;

} // namespace Cranberrymount
