#pragma once

#include "Coordination/ResendPolicy.h"
#include "Protocol/TransactionalStore.h"
#include "State/Workload.h"
#include "Transport/LogRateLimiter.h"
#include "Transport/ScopedTimers.h"

#include <deque>
#include <set>

namespace Cranberrymount {

/** Store key of the leadership claim; its revision is the leader's epoch. */
extern const std::string LeaderKey;
/**
 * Store key that some of the leader's commits write: its revision shows when the leader last used
 * the store. A read of all keys that begin with LeaderKey returns both.
 */
extern const std::string LeaderActivityKey;

/**
 * The cell's journal: segments of records in the platform's store, appended only by the leader.
 *
 * Every commit is conditional on the leader's claim, so that a superseded leader cannot write.
 * Several commits may be in flight. Each is confirmed only after all earlier ones, so that callers
 * never act on a record that follows a gap.
 *
 * A commit that is not answered in the usual time is looked for in the store and, if it is not
 * there, sent again with the same content and key while the earlier tries are open; the answer to
 * any of them, or the segment itself, ends it. A copy that the store executes later fails, since
 * the segment exists; once the segment is removed it may be written again, so each segment names
 * the lowest number that is part of the journal.
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
        /** Adds to a counter. */
        std::function<void(const std::string &name, double by)> count;
    };
    struct Dependencies
    {
        TransactionalStore &store;
        TimerService &timers;
        ResendPolicy &resends;
        LogRateLimiter &log;
    };
    /** Where a new leader continues the journal. */
    struct Start
    {
        Revision claim;
        /** A time at which the claim held for certain. */
        Instant claimHeldAt;
        uint64_t nextSegment = 1;
        /** The lowest number of a segment that is part of the journal. */
        uint64_t floor = 0;
    };

    Journal(Dependencies dependencies, const Start &start, Observer observer);

    /**
     * Adds a record.
     * @param onWritten called once the store has confirmed it
     * @param onWithdrawn if set, withdrawUnsent() may discard the record, and calls this
     */
    void append(JournalRecord record, std::function<void()> onWritten,
                std::function<void()> onWithdrawn = {});

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

    /** @return for how long the oldest commit in flight has not been confirmed. */
    Duration oldestCommitAge() const;
    /** @return when the store last confirmed a commit. */
    Instant lastCommitAt() const { return m_lastCommit; }
    /**
     * @return a time at which the claim held for certain: when the latest try that the store has
     * confirmed was sent. The confirmation itself may have waited in a process that was frozen.
     */
    Instant claimHeldAt() const { return m_claimHeldAt; }
    /**
     * Discards the records that were never sent to the store and that may be withdrawn, and those
     * of jobs whose acceptance was never sent.
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
        std::function<void()> onWithdrawn;
    };
    /** One transaction in flight. */
    struct Commit
    {
        StoreTransaction transaction;
        std::vector<PendingRecord> records;
        bool isWritten = false;
        /** Tries that the store refused or that ended without an answer. */
        uint32_t failures = 0;
        /** Number of the last try; a failure of an earlier try has no effect. */
        uint32_t lastTry = 0;
        /** How often an answer was missing for so long that the segment was looked for. */
        uint32_t readBacks = 0;
        Instant begin{};
        /** The lowest number of a segment that is part of the journal once this one is written. */
        uint64_t floor = 0;
    };
    using CommitHandle = std::shared_ptr<Commit>;
    /** A try of a commit. */
    struct Try
    {
        uint32_t number;
        Instant sentAt;
    };
    enum class StoreState : uint8_t {
        Reachable,
        /** It has refused a commit; it is reachable again once it has written one. */
        Refusing,
        /** It has answered no call; it is reachable again once it answers one. */
        Silent,
    };

    void scheduleCommit();
    void commitNext();
    void sendCommit(const CommitHandle &commit);
    void handleResult(const CommitHandle &commit, const Try &tried, const CommitResult &result);
    /** @return how long to wait for an answer to the last try of @p commit. */
    Duration answerDelay(const Commit &commit) const;
    /** Checks after the usual response time whether the last try of @p commit was answered. */
    void awaitAnswer(const CommitHandle &commit);
    void checkAnswer(const CommitHandle &commit, uint32_t number);
    /** Takes a call from the budget of calls beyond first tries. @return false if none is left. */
    bool takeExtraCall();
    /** Reads the segment of @p commit, and sends the commit again if it is not there. */
    void readBack(const CommitHandle &commit);
    /** What has shown that a commit was executed. */
    enum class Evidence : uint8_t { FirstTry, LaterTry, Read };
    static const char *nameOf(Evidence evidence);
    /** @param tried the answered try, or the first one if a read has shown the segment */
    void markWritten(const CommitHandle &commit, const Try &tried, Evidence evidence);
    /** Probes the store until it answers, so that commits need not wait for calls that hang. */
    void probe();
    void handleProbe();
    void resendCommits();
    /** Reports the store as unreachable if it has answered no call since @p sentAt. */
    void checkSilence(Instant sentAt);
    void confirmCommits();
    void setStoreState(StoreState state);
    bool isReachable() const { return m_storeState == StoreState::Reachable; }
    Duration currentCommitInterval() const;

    TransactionalStore &m_store;
    ScopedTimers m_timers;
    ResendPolicy &m_resends;
    LogRateLimiter &m_log;
    Revision m_claim;
    Observer m_observer;
    uint64_t m_nextSegment;
    /** The lowest number of a segment that is part of the journal. */
    uint64_t m_floor;
    std::deque<Segment> m_segments;
    std::vector<PendingRecord> m_waiting;
    /** Commits in flight, ordered by segment number. */
    std::deque<CommitHandle> m_commits;
    std::size_t m_openReadBacks = 0;
    bool m_isProbing = false;
    std::vector<uint64_t> m_removals;
    /** How long the store took to answer the last try that it executed. */
    Duration m_latency{0};
    bool m_isScheduled = false;
    /** A commit must be sent even if nothing waits to be written. */
    bool m_isConfirmationRequested = false;
    bool m_isSuperseded = false;
    StoreState m_storeState = StoreState::Reachable;
    Instant m_lastCommit;
    Instant m_claimHeldAt;
    /** When the store last answered a call, whatever the outcome. */
    Instant m_lastAnswerAt{};
    Instant m_lastStartAt;
    /** When a commit that writes LeaderActivityKey was last begun. */
    Instant m_lastActivityAt{};
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
