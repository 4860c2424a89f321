#include "Coordination/WorkerPool.h"

#include <algorithm>

namespace Cranberrymount {

namespace {

/** Low bits of a worker epoch, which count within one shard epoch. */
constexpr unsigned SubEpochBits = 20;
constexpr Duration StopRepeatInterval{1000};
constexpr Duration MaxQuarantine{300'000};
/** A worker is quarantined after failures of this many jobs without a success in between. */
constexpr std::size_t FailedJobsUntilQuarantine = 2;

} // namespace

WorkerPool::WorkerPool(WorkerLink &link, TimerService &timers, EntryId self, Settings settings,
                       WorkerPoolObserver &observer)
    : m_link(link)
    , m_timers(timers)
    , m_self(std::move(self))
    , m_settings(settings)
    , m_observer(observer)
{
}

void WorkerPool::takeOver(Epoch shardEpoch)
{
    m_shardEpoch = shardEpoch;
    for (auto &[id, worker] : m_workers)
        renew(id);
}

void WorkerPool::expect(const WorkerId &id, InstanceListVersion listedAt)
{
    auto [position, isNew] = m_workers.try_emplace(id);
    Worker &worker = position->second;
    worker.isExpected = true;
    worker.expectedSince = m_timers.now();
    if (!isNew)
        return;
    worker.info.id = id;
    worker.listedAt = listedAt;
}

void WorkerPool::setListed(InstanceListVersion version, const std::vector<WorkerInfo> &workers)
{
    if (version < m_listVersion)
        return;
    m_listVersion = version;
    std::set<WorkerId> listed;
    for (const WorkerInfo &info : workers) {
        listed.insert(info.id);
        auto [position, isNew] = m_workers.try_emplace(info.id);
        Worker &worker = position->second;
        if (isNew)
            worker.expectedSince = m_timers.now();
        const bool isFirstListing = !worker.isListed;
        worker.info = info;
        worker.isListed = true;
        worker.listedAt = version;
        if (isFirstListing && m_shardEpoch != Epoch())
            renew(info.id);
    }
    std::vector<WorkerId> gone;
    for (auto &[id, worker] : m_workers) {
        if (!listed.contains(id) && worker.listedAt < version)
            gone.push_back(id);
    }
    for (const WorkerId &id : gone) {
        endAllAttempts(id);
        m_workers.erase(id);
    }
    m_observer.poolChanged();
}

bool WorkerPool::isResolved() const
{
    return unresolved().empty();
}

std::vector<WorkerId> WorkerPool::unresolved() const
{
    std::vector<WorkerId> ids;
    for (const auto &[id, worker] : m_workers) {
        if (worker.isExpected && !worker.isResolved)
            ids.push_back(id);
    }
    return ids;
}

Epoch WorkerPool::epochOf(const Worker &worker) const
{
    return Epoch((m_shardEpoch.value() << SubEpochBits) + worker.subEpoch);
}

void WorkerPool::renew(const WorkerId &id)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end() || m_isReleasing)
        return;
    Worker &worker = found->second;
    if (worker.isCallInFlight || !worker.isListed)
        return;
    if (worker.isUnresponsive)
        return probe(id);
    const Instant now = m_timers.now();
    if (worker.needsCompleteReport)
        ++worker.subEpoch;
    LeaseRequest request;
    request.holder = m_self;
    request.epoch = epochOf(worker);
    request.ttl = m_settings.leaseTtl;
    request.complete = worker.needsCompleteReport;
    request.wait =
        worker.needsCompleteReport || !worker.acknowledged.empty() ? Duration(0) : renewalWait();
    request.acknowledged.assign(worker.acknowledged.begin(), worker.acknowledged.end());
    worker.isCallInFlight = true;
    worker.lastRenewalSentAt = now;
    m_link.lease(
        worker.info, request,
        [this, alive = std::weak_ptr(m_alive), id, now, request](const LeaseResult &result) {
            if (!alive.expired())
                handleLeaseResult(id, now, request, result);
        });
}

