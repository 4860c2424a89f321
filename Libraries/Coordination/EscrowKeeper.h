#pragma once

#include "Protocol/Store.h"
#include "State/Configuration.h"
#include "Transport/TimerService.h"

#include <map>
#include <memory>

namespace Cranberrymount {

/**
 * One shard's slices of the teams' upper limits.
 *
 * The record of a team in the store holds its limit and the slice of each shard; every change is a
 * compare-and-swap that keeps the sum of the slices within the limit. A shard spends only what a
 * write of its own has confirmed, and gives up a part before it writes so. After a take-over every
 * record is written once before its slice counts, so that no late write of the former owner can
 * take effect afterwards.
 */
class EscrowKeeper
{
public:
    struct Settings
    {
        /** A surplus is given back after this time. */
        Duration surplusDelay{3000};
        Duration retryDelay{500};
    };

    EscrowKeeper(Store &store, TimerService &timers, const ShardId &shard, Settings settings);

    /** Takes the declared limits of @p configuration in. */
    void setLimits(const Configuration &configuration);
    /**
     * Tells what the shard uses of @p team's limit and what it could use at once.
     * @param need bounds what is used until the next update; the rest may be given up meanwhile.
     */
    void update(const TeamId &team, const Resources &used, const Resources &need);
    /** @return what the shard may use of @p team's limit. */
    Resources slice(const TeamId &team) const;
    /** Forgets all that was confirmed; slices count again once each is written anew. */
    void reset();

private:
    struct TeamSlice
    {
        Resources limit;
        Revision limitRevision;
        Resources used;
        Resources need;
        /** Bound that the shard keeps now. */
        Resources usable;
        /** The record as last read or written. */
        Revision revision;
        Revision recordLimitRevision;
        std::map<ShardId, Resources> slices;
        bool isRead = false;
        /** True if a write of this object was the last that is known of the record. */
        bool isConfirmed = false;
        bool isBusy = false;
        Instant nextTryAt;
        Instant surplusSince;
    };

    void advance(const TeamId &team);
    void readRecord(const TeamId &team);
    void applyRecord(TeamSlice &slice, const StoreRead &read);
    Resources desiredSlice(const TeamSlice &slice) const;
    void writeRecord(const TeamId &team, const Resources &ownSlice);

    Store &m_store;
    TimerService &m_timers;
    ShardId m_shard;
    Settings m_settings;
    std::map<TeamId, TeamSlice> m_teams;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/** @return the store key of a team's escrow record. */
std::string escrowKey(const TeamId &team);

} // namespace Cranberrymount
