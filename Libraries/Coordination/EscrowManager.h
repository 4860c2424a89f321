#pragma once

#include "Protocol/Store.h"
#include "State/Configuration.h"
#include "Transport/TimerService.h"

#include <map>
#include <memory>

namespace Cranberrymount {

/**
 * Manages one shard's slices of the teams' resource limits.
 *
 * The store has a record for each team with its limit and the slice of each shard. Every change is
 * a compare-and-swap that keeps the sum of the slices within the limit. A shard uses only what its
 * own writes have confirmed, and stops using a part before it writes the smaller slice. After a
 * takeover, a slice is valid only once its record has been written, so that no late write of the
 * former owner can take effect afterwards.
 */
class EscrowManager
{
public:
    struct Settings
    {
        /** A surplus is released after it has lasted this long. */
        Duration surplusDelay{3000};
        Duration retryDelay{500};
    };

    EscrowManager(Store &store, TimerService &timers, const ShardId &shard, Settings settings);

    /** Applies the team limits that @p configuration declares. */
    void setLimits(const Configuration &configuration);
    /**
     * Updates how much of @p team's limit the shard uses and starts to adjust its slice.
     * @param need what the shard could use at once, and the most that it uses until the next
     * update; the part of its slice above that may be released meanwhile.
     */
    void update(const TeamId &team, const Resources &used, const Resources &need);
    /** @return how much of @p team's limit the shard may use. */
    Resources slice(const TeamId &team) const;
    /** Invalidates all slices; each becomes valid again once its record has been rewritten. */
    void reset();

private:
    struct TeamSlice
    {
        Resources limit;
        Revision limitRevision;
        Resources used;
        Resources need;
        /** What the shard may use now. */
        Resources usable;
        /** The record as last read or written. */
        Revision revision;
        Revision recordLimitRevision;
        std::map<ShardId, Resources> slices;
        /** False if the record must be read before it is written. */
        bool isRead = false;
        /** True if the last write to the record, as far as known, came from this object. */
        bool isConfirmed = false;
        /** True while a store call is in flight. */
        bool isBusy = false;
        Instant nextTryAt;
        Instant surplusSince;
    };

    /** Starts the next read or write that @p team's record needs, if any. */
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
