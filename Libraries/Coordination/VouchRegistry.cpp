#include "Coordination/VouchRegistry.h"

#include <algorithm>

namespace Cranberrymount {

VouchRegistry::VouchRegistry(EntryId self, Instant startedAt, Settings settings)
    : m_self(std::move(self))
    , m_startedAt(startedAt)
    , m_settings(settings)
{
}

void VouchRegistry::applyRegister(std::set<EntryId> registered, Instant askedAt, Instant now)
{
    m_registered = std::move(registered);
    if (!m_registered.contains(m_self)) {
        m_registeredSince.reset();
        m_acknowledged.clear();
    } else if (!m_registeredSince) {
        m_registeredSince = now;
    }
    m_registerReadAt = askedAt;
    // A peer that is not registered and has sent no request since this read has left.
    std::erase_if(m_peerRequestAt, [&](const auto &item) {
        return item.second < askedAt && !m_registered.contains(item.first);
    });
}

void VouchRegistry::recordPeerRequest(const EntryId &peer, Instant now)
{
    m_peerRequestAt[peer] = now;
}

void VouchRegistry::recordAcknowledgement(const EntryId &peer, Instant askedAt)
{
    // A peer that was asked before this entry was registered may have removed the entry again.
    if (m_registeredSince && askedAt >= *m_registeredSince)
        m_acknowledged.insert(peer);
}

std::set<EntryId> VouchRegistry::requiredVouchers() const
{
    std::set<EntryId> all = m_registered;
    for (const auto &[peer, at] : m_peerRequestAt)
        all.insert(peer);
    all.erase(m_self);
    return all;
}

bool VouchRegistry::mayVouch(Instant now, bool isStoreResponding) const
{
    return !isStoreResponding && m_changes == 0 && !m_isUncertain
        && now - m_startedAt >= m_settings.restartQuietTime;
}

void VouchRegistry::promise(Instant now)
{
    m_promisedUntil = now + m_settings.promise;
}

bool VouchRegistry::mayChange(Instant now) const
{
    // An earlier incarnation of this entry may have made a promise just before it ended.
    const bool isPromised =
        (m_promisedUntil && now < *m_promisedUntil) || now - m_startedAt < m_settings.promise;
    if (isPromised || !m_registeredSince)
        return false;
    return std::all_of(m_registered.begin(), m_registered.end(), [this](const EntryId &entry) {
        return entry == m_self || m_acknowledged.contains(entry);
    });
}

void VouchRegistry::changeFinished(bool isCertain)
{
    --m_changes;
    m_isUncertain = m_isUncertain || !isCertain;
}

void VouchRegistry::recordVouch(const EntryId &peer, Revision revision, Instant askedAt)
{
    m_vouches[peer] = {revision, askedAt};
}

std::optional<Instant> VouchRegistry::vouchedUntil(Revision revision) const
{
    if (!m_registerReadAt)
        return std::nullopt;
    Instant until = *m_registerReadAt + m_settings.maxExtension;
    for (const EntryId &peer : requiredVouchers()) {
        const auto vouch = m_vouches.find(peer);
        if (vouch == m_vouches.end() || vouch->second.revision > revision)
            return std::nullopt;
        until = std::min(until, vouch->second.askedAt + m_settings.promise);
    }
    return until;
}

} // namespace Cranberrymount
