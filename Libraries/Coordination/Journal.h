#pragma once

#include "Protocol/TransactionalStore.h"
#include "State/Workload.h"
#include "Transport/GuardedTimers.h"

#include <deque>
#include <set>

namespace Cranberrymount {

/** Key of the leader's claim; its revision is the leader's epoch. */
extern const std::string LeaderKey;

/**
 * The cell's journal: segments of records in the platform's store, appended by the leader alone.
 *
 * Every commit depends on the leader's claim, so that a superseded leader can write nothing.
 * Several commits may be under way; each is confirmed only after all before it, so that nothing
 * is acted upon behind a gap. A commit whose answer is lost is repeated with the same content and
 * the same key until its fate is known.
 */
class Journal
{
public:
    struct Observer
    {
        /** The claim is gone; nothing that was not yet confirmed may be assumed. */
        std::function<void()> superseded;
        /** The store began or ceased to take commits. */
        std::function<void(bool isReachable)> reachability;
    };

    Journal(TransactionalStore &store, TimerService &timers, Revision claim, uint64_t nextSegment,
            Observer observer);

    /** Adds a record; @p onWritten runs once the store has it. */
    void append(JournalRecord record, std::function<void()> onWritten);

    /** Adopts a segment found at recovery, for cleaning. */
    void adoptSegment(uint64_t segment, std::set<JobId> jobs);

    /**
     * Deletes the oldest segment with the next commit, once @p snapshots of the jobs in it that
     * still matter are written by that same commit.
     */
    void replaceOldestSegment(std::vector<JournalRecord> snapshots);
    struct Segment
    {
        uint64_t number;
        /** Jobs that its records tell of. */
        std::set<JobId> jobs;
    };
    /** @return the segment to replace next; null if none may be replaced now. */
    const Segment *oldestSegment() const;
    /** @return true if no record but snapshots of any of @p jobs is on its way to the store. */
    bool isSettled(const std::set<JobId> &jobs) const;
    /** @return the number from which on records appended now are written. */
    uint64_t nextSegment() const { return m_nextSegment; }
    std::size_t segmentCount() const { return m_segments.size(); }

    /** @return when the store last confirmed a commit. */
    Instant lastCommit() const { return m_lastCommit; }
    /**
     * Takes out the records of jobs whose acceptance was never sent to the store.
     * @return those jobs; nothing of them will ever be written.
     */
    std::vector<JobId> withdrawUnsent();
    /** Writes an empty segment if nothing else is under way, to confirm the claim. */
    void touch();

private:
    struct PendingRecord
    {
        JournalRecord record;
        std::function<void()> onWritten;
    };
    /** One transaction under way. */
    struct Commit
    {
        StoreTransaction transaction;
        std::vector<PendingRecord> records;
        bool isWritten = false;
        uint32_t retries = 0;
        /** Number of the last try; earlier ones may still be answered, but are not repeated. */
        uint32_t lastTry = 0;
        Instant begin{};
        /** When the last try was sent. */
        Instant sentAt{};
    };

    void scheduleCommit();
    void commitNext();
    void sendCommit(const std::shared_ptr<Commit> &commit);
    void handleResult(const std::shared_ptr<Commit> &commit, uint32_t tryNumber,
                      const CommitResult &result);
    /** Reads from the store until it answers, so that commits need not wait for hung calls. */
    void probe();
    void resendCommits();
    /** Takes the store for silent if nothing has come from it since @p sentAt. */
    void checkStoreResponse(Instant sentAt);
    void confirmCommits();
    void setReachable(bool isReachable);
    Duration currentCommitInterval() const;

    TransactionalStore &m_store;
    GuardedTimers m_timers;
    Revision m_claim;
    Observer m_observer;
    uint64_t m_nextSegment;
    std::deque<Segment> m_segments;
    std::vector<PendingRecord> m_waiting;
    /** In the order of their segments. */
    std::deque<std::shared_ptr<Commit>> m_commits;
    std::vector<uint64_t> m_removals;
    /** Time that the last try of the last confirmed commit took. */
    Duration m_latency{0};
    bool m_isScheduled = false;
    bool m_isSuperseded = false;
    bool m_isReachable = true;
    Instant m_lastCommit;
    /** When the store last answered a commit, with whatever outcome. */
    Instant m_lastAnswerAt{};
    Instant m_lastStartAt;
    /** When commits were last repeated because the store answered a read. */
    Instant m_lastResendAt{};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/** @return the store's key of a segment; keys sort in the order of numbers. */
std::string segmentKey(uint64_t number);
/** @return the number in a segment's key, or 0 if it is none. */
uint64_t segmentNumber(const std::string &key);
/** Prefix of all segment keys. */
extern const std::string SegmentPrefix;

/** @return the job that @p record tells of. */
const JobId &jobOf(const JournalRecord &record);

} // namespace Cranberrymount
