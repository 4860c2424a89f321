#pragma once

#include "State/Ids.h"
#include "State/Time.h"

#include <map>
#include <optional>
#include <set>

namespace Cranberrymount {

/**
 * The vouches by which a configuration counts as current while no member can reach the store.
 *
 * A vouch is a promise to make no change for a fixed time; a member may give it while the store
 * does not respond to it. While every registered member vouches for the same revision, no newer one
 * can be accepted. A member registers in the store before it may change anything, and may make a
 * change only once every other registered member has acknowledged it, so that no set of vouches can
 * omit it. docs/design/Freshness.md gives the argument.
 */
class VouchRegistry
{
public:
    struct Settings
    {
        /** Length of a promise: the member that gives it counts from its reply, the member that
         * asked for it from its request, which is earlier. */
        Duration promise{3000};
        /** This entry does not vouch for this long after its start, since a write of its earlier
         * incarnation may still take effect. */
        Duration restartQuietTime{10'000};
        /** Vouches are valid only for this long after the member register was last read. */
        Duration maxExtension{600'000};
    };

    VouchRegistry(EntryId self, Instant startedAt, Settings settings);

    /** Applies the member register from a store read that was requested at @p askedAt. */
    void applyRegister(std::set<EntryId> registered, Instant askedAt, Instant now);
    /** Records that @p peer asked for a vouch; from now on its own vouch is required too. */
    void recordPeerRequest(const EntryId &peer, Instant now);
    /** Records that @p peer answered a request that this entry sent at @p askedAt; ignored if this
     * entry was not known to be registered then. */
    void recordAcknowledgement(const EntryId &peer, Instant askedAt);

    bool isAcknowledgedBy(const EntryId &peer) const { return m_acknowledged.contains(peer); }

    /** @return true if this entry may promise to make no change. */
    bool mayVouch(Instant now, bool isStoreResponding) const;
    /** Records that this entry vouches from @p now on. */
    void promise(Instant now);
    /** @return true if this entry is registered and acknowledged by all registered members, and no
     * promise of this or an earlier incarnation of it can still be valid. */
    bool mayChange(Instant now) const;
    void changeStarted() { ++m_changes; }
    /** @param isCertain false if the change may still take effect. */
    void changeFinished(bool isCertain);
    /** Records that the store has ruled out late effects of this entry's earlier changes. */
    void changesResolved() { m_isUncertain = false; }

    /** Records the vouch of @p peer for @p revision, requested at @p askedAt. */
    void recordVouch(const EntryId &peer, Revision revision, Instant askedAt);
    /** @return until when the vouches of all required members are valid for @p revision, or nothing
     * if one is missing or was given for a higher revision. */
    std::optional<Instant> vouchedUntil(Revision revision) const;

private:
    struct Vouch
    {
        Revision revision;
        Instant askedAt;
    };

    /** @return the registered members and the peers that asked for a vouch, without this entry. */
    std::set<EntryId> requiredVouchers() const;

    EntryId m_self;
    Instant m_startedAt;
    Settings m_settings;
    std::set<EntryId> m_registered;
    std::optional<Instant> m_registerReadAt;
    /** When each peer last asked for a vouch. */
    std::map<EntryId, Instant> m_peerRequestAt;
    /** When this entry first saw itself registered. */
    std::optional<Instant> m_registeredSince;
    std::set<EntryId> m_acknowledged;
    std::map<EntryId, Vouch> m_vouches;
    std::optional<Instant> m_promisedUntil;
    /** Changes of this entry in flight. */
    unsigned m_changes = 0;
    /** True if an earlier change of this entry may still take effect. */
    bool m_isUncertain = false;
};

} // namespace Cranberrymount
