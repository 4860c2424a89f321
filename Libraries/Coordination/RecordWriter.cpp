#include "Coordination/RecordWriter.h"

#include "Protocol/StoredValue.h"

namespace Cranberrymount {

namespace {

/** Edits within this time share one write. */
constexpr Duration GroupingDelay{20};

/** @return the record in a read that has one; nothing if it is malformed. */
std::optional<ShardRecord> decodeRecord(const StoreRead &read)
{
    const StoreEntry &entry = read.entries.front();
    return decodeStored(entry.key, [&entry] { return decodeJson<ShardRecord>(entry.value); });
}

} // namespace

std::string recordKey(const ShardId &shard)
{
    return "record/" + shard.value();
}

RecordWriter::RecordWriter(Store &store, TimerService &timers, const ShardId &shard,
                           Settings settings)
    : m_store(store)
    , m_timers(timers)
    , m_key(recordKey(shard))
    , m_settings(settings)
{
}

void RecordWriter::takeOver(Epoch epoch, std::function<void()> done)
{
    m_store.read(m_key,
                 [this, alive = std::weak_ptr(m_alive), epoch,
                  done = std::move(done)](const StoreRead &read) mutable {
                     if (alive.expired())
                         return;
                     const bool isPresent = read.answered && !read.entries.empty();
                     auto stored = isPresent ? decodeRecord(read) : std::nullopt;
                     if (!read.answered || (isPresent && !stored)) {
                         return retry([this, epoch, done = std::move(done)]() mutable {
                             takeOver(epoch, std::move(done));
                         });
                     }
                     if (stored) {
                         m_record = std::move(*stored);
                         m_revision = read.entries.front().revision;
                         if (m_record.epoch >= epoch)
                             return handleOwnershipLoss();
                     }
                     m_ownEpochs = {m_record.epoch, epoch};
                     m_record.epoch = epoch;
                     m_record.sequence = 0;
                     edit();
                     whenRecorded([done = std::move(done)](bool recorded) {
                         if (recorded)
                             done();
                     });
                 });
}

void RecordWriter::raiseEpoch(Epoch epoch)
{
    m_ownEpochs.insert(epoch);
    edit().epoch = epoch;
}

ShardRecord &RecordWriter::edit()
{
    m_dirty = true;
    scheduleFlush();
    return m_record;
}

void RecordWriter::whenRecorded(std::function<void(bool)> done)
{
    if (m_lost)
        return done(false);
    if (!m_dirty && !m_busy)
        return done(true);
    // Edits made during a write are written by the next one.
    const uint64_t sequence = m_dirty ? m_record.sequence + 1 : m_record.sequence;
    m_waiters.push_back({sequence, std::move(done)});
}

bool RecordWriter::isHealthy() const
{
    return !m_lost && (!m_busy || m_timers.now() - m_busySince < m_settings.unresponsiveAfter);
}

void RecordWriter::scheduleFlush()
{
    if (m_scheduled || m_busy || m_lost)
        return;
    m_scheduled = true;
    m_timers.after(GroupingDelay, [this] {
        m_scheduled = false;
        flush();
    });
}

void RecordWriter::flush()
{
    if (m_busy || !m_dirty || m_lost)
        return;
    m_busy = true;
    m_busySince = m_timers.now();
    m_dirty = false;
    const uint64_t sequence = ++m_record.sequence;
    std::string value = Json(m_record).dump();
    m_encodedBytes = value.size();
    m_store.write({m_key, std::move(value), m_revision},
                  [this, alive = std::weak_ptr(m_alive), sequence](const StoreWrite &write) {
                      if (alive.expired())
                          return;
                      if (write.outcome == StoreWrite::Written)
                          return handleWritten(sequence, write.revision);
                      m_dirty = true;
                      readBack();
                  });
}

void RecordWriter::handleWritten(uint64_t sequence, Revision revision)
{
    m_busy = false;
    m_revision = revision;
    std::vector<Waiter> ready;
    std::erase_if(m_waiters, [&](Waiter &waiter) {
        if (waiter.sequence > sequence)
            return false;
        ready.push_back(std::move(waiter));
        return true;
    });
    const std::weak_ptr alive(m_alive);
    for (const Waiter &waiter : ready)
        waiter.done(true);
    if (!alive.expired() && m_dirty)
        scheduleFlush();
}

void RecordWriter::readBack()
{
    m_store.read(m_key, [this, alive = std::weak_ptr(m_alive)](const StoreRead &read) {
        if (alive.expired())
            return;
        if (!read.answered)
            return retry([this] { readBack(); });
        adoptStored(read);
    });
}

void RecordWriter::adoptStored(const StoreRead &read)
{
    if (read.entries.empty())
        return handleWritten(0, Revision());
    const auto stored = decodeRecord(read);
    if (!stored)
        return retry([this] { readBack(); });
    // Another owner may have held the shard in between; this copy lacks its changes.
    if (!m_ownEpochs.contains(stored->epoch))
        return handleOwnershipLoss();
    const uint64_t sequence = stored->epoch == m_record.epoch ? stored->sequence : 0;
    handleWritten(sequence, read.entries.front().revision);
}

void RecordWriter::handleOwnershipLoss()
{
    const std::weak_ptr alive(m_alive);
    abandon();
    if (!alive.expired() && m_onLost)
        m_onLost();
}

void RecordWriter::abandon()
{
    m_lost = true;
    m_busy = false;
    std::vector<Waiter> waiters;
    waiters.swap(m_waiters);
    for (const Waiter &waiter : waiters)
        waiter.done(false);
}

void RecordWriter::retry(std::function<void()> action)
{
    m_timers.after(m_settings.retryDelay, std::move(action));
}

} // namespace Cranberrymount