void WorkerPool::probe(const WorkerId &id)
{
    Worker &worker = m_workers.at(id);
    worker.isCallInFlight = true;
    m_link.probe(worker.info, [this, alive = std::weak_ptr(m_alive), id](bool isReachable) {
        if (alive.expired())
            return;
        const auto found = m_workers.find(id);
        if (found == m_workers.end())
            return;
        found->second.isCallInFlight = false;
        found->second.isUnresponsive = !isReachable;
        if (isReachable)
            return renew(id);
        checkUnresponsive(id);
        renewLater(id);
    });
}

void WorkerPool::renewLater(const WorkerId &id)
{
    m_timers.after(m_settings.retryDelay, [this, id] { renew(id); });
}

void WorkerPool::handleLeaseResult(const WorkerId &id, Instant askedAt, const LeaseRequest &request,
                                   const LeaseResult &result)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end())
        return;
    Worker &worker = found->second;
    worker.isCallInFlight = false;
    if (result.outcome != LeaseResult::Granted) {
        worker.needsCompleteReport = true;
        worker.isUnresponsive = result.outcome == LeaseResult::Unreachable;
        if (result.outcome == LeaseResult::Held)
            worker.heldUntil.reset();
        checkUnresponsive(id);
        renewLater(id);
        m_observer.poolChanged();
        return;
    }
    if (!worker.heldUntil || *worker.heldUntil < askedAt)
        worker.heldSince = m_timers.now();
    worker.heldUntil = askedAt + m_settings.leaseTtl;
    worker.grantedEpoch = request.epoch;
    for (const AttemptRef &attempt : request.acknowledged) {
        worker.acknowledged.erase(attempt);
        worker.reportedEnds.erase(attempt);
    }
    if (request.complete && result.report.complete) {
        worker.needsCompleteReport = false;
        worker.isResolved = true;
    }
    applyReport(id, result.report);
    m_observer.poolChanged();
    // The worker answers at once while a reported end is not acknowledged; the pause avoids a busy
    // loop until the end is recorded.
    const bool answersImmediately = !worker.reportedEnds.empty() && worker.acknowledged.empty();
    Duration pause{0};
    if (worker.needsCompleteReport)
        pause = m_settings.retryDelay;
    else if (answersImmediately)
        pause = renewalWait() / 2;
    m_timers.after(pause, [this, id] { renew(id); });
}

void WorkerPool::applyReport(const WorkerId &id, const WorkerReport &report)
{
    for (const EndedAttempt &ended : report.ended) {
        Worker &worker = m_workers.at(id);
        const AttemptRef attempt{ended.task, ended.attempt};
        worker.attempts.erase(attempt);
        if (!worker.reportedEnds.insert(attempt).second)
            continue;
        updateQuarantine(worker, ended);
        m_observer.attemptEnded(ended, id, true);
    }
    if (report.complete) {
        applyRunning(id, report);
        endUnreported(id, report);
    }
    Worker &worker = m_workers.at(id);
    const auto confirmed = std::count_if(worker.attempts.begin(), worker.attempts.end(),
                                         [](const auto &item) { return item.second.isConfirmed; });
    // Fewer attempts run than were confirmed: the worker lost some, for instance in a restart.
    if (!report.complete && report.runningCount < static_cast<std::size_t>(confirmed))
        worker.needsCompleteReport = true;
    sendStops(worker);
}

void WorkerPool::applyRunning(const WorkerId &id, const WorkerReport &report)
{
    for (const RunningAttempt &running : report.running) {
        Worker &worker = m_workers.at(id);
        auto [position, isNew] =
            worker.attempts.try_emplace(AttemptRef{running.task, running.attempt});
        Attempt &attempt = position->second;
        const bool wasConfirmed = attempt.isConfirmed;
        attempt.isConfirmed = true;
        if (isNew) {
            attempt.team = running.team;
            attempt.resources = running.resources;
            attempt.epoch = worker.grantedEpoch;
        }
        if (!wasConfirmed)
            m_observer.attemptConfirmed(running, id);
    }
}

/** Ends attempts of lower epochs that a complete report lacks, since they cannot start any more. */
void WorkerPool::endUnreported(const WorkerId &id, const WorkerReport &report)
{
    std::set<AttemptRef> reported;
    for (const RunningAttempt &running : report.running)
        reported.insert({running.task, running.attempt});
    Worker &worker = m_workers.at(id);
    std::vector<AttemptRef> missing;
    for (const auto &[ref, attempt] : worker.attempts) {
        if (!reported.contains(ref) && attempt.epoch < report.epoch)
            missing.push_back(ref);
    }
    for (const AttemptRef &ref : missing) {
        m_workers.at(id).attempts.erase(ref);
        m_observer.attemptEnded({ref.task, ref.attempt, AttemptOutcome::Stopped}, id, false);
    }
}

