#include "Coordination/Journal.h"

#include "Protocol/JournalCodec.h"

#include <fmt/format.h>
#include <glog/logging.h>

#include <algorithm>
#include <charconv>

namespace Cranberrymount {

const std::string LeaderKey = "cell/leader";
const std::string SegmentPrefix = "cell/journal/";

namespace {

/** Minimum time between the starts of two commits: 40 calls/s of the 400 that the store allows. */
constexpr Duration MinCommitInterval{25};
/** With a slow store, at most this many commits overlap; with a fast one they do not overlap. */
constexpr std::size_t MaxCommitsInFlight = 6;
/** The store counts as unresponsive if it answers no commit for this long, or for
 * ResponseTimeoutFactor times the latency of the last commit if that is longer. The slow store
 * in the platform's documentation takes 0.24 s per commit. */
constexpr Duration MinResponseTimeout{400};
constexpr int ResponseTimeoutFactor = 3;
/** Commits that take longer are logged. */
constexpr Duration SlowCommitThreshold{250};
/** Base and maximum of the pause before a commit is retried; the pause doubles with each retry. */
constexpr Duration BaseRetryPause{50};
constexpr Duration MaxRetryPause{400};
/** Interval between probes while the store accepts no commits. An unresponsive store lets each
 * commit hang for its 1 s timeout; a new call shows sooner that the store has recovered. */
constexpr Duration ProbeInterval{100};
/** The store accepts 32 rows per transaction; three of them are for the segment itself. */
constexpr std::size_t MaxRemovals = 24;
/** Half of the 1 MB that the platform accepts for one value. */
constexpr std::size_t MaxSegmentBytes = 500'000;
/** Encoded size of a record without its payload and tasks, and of one task in a snapshot. */
constexpr std::size_t RecordOverheadBytes = 200;
constexpr std::size_t TaskBytes = 80;

/** @return an upper estimate of the bytes that @p record takes in a segment. */
std::size_t estimateBytes(const JournalRecord &record)
{
    struct Visitor
    {
        std::size_t operator()(const JobAccepted &one) const
        {
            return RecordOverheadBytes + one.spec.payload.size()
                + TaskBytes * one.spec.steps.size();
        }
        std::size_t operator()(const JobCancelled &) const { return RecordOverheadBytes; }
        std::size_t operator()(const RunAssigned &) const { return RecordOverheadBytes; }
        std::size_t operator()(const RunEnded &one) const
        {
            return RecordOverheadBytes + one.checkpoint.size();
        }
        std::size_t operator()(const JobSnapshot &one) const
        {
            std::size_t bytes = (*this)(one.accepted);
            for (const auto &steps : one.tasks) {
                for (const auto &tasks : steps) {
                    for (const TaskProgress &task : tasks)
                        bytes += TaskBytes + task.checkpoint.size();
                }
            }
            return bytes;
        }
    };
    return std::visit(Visitor(), record);
}

} // namespace

std::string segmentKey(uint64_t number)
{
    return fmt::format("{}{:016}", SegmentPrefix, number);
}

uint64_t segmentNumber(const std::string &key)
{
    uint64_t number = 0;
    if (key.starts_with(SegmentPrefix))
        std::from_chars(key.data() + SegmentPrefix.size(), key.data() + key.size(), number);
    return number;
}

const JobId &jobOf(const JournalRecord &record)
{
    struct Visitor
    {
        const JobId &operator()(const JobAccepted &one) const { return one.job; }
        const JobId &operator()(const JobCancelled &one) const { return one.job; }
        const JobId &operator()(const RunAssigned &one) const { return one.task.job; }
        const JobId &operator()(const RunEnded &one) const { return one.task.job; }
        const JobId &operator()(const JobSnapshot &one) const { return one.accepted.job; }
    };
    return std::visit(Visitor(), record);
}

Journal::Journal(TransactionalStore &store, TimerService &timers, Revision claim,
                 Instant claimHeldAt, uint64_t nextSegment, Observer observer)
    : m_store(store)
    , m_timers(timers)
    , m_claim(claim)
    , m_observer(std::move(observer))
    , m_nextSegment(nextSegment)
    , m_lastCommit(timers.now())
    , m_claimHeldAt(claimHeldAt)
    , m_lastStartAt(timers.now() - MinCommitInterval)
{
}

void Journal::append(JournalRecord record, std::function<void()> onWritten)
{
    m_waiting.push_back({std::move(record), std::move(onWritten)});
    scheduleCommit();
}

void Journal::adoptSegment(uint64_t segment, std::set<JobId> jobs)
{
    m_segments.push_back({segment, std::move(jobs)});
}

void Journal::replaceOldestSegment(std::vector<JournalRecord> snapshots)
{
    m_removals.push_back(m_segments.front().number);
    m_segments.pop_front();
    for (JournalRecord &snapshot : snapshots)
        append(std::move(snapshot), {});
    scheduleCommit();
}

const Journal::Segment *Journal::oldestSegment() const
{
    // Segments of commits in flight are kept, since their records are not confirmed yet.
    const bool isBusy = m_removals.size() >= MaxRemovals;
    return isBusy || m_segments.size() <= m_commits.size() + 1 ? nullptr : &m_segments.front();
}

bool Journal::areRecordsWritten(const std::set<JobId> &jobs) const
{
    const auto concerns = [&jobs](const PendingRecord &pending) {
        return !std::holds_alternative<JobSnapshot>(pending.record)
            && jobs.contains(jobOf(pending.record));
    };
    return std::ranges::none_of(m_waiting, concerns)
        && std::ranges::none_of(m_commits, [&concerns](const std::shared_ptr<Commit> &commit) {
               return std::ranges::any_of(commit->records, concerns);
           });
}

void Journal::confirmClaim()
{
    if (m_commits.empty())
        commitNext();
}

void Journal::requestConfirmation()
{
    m_isConfirmationRequested = true;
    scheduleCommit();
}

Duration Journal::currentCommitInterval() const
{
    return std::max(MinCommitInterval, m_latency / static_cast<int>(MaxCommitsInFlight));
}

void Journal::scheduleCommit()
{
    if (m_commits.size() >= MaxCommitsInFlight || m_isScheduled || m_isSuperseded || !m_isReachable)
        return;
    m_isScheduled = true;
    const auto sinceLast = std::chrono::duration_cast<Duration>(m_timers.now() - m_lastStartAt);
    m_timers.after(std::max(Duration(0), currentCommitInterval() - sinceLast), [this] {
        m_isScheduled = false;
        commitNext();
    });
}

void Journal::commitNext()
{
    if (m_isSuperseded)
        return;
    m_isConfirmationRequested = false;
    const auto commit = std::make_shared<Commit>();
    commit->begin = m_lastStartAt = m_timers.now();
    std::size_t taken = 0;
    for (std::size_t bytes = 0; taken < m_waiting.size(); ++taken) {
        bytes += estimateBytes(m_waiting[taken].record);
        if (taken > 0 && bytes > MaxSegmentBytes)
            break;
    }
    commit->records.assign(std::make_move_iterator(m_waiting.begin()),
                           std::make_move_iterator(m_waiting.begin() + static_cast<long>(taken)));
    m_waiting.erase(m_waiting.begin(), m_waiting.begin() + static_cast<long>(taken));
    std::vector<JournalRecord> records;
    Segment segment{m_nextSegment++, {}};
    for (const PendingRecord &pending : commit->records) {
        segment.jobs.insert(jobOf(pending.record));
        records.push_back(pending.record);
    }
    StoreTransaction &transaction = commit->transaction;
    transaction.conditions = {{LeaderKey, m_claim}, {segmentKey(segment.number), Revision(0)}};
    transaction.puts = {{segmentKey(segment.number), encodeSegment(records), {}}};
    // Removes old segments only if all snapshots that replace them are written or in this commit.
    if (m_waiting.empty() && m_commits.empty()) {
        for (const uint64_t number : m_removals)
            transaction.removals.push_back(segmentKey(number));
        m_removals.clear();
    }
    m_segments.push_back(std::move(segment));
    m_commits.push_back(commit);
    sendCommit(commit);
    if (!m_waiting.empty())
        scheduleCommit();
}

void Journal::sendCommit(const std::shared_ptr<Commit> &commit)
{
    commit->sentAt = m_timers.now();
    const Try tried{++commit->lastTry, commit->sentAt};
    m_timers.after(std::max(MinResponseTimeout, ResponseTimeoutFactor * m_latency),
                   [this, sentAt = m_timers.now()] { checkStoreResponse(sentAt); });
    m_store.commit(
        commit->transaction,
        [this, commit, tried, alive = std::weak_ptr(m_alive)](const CommitResult &result) {
            if (alive.expired() || m_isSuperseded)
                return;
            if (result.outcome != CommitResult::Unknown)
                m_lastAnswerAt = m_timers.now();
            if (!commit->isWritten)
                handleResult(commit, tried, result);
        });
}

void Journal::handleResult(const std::shared_ptr<Commit> &commit, const Try &tried,
                           const CommitResult &result)
{
    const StoreTransaction::Put &segment = commit->transaction.puts.front();
    bool isWritten = result.outcome == CommitResult::Committed;
    if (result.outcome == CommitResult::Conflict) {
        const auto has = [&result](const std::string &name, auto matches) {
            return std::ranges::any_of(result.current, [&](const StoreEntry &entry) {
                return entry.key == name && matches(entry);
            });
        };
        const bool isLeader =
            has(LeaderKey, [this](const StoreEntry &entry) { return entry.revision == m_claim; });
        // Only this leader writes under its claim, so an earlier try of this commit succeeded.
        isWritten = isLeader && has(segment.key, [&segment](const StoreEntry &entry) {
                        return entry.value == segment.value;
                    });
        if (!isWritten) {
            LOG(WARNING) << "event=journal_superseded claim=" << m_claim.value()
                         << " segment=" << segment.key << " records=" << commit->records.size();
            m_isSuperseded = true;
            return m_observer.superseded();
        }
    }
    if (isWritten) {
        commit->isWritten = true;
        // Measures the last try only: the duration of an outage says nothing about later latency.
        m_latency = std::chrono::duration_cast<Duration>(m_timers.now() - commit->sentAt);
        const auto took = std::chrono::duration_cast<Duration>(m_timers.now() - commit->begin);
        if (took > SlowCommitThreshold)
            LOG(INFO) << "event=commit_slow segment=" << segment.key << " took_ms=" << took.count()
                      << " records=" << commit->records.size() << " bytes=" << segment.value.size()
                      << " tries=" << commit->lastTry;
        m_lastCommit = m_timers.now();
        m_claimHeldAt = std::max(m_claimHeldAt, tried.sentAt);
        if (!m_isReachable)
            resendCommits();
        setReachable(true);
        m_observer.claimConfirmed();
        return confirmCommits();
    }
    if (tried.number != commit->lastTry)
        return;
    setReachable(false);
    ++commit->retries;
    const Duration pause = exponentialBackoff(BaseRetryPause, commit->retries, MaxRetryPause);
    m_timers.after(pause, [this, commit, number = tried.number] {
        if (!m_isSuperseded && !commit->isWritten && commit->lastTry == number)
            sendCommit(commit);
    });
}

void Journal::checkStoreResponse(Instant sentAt)
{
    if (!m_commits.empty() && m_lastAnswerAt < sentAt && !m_isSuperseded)
        setReachable(false);
}

std::vector<JobId> Journal::withdrawUnsent()
{
    std::vector<JobId> jobs;
    for (const PendingRecord &pending : m_waiting) {
        if (const auto *accepted = std::get_if<JobAccepted>(&pending.record))
            jobs.push_back(accepted->job);
    }
    const std::set<JobId> withdrawn(jobs.begin(), jobs.end());
    std::erase_if(m_waiting, [&withdrawn](const PendingRecord &pending) {
        return withdrawn.contains(jobOf(pending.record));
    });
    return jobs;
}

/** Resends unwritten commits: earlier tries may still hang although the store has recovered. */
void Journal::resendCommits()
{
    m_lastResendAt = m_timers.now();
    for (const std::shared_ptr<Commit> &commit : m_commits) {
        if (!commit->isWritten)
            sendCommit(commit);
    }
}

void Journal::probe()
{
    if (m_isReachable || m_isSuperseded)
        return;
    m_store.probe([this, alive = std::weak_ptr(m_alive)](bool answers) {
        if (alive.expired() || !answers || m_isReachable || m_isSuperseded
            || m_timers.now() - m_lastResendAt < MaxRetryPause)
            return;
        resendCommits();
    });
    m_timers.after(ProbeInterval, [this] { probe(); });
}

/** Confirms written commits in order, up to the first one that is not written yet. */
void Journal::confirmCommits()
{
    const std::weak_ptr<bool> alive = m_alive;
    while (!m_commits.empty() && m_commits.front()->isWritten) {
        const auto commit = m_commits.front();
        m_commits.pop_front();
        for (const PendingRecord &pending : commit->records) {
            if (pending.onWritten)
                pending.onWritten();
            if (alive.expired())
                return;
        }
    }
    if (!m_waiting.empty() || !m_removals.empty() || m_isConfirmationRequested)
        scheduleCommit();
}

void Journal::setReachable(bool isReachable)
{
    if (m_isReachable == isReachable)
        return;
    m_isReachable = isReachable;
    LOG(INFO) << "event=store_" << (isReachable ? "regained" : "lost")
              << " claim=" << m_claim.value() << " waiting=" << m_waiting.size();
    if (!isReachable)
        probe();
    m_observer.reachabilityChanged(isReachable);
}

} // namespace Cranberrymount
