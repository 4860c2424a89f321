#include "Coordination/WorkerPool.h"

#include <algorithm>

namespace Cranberrymount {

namespace {

/** Bits of a worker epoch that count within one shard epoch. */
constexpr unsigned SubEpochBits = 20;
constexpr Duration StopRepeat{1000};
constexpr Duration MaxSetAside{300'000};
/** A worker that failed tasks of this many jobs without a success in between is set aside. */
constexpr std::size_t FailedJobsToSetAside = 2;

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

void WorkerPool::expect(const WorkerId &id, ListVersion listedAt)
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

void WorkerPool::setListed(ListVersion version, const std::vector<WorkerInfo> &workers)
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
        endAll(id);
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
    if (found == m_workers.end() || m_handingBack)
        return;
    Worker &worker = found->second;
    if (worker.isCalling || !worker.isListed)
        return;
    if (worker.isSilent)
        return probe(id);
    const Instant now = m_timers.now();
    if (worker.needsComplete)
        ++worker.subEpoch;
    LeaseRequest request;
    request.holder = m_self;
    request.epoch = epochOf(worker);
    request.ttl = m_settings.leaseTtl;
    request.complete = worker.needsComplete;
    request.wait =
        worker.needsComplete || !worker.acknowledged.empty() ? Duration(0) : renewalWait();
    request.acknowledged.assign(worker.acknowledged.begin(), worker.acknowledged.end());
    worker.isCalling = true;
    worker.lastAsked = now;
    m_link.lease(
        worker.info, request,
        [this, alive = std::weak_ptr(m_alive), id, now, request](const LeaseAnswer &answer) {
            if (!alive.expired())
                leaseAnswered(id, now, request, answer);
        });
}

void WorkerPool::probe(const WorkerId &id)
{
    Worker &worker = m_workers.at(id);
    worker.isCalling = true;
    m_link.probe(worker.info, [this, alive = std::weak_ptr(m_alive), id](bool isThere) {
        if (alive.expired())
            return;
        const auto found = m_workers.find(id);
        if (found == m_workers.end())
            return;
        found->second.isCalling = false;
        found->second.isSilent = !isThere;
        if (isThere)
            return renew(id);
        checkSilent(id);
        retryLater(id);
    });
}

void WorkerPool::retryLater(const WorkerId &id)
{
    m_timers.after(m_settings.retryDelay, [this, id] { renew(id); });
}

void WorkerPool::leaseAnswered(const WorkerId &id, Instant askedAt, const LeaseRequest &request,
                               const LeaseAnswer &answer)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end())
        return;
    Worker &worker = found->second;
    worker.isCalling = false;
    if (answer.outcome != LeaseAnswer::Granted) {
        worker.needsComplete = true;
        worker.isSilent = answer.outcome == LeaseAnswer::Unreachable;
        if (answer.outcome == LeaseAnswer::Held)
            worker.heldUntil.reset();
        checkSilent(id);
        retryLater(id);
        m_observer.poolChanged();
        return;
    }
    if (!worker.heldUntil || *worker.heldUntil < askedAt)
        worker.heldSince = m_timers.now();
    worker.heldUntil = askedAt + m_settings.leaseTtl;
    worker.grantedEpoch = request.epoch;
    for (const AttemptRef &attempt : request.acknowledged) {
        worker.acknowledged.erase(attempt);
        worker.endsTold.erase(attempt);
    }
    if (request.complete && answer.report.complete) {
        worker.needsComplete = false;
        worker.isResolved = true;
    }
    takeReport(id, answer.report);
    m_observer.poolChanged();
    // Ends that are told but not recorded make the worker answer at once, again and again.
    const bool answersAtOnce = !worker.endsTold.empty() && worker.acknowledged.empty();
    Duration pause{0};
    if (worker.needsComplete)
        pause = m_settings.retryDelay;
    else if (answersAtOnce)
        pause = renewalWait() / 2;
    m_timers.after(pause, [this, id] { renew(id); });
}

void WorkerPool::takeReport(const WorkerId &id, const WorkerReport &report)
{
    for (const EndedAttempt &ended : report.ended) {
        Worker &worker = m_workers.at(id);
        const AttemptRef attempt{ended.task, ended.attempt};
        worker.attempts.erase(attempt);
        if (!worker.endsTold.insert(attempt).second)
            continue;
        noteOutcome(worker, ended);
        m_observer.attemptEnded(ended, id, true);
    }
    if (report.complete) {
        takeRunning(id, report);
        endMissing(id, report);
    }
    Worker &worker = m_workers.at(id);
    const auto sure = std::count_if(worker.attempts.begin(), worker.attempts.end(),
                                    [](const auto &item) { return item.second.isSure; });
    // Fewer run than were started: the worker lost some, for instance by a restart.
    if (!report.complete && report.runningCount < static_cast<std::size_t>(sure))
        worker.needsComplete = true;
    sendStops(worker);
}

void WorkerPool::takeRunning(const WorkerId &id, const WorkerReport &report)
{
    for (const RunningAttempt &running : report.running) {
        Worker &worker = m_workers.at(id);
        auto [position, isNew] =
            worker.attempts.try_emplace(AttemptRef{running.task, running.attempt});
        Attempt &attempt = position->second;
        const bool wasSure = attempt.isSure;
        attempt.isSure = true;
        if (isNew) {
            attempt.team = running.team;
            attempt.resources = running.resources;
            attempt.epoch = worker.grantedEpoch;
        }
        if (!wasSure)
            m_observer.attemptRuns(running, id);
    }
}

