#include "Coordination/EscrowManager.h"

#include "Protocol/StoredValue.h"

namespace Cranberrymount {

namespace {

Resources sumOf(const std::map<ShardId, Resources> &slices)
{
    Resources sum;
    for (const auto &[shard, slice] : slices)
        sum += slice;
    return sum;
}

int64_t scaled(int64_t part, int64_t sum, int64_t limit)
{
    return sum <= limit ? part : part * limit / sum;
}

/** Shrinks all slices in proportion until their sum is within @p limit. */
void fitIntoLimit(std::map<ShardId, Resources> &slices, const Resources &limit)
{
    const Resources sum = sumOf(slices);
    for (auto &[shard, slice] : slices) {
        slice = {CpuMillis(scaled(slice.cpu.value(), sum.cpu.value(), limit.cpu.value())),
                 MemoryMb(scaled(slice.memory.value(), sum.memory.value(), limit.memory.value())),
                 AcceleratorCount(scaled(slice.accelerators.value(), sum.accelerators.value(),
                                         limit.accelerators.value()))};
    }
}

} // namespace

std::string escrowKey(const TeamId &team)
{
    return "escrow/" + team.value();
}

EscrowManager::EscrowManager(Store &store, TimerService &timers, const ShardId &shard,
                             Settings settings)
    : m_store(store)
    , m_timers(timers)
    , m_shard(shard)
    , m_settings(settings)
{
}

void EscrowManager::setLimits(const Configuration &configuration)
{
    for (const auto &[id, team] : configuration.teams) {
        TeamSlice &slice = m_teams[id];
        if (slice.limitRevision >= configuration.revision)
            continue;
        if (slice.limit != team.limit)
            slice.isRead = false;
        slice.limit = team.limit;
        slice.limitRevision = configuration.revision;
    }
    for (auto &[id, slice] : m_teams) {
        if (!configuration.teams.contains(id) && slice.limitRevision < configuration.revision) {
            slice.limit = Resources();
            slice.limitRevision = configuration.revision;
            slice.isRead = false;
        }
    }
}

void EscrowManager::update(const TeamId &team, const Resources &used, const Resources &need)
{
    const auto found = m_teams.find(team);
    if (found == m_teams.end())
        return;
    TeamSlice &slice = found->second;
    slice.used = used;
    slice.need = need;
    const bool hasSurplus = !slice.usable.fitsIn(need);
    if (!hasSurplus)
        slice.surplusSince = m_timers.now();
    advance(team);
}

Resources EscrowManager::slice(const TeamId &team) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? Resources() : found->second.usable;
}

void EscrowManager::reset()
{
    for (auto &[id, slice] : m_teams) {
        slice.usable = Resources();
        slice.isRead = false;
        slice.isConfirmed = false;
    }
}

/** @return the slice that the shard should have, given its need and the other shards' slices. */
Resources EscrowManager::desiredSlice(const TeamSlice &slice) const
{
    Resources others;
    for (const auto &[shard, part] : slice.slices) {
        if (shard != m_shard)
            others += part;
    }
    const Resources available = (slice.limit - others).clampedToZero();
    return slice.need.cappedAt(available);
}

void EscrowManager::advance(const TeamId &team)
{
    TeamSlice &slice = m_teams[team];
    const Instant now = m_timers.now();
    if (slice.isBusy || now < slice.nextTryAt)
        return;
    if (!slice.isRead)
        return readRecord(team);
    const bool limitChanged =
        slice.recordLimitRevision < slice.limitRevision && !sumOf(slice.slices).fitsIn(slice.limit);
    if (!slice.isConfirmed || limitChanged)
        return writeRecord(team, desiredSlice(slice));
    if (!slice.need.fitsIn(slice.usable)) {
        const Resources ownSlice = desiredSlice(slice);
        if (!ownSlice.fitsIn(slice.usable))
            return writeRecord(team, ownSlice);
        // Other shards may have released a part since the record was read.
        slice.isRead = false;
        slice.nextTryAt = now + m_settings.retryDelay;
        return;
    }
    const bool hasSurplus = slice.need != slice.usable;
    if (hasSurplus && now - slice.surplusSince >= m_settings.surplusDelay)
        writeRecord(team, desiredSlice(slice));
}

void EscrowManager::readRecord(const TeamId &team)
{
    m_teams[team].isBusy = true;
    m_store.read(escrowKey(team),
                 [this, alive = std::weak_ptr(m_alive), team](const StoreRead &read) {
                     if (alive.expired())
                         return;
                     TeamSlice &slice = m_teams[team];
                     slice.isBusy = false;
                     const auto isApplied = decodeStored(escrowKey(team), [&] {
                         if (read.answered)
                             applyRecord(slice, read);
                         return read.answered;
                     });
                     if (!isApplied.value_or(false)) {
                         slice.nextTryAt = m_timers.now() + m_settings.retryDelay;
                         return;
                     }
                     advance(team);
                 });
}

void EscrowManager::applyRecord(TeamSlice &slice, const StoreRead &read)
{
    slice.isRead = false;
    slice.slices.clear();
    slice.revision = Revision();
    slice.recordLimitRevision = Revision();
    if (!read.entries.empty()) {
        slice.revision = read.entries.front().revision;
        const Json record = parseJson(read.entries.front().value);
        slice.recordLimitRevision = Revision(record.at("limit_revision").get<uint64_t>());
        for (const auto &[shard, part] : record.at("slices").items())
            slice.slices[ShardId(shard)] = part.get<Resources>();
        if (slice.recordLimitRevision > slice.limitRevision) {
            slice.limit = record.at("limit").get<Resources>();
            slice.limitRevision = slice.recordLimitRevision;
        }
    }
    slice.isRead = true;
    // Another shard may have shrunk all slices to fit a lowered limit.
    slice.usable = slice.usable.cappedAt(slice.slices[m_shard]);
}

void EscrowManager::writeRecord(const TeamId &team, const Resources &ownSlice)
{
    TeamSlice &slice = m_teams[team];
    auto slices = slice.slices;
    slices[m_shard] = ownSlice;
    fitIntoLimit(slices, slice.limit);
    const Resources granted = slices[m_shard];
    // The shard stops using the released part now, whether or not the write is answered.
    slice.usable = slice.usable.cappedAt(granted);
    slice.isBusy = true;
    Json parts = Json::object();
    for (const auto &[shard, part] : slices) {
        if (part != Resources())
            parts[shard.value()] = part;
    }
    const Json record = {
        {"limit", slice.limit}, {"limit_revision", slice.limitRevision.value()}, {"slices", parts}};
    m_store.write({escrowKey(team), record.dump(), slice.revision},
                  [this, alive = std::weak_ptr(m_alive), team, slices, granted,
                   limitRevision = slice.limitRevision](const StoreWrite &write) {
                      if (alive.expired())
                          return;
                      TeamSlice &slice = m_teams[team];
                      slice.isBusy = false;
                      slice.isConfirmed = write.outcome == StoreWrite::Written;
                      slice.isRead = slice.isConfirmed;
                      if (!slice.isConfirmed) {
                          const bool raced = write.outcome == StoreWrite::Conflict;
                          slice.nextTryAt =
                              m_timers.now() + (raced ? Duration(20) : m_settings.retryDelay);
                          return;
                      }
                      slice.slices = slices;
                      slice.revision = write.revision;
                      slice.recordLimitRevision = limitRevision;
                      slice.usable = granted;
                      slice.surplusSince = m_timers.now();
                  });
}

} // namespace Cranberrymount
