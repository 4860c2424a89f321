#pragma once

#include "Protocol/TransactionalStore.h"
#include "State/Workload.h"
#include "Transport/ScopedTimers.h"

#include <deque>
#include <set>

namespace Cranberrymount {

/** Store key of the leadership claim; its revision is the leader's epoch. */
extern const std::string LeaderKey;

/**
 * The cell's journal: segments of records in the platform's store, appended only by the leader.
 *
 * Every commit is conditional on the leader's claim, so that a superseded leader cannot write.
 * Several commits may be in flight. Each is confirmed only after all earlier ones, so that callers
 * never act on a record that follows a gap. A commit whose response is lost is retried with the
 * same content and the same key until its outcome is known.
 */
class Journal
{
public:
    struct Observer
    {
        /** The claim is lost; unconfirmed records may or may not have been written. */
        std::function<void()> superseded;
        /** Called when the store starts or stops accepting commits. */
        std::function<void(bool isReachable)> reachabilityChanged;
        /** Called when the store has confirmed the claim; claimHeldAt() says for when. */
        std::function<void()> claimConfirmed;
    };

    /** @param claimHeldAt a time at which the claim held for certain. */
    Journal(TransactionalStore &store, TimerService &timers, Revision claim, Instant claimHeldAt,
            uint64_t nextSegment, Observer observer);

    /** Adds a record; @p onWritten is called once the store has confirmed it. */
    void append(JournalRecord record, std::function<void()> onWritten);

    /** Adds a segment that was found at recovery, so that it can be replaced and deleted later. */
    void adoptSegment(uint64_t segment, std::set<JobId> jobs);

    /**
     * Schedules the oldest segment for deletion.
     * @param snapshots of the jobs in it that are still needed; they are written before the segment
     * is deleted or in the same commit.
     */
    void replaceOldestSegment(std::vector<JournalRecord> snapshots);
    struct Segment
    {
        uint64_t number;
        /** Jobs that its records concern. */
        std::set<JobId> jobs;
    };
    /** @return the segment to replace next, or null if none may be replaced now. */
    const Segment *oldestSegment() const;
    /** @return true if no record of @p jobs, snapshots excepted, still waits to be written. */
    bool areRecordsWritten(const std::set<JobId> &jobs) const;
    /** @return the lowest segment number that a record appended now can get. */
    uint64_t nextSegment() const { return m_nextSegment; }
    std::size_t segmentCount() const { return m_segments.size(); }

    /** @return when the store last confirmed a commit. */
    Instant lastCommitAt() const { return m_lastCommit; }
    /**
     * @return a time at which the claim held for certain: when the latest try that the store has
     * confirmed was sent. The confirmation itself may have waited in a process that was frozen.
     */
    Instant claimHeldAt() const { return m_claimHeldAt; }
    /**
     * Discards the records of jobs whose acceptance was never sent to the store.
     * @return those jobs; none of their records will be written.
     */
    std::vector<JobId> withdrawUnsent();
    /** Confirms the claim by committing a segment, even an empty one, if no commit is in flight. */
    void confirmClaim();
    /** Confirms the claim by a commit that is sent after this call, at the usual rate of commits.
     */
    void requestConfirmation();

private:
    struct PendingRecord
    {
        JournalRecord record;
        std::function<void()> onWritten;
    };
    /** One transaction in flight. */
    struct Commit
    {
        StoreTransaction transaction;
        std::vector<PendingRecord> records;
        bool isWritten = false;
        uint32_t retries = 0;
        /** Number of the last try; a failure of an earlier try causes no retry. */
        uint32_t lastTry = 0;
        Instant begin{};
        /** When the last try was sent. */
        Instant sentAt{};
    };

    void scheduleCommit();
    void commitNext();
    void sendCommit(const std::shared_ptr<Commit> &commit);
    /** A try of a commit. */
    struct Try
    {
        uint32_t number;
        Instant sentAt;
    };
    void handleResult(const std::shared_ptr<Commit> &commit, const Try &tried,
                      const CommitResult &result);
    /** Probes the store until it answers, so that commits need not wait for calls that hang. */
    void probe();
    void resendCommits();
    /** Reports the store as unreachable if it has answered no commit since @p sentAt. */
    void checkStoreResponse(Instant sentAt);
    void confirmCommits();
    void setReachable(bool isReachable);
    Duration currentCommitInterval() const;

    TransactionalStore &m_store;
    ScopedTimers m_timers;
    Revision m_claim;
    Observer m_observer;
    uint64_t m_nextSegment;
    std::deque<Segment> m_segments;
    std::vector<PendingRecord> m_waiting;
    /** Commits in flight, ordered by segment number. */
    std::deque<std::shared_ptr<Commit>> m_commits;
    std::vector<uint64_t> m_removals;
    /** Duration of the last try of the most recently written commit. */
    Duration m_latency{0};
    bool m_isScheduled = false;
    /** A commit must be sent even if nothing waits to be written. */
    bool m_isConfirmationRequested = false;
    bool m_isSuperseded = false;
    bool m_isReachable = true;
    Instant m_lastCommit;
    Instant m_claimHeldAt;
    /** When the store last answered a commit, whatever the outcome. */
    Instant m_lastAnswerAt{};
    Instant m_lastStartAt;
    /** When unwritten commits were last resent because the store had recovered. */
    Instant m_lastResendAt{};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/** @return the store key of a segment; keys sort in numeric order. */
std::string segmentKey(uint64_t number);
/** @return the number in the segment key @p key, or 0 if @p key is not a segment key. */
uint64_t segmentNumber(const std::string &key);
/** Prefix of all segment keys. */
extern const std::string SegmentPrefix;

/** @return the job that @p record concerns. */
const JobId &jobOf(const JournalRecord &record);

} // namespace Cranberrymount
