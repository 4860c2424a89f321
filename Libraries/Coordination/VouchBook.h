#pragma once

#include "State/Ids.h"
#include "State/Time.h"

#include <map>
#include <optional>
#include <set>

namespace Cranberrymount {

/**
 * Vouches by which a configuration counts as current while the store is out for everyone.
 *
 * A member that does not hear the store may vouch: for the length of its promise it will change
 * nothing. While every registered member vouches for the same revision, nothing newer can be
 * accepted. A member registers in the store before it may change anything, and may change something
 * only once every other registered member has acknowledged it, so that no set of vouches can miss
 * it. docs/design/Freshness.md gives the argument.
 */
class VouchBook
{
public:
    struct Settings
    {
        /** Length of a promise, counted from the request by its receiver, from the answer here. */
        Duration promise{3000};
        /** A write of an earlier life of this entry may still arrive within this time. */
        Duration restartQuietTime{10'000};
        /** Vouches count only this long after the register was last read. */
        Duration maxExtension{600'000};
    };

    VouchBook(EntryId self, Instant startedAt, Settings settings);

    /** Takes in who is registered, from a read of the store that was asked at @p askedAt. */
    void takeRegister(std::set<EntryId> registered, Instant askedAt, Instant now);
    /** @p peer asked for a vouch; from here on its own vouch is needed too. */
    void meet(const EntryId &peer, Instant now);
    /** @p peer has answered what this entry asked at @p askedAt; counts if that was registered. */
    void acknowledgedBy(const EntryId &peer, Instant askedAt);

    bool isAcknowledgedBy(const EntryId &peer) const { return m_acknowledged.contains(peer); }

    /** @return true if this entry may promise not to change anything. */
    bool mayVouch(Instant now, bool isStoreResponding) const;
    void promise(Instant now);
    /** @return true if no promise and no unknown member stands against a change. */
    bool mayChange(Instant now) const;
    void changeBegins() { ++m_changes; }
    /** @param isCertain false if the change may still take effect. */
    void changeEnds(bool isCertain);
    /** The store has shown that no change of this entry is under way any more. */
    void changesSettled() { m_isUncertain = false; }

    /** Takes the vouch of @p peer for @p revision, asked for at @p askedAt. */
    void takeVouch(const EntryId &peer, Revision revision, Instant askedAt);
    /** @return until when all members' vouches hold for @p revision, if they do. */
    std::optional<Instant> vouchedUntil(Revision revision) const;

private:
    struct Vouch
    {
        Revision revision;
        Instant askedAt;
    };

    std::set<EntryId> requiredVouchers() const;

    EntryId m_self;
    Instant m_startedAt;
    Settings m_settings;
    std::set<EntryId> m_registered;
    std::optional<Instant> m_registerReadAt;
    std::map<EntryId, Instant> m_peerRequestAt;
    /** When this entry first saw itself registered. */
    std::optional<Instant> m_registeredSince;
    std::set<EntryId> m_acknowledged;
    std::map<EntryId, Vouch> m_vouches;
    std::optional<Instant> m_promisedUntil;
    unsigned m_changes = 0;
    bool m_isUncertain = false;
};

} // namespace Cranberrymount
