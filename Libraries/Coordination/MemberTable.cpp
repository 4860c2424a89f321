#include "Coordination/MemberTable.h"

namespace Cranberrymount {

namespace {

/** A member without a heartbeat for this long has been replaced; its address is no longer used. */
constexpr Duration MemberExpiry{600'000};

} // namespace

MemberTable::MemberTable(EntryId self, Duration livenessTimeout)
    : m_self(std::move(self))
    , m_livenessTimeout(livenessTimeout)
{
}

void MemberTable::addAddress(const Endpoint &address)
{
    m_addresses.insert(address);
}

void MemberTable::recordHeartbeat(const Heartbeat &heartbeat, Instant now)
{
    if (heartbeat.from == m_self)
        return;
    m_members[heartbeat.from] = {heartbeat, now};
}

std::vector<Endpoint> MemberTable::addresses(Instant now) const
{
    std::set<Endpoint> addresses = m_addresses;
    for (const auto &[id, member] : m_members) {
        if (now - member.receivedAt < MemberExpiry)
            addresses.insert(member.heartbeat.address);
    }
    return {addresses.begin(), addresses.end()};
}

std::vector<Member> MemberTable::alive(Instant now) const
{
    std::vector<Member> members;
    for (const auto &[id, member] : m_members) {
        if (now - member.receivedAt <= m_livenessTimeout)
            members.push_back(member);
    }
    return members;
}

std::optional<Member> MemberTable::ownerOf(const ShardId &shard, Instant now) const
{
    std::optional<Member> owner;
    Epoch highest;
    for (const Member &member : alive(now)) {
        for (const ShardSummary &summary : member.heartbeat.shards) {
            if (summary.shard != shard || summary.epoch < highest)
                continue;
            highest = summary.epoch;
            owner = member;
        }
    }
    return owner;
}

} // namespace Cranberrymount