void WorkerPool::endAllAttempts(const WorkerId &id)
{
    auto attempts = std::move(m_workers.at(id).attempts);
    m_workers.at(id).attempts.clear();
    for (const auto &[ref, attempt] : attempts)
        m_observer.attemptEnded({ref.task, ref.attempt, AttemptOutcome::Stopped}, id, false);
}

void WorkerPool::updateQuarantine(Worker &worker, const EndedAttempt &ended)
{
    if (ended.outcome == AttemptOutcome::Done) {
        worker.failedJobs.clear();
        worker.quarantineTime = Duration(0);
        return;
    }
    if (ended.outcome != AttemptOutcome::Failed)
        return;
    worker.failedJobs.insert(ended.task.job);
    // Failures of a single job may be the fault of the job, so those of several jobs are needed. On
    // probation, that is after a quarantine until a task succeeds, one failure is enough.
    const std::size_t threshold = worker.quarantineTime.count() > 0 ? 1 : FailedJobsUntilQuarantine;
    if (worker.failedJobs.size() < threshold)
        return;
    worker.failedJobs.clear();
    worker.quarantineTime =
        std::clamp(worker.quarantineTime * 2, m_settings.firstQuarantine, MaxQuarantine);
    worker.quarantinedUntil = m_timers.now() + worker.quarantineTime;
}

/** Ends an unresponsive worker's attempts once it must have stopped them by itself. */
void WorkerPool::checkUnresponsive(const WorkerId &id)
{
    Worker &worker = m_workers.at(id);
    const Instant now = m_timers.now();
    const Duration untilStopped =
        m_settings.leaseTtl + m_settings.orphanGrace + m_settings.endMargin;
    if (!worker.isResolved) {
        // A former owner without the store may still renew the lease, up to its isolation bound.
        worker.isResolved = now - worker.expectedSince > m_settings.isolationBound + untilStopped;
        return;
    }
    if (!worker.attempts.empty() && worker.lastRenewalSentAt
        && now - *worker.lastRenewalSentAt > untilStopped)
        endAllAttempts(id);
}

void WorkerPool::start(const WorkerId &id, const StartCommand &command)
{
    Worker &worker = m_workers.at(id);
    Attempt attempt;
    attempt.team = command.team;
    attempt.resources = command.resources;
    attempt.epoch = worker.grantedEpoch;
    worker.attempts.emplace(AttemptRef{command.task, command.attempt}, attempt);
    worker.pendingStarts.push_back(command);
}

void WorkerPool::sendStarts()
{
    for (auto &[id, worker] : m_workers) {
        if (worker.pendingStarts.empty())
            continue;
        std::vector<AttemptRef> attempts;
        for (const StartCommand &command : worker.pendingStarts)
            attempts.push_back({command.task, command.attempt});
        m_link.start(
            worker.info, worker.grantedEpoch, std::exchange(worker.pendingStarts, {}),
            [this, alive = std::weak_ptr(m_alive), id = id, attempts](const StartResult &result) {
                if (!alive.expired())
                    handleStartResult(id, attempts, result);
            });
    }
}

void WorkerPool::handleStartResult(const WorkerId &id, const std::vector<AttemptRef> &attempts,
                                   const StartResult &result)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end())
        return;
    Worker &worker = found->second;
    if (result.outcome == StartResult::Unknown) {
        worker.needsCompleteReport = true;
        return;
    }
    for (const AttemptRef &ref : attempts) {
        const auto attempt = worker.attempts.find(ref);
        if (attempt == worker.attempts.end())
            continue;
        if (result.outcome == StartResult::Started) {
            attempt->second.isConfirmed = true;
            m_observer.attemptConfirmed(
                {ref.task, ref.attempt, attempt->second.team, attempt->second.resources}, id);
            continue;
        }
        worker.attempts.erase(attempt);
        m_observer.attemptEnded({ref.task, ref.attempt, AttemptOutcome::Stopped}, id, false);
    }
    if (result.outcome == StartResult::Started) {
        sendStops(worker);
        return;
    }
    worker.needsCompleteReport = true;
    m_observer.poolChanged();
}

