#include "Coordination/ShardOwnership.h"

#include "Protocol/Json.h"

#include <glog/logging.h>
#include <xxhash.h>

#include <algorithm>

namespace Cranberrymount {

namespace {

/** Rendezvous hashing: the member with the highest weight is preferred as the shard's owner. */
uint64_t rendezvousWeight(const ShardId &shard, const EntryId &entry)
{
    const std::string text = shard.value() + "|" + entry.value();
    return XXH64(text.data(), text.size(), 0);
}

} // namespace

std::string ownerKey(const ShardId &shard)
{
    return "owner/" + shard.value();
}

ShardOwnership::ShardOwnership(Store &store, WorkerLink &link, TimerService &timers,
                               ShardContext &context, MemberTable &members, Settings settings)
    : m_store(store)
    , m_link(link)
    , m_timers(timers)
    , m_context(context)
    , m_members(members)
    , m_settings(std::move(settings))
{
}

void ShardOwnership::start()
{
    m_storeAnsweredAt = m_timers.now();
    renewLease();
    m_timers.every(m_settings.period, [this] { acquireShards(); });
}

std::string ShardOwnership::ownerValue() const
{
    return Json{{"entry", m_settings.self.value()},
                {"address", m_settings.address.text()},
                {"incarnation", m_settings.incarnation}}
        .dump();
}

void ShardOwnership::renewLease()
{
    if (m_isReleasing)
        return;
    const auto answered = [this](const StoreLease &answer) { handleLeaseResponse(answer); };
    if (m_lease)
        m_store.renewLease(*m_lease, answered);
    else
        m_store.createLease(m_settings.leaseTtl, answered);
}

void ShardOwnership::handleLeaseResponse(const StoreLease &answer)
{
    if (answer.answered) {
        m_storeAnsweredAt = m_timers.now();
        if (answer.alive)
            m_lease = answer.id;
        else
            m_lease.reset();
    }
    const bool createNow = answer.answered && !answer.alive;
    m_timers.after(createNow ? Duration(10) : m_settings.leaseTtl / 4, [this] { renewLease(); });
}

void ShardOwnership::setListed(InstanceListVersion version, const std::vector<WorkerInfo> &workers,
                               const std::function<ShardId(const WorkerInfo &)> &shardOf)
{
    if (version < m_listVersion)
        return;
    m_listVersion = version;
    m_shards.clear();
    for (const auto &[shard, owned] : m_owned)
        m_shards[shard];
    for (const WorkerInfo &worker : workers) {
        if (worker.zone == m_settings.zone)
            m_shards[shardOf(worker)].push_back(worker);
    }
    for (const auto &[shard, owned] : m_owned)
        owned.controller->setListed(version, m_shards.at(shard));
}

void ShardOwnership::configurationChanged()
{
    for (const auto &[shard, owned] : m_owned)
        owned.controller->configurationChanged();
}

ShardController *ShardOwnership::controller(const ShardId &shard) const
{
    const auto found = m_owned.find(shard);
    return found == m_owned.end() ? nullptr : found->second.controller.get();
}

std::vector<ShardController *> ShardOwnership::controllers() const
{
    std::vector<ShardController *> controllers;
    for (const auto &[shard, owned] : m_owned)
        controllers.push_back(owned.controller.get());
    return controllers;
}

std::size_t ShardOwnership::rank(const ShardId &shard) const
{
    const uint64_t ownWeight = rendezvousWeight(shard, m_settings.self);
    std::size_t better = 0;
    for (const Member &member : m_members.alive(m_timers.now())) {
        const Heartbeat &heartbeat = member.heartbeat;
        if (heartbeat.zone == m_settings.zone && !heartbeat.leaving
            && rendezvousWeight(shard, heartbeat.from) > ownWeight)
            ++better;
    }
    return better;
}

bool ShardOwnership::isMyTurn(const ShardId &shard)
{
    const Instant now = m_timers.now();
    const auto owner = m_members.ownerOf(shard, now);
    if (owner && !owner->heartbeat.leaving) {
        m_vacantSince.erase(shard);
        return false;
    }
    const auto [since, isNew] = m_vacantSince.try_emplace(shard, now);
    return now - since->second >= m_settings.rankDelay * rank(shard);
}

void ShardOwnership::acquireShards()
{
    if (m_isReleasing)
        return;
    resignIfIsolated();
    if (!m_lease)
        return;
    for (const auto &[shard, workers] : m_shards) {
        const auto owned = m_owned.find(shard);
        const bool isHeldUnderCurrentLease =
            owned != m_owned.end() && owned->second.lease == *m_lease;
        if (isHeldUnderCurrentLease || m_acquiring.contains(shard))
            continue;
        if (owned != m_owned.end() || isMyTurn(shard))
            acquire(shard);
    }
}

void ShardOwnership::resignIfIsolated()
{
    if (m_timers.now() - m_storeAnsweredAt < m_settings.isolationBound)
        return;
    for (const ShardController *controller : controllers()) {
        LOG(WARNING) << "event=shard_resigned shard=" << controller->shard().value()
                     << " reason=isolation_bound";
        resign(controller->shard());
    }
}

void ShardOwnership::acquire(const ShardId &shard)
{
    m_acquiring.insert(shard);
    const StoreLeaseId lease = *m_lease;
    m_store.write({ownerKey(shard), ownerValue(), Revision(), lease},
                  [this, shard, lease](const StoreWrite &write) {
                      if (write.outcome == StoreWrite::Written)
                          return onAcquired(shard, Epoch(write.revision.value()), lease);
                      if (write.outcome == StoreWrite::NotSent) {
                          m_acquiring.erase(shard);
                          return;
                      }
                      readOwner(shard, lease);
                  });
}

/** Reads the key to find out who owns the shard, after a conflict or a lost response. */
void ShardOwnership::readOwner(const ShardId &shard, StoreLeaseId lease)
{
    m_store.read(ownerKey(shard), [this, shard, lease](const StoreRead &read) {
        if (!read.answered || read.entries.empty()) {
            m_acquiring.erase(shard);
            return;
        }
        const StoreEntry &entry = read.entries.front();
        const bool isOwned = m_owned.contains(shard);
        if (entry.value == ownerValue()) {
            // A key attached to an earlier lease of this incarnation goes away with that lease.
            if (!isOwned || m_owned.at(shard).lease == lease)
                return onAcquired(shard, Epoch(entry.revision.value()), lease);
            m_acquiring.erase(shard);
            return;
        }
        m_acquiring.erase(shard);
        m_vacantSince.erase(shard);
        if (isOwned)
            resign(shard);
    });
}

void ShardOwnership::onAcquired(const ShardId &shard, Epoch epoch, StoreLeaseId lease)
{
    m_acquiring.erase(shard);
    m_vacantSince.erase(shard);
    if (m_isReleasing)
        return;
    LOG(INFO) << "event=shard_acquired shard=" << shard.value() << " epoch=" << epoch.value();
    OwnedShard &owned = m_owned[shard];
    owned.lease = lease;
    if (owned.controller) {
        owned.controller->raiseEpoch(epoch);
        return;
    }
    owned.controller =
        std::make_unique<ShardController>(m_store, m_link, m_timers, m_context, shard,
                                          m_settings.zone, m_settings.self, m_settings.controller);
    owned.controller->onLost([this, shard] {
        // Deferred, since the ShardController is still on the call stack.
        m_timers.after(Duration(0), [this, shard] { resign(shard); });
    });
    owned.controller->takeOver(epoch);
    owned.controller->setListed(m_listVersion, m_shards[shard]);
}

void ShardOwnership::resign(const ShardId &shard)
{
    const auto found = m_owned.find(shard);
    if (found == m_owned.end())
        return;
    LOG(WARNING) << "event=shard_lost shard=" << shard.value();
    // Kept alive until the release of its workers' leases has been requested.
    std::shared_ptr<ShardController> controller = std::move(found->second.controller);
    m_owned.erase(found);
    controller->resign([this, controller] { m_timers.after(Duration(0), [controller] {}); });
}

void ShardOwnership::releaseAll(std::function<void()> done)
{
    m_isReleasing = true;
    auto remaining = std::make_shared<std::size_t>(m_owned.size() + 1);
    const auto finished = [this, remaining, done = std::move(done)] {
        if (--*remaining > 0)
            return;
        if (!m_lease)
            return done();
        m_store.endLease(*m_lease, [done](const StoreLease &) { done(); });
    };
    for (const auto &[shard, owned] : m_owned)
        owned.controller->releaseAll(finished);
    finished();
}

} // namespace Cranberrymount
