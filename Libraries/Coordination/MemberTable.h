#pragma once

#include "Protocol/PeerMessages.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Cranberrymount {

/** Another entry instance, as its heartbeats show it. */
struct Member
{
    Heartbeat heartbeat;
    Instant receivedAt;
};

/**
 * The other entry instances. Addresses come from the settings and from heartbeats; who is alive
 * comes from heartbeats alone, so that it needs no store.
 */
class MemberTable
{
public:
    MemberTable(EntryId self, Duration livenessTimeout);

    /** Adds an address from the settings, which is greeted for ever. */
    void addAddress(const Endpoint &address);
    void heard(const Heartbeat &heartbeat, Instant now);

    /** @return all addresses that heartbeats go to. */
    std::vector<Endpoint> addresses(Instant now) const;
    /** @return members that were heard within the silence bound. */
    std::vector<Member> alive(Instant now) const;
    /** @return the member that claims @p shard with the highest epoch, if one is alive. */
    std::optional<Member> ownerOf(const ShardId &shard, Instant now) const;

private:
    EntryId m_self;
    Duration m_livenessTimeout;
    std::set<Endpoint> m_addresses;
    std::map<EntryId, Member> m_members;
};

} // namespace Cranberrymount