/** Attempts ordered under a lower epoch that a complete report lacks can never start any more. */
void WorkerPool::endMissing(const WorkerId &id, const WorkerReport &report)
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

void WorkerPool::endAll(const WorkerId &id)
{
    auto attempts = std::move(m_workers.at(id).attempts);
    m_workers.at(id).attempts.clear();
    for (const auto &[ref, attempt] : attempts)
        m_observer.attemptEnded({ref.task, ref.attempt, AttemptOutcome::Stopped}, id, false);
}

void WorkerPool::noteOutcome(Worker &worker, const EndedAttempt &ended)
{
    if (ended.outcome == AttemptOutcome::Done) {
        worker.failedJobs.clear();
        worker.setAsideFor = Duration(0);
        return;
    }
    if (ended.outcome != AttemptOutcome::Failed)
        return;
    worker.failedJobs.insert(ended.task.job);
    // One job's failures may be its own fault; after a probe has failed one is enough.
    const std::size_t enough = worker.setAsideFor.count() > 0 ? 1 : FailedJobsToSetAside;
    if (worker.failedJobs.size() < enough)
        return;
    worker.failedJobs.clear();
    worker.setAsideFor = std::clamp(worker.setAsideFor * 2, m_settings.setAside, MaxSetAside);
    worker.setAsideUntil = m_timers.now() + worker.setAsideFor;
}

/** Counts a worker's tasks as ended once it must have stopped them by itself. */
void WorkerPool::checkSilent(const WorkerId &id)
{
    Worker &worker = m_workers.at(id);
    const Instant now = m_timers.now();
    const Duration untilStopped =
        m_settings.leaseTtl + m_settings.orphanGrace + m_settings.endMargin;
    if (!worker.isResolved) {
        // A former owner may still renew the lease, for as long as it may be isolated.
        worker.isResolved = now - worker.expectedSince > m_settings.isolationBound + untilStopped;
        return;
    }
    if (!worker.attempts.empty() && worker.lastAsked && now - *worker.lastAsked > untilStopped)
        endAll(id);
}

void WorkerPool::start(const WorkerId &id, const StartOrder &order)
{
    Worker &worker = m_workers.at(id);
    Attempt attempt;
    attempt.team = order.team;
    attempt.resources = order.resources;
    attempt.epoch = worker.grantedEpoch;
    worker.attempts.emplace(AttemptRef{order.task, order.attempt}, attempt);
    worker.toStart.push_back(order);
}

void WorkerPool::sendStarts()
{
    for (auto &[id, worker] : m_workers) {
        if (worker.toStart.empty())
            continue;
        std::vector<AttemptRef> attempts;
        for (const StartOrder &order : worker.toStart)
            attempts.push_back({order.task, order.attempt});
        m_link.start(
            worker.info, worker.grantedEpoch, std::exchange(worker.toStart, {}),
            [this, alive = std::weak_ptr(m_alive), id = id, attempts](const StartAnswer &answer) {
                if (!alive.expired())
                    startAnswered(id, attempts, answer);
            });
    }
}

void WorkerPool::startAnswered(const WorkerId &id, const std::vector<AttemptRef> &attempts,
                               const StartAnswer &answer)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end())
        return;
    Worker &worker = found->second;
    if (answer.outcome == StartAnswer::Unknown) {
        worker.needsComplete = true;
        return;
    }
    for (const AttemptRef &ref : attempts) {
        const auto attempt = worker.attempts.find(ref);
        if (attempt == worker.attempts.end())
            continue;
        if (answer.outcome == StartAnswer::Started) {
            attempt->second.isSure = true;
            m_observer.attemptRuns(
                {ref.task, ref.attempt, attempt->second.team, attempt->second.resources}, id);
            continue;
        }
        worker.attempts.erase(attempt);
        m_observer.attemptEnded({ref.task, ref.attempt, AttemptOutcome::Stopped}, id, false);
    }
    if (answer.outcome == StartAnswer::Started) {
        sendStops(worker);
        return;
    }
    worker.needsComplete = true;
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
            if (!attempt.stopWanted || attempt.checkpoint != checkpoint || !attempt.isSure
                || now - attempt.stopSentAt < StopRepeat)
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

std::vector<WorkerRoom> WorkerPool::rooms() const
{
    const Instant now = m_timers.now();
    std::vector<WorkerRoom> rooms;
    for (const auto &[id, worker] : m_workers) {
        if (!worker.heldUntil || *worker.heldUntil < now || !worker.isListed)
            continue;
        WorkerRoom room{id, worker.info.rack, worker.info.capacity, worker.info.capacity, true};
        for (const auto &[ref, attempt] : worker.attempts)
            room.free -= attempt.resources;
        const bool isProbing = worker.setAsideFor.count() > 0;
        room.usable = !worker.info.leaving && !worker.needsComplete
            && *worker.heldUntil - now > m_settings.startMargin && now >= worker.setAsideUntil
            && (!isProbing || worker.attempts.empty());
        rooms.push_back(std::move(room));
    }
    return rooms;
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

void WorkerPool::handBack(std::function<void()> done)
{
    m_handingBack = true;
    auto left = std::make_shared<std::size_t>(1);
    const auto finished = [left, done = std::move(done)](bool) {
        if (--*left == 0)
            done();
    };
    for (auto &[id, worker] : m_workers) {
        if (!worker.heldUntil)
            continue;
        ++*left;
        // Shuts out a renewal that is still under way.
        ++worker.subEpoch;
        m_link.release(worker.info, m_self, epochOf(worker), finished);
        worker.heldUntil.reset();
    }
    finished(true);
}

} // namespace Cranberrymount
