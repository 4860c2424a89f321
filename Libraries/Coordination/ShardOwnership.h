#pragma once

#include "Coordination/MemberTable.h"
#include "Coordination/ShardKeeper.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace Cranberrymount {

/**
 * Which shards of its zone this instance owns.
 *
 * An owner holds the key owner/SHARD in the store, attached to a store lease; the key's revision is
 * the shard's epoch. The key is only a hint of who may try: workers are held by their own leases
 * and the record is fenced by its epoch. An owner that loses the key while the store is out keeps
 * its workers, and takes the key again if nobody else did.
 */
class ShardOwnership
{
public:
    struct Settings
    {
        EntryId self;
        ZoneId zone;
        Endpoint address;
        /** Tells two lives of one entry apart. */
        std::string incarnation;
        Duration leaseTtl{4000};
        Duration period{500};
        /** A vacant shard is left to better-placed members for this time each. */
        Duration rankDelay{1500};
        /** Hands shards back after this time without the store. */
        Duration isolationBound{7'200'000};
        ShardKeeper::Settings keeper;
    };

    ShardOwnership(Store &store, WorkerLink &link, TimerService &timers, ShardContext &context,
                   MemberTable &members, Settings settings);

    void start();
    /** Takes the platform's list in; @p shardOf names the shard of each worker. */
    void setListed(ListVersion version, const std::vector<WorkerInfo> &workers,
                   const std::function<ShardId(const WorkerInfo &)> &shardOf);
    void configurationChanged();
    void handBack(std::function<void()> done);

    /** @return the keeper of @p shard, or null if this instance does not own it. */
    ShardKeeper *keeper(const ShardId &shard) const;
    std::vector<ShardKeeper *> keepers() const;
    bool hasStoreLease() const { return m_lease.has_value(); }

private:
    struct OwnedShard
    {
        std::unique_ptr<ShardKeeper> keeper;
        /** The store lease that the owner key hangs on. */
        StoreLeaseId lease;
    };

    void renewLease();
    void handleLeaseAnswer(const StoreLease &answer);
    void acquireShards();
    bool isMyTurn(const ShardId &shard);
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
    ListVersion m_listVersion;
};

/** @return the store key that names a shard's owner. */
std::string ownerKey(const ShardId &shard);

} // namespace Cranberrymount
