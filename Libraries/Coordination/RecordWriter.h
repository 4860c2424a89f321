#pragma once

#include "Protocol/Store.h"
#include "State/ShardRecord.h"
#include "Transport/ScopedTimers.h"

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace Cranberrymount {

/**
 * Keeps the record of one shard in the store with group commit: all edits made while one write is
 * in flight are written together by the next one.
 *
 * Every write contains the owner's epoch and a sequence number. After a lost response or a conflict
 * the record is read back; epoch and sequence show whether the write took effect, and a higher
 * epoch shows that another owner has taken over the shard.
 */
class RecordWriter
{
public:
    struct Settings
    {
        Duration retryDelay{300};
        /** The store counts as unreachable once a write is unanswered for this long. */
        Duration unresponsiveAfter{1500};
    };

    RecordWriter(Store &store, TimerService &timers, const ShardId &shard, Settings settings);

    /**
     * Reads the record and writes it back under @p epoch, which fences the former owner.
     * @param done called once that write is confirmed; not called if ownership is lost first.
     */
    void takeOver(Epoch epoch, std::function<void()> done);
    /** Continues under a higher epoch after the owner has reacquired its shard. */
    void raiseEpoch(Epoch epoch);

    const ShardRecord &record() const { return m_record; }
    /** @return the record for modification; schedules a write of the changes. */
    ShardRecord &edit();

    /** Calls @p done with true once all edits so far are stored; with false if they may not be. */
    void whenRecorded(std::function<void(bool)> done);

    /** Stops writing and reports to all waiting callbacks that their edits may not be recorded. */
    void abandon();

    /** @return true if the store answers writes and no other owner has been seen. */
    bool isHealthy() const;
    bool hasUnwrittenEdits() const { return m_dirty || m_busy; }
    /** @return the size of the last encoded record in bytes. */
    std::size_t encodedBytes() const { return m_encodedBytes; }
    /** Sets the callback for another owner's epoch in the record; it is called once. */
    void onLost(std::function<void()> callback) { m_onLost = std::move(callback); }

    /** Largest value that the store accepts. */
    static constexpr std::size_t MaxRecordBytes = 1'000'000;

private:
    struct Waiter
    {
        uint64_t sequence;
        std::function<void(bool)> done;
    };

    void scheduleFlush();
    void flush();
    void handleWritten(uint64_t sequence, Revision revision);
    void readBack();
    void adoptStored(const StoreRead &read);
    void handleOwnershipLoss();
    void retry(std::function<void()> action);

    Store &m_store;
    ScopedTimers m_timers;
    std::string m_key;
    Settings m_settings;
    ShardRecord m_record;
    /** Epochs under which this object has written, and the epoch that it took over from. */
    std::set<Epoch> m_ownEpochs;
    Revision m_revision;
    std::vector<Waiter> m_waiters;
    std::function<void()> m_onLost;
    std::size_t m_encodedBytes = 0;
    bool m_dirty = false;
    bool m_busy = false;
    bool m_scheduled = false;
    bool m_lost = false;
    Instant m_busySince;
    /** Expires with this object, so that late callbacks do nothing. */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/** @return the store key of a shard's record. */
std::string recordKey(const ShardId &shard);

} // namespace Cranberrymount
