#pragma once

#include "State/Workload.h"

#include <functional>
#include <string>

namespace Cranberrymount {

/** A submitter's call, as an entry took it in. */
struct ClientCall
{
    enum Kind : uint8_t { Submit, Status, Cancel };
    Kind kind = Status;
    std::string host;
    std::string path;
    /** Key of the caller's team; empty if none came. */
    std::string key;
    /** For @c Submit. */
    WorkflowSpec spec;
};

/** The answer to a submitter's call. */
struct ClientReply
{
    enum Outcome : uint8_t {
        Accepted,
        JobShown,
        QueueShown,
        Cancelled,
        /** No such job is known. */
        NoSuchJob,
        NoSuchQueue,
        UnknownKey,
        Malformed,
        /** Not run: there is more work than can be served. */
        TooBusy,
        /** Not run: the cell cannot take the call now. */
        Unavailable,
        /** Not run: this node reaches nobody who could take the call; another one may. */
        Isolated,
        /** The call may have taken effect. */
        Undetermined,
    };
    Outcome outcome = Unavailable;
    JobState state = JobState::Queued;
    /** Jobs that wait, for @c QueueShown. */
    uint32_t pending = 0;
    /** When to come back after a refusal. */
    Duration retryAfter{0};
    std::string detail;
};

using ClientRespond = std::function<void(ClientReply)>;

} // namespace Cranberrymount
