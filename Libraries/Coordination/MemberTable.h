#pragma once

#include "Protocol/PeerMessages.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Cranberrymount {

/** Another entry instance, as its latest heartbeat describes it. */
struct Member
{
    Heartbeat heartbeat;
    Instant receivedAt;
};

/**
 * The other entry instances. Addresses come from the settings and from heartbeats; liveness comes
 * from heartbeats alone, so that it does not depend on the store.
 */
class MemberTable
{
public:
    MemberTable(EntryId self, Duration livenessTimeout);

    /** Adds an address from the settings; it gets heartbeats for as long as this process runs. */
    void addAddress(const Endpoint &address);
    void recordHeartbeat(const Heartbeat &heartbeat, Instant now);

    /** @return all addresses to send heartbeats to. */
    std::vector<Endpoint> addresses(Instant now) const;
    /** @return members whose latest heartbeat is no older than the liveness timeout. */
    std::vector<Member> alive(Instant now) const;
    /** @return the live member that reports @p shard with the highest epoch, if there is one. */
    std::optional<Member> ownerOf(const ShardId &shard, Instant now) const;

private:
    EntryId m_self;
    Duration m_livenessTimeout;
    std::set<Endpoint> m_addresses;
    std::map<EntryId, Member> m_members;
};

} // namespace Cranberrymount