void WorkerPool::stop(const WorkerId &id, const AttemptRef &ref, bool checkpoint)
{
    const auto worker = m_workers.find(id);
    if (worker == m_workers.end())
        return;
    const auto attempt = worker->second.attempts.find(ref);
    if (attempt == worker->second.attempts.end() || attempt->second.stopWanted)
        return;
    attempt->second.stopWanted = true;
    attempt->second.checkpoint = checkpoint;
    sendStops(worker->second);
}

void WorkerPool::sendStops(Worker &worker)
{
    const Instant now = m_timers.now();
    for (const bool checkpoint : {false, true}) {
        std::vector<AttemptRef> refs;
        for (auto &[ref, attempt] : worker.attempts) {
            if (!attempt.stopWanted || attempt.checkpoint != checkpoint || !attempt.isConfirmed
                || now - attempt.stopSentAt < StopRepeatInterval)
                continue;
            attempt.stopSentAt = now;
            refs.push_back(ref);
        }
        if (!refs.empty())
            m_link.stop(worker.info, worker.grantedEpoch, refs, checkpoint);
    }
}

void WorkerPool::acknowledge(const WorkerId &id, const AttemptRef &attempt)
{
    const auto found = m_workers.find(id);
    if (found != m_workers.end())
        found->second.acknowledged.insert(attempt);
}

std::vector<WorkerCapacity> WorkerPool::workerCapacities() const
{
    const Instant now = m_timers.now();
    std::vector<WorkerCapacity> workerCapacities;
    for (const auto &[id, worker] : m_workers) {
        if (!worker.heldUntil || *worker.heldUntil < now || !worker.isListed)
            continue;
        WorkerCapacity available{id, worker.info.rack, worker.info.capacity, worker.info.capacity,
                                 true};
        for (const auto &[ref, attempt] : worker.attempts)
            available.free -= attempt.resources;
        const bool isOnProbation = worker.quarantineTime.count() > 0;
        available.usable = !worker.info.leaving && !worker.needsCompleteReport
            && *worker.heldUntil - now > m_settings.startMargin && now >= worker.quarantinedUntil
            && (!isOnProbation || worker.attempts.empty());
        workerCapacities.push_back(std::move(available));
    }
    return workerCapacities;
}

std::map<TeamId, Resources> WorkerPool::usedByTeam() const
{
    std::map<TeamId, Resources> used;
    for (const auto &[id, worker] : m_workers) {
        for (const auto &[ref, attempt] : worker.attempts)
            used[attempt.team] += attempt.resources;
    }
    return used;
}

std::vector<HeldWorker> WorkerPool::heldWorkers() const
{
    const Instant now = m_timers.now();
    std::vector<HeldWorker> held;
    for (const auto &[id, worker] : m_workers) {
        if (worker.heldUntil && *worker.heldUntil > now)
            held.push_back({worker.info, worker.grantedEpoch, worker.heldSince, *worker.heldUntil});
    }
    return held;
}

std::optional<WorkerInfo> WorkerPool::info(const WorkerId &id) const
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end())
        return std::nullopt;
    return found->second.info;
}

bool WorkerPool::canEverHold(const Resources &need) const
{
    return std::any_of(m_workers.begin(), m_workers.end(), [&need](const auto &item) {
        return item.second.isListed && need.fitsIn(item.second.info.capacity);
    });
}

void WorkerPool::releaseAll(std::function<void()> done)
{
    m_isReleasing = true;
    auto remaining = std::make_shared<std::size_t>(1);
    const auto finished = [remaining, done = std::move(done)](bool) {
        if (--*remaining == 0)
            done();
    };
    for (auto &[id, worker] : m_workers) {
        if (!worker.heldUntil)
            continue;
        ++*remaining;
        // Makes the worker refuse a renewal that is still in flight.
        ++worker.subEpoch;
        m_link.release(worker.info, m_self, epochOf(worker), finished);
        worker.heldUntil.reset();
    }
    finished(true);
}

} // namespace Cranberrymount
