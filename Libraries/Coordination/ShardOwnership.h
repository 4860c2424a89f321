#pragma once

#include "Coordination/MemberTable.h"
#include "Coordination/ShardController.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace Cranberrymount {

/**
 * Acquires the shards of this instance's zone and keeps those that it owns.
 *
 * An owner holds the key owner/SHARD in the store, attached to a store lease; the key's revision is
 * the shard's epoch. The key only limits who tries to own the shard: safety comes from the leases
 * that the workers grant and from the epoch that fences the record. An owner that loses the key
 * while the store is unavailable keeps its workers, and acquires the key again unless another
 * instance holds it.
 */
class ShardOwnership
{
public:
    struct Settings
    {
        EntryId self;
        ZoneId zone;
        Endpoint address;
        /** Distinguishes the incarnations of one entry. */
        std::string incarnation;
        Duration leaseTtl{4000};
        Duration period{500};
        /** Wait before acquiring a vacant shard, for each member that ranks higher for it. */
        Duration rankDelay{1500};
        /** All shards are released after this time without a response from the store. */
        Duration isolationBound{7'200'000};
        ShardController::Settings controller;
    };

    ShardOwnership(Store &store, WorkerLink &link, TimerService &timers, ShardContext &context,
                   MemberTable &members, Settings settings);

    void start();
    /** Applies the platform's worker list; @p shardOf maps each worker to its shard. */
    void setListed(InstanceListVersion version, const std::vector<WorkerInfo> &workers,
                   const std::function<ShardId(const WorkerInfo &)> &shardOf);
    void configurationChanged();
    /** Releases all shards, then the store lease, then calls @p done. */
    void releaseAll(std::function<void()> done);

    /** @return the ShardController of @p shard, or null if this instance does not own it. */
    ShardController *controller(const ShardId &shard) const;
    std::vector<ShardController *> controllers() const;
    bool hasStoreLease() const { return m_lease.has_value(); }

private:
    struct OwnedShard
    {
        std::unique_ptr<ShardController> controller;
        /** The store lease that the owner key is attached to. */
        StoreLeaseId lease;
    };

    void renewLease();
    void handleLeaseResponse(const StoreLease &answer);
    void acquireShards();
    bool isMyTurn(const ShardId &shard);
    /** @return the number of live members of this zone that are preferred as owner of @p shard. */
    std::size_t rank(const ShardId &shard) const;
    void acquire(const ShardId &shard);
    void readOwner(const ShardId &shard, StoreLeaseId lease);
    void onAcquired(const ShardId &shard, Epoch epoch, StoreLeaseId lease);
    void resign(const ShardId &shard);
    void resignIfIsolated();
    std::string ownerValue() const;

    Store &m_store;
    WorkerLink &m_link;
    TimerService &m_timers;
    ShardContext &m_context;
    MemberTable &m_members;
    Settings m_settings;
    std::optional<StoreLeaseId> m_lease;
    Instant m_storeAnsweredAt;
    bool m_isReleasing = false;
    std::map<ShardId, OwnedShard> m_owned;
    std::set<ShardId> m_acquiring;
    std::map<ShardId, Instant> m_vacantSince;
    std::map<ShardId, std::vector<WorkerInfo>> m_shards;
    InstanceListVersion m_listVersion;
};

/** @return the store key that names a shard's owner. */
std::string ownerKey(const ShardId &shard);

} // namespace Cranberrymount
