#include "Coordination/Journal.h"

#include "Protocol/JournalCodec.h"

#include <fmt/format.h>
#include <glog/logging.h>

#include <algorithm>
#include <charconv>

namespace Cranberrymount {

const std::string LeaderKey = "cell/leader";
const std::string LeaderActivityKey = "cell/leader/activity";
const std::string SegmentPrefix = "cell/journal/";

namespace {

/** Minimum time between the starts of two commits: 40 calls/s of the 400 that the store allows. */
constexpr Duration MinCommitInterval{25};
/** Minimum time between two commits that write LeaderActivityKey. An idle leader commits every 400
 * to 500 ms, and followers look for a change within a second. */
constexpr Duration ActivityInterval{200};
/** With a slow store, at most this many commits overlap; with a fast one they do not overlap. */
constexpr std::size_t MaxCommitsInFlight = 6;
/** The store counts as unresponsive if it answers no call for this long, or for
 * ResponseTimeoutFactor times the latency of the last commit if that is longer. The slow store
 * in the platform's documentation takes 0.24 s per commit. */
constexpr Duration MinResponseTimeout{400};
constexpr int ResponseTimeoutFactor = 3;
/** Commits that take longer are logged. */
constexpr Duration SlowCommitThreshold{250};
/** Reads of an unresponsive store hang; each occupies a connection. */
constexpr std::size_t MaxOpenReadBacks = 2;
/** After a missing answer, a read shows within this time whether the store answers at all. */
constexpr Duration ReadBackMargin{200};
/** Larger segments may take longer to be written than the usual response time. */
constexpr std::size_t UsualSegmentBytes = 16'384;
/** Base and maximum of the pause after a try that was refused or ended without an answer; the pause
 * doubles with each such try. */
constexpr Duration BaseRetryPause{50};
constexpr Duration MaxRetryPause{400};
/** Interval between probes while the store accepts no commits. An unresponsive store lets each
 * commit hang for its 1 s timeout; a new call shows sooner that the store has recovered. */
constexpr Duration ProbeInterval{100};
/** The store accepts 32 rows per transaction; four of them are for the segment itself and the
 * leader's activity. */
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

Journal::Journal(Dependencies dependencies, const Start &start, Observer observer)
    : m_store(dependencies.store)
    , m_timers(dependencies.timers)
    , m_resends(dependencies.resends)
    , m_log(dependencies.log)
    , m_claim(start.claim)
    , m_observer(std::move(observer))
    , m_nextSegment(start.nextSegment)
    , m_floor(start.floor)
    , m_lastCommit(m_timers.now())
    , m_claimHeldAt(start.claimHeldAt)
    , m_lastStartAt(m_timers.now() - MinCommitInterval)
{
}

void Journal::append(JournalRecord record, std::function<void()> onWritten,
                     std::function<void()> onWithdrawn)
{
    m_waiting.push_back({std::move(record), std::move(onWritten), std::move(onWithdrawn)});
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
        && std::ranges::none_of(m_commits, [&concerns](const CommitHandle &commit) {
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
    if (m_commits.size() >= MaxCommitsInFlight || m_isScheduled || m_isSuperseded || !isReachable())
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
    JournalSegment stored{{}, m_claim, m_floor};
    Segment segment{m_nextSegment++, {}};
    for (const PendingRecord &pending : commit->records) {
        segment.jobs.insert(jobOf(pending.record));
        stored.records.push_back(pending.record);
    }
    StoreTransaction &transaction = commit->transaction;
    // Removes old segments only if all snapshots that replace them are written or in this commit.
    if (m_waiting.empty() && m_commits.empty()) {
        for (const uint64_t number : m_removals) {
            transaction.removals.push_back(segmentKey(number));
            stored.floor = std::max(stored.floor, number + 1);
        }
        m_removals.clear();
    }
    commit->floor = stored.floor;
    transaction.conditions = {{LeaderKey, m_claim}, {segmentKey(segment.number), Revision(0)}};
    transaction.puts = {{segmentKey(segment.number), encodeSegment(stored), {}}};
    if (commit->begin - m_lastActivityAt >= ActivityInterval) {
        transaction.puts.push_back({LeaderActivityKey, "1", {}});
        m_lastActivityAt = commit->begin;
    }
    m_segments.push_back(std::move(segment));
    m_commits.push_back(commit);
    sendCommit(commit);
    if (!m_waiting.empty())
        scheduleCommit();
}

void Journal::sendCommit(const CommitHandle &commit)
{
    const Try tried{++commit->lastTry, m_timers.now()};
    m_observer.count("journal_tries", 1);
    m_timers.after(std::max({MinResponseTimeout, ResponseTimeoutFactor * m_latency,
                             answerDelay(*commit) + ReadBackMargin}),
                   [this, sentAt = tried.sentAt] { checkSilence(sentAt); });
    awaitAnswer(commit);
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

Duration Journal::answerDelay(const Commit &commit) const
{
    // Copies of a large segment would fill a narrow link before the first one has been sent.
    const std::size_t bytes = commit.transaction.puts.front().value.size();
    return m_resends.delayAfter(1 + commit.readBacks)
        * static_cast<int64_t>(1 + bytes / UsualSegmentBytes);
}

void Journal::awaitAnswer(const CommitHandle &commit)
{
    ResendPolicy::checkAfter(
        m_timers, answerDelay(*commit),
        [this, commit, number = commit->lastTry] { checkAnswer(commit, number); });
}

void Journal::checkAnswer(const CommitHandle &commit, uint32_t number)
{
    // While the store is unreachable, probe() finds out when a further try makes sense.
    if (m_isSuperseded || commit->isWritten || commit->lastTry != number || !isReachable())
        return;
    if (m_openReadBacks < MaxOpenReadBacks && takeExtraCall())
        return readBack(commit);
    m_timers.after(m_resends.delayAfter(1),
                   [this, commit, number] { checkAnswer(commit, number); });
}

bool Journal::takeExtraCall()
{
    const bool isTaken = m_resends.takeExtraCall();
    if (!isTaken)
        m_observer.count("store_extra_calls_refused", 1);
    return isTaken;
}

void Journal::readBack(const CommitHandle &commit)
{
    ++commit->readBacks;
    ++m_openReadBacks;
    m_observer.count("journal_read_backs", 1);
    const StoreTransaction::Put &segment = commit->transaction.puts.front();
    m_store.list(segment.key,
                 [this, commit, number = commit->lastTry, sentAt = m_timers.now(),
                  alive = std::weak_ptr(m_alive)](const StoreRead &read) {
                     if (alive.expired())
                         return;
                     --m_openReadBacks;
                     if (m_isSuperseded || commit->isWritten)
                         return;
                     if (!read.answered) {
                         if (m_lastAnswerAt < sentAt)
                             setStoreState(StoreState::Silent);
                         return awaitAnswer(commit);
                     }
                     m_lastAnswerAt = m_timers.now();
                     // The segment holds this leader's claim, so no other leader has written the
                     // same bytes.
                     const std::string &written = commit->transaction.puts.front().value;
                     if (std::ranges::find(read.entries, written, &StoreEntry::value)
                         != read.entries.end())
                         return markWritten(commit, {1, commit->begin}, Evidence::Read);
                     // After a refusal, the pauses of the refused tries say when to send again.
                     if (commit->lastTry != number || !isReachable())
                         return;
                     if (!takeExtraCall())
                         return awaitAnswer(commit);
                     sendCommit(commit);
                 });
}

void Journal::handleResult(const CommitHandle &commit, const Try &tried, const CommitResult &result)
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
        m_latency = std::chrono::duration_cast<Duration>(m_timers.now() - tried.sentAt);
        m_resends.recordResponse(m_latency);
        return markWritten(commit, tried,
                           tried.number == 1 ? Evidence::FirstTry : Evidence::LaterTry);
    }
    if (tried.number != commit->lastTry)
        return;
    if (result.outcome != CommitResult::Unknown)
        setStoreState(StoreState::Refusing);
    const bool isStoreLost = !isReachable();
    const Duration pause = exponentialBackoff(BaseRetryPause, ++commit->failures, MaxRetryPause);
    m_timers.after(pause, [this, commit, number = tried.number, isStoreLost] {
        if (!isStoreLost)
            return checkAnswer(commit, number);
        if (!m_isSuperseded && !commit->isWritten && commit->lastTry == number)
            sendCommit(commit);
    });
}

void Journal::markWritten(const CommitHandle &commit, const Try &tried, Evidence evidence)
{
    commit->isWritten = true;
    m_floor = std::max(m_floor, commit->floor);
    m_lastCommit = m_timers.now();
    m_claimHeldAt = std::max(m_claimHeldAt, tried.sentAt);
    const auto took = std::chrono::duration_cast<Duration>(m_lastCommit - commit->begin);
    const StoreTransaction::Put &segment = commit->transaction.puts.front();
    if (took > SlowCommitThreshold)
        LOG(INFO) << "event=commit_slow segment=" << segment.key << " took_ms=" << took.count()
                  << " records=" << commit->records.size() << " bytes=" << segment.value.size()
                  << " tries=" << commit->lastTry;
    if (commit->lastTry > 1 || commit->readBacks > 0) {
        LOG_EVENT(m_log, "commit_retried")
            << "segment=" << segment.key << " took_ms=" << took.count()
            << " tries=" << commit->lastTry << " read_backs=" << commit->readBacks
            << " answered_by=" << nameOf(evidence) << " try=" << tried.number;
    }
    m_observer.count("journal_answered_by_" + std::string(nameOf(evidence)), 1);
    if (!isReachable())
        resendCommits();
    setStoreState(StoreState::Reachable);
    m_observer.claimConfirmed();
    confirmCommits();
}

const char *Journal::nameOf(Evidence evidence)
{
    switch (evidence) {
    case Evidence::FirstTry:
        return "first_try";
    case Evidence::LaterTry:
        return "later_try";
    case Evidence::Read:
        return "read";
    }
    return "unknown";
}

void Journal::checkSilence(Instant sentAt)
{
    if (!m_commits.empty() && m_lastAnswerAt < sentAt && !m_isSuperseded)
        setStoreState(StoreState::Silent);
}

Duration Journal::oldestCommitAge() const
{
    if (m_commits.empty())
        return Duration(0);
    return std::chrono::duration_cast<Duration>(m_timers.now() - m_commits.front()->begin);
}

std::vector<JobId> Journal::withdrawUnsent()
{
    std::vector<JobId> jobs;
    for (const PendingRecord &pending : m_waiting) {
        if (const auto *accepted = std::get_if<JobAccepted>(&pending.record))
            jobs.push_back(accepted->job);
    }
    const std::set<JobId> withdrawn(jobs.begin(), jobs.end());
    std::vector<std::function<void()>> notices;
    for (const PendingRecord &pending : m_waiting) {
        if (pending.onWithdrawn)
            notices.push_back(pending.onWithdrawn);
    }
    std::erase_if(m_waiting, [&withdrawn](const PendingRecord &pending) {
        return pending.onWithdrawn || withdrawn.contains(jobOf(pending.record));
    });
    for (const auto &notify : notices)
        notify();
    return jobs;
}

/** Resends unwritten commits: earlier tries may still hang although the store has recovered. */
void Journal::resendCommits()
{
    m_lastResendAt = m_timers.now();
    for (const CommitHandle &commit : m_commits) {
        if (!commit->isWritten)
            sendCommit(commit);
    }
}

void Journal::probe()
{
    m_isProbing = !isReachable() && !m_isSuperseded;
    if (!m_isProbing)
        return;
    m_store.probe([this, alive = std::weak_ptr(m_alive)](bool answers) {
        if (!alive.expired() && answers && !isReachable() && !m_isSuperseded)
            handleProbe();
    });
    m_timers.after(ProbeInterval, [this] { probe(); });
}

void Journal::handleProbe()
{
    m_lastAnswerAt = m_timers.now();
    if (m_storeState == StoreState::Silent) {
        resendCommits();
        setStoreState(StoreState::Reachable);
        return scheduleCommit();
    }
    // An earlier try may have been executed, and its answer lost.
    if (!m_commits.empty() && m_openReadBacks < MaxOpenReadBacks && takeExtraCall())
        readBack(m_commits.front());
    if (m_timers.now() - m_lastResendAt >= MaxRetryPause)
        resendCommits();
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

void Journal::setStoreState(StoreState state)
{
    const bool wasReachable = isReachable();
    // A store that has refused a commit stays unreachable until it writes one.
    if (m_storeState == StoreState::Refusing && state == StoreState::Silent)
        return;
    m_storeState = state;
    if (wasReachable == isReachable())
        return;
    LOG(INFO) << "event=store_" << (isReachable() ? "regained" : "lost")
              << " claim=" << m_claim.value() << " waiting=" << m_waiting.size()
              << " in_flight=" << m_commits.size();
    if (!isReachable() && !m_isProbing)
        probe();
    m_observer.reachabilityChanged(isReachable());
}

} // namespace Cranberrymount
