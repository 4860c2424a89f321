#include "Coordination/CellScheduler.h"

#include "Coordination/CommandRelay.h"
#include "Coordination/RepeatedCall.h"
#include "Coordination/WorkerConnections.h"
#include "Protocol/JournalCodec.h"
#include "Protocol/ProtocolError.h"

#include <glog/logging.h>

#include <algorithm>

namespace Cranberrymount {

namespace {

/** Operators' changes must take effect within 2 s, and a leaving worker must get no starts after
 * that time: both lists are read well within it, 1.4 times a second each. */
constexpr Duration ViewPollInterval{700};
constexpr Duration ViewRetryDelay{250};
/** How often a read of the configuration is sent at most while the store does not answer it: calls
 * are refused once the last answer is too old. */
constexpr uint32_t MaxOperatorReads = 4;
/** No decision is made on older views: changes to them must take effect within 2 s. */
constexpr Duration MaxViewAge{1800};
constexpr Duration TickInterval{100};
/** A process that has not run for this long counts as frozen: meanwhile a node that was offered the
 * claim may have started tasks elsewhere. */
constexpr Duration MaxStandstill{300};
/** Time between two log lines about the leader's load. */
constexpr Duration LoadLogInterval{1000};
/** Changes that arrive within this time are handled in the same round of decisions. */
constexpr Duration DispatchDelay{10};
/** Pause after a round of decisions, as a multiple of the time that the round took: calls, commands
 * and reports need most of the leader's processor time. */
constexpr int RestPerRoundFactor = 3;
/** A lease ends this long after the last confirmation of the claim at the latest, so that a
 * successor can compute when all of them are over (docs/design/LostWorkers.md). Work goes on for
 * this long without the store; longer leases delay the restart of work whose worker is gone, which
 * users expect within 9 s. */
constexpr Duration LeaseBound{6000};
/** While nothing else is written, an empty commit confirms the claim at least this often. */
constexpr Duration ClaimConfirmationInterval{400};
constexpr Duration RecoveryRetryDelay{200};
/** Time for commits in flight to finish, so that their callers are answered. The next leader
 * handles later ones: under load the journal never becomes empty. */
constexpr Duration QuiesceDelay{60};
/** A start command arrives at a worker within this time or not at all: its timeout, the time that
 * it may take to a forwarder, and the time that it may wait for a connection. */
constexpr Duration StartDeliveryTime =
    Duration(800) + CommandRelay::MaxCommandDelay + WorkerConnections::MaxQueueTime;
/** Lower bound of a run's expected duration; submitters' estimates may be 0. */
constexpr Duration MinRunDuration{100};
/** Least progress in percent that is used to predict a run's end; smaller values are too coarse. */
constexpr int MinUsablePercent = 10;
/** Least time between two log lines about one gang that can't be placed. */
constexpr Duration BlockedGangLogPause{10'000};
/** Delay after a failed call to the advisor. */
constexpr Duration AdviceRetryDelay{150};
/** Subtracted from a ticket's lifetime: it is counted from the arrival of the response here, but
 * the advisor counts from when it sent the response. */
constexpr Duration TicketLifetimeMargin{100};
constexpr Duration CleanInterval{250};

} // namespace

CellScheduler::CellScheduler(Dependencies dependencies, CellTerms terms, Revision claim,
                             Instant claimHeldAt, std::function<void()> superseded)
    : m_dependencies(std::move(dependencies))
    , m_terms(terms)
    , m_epoch(claim.value())
    , m_claimHeldAt(claimHeldAt)
    , m_superseded([this, superseded = std::move(superseded)] {
        if (!m_isSuperseded) {
            abandon();
            superseded();
        }
    })
    , m_timers(m_dependencies.timers)
{
    // The former leader's last confirmation is older than this claim.
    const Instant now = m_timers.now();
    m_inheritedExpiry = WorkerSession::leaseExpiry(now, LeaseBound);
    m_inheritedExpiryAfterRestart =
        WorkerSession::leaseExpiry(now + LeaseBound, m_terms.leaseLength);
}

Duration CellScheduler::timeSinceStoreConfirmation() const
{
    // Reading a long journal is no reason to replace this leader.
    if (!m_journal && m_isStoreReachable)
        return Duration(0);
    const Instant confirmedAt = m_journal ? m_journal->lastCommitAt() : m_claimHeldAt;
    return std::chrono::duration_cast<Duration>(m_timers.now() - confirmedAt);
}

Duration CellScheduler::claimAge() const
{
    const Instant heldAt = m_journal ? m_journal->claimHeldAt() : m_claimHeldAt;
    return std::chrono::duration_cast<Duration>(m_timers.now() - heldAt);
}

Duration CellScheduler::grantableLease() const
{
    return std::min(m_terms.leaseLength, LeaseBound - claimAge());
}

void CellScheduler::observeActivity()
{
    const Instant now = m_timers.now();
    if (now - m_lastActiveAt > MaxStandstill)
        m_resumedAt = now;
    m_lastActiveAt = now;
}

Duration CellScheduler::storeOutageDuration() const
{
    if (m_isStoreReachable)
        return Duration(0);
    return std::chrono::duration_cast<Duration>(m_timers.now() - m_storeOutageBeganAt);
}

void CellScheduler::recover()
{
    LOG(INFO) << "event=recovery_began epoch=" << m_epoch.value();
    readJournal();
    pollOperators();
    pollWorkers();
}

void CellScheduler::readJournal()
{
    m_dependencies.store.list(SegmentPrefix,
                              [this, alive = std::weak_ptr(m_alive)](const StoreRead &read) {
                                  if (alive.expired() || m_isSuperseded)
                                      return;
                                  if (!read.answered)
                                      return retryReadingJournal();
                                  continueJournal(read);
                              });
}

void CellScheduler::continueJournal(const StoreRead &read)
{
    m_isStoreReachable = true;
    std::map<uint64_t, JournalSegment> segments;
    uint64_t lastUnreadable = 0;
    Journal::Start start{Revision(m_epoch.value()), m_claimHeldAt};
    for (const StoreEntry &entry : read.entries) {
        const uint64_t number = segmentNumber(entry.key);
        JournalSegment &segment = segments[number];
        try {
            segment = decodeSegment(entry.value);
        } catch (const ProtocolError &error) {
            LOG(ERROR) << "event=segment_unreadable key=" << entry.key << " error=" << error.what();
            lastUnreadable = std::max(lastUnreadable, number);
        }
        start.floor = std::max(start.floor, segment.floor);
        start.nextSegment = std::max({start.nextSegment, number + 1, segment.floor});
    }
    m_isJournalIncomplete = lastUnreadable > 0 && lastUnreadable >= start.floor;
    std::size_t records = 0;
    std::vector<std::pair<uint64_t, std::set<JobId>>> adopted;
    for (const auto &[number, segment] : segments) {
        std::set<JobId> jobs;
        if (number < start.floor) {
            LOG(WARNING) << "event=segment_removed_before number=" << number
                         << " floor=" << start.floor << " records=" << segment.records.size();
        } else {
            for (const JournalRecord &record : segment.records) {
                noteRestart(record);
                m_jobs.apply(record, m_dependencies.wallClock());
                jobs.insert(jobOf(record));
                ++records;
            }
        }
        adopted.emplace_back(number, std::move(jobs));
    }
    m_journal =
        std::make_unique<Journal>(Journal::Dependencies{m_dependencies.store, m_dependencies.timers,
                                                        m_dependencies.resends, m_dependencies.log},
                                  start, journalObserver());
    for (auto &[number, jobs] : adopted)
        m_journal->adoptSegment(number, std::move(jobs));
    LOG(INFO) << "event=journal_read epoch=" << m_epoch.value() << " segments=" << segments.size()
              << " records=" << records << " jobs=" << m_jobs.jobs().size()
              << " open=" << m_jobs.openJobs().size();
    finishRecovery();
}

Journal::Observer CellScheduler::journalObserver()
{
    Journal::Observer observer;
    observer.superseded = m_superseded;
    observer.claimConfirmed = [this] { handleClaimConfirmed(); };
    observer.reachabilityChanged = [this](bool isReachable) {
        m_isStoreReachable = isReachable;
        m_storeOutageBeganAt = m_timers.now();
        // Deferred: the journal must not be changed inside its own callback.
        if (!isReachable)
            m_timers.after(Duration(0), [this] {
                refuseUnsentSubmissions();
                refuseUnprovenCalls();
            });
        if (isReachable) {
            m_dependencies.storeRecovered();
            scheduleDispatch();
        }
    };
    observer.count = m_dependencies.count;
    return observer;
}

/** Reads the journal again; if the store doesn't answer a probe either, this leader can't use it.
 */
void CellScheduler::retryReadingJournal()
{
    m_dependencies.store.probe([this, alive = std::weak_ptr(m_alive)](bool answers) {
        if (alive.expired() || m_isSuperseded)
            return;
        if (m_isStoreReachable && !answers) {
            m_isStoreReachable = false;
            m_storeOutageBeganAt = m_timers.now();
        }
        m_timers.after(RecoveryRetryDelay, [this] { readJournal(); });
    });
}

void CellScheduler::pollOperators()
{
    struct TimedView
    {
        OperatorView view;
        Instant sentAt;
    };
    const auto send = [this, alive = std::weak_ptr(m_alive)](auto done) {
        const Instant sentAt = m_timers.now();
        m_dependencies.operators.readOperators([alive, done, sentAt](OperatorView view) {
            // The repeated call uses this scheduler's timers.
            if (alive.expired())
                return;
            const bool isAnswered = view.answered;
            done(isAnswered ? std::optional(TimedView{std::move(view), sentAt}) : std::nullopt);
        });
    };
    const auto handle = [this](std::optional<TimedView> read) {
        if (m_isSuperseded)
            return;
        if (!read)
            return m_timers.after(ViewRetryDelay, [this] { pollOperators(); });
        applyOperators(std::move(read->view), read->sentAt);
    };
    RepeatedCall<TimedView>::begin(
        {m_timers, m_dependencies.resends, "operators", MaxOperatorReads}, send, handle);
}

void CellScheduler::applyOperators(OperatorView view, Instant sentAt)
{
    m_operatorsReadAt = sentAt;
    if (view.configuration && view.configuration->version > m_configuration.version) {
        LOG(INFO) << "event=configuration_applied version=" << view.configuration->version
                  << " before=" << m_configuration.version
                  << " queues=" << view.configuration->queues.size()
                  << " teams=" << view.configuration->teams.size();
        m_configuration = std::move(*view.configuration);
        if (m_isReady)
            applyDirectory();
    }
    if (view.evacuated != m_evacuatedZones) {
        LOG(INFO) << "event=evacuations_changed zones=" << view.evacuated.size();
        m_evacuatedZones = std::move(view.evacuated);
    }
    finishRecovery();
    scheduleDispatch();
    m_timers.after(ViewPollInterval, [this] { pollOperators(); });
}

void CellScheduler::pollWorkers()
{
    const Instant sentAt = m_timers.now();
    m_dependencies.operators.readWorkers(
        [this, sentAt, alive = std::weak_ptr(m_alive)](WorkerDirectory directory) {
            if (alive.expired() || m_isSuperseded)
                return;
            if (!directory.answered)
                return m_timers.after(ViewRetryDelay, [this] { pollWorkers(); });
            m_workersReadAt = sentAt;
            m_directory = std::move(directory);
            if (m_isReady)
                applyDirectory();
            finishRecovery();
            scheduleDispatch();
            m_timers.after(ViewPollInterval, [this] { pollWorkers(); });
        });
}

void CellScheduler::finishRecovery()
{
    const bool isComplete = m_journal && m_operatorsReadAt != Instant()
        && m_workersReadAt != Instant() && m_configuration.version > 0;
    if (m_isReady || !isComplete)
        return;
    applyDirectory();
    m_isReady = true;
    adoptRuns();
    // Workers with runs of jobs that are over are used, too.
    applyDirectory();
    adoptEnds(std::exchange(m_adoptedEnds, {}));
    stopRunsOfEndedJobs();
    LOG(INFO) << "event=recovery_ended epoch=" << m_epoch.value() << " runs=" << m_runs.size()
              << " workers=" << m_sessions.size() << " configuration=" << m_configuration.version;
    for (auto &[id, session] : m_sessions)
        session->requestReport();
    m_journal->confirmClaim();
    m_load.since = m_lastActiveAt = m_timers.now();
    m_tickDueAt = m_load.since + TickInterval;
    m_timers.after(TickInterval, [this] { tick(); });
    m_timers.after(CleanInterval, [this] { cleanJournal(); });
}

bool CellScheduler::isPoolNamed(const std::string &pool) const
{
    const auto isNamedBy = [&pool](const auto &settings, auto name) {
        return std::ranges::find(settings, pool, name) != settings.end();
    };
    return !pool.empty()
        && (isNamedBy(m_configuration.pools, &PoolSettings::name)
            || isNamedBy(m_configuration.queues, &QueueSettings::pool)
            || std::ranges::any_of(m_jobs.openJobs(), [this, &pool](const JobId &id) {
                   return m_jobs.find(id)->accepted.pool == pool;
               }));
}

void CellScheduler::applyDirectory()
{
    std::set<WorkerId> listed;
    std::set<WorkerId> unused;
    std::set<WorkerIncarnation> listedIncarnations;
    std::set<WorkerId> withRuns;
    for (const auto &[incarnation, runs] : m_runsByWorker)
        withRuns.insert(incarnation.id);
    std::map<std::string, bool> isNamed;
    // An entry may be one of another writer, which must have no effect.
    const auto isUsed = [&](const CellWorker &worker) {
        const auto [position, isNew] = isNamed.try_emplace(worker.pool);
        if (isNew)
            position->second = isPoolNamed(worker.pool);
        return position->second || withRuns.contains(worker.incarnation.id);
    };
    for (const CellWorker &worker : m_directory.workers) {
        listed.insert(worker.incarnation.id);
        listedIncarnations.insert(worker.incarnation);
        // An entry outlives its incarnation until the next one renews it or it expires.
        if (m_endedIncarnations.contains(worker.incarnation))
            continue;
        const auto found = m_sessions.find(worker.incarnation.id);
        if (found == m_sessions.end()) {
            if (isUsed(worker)) {
                beginSession(worker);
            } else if (unused.insert(worker.incarnation.id).second
                       && !m_unusedWorkers.contains(worker.incarnation.id)) {
                LOG_EVENT(m_dependencies.log, "worker_unused")
                    << "worker=" << worker.incarnation.id.value()
                    << " configuration=" << m_configuration.version;
            }
            continue;
        }
        WorkerSession &session = *found->second;
        if (session.incarnation() == worker.incarnation) {
            if (session.worker().isLeaving != worker.isLeaving)
                LOG(INFO) << "event=worker_state worker=" << worker.incarnation.id.value()
                          << " leaving=" << worker.isLeaving;
            session.update(worker);
        } else if (session.incarnation().startedAtMs < worker.incarnation.startedAtMs) {
            LOG(INFO) << "event=worker_reborn worker=" << worker.incarnation.id.value()
                      << " born=" << worker.incarnation.startedAtMs;
            endSession(found);
            beginSession(worker);
        }
    }
    m_unusedWorkers = std::move(unused);
    // None of them is on the stack here; until it is destroyed a session goes on to ask for
    // reports.
    m_endedSessions.clear();
    std::erase_if(m_endedIncarnations, [&](const auto &entry) {
        return !listedIncarnations.contains(entry.first) && !m_runsByWorker.contains(entry.first);
    });
    std::erase_if(m_sessions, [&](const auto &entry) {
        const WorkerSession &session = *entry.second;
        const bool isGone = !listed.contains(entry.first) && !session.isReachable()
            && m_timers.now() > session.allLeasesExpireAt();
        if (isGone)
            LOG(INFO) << "event=worker_gone worker=" << entry.first.value();
        return (isGone && !m_runsByWorker.contains(session.incarnation()))
            || (!isUsed(session.worker()) && !session.hasUnsentAcknowledgement());
    });
}

void CellScheduler::beginSession(const CellWorker &worker)
{
    WorkerSession::Observer observer;
    observer.report = [this](WorkerSession &session, const HoldReply &reply, Instant sentAt) {
        if (!m_isSuperseded)
            handleReport(session, reply, sentAt);
    };
    observer.reachabilityChanged = [this](WorkerSession &session, bool isReachable) {
        if (m_isSuperseded)
            return;
        LOG(INFO) << "event=worker_" << (isReachable ? "reached" : "unreachable")
                  << " worker=" << session.incarnation().id.value()
                  << " zone=" << session.worker().zone.value() << " epoch=" << m_epoch.value();
        scheduleDispatch();
    };
    observer.ended = [this](WorkerSession &session, const HoldReply &reply) {
        if (!m_isSuperseded)
            handleOtherIncarnation(session, reply);
    };
    observer.refused = [this](WorkerSession &session) {
        // What it refused while the claim stood, it goes on to refuse: that says nothing new.
        if (!m_isSuperseded && !session.isForeign())
            doubtClaimOver(session.incarnation());
    };
    // Without the store the claim can't be confirmed soon; a successor counts on leases of the
    // length that grantableLease() returns.
    observer.mayRequestReports = [this] {
        return !isClaimInDoubt() || (!m_isStoreReachable && grantableLease() > Duration(0));
    };
    observer.grantableLease = [this] { return grantableLease(); };
    std::vector<WorkerIncarnation> earlierIncarnations;
    for (const auto &[incarnation, keys] : m_runsByWorker) {
        if (incarnation.id == worker.incarnation.id && incarnation != worker.incarnation)
            earlierIncarnations.push_back(incarnation);
    }
    for (const WorkerIncarnation &incarnation : earlierIncarnations)
        moveToNextIncarnation(incarnation, worker.incarnation);
    LeaseTerms terms{m_epoch, m_terms.leaseLength, m_inheritedExpiry};
    for (const auto &[incarnation, expiry] : m_endedIncarnations) {
        if (incarnation.id == worker.incarnation.id)
            terms.inheritedExpiry = std::max(terms.inheritedExpiry, expiry);
    }
    if (!earlierIncarnations.empty() || m_restartedWorkers.contains(worker.incarnation.id))
        terms.inheritedExpiry = std::max(terms.inheritedExpiry, m_inheritedExpiryAfterRestart);
    auto &session = m_sessions[worker.incarnation.id];
    session = std::make_unique<WorkerSession>(m_dependencies.commands, m_dependencies.timers,
                                              worker, terms, std::move(observer));
    if (m_isReady)
        session->requestReport();
}

void CellScheduler::endSession(
    std::map<WorkerId, std::unique_ptr<WorkerSession>>::iterator position)
{
    const WorkerIncarnation incarnation = position->second->incarnation();
    m_endedIncarnations[incarnation] =
        std::max(position->second->nextIncarnationLeasesExpireAt() + StartDeliveryTime,
                 m_inheritedExpiryAfterRestart);
    m_health.forget(incarnation);
    m_speeds.forget(incarnation);
    m_fullyKnownWorkers.erase(incarnation);
    // Destroyed later, because this may run inside one of the session's methods.
    m_endedSessions.push_back(std::move(position->second));
    m_sessions.erase(position);
}

void CellScheduler::handleOtherIncarnation(WorkerSession &session, const HoldReply &reply)
{
    const auto found = m_sessions.find(session.incarnation().id);
    if (found == m_sessions.end() || found->second.get() != &session)
        return;
    LOG(INFO) << "event=worker_life_ended worker=" << session.incarnation().id.value()
              << " born=" << session.incarnation().startedAtMs << " next=" << reply.startedAtMs;
    const WorkerIncarnation ended = session.incarnation();
    CellWorker next = session.worker();
    endSession(found);
    if (reply.outcome == HoldReply::Answered) {
        // The store may list the next incarnation only later, or never if the worker can't reach
        // it. Its reports decide about the commands that have reached it.
        next.incarnation.startedAtMs = reply.startedAtMs;
        next.isListed = false;
        beginSession(next);
    } else {
        // Another worker has the address and refuses all commands that name this one.
        recordLostRuns(ended, "worker_replaced");
    }
    scheduleDispatch();
}

void CellScheduler::handleRefusedCommand(const WorkerIncarnation &worker)
{
    if (WorkerSession *session = sessionOf(worker))
        return session->handleRefusal();
    doubtClaimOver(worker);
}

void CellScheduler::doubtClaimOver(const WorkerIncarnation &worker)
{
    m_refusingWorkers.insert(worker);
    doubtClaim();
}

void CellScheduler::doubtClaim()
{
    m_claimDoubtedAt = m_timers.now();
    if (m_journal)
        m_journal->requestConfirmation();
}

bool CellScheduler::isClaimInDoubt() const
{
    return m_claimDoubtedAt && (!m_journal || m_journal->claimHeldAt() <= *m_claimDoubtedAt);
}

void CellScheduler::handleClaimConfirmed()
{
    // Deferred: the journal calls this while it handles a commit.
    if (!m_unprovenCalls.empty())
        m_timers.after(Duration(0), [this] { serveProvenCalls(); });
    if (!m_claimDoubtedAt || isClaimInDoubt())
        return;
    m_claimDoubtedAt.reset();
    for (const WorkerIncarnation &incarnation : std::exchange(m_refusingWorkers, {})) {
        LOG_EVENT(m_dependencies.log, "worker_foreign")
            << "worker=" << incarnation.id.value() << " epoch=" << m_epoch.value();
        if (WorkerSession *session = sessionOf(incarnation))
            session->setForeign();
    }
    m_timers.after(Duration(0), [this] { sendDeferredCommands(); });
}

void CellScheduler::tick()
{
    if (m_isSuperseded)
        return;
    m_endedSessions.clear();
    observeActivity();
    const Instant now = m_timers.now();
    if (timeSinceStoreConfirmation() > ClaimConfirmationInterval)
        m_journal->confirmClaim();
    refuseUnsentSubmissions();
    refuseUnprovenCalls();
    for (const auto &[id, session] : m_sessions) {
        if (!session->isReachable() && now > session->allLeasesExpireAt())
            recordExpiredRuns(*session);
    }
    for (const auto &[incarnation, keys] : m_runsByWorker) {
        if (sessionOf(incarnation))
            continue;
        // A worker that was never listed to this leader got its last lease from an earlier one.
        const auto ended = m_endedIncarnations.find(incarnation);
        const Instant inherited = m_restartedWorkers.contains(incarnation.id)
            ? m_inheritedExpiryAfterRestart
            : m_inheritedExpiry;
        if (now > (ended != m_endedIncarnations.end() ? ended->second : inherited))
            recordLostRuns(incarnation, "worker_unknown");
    }
    checkStalledRuns();
    stopIncompleteGangs();
    scheduleDispatch();
    m_load.maxTimerDelay = std::max(m_load.maxTimerDelay, now - m_tickDueAt);
    if (now - m_load.since >= LoadLogInterval)
        logLoad();
    m_tickDueAt = m_timers.now() + TickInterval;
    m_timers.after(TickInterval, [this] { tick(); });
}

void CellScheduler::logLoad()
{
    LOG(INFO) << "event=scheduler_load " << m_load << " open_jobs=" << m_jobs.openJobs().size()
              << " runs=" << m_runs.size()
              << " submissions_unwritten=" << m_unwrittenSubmissions.size()
              << " ends_unwritten=" << m_unwrittenEnds.size()
              << " store_age_ms=" << timeSinceStoreConfirmation().count()
              << " start_delay_ms=" << m_startLatency.upperEstimate().count();
    m_load = SchedulerLoad{.since = m_timers.now(),
                           .waiting = m_load.waiting,
                           .idleCallers = m_load.idleCallers,
                           .blockedGangs = m_load.blockedGangs};
}

bool CellScheduler::acceptsStarts(const WorkerSession &session) const
{
    return session.isReachable() && session.worker().isListed && !session.worker().isLeaving
        && !m_evacuatedZones.contains(session.worker().zone)
        && !m_health.isQuarantined(session.incarnation(), m_timers.now());
}

void CellScheduler::scheduleDispatch()
{
    if (m_isDispatchScheduled || !m_isReady || m_isSuperseded || m_isQuiescing)
        return;
    m_isDispatchScheduled = true;
    const auto rest = std::chrono::duration_cast<Duration>(m_earliestRoundAt - m_timers.now());
    m_timers.after(std::max(DispatchDelay, rest), [this] {
        m_isDispatchScheduled = false;
        const Instant begunAt = m_timers.now();
        dispatch();
        const Instant endedAt = m_timers.now();
        ++m_load.rounds;
        m_load.roundTime += endedAt - begunAt;
        m_earliestRoundAt = endedAt + RestPerRoundFactor * (endedAt - begunAt);
    });
}

void CellScheduler::dispatch()
{
    const Instant now = m_timers.now();
    const bool isFresh = now - m_operatorsReadAt < MaxViewAge && now - m_workersReadAt < MaxViewAge;
    if (m_isSuperseded || m_isQuiescing || !isFresh || !m_isStoreReachable || mayHaveUnknownRuns())
        return;
    DispatchInput input = makeDispatchInput();
    std::vector<WorkerIncarnation> incarnations;
    incarnations.reserve(input.workers.size());
    for (const DispatchWorker &worker : input.workers)
        incarnations.push_back(worker.info->incarnation);
    const Instant gatheredAt = m_timers.now();
    const DispatchResult result = Dispatcher(std::move(input)).decide();
    m_load.gatheringTime += gatheredAt - now;
    m_load.decidingTime += m_timers.now() - gatheredAt;
    m_load.starts += static_cast<uint32_t>(result.starts.size());
    m_load.waiting = result.waiting;
    m_load.blockedGangs = result.blockedGangs.size();
    logBlockedGangs(result.blockedGangs);
    m_localityWaits.update(result.localityDecisions, now, m_dependencies.count);
    for (const StartDecision &decision : result.starts) {
        LOG_EVENT(m_dependencies.log, "start_decided")
            << "job=" << decision.task.job.value() << " step=" << decision.task.step
            << " index=" << decision.task.index << " attempt=" << decision.attempt
            << " worker=" << incarnations[decision.worker].id.value() << " workers_age_ms="
            << std::chrono::duration_cast<Duration>(now - m_workersReadAt).count()
            << " configuration=" << m_configuration.version;
        recordStart(decision, incarnations[decision.worker]);
    }
    for (const AdviceDecision &decision : result.advice)
        requestAdvice(decision);
    m_load.idleCallers = m_dependencies.advice.capacity().longCalls;
}

Instant CellScheduler::expectedReleaseOf(const ActiveRun &run, Instant now)
{
    if (run.isService)
        return NeverReleased;
    Instant end = run.beganAt + std::max(run.estimate, MinRunDuration);
    // From here on the reported progress is a better predictor than the submitter's estimate.
    if (run.percent >= MinUsablePercent)
        end = run.beganAt + (run.percentChangedAt - run.beganAt) * 100 / run.percent;
    return expectedRelease(now, end, std::chrono::duration_cast<Duration>(end - run.beganAt));
}

void CellScheduler::logBlockedGangs(const std::vector<BlockedGang> &gangs)
{
    const Instant now = m_timers.now();
    for (const auto &[step, obstacle] : gangs) {
        BlockedGangLog &last = m_blockedGangLogs[step];
        if (last.obstacle == obstacle
            || (last.obstacle != GangObstacle::None && now - last.loggedAt < BlockedGangLogPause))
            continue;
        last = {obstacle, now};
        LOG_EVENT(m_dependencies.log, "gang_blocked")
            << "job=" << step.job.value() << " occurrence=" << step.occurrence
            << " step=" << step.step << " why=" << nameOf(obstacle);
        m_dependencies.count("gangs_blocked", 1);
    }
}

DispatchInput CellScheduler::makeDispatchInput() const
{
    DispatchInput input;
    input.now = m_timers.now();
    input.wallNow = m_dependencies.wallClock();
    input.jobs = &m_jobs;
    input.configuration = &m_configuration;
    input.advice = &m_adviceCache;
    input.adviceCapacity = m_dependencies.advice.capacity();
    input.teamUse = m_teamUse;
    input.startDelay = m_startLatency.upperEstimate();
    input.remoteFactor = m_terms.remoteFactor;
    input.runLengths = &m_runLengths;
    input.localityWaits = &m_localityWaits;
    input.workers.reserve(m_sessions.size());
    for (const auto &[id, session] : m_sessions) {
        DispatchWorker worker;
        worker.info = &session->worker();
        worker.acceptsWork = acceptsStarts(*session);
        worker.slowness = m_speeds.slownessOf(session->incarnation());
        const auto runs = m_runsByWorker.find(session->incarnation());
        if (runs != m_runsByWorker.end()) {
            worker.allocations.reserve(runs->second.size());
            for (const auto &[key, activeRun] : runs->second) {
                const ActiveRun &run = *activeRun;
                worker.used += run.need;
                worker.allocations.push_back({&key.job, key.occurrence, key.step, run.need,
                                              expectedReleaseOf(run, input.now)});
            }
        }
        input.workers.push_back(std::move(worker));
    }
    return input;
}

void CellScheduler::requestAdvice(const AdviceDecision &decision)
{
    AdviceCall call;
    call.step = decision.step;
    for (const WorkerIncarnation &worker : decision.workers)
        call.workers.push_back(worker.id);
    const Instant sentAt = m_timers.now();
    const bool isAccepted = m_dependencies.advice.tryCall(
        std::move(call), decision.cost,
        [this, decision, sentAt, alive = std::weak_ptr(m_alive)](const AdviceReply &reply) {
            if (!alive.expired() && !m_isSuperseded)
                handleAdvice(decision, reply, sentAt);
        });
    if (!isAccepted)
        return;
    m_adviceCache.beginCall(decision.step, decision.workers);
    m_dependencies.count("advice_calls", 1);
}

void CellScheduler::handleAdvice(const AdviceDecision &decision, const AdviceReply &reply,
                                 Instant sentAt)
{
    const Instant now = m_timers.now();
    LOG_EVENT(m_dependencies.log, "advice")
        << "job=" << decision.step.job.value() << " step=" << decision.step.step
        << " asked=" << decision.workers.size() << " allowed=" << reply.allowed.size()
        << " answered=" << reply.answered
        << " took_ms=" << std::chrono::duration_cast<Duration>(now - sentAt).count();
    scheduleDispatch();
    const JobRecord *job = m_jobs.find(decision.step.job);
    if (!job || job->isOver())
        return forgetDecisions(decision.step.job);
    if (!reply.answered)
        return m_adviceCache.recordFailure(decision.step, decision.workers, now + AdviceRetryDelay);
    std::map<WorkerId, std::string> tickets;
    for (const AdviceTicket &ticket : reply.allowed)
        tickets.emplace(ticket.worker, ticket.ticket);
    m_adviceCache.recordAnswer(decision.step, decision.workers, tickets,
                               now + decision.ticketLifetime - TicketLifetimeMargin,
                               job->accepted.queue);
}

void CellScheduler::abandon()
{
    m_isSuperseded = true;
    returnUnprovenCalls();
}

void CellScheduler::quiesce(std::function<void()> done)
{
    m_isQuiescing = true;
    m_timers.after(QuiesceDelay, std::move(done));
}

void CellScheduler::forgetDecisions(const JobId &job)
{
    m_adviceCache.forget(job);
    eraseStepsOf(job, m_blockedGangLogs);
    m_speeds.forget(job);
    m_localityWaits.forget(job);
}

void CellScheduler::cleanJournal()
{
    if (m_isSuperseded)
        return;
    const auto limit = m_terms.statusRetention + m_terms.forgetMargin;
    if (m_jobs.removeEndedBefore(m_dependencies.wallClock() - limit) > 0)
        std::erase_if(m_latestSnapshotSegments,
                      [this](const auto &entry) { return !m_jobs.find(entry.first); });
    while (m_journal->segmentCount() > m_terms.maxSegments) {
        const Journal::Segment *oldest = m_journal->oldestSegment();
        // The job table applies an end only once it is written; a snapshot taken earlier would undo
        // the end.
        if (!oldest || !m_journal->areRecordsWritten(oldest->jobs))
            break;
        std::vector<JournalRecord> snapshots;
        for (const JobId &id : oldest->jobs) {
            const JobRecord *job = m_jobs.find(id);
            uint64_t &snapshotSegment = m_latestSnapshotSegments[id];
            // A later snapshot already covers everything that this segment holds about the job.
            if (!job || snapshotSegment > oldest->number)
                continue;
            snapshotSegment = m_journal->nextSegment();
            snapshots.emplace_back(m_jobs.snapshot(*job));
        }
        m_journal->replaceOldestSegment(std::move(snapshots));
    }
    m_timers.after(CleanInterval, [this] { cleanJournal(); });
}

} // namespace Cranberrymount
