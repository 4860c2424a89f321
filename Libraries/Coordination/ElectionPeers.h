#pragma once

#include "Protocol/CellMessages.h"
#include "State/Time.h"

#include <functional>
#include <optional>

namespace Cranberrymount {

/** What the election of the cell's leader needs of the links to the other nodes. */
class ElectionPeers
{
public:
    /** Heartbeats are sent five times a second; after this time three in a row are missing. */
    static constexpr Duration HeartbeatTimeout{700};

    virtual ~ElectionPeers() = default;

    /** Replaces the link to the leader by one to @p leader; unset closes it. */
    virtual void follow(std::optional<Endpoint> leader) = 0;
    virtual bool isLinked() const = 0;
    /** @return true if the last follow() could not connect, or its link broke. */
    virtual bool hasFailedToLink() const = 0;
    /** @return the last heartbeat received on the current link, if any. */
    virtual const std::optional<HeartbeatMessage> &heartbeat() const = 0;
    virtual Instant heartbeatAt() const = 0;
    virtual bool hasFollower(const EntryId &node) const = 0;
    /** Asks @p peer for its vote; @p done gets no value if it does not answer in time. */
    virtual void askVote(const Endpoint &peer, Revision claim,
                         std::function<void(std::optional<bool>)> done) = 0;
    /** Announces the leader to @p peer. */
    virtual void announce(const Endpoint &peer, const AnnouncementMessage &announcement) = 0;
};

} // namespace Cranberrymount
