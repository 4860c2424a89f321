#include "Decision/Dispatcher.h"

#include <algorithm>

namespace Cranberrymount {

namespace {

/** By the users' rules on credit, a job earns credit until this multiple of its objective. */
constexpr int NoCreditAfterObjectives = 3;
/** By the users' rules on credit, the objective of a job includes the cost of one advice call about
 * this many workers for each step. */
constexpr std::size_t WorkersPerObjectiveCall = 30;
/** Slowness above which a worker counts as slow; by the users' deployment files the slower
 * kinds of worker take 1.25 to 1.3 times as long. */
constexpr double SlowFactor = 1.08;
/** Slowness above which a worker is taken to be faulty; no kind of worker is that slow. */
constexpr double VerySlowFactor = 1.8;
/** Approximate duration of a start: journal commit, command to the worker, start there. */
constexpr Duration StartDelay{60};
/** Lower bound for the estimated run time of a task; submitters' estimates may be 0. */
constexpr Duration MinEstimate{50};

/** By the users' rules, a task of a service that ends or is due must run within 9 s while there is
 * free capacity, however full the pool is; the rest of that time is for the start itself. */
constexpr Duration MaxFirstStartDelay{5000};

/** @return for each step the length of the critical path from its start to the end of the job. */
std::vector<Duration> criticalPathLengths(const WorkflowSpec &spec)
{
    std::vector<Duration> longest(spec.steps.size(), Duration(0));
    for (std::size_t index = spec.steps.size(); index-- > 0;) {
        longest[index] += std::max(spec.steps[index].estimate, MinEstimate);
        for (const uint32_t earlier : spec.steps[index].after)
            longest[earlier] = std::max(longest[earlier], longest[index]);
    }
    return longest;
}

/**
 * Percentage of a pool that work of a class leaves free for more urgent work. Lookups use 10 to 15%
 * of the pool and twice as much in a burst; work over a team's fair share must not block them.
 */
int64_t reservePercent(StepUrgency::Class urgencyClass)
{
    switch (urgencyClass) {
    case StepUrgency::Immediate:
        return 0;
    case StepUrgency::InTime:
        return 4;
    case StepUrgency::Late:
        return 8;
    case StepUrgency::Leftover:
        return 20;
    }
    return 0;
}

/**
 * @return the urgency of a step whose tasks run until the job is cancelled. Unlike other work it
 * never becomes pointless with age, and what occupies the rest of the pool may never end.
 */
StepUrgency urgencyOfService(const JobRecord &job, const StepKey &key, const QueueSettings &queue,
                             WallTime now)
{
    const WallTime due = job.waitingSince(key.occurrence, key.step);
    StepUrgency urgency;
    urgency.slack =
        std::chrono::duration_cast<Duration>(due + queue.startTarget - now) - StartDelay;
    urgency.rank = urgency.slack.count();
    if (job.hasTaskToRestart(key.occurrence, key.step) || now - due > MaxFirstStartDelay)
        urgency.urgencyClass = StepUrgency::Immediate;
    else if (job.accepted.isOverFairShare)
        urgency.urgencyClass = StepUrgency::Leftover;
    else
        urgency.urgencyClass = queue.priority == 0 ? StepUrgency::Immediate : StepUrgency::InTime;
    return urgency;
}

bool hasLabel(const CellWorker &worker, const std::string &label)
{
    return std::ranges::find(worker.labels, label) != worker.labels.end();
}

} // namespace

Dispatcher::Dispatcher(DispatchInput input)
    : m_input(std::move(input))
    , m_poolOf(m_input.workers.size(), nullptr)
    , m_reservations(m_input.workers.size())
    , m_releasable(m_input.workers.size())
    , m_callsNaming(m_input.workers.size(), 0)
{
    m_positions.reserve(m_input.workers.size());
    for (std::size_t index = 0; index < m_input.workers.size(); ++index) {
        const DispatchWorker &worker = m_input.workers[index];
        if (!worker.acceptsWork)
            continue;
        Pool &pool = m_pools[worker.info->pool];
        pool.workers.push_back(index);
        m_poolOf[index] = &pool;
        m_positions.emplace(worker.info->incarnation.id.value(), index);
        pool.capacity = pool.capacity + worker.info->capacity.cpu;
        pool.used = pool.used + worker.used.cpu;
    }
}

double Dispatcher::slownessLimit(const StepUrgency &urgency)
{
    return urgency.urgencyClass == StepUrgency::Immediate ? SlowFactor : VerySlowFactor;
}

StepUrgency Dispatcher::urgencyOf(const JobRecord &job, const StepKey &key,
                                  const QueueSettings &queue, WallTime now)
{
    if (job.accepted.spec.steps[key.step].isService)
        return urgencyOfService(job, key, queue, now);
    const std::vector<Duration> pathLengths = criticalPathLengths(job.accepted.spec);
    Duration criticalPath = std::ranges::max(pathLengths);
    Duration remaining = pathLengths[key.step] + StartDelay;
    if (queue.advice) {
        criticalPath += queue.advice->costOf(WorkersPerObjectiveCall);
        remaining += queue.advice->base;
    }
    const WallTime begin = job.waitingSince(key.occurrence);
    const auto objective = Duration(static_cast<int64_t>(static_cast<double>(criticalPath.count())
                                                         * queue.stretchFactor))
        + queue.startTarget;
    StepUrgency urgency;
    urgency.slack = std::chrono::duration_cast<Duration>(begin + objective - now) - remaining;
    urgency.rank = urgency.slack.count();
    const auto timeUntilNoCredit = begin + objective * NoCreditAfterObjectives - now - remaining;
    if (job.accepted.isOverFairShare || timeUntilNoCredit < Duration(0)) {
        urgency.urgencyClass = StepUrgency::Leftover;
    } else if (urgency.slack < Duration(0)) {
        urgency.urgencyClass = StepUrgency::Late;
        urgency.rank = remaining.count();
    } else {
        urgency.urgencyClass = queue.priority == 0 ? StepUrgency::Immediate : StepUrgency::InTime;
    }
    return urgency;
}

std::vector<Dispatcher::Candidate> Dispatcher::sortedCandidates()
{
    std::vector<StepKey> steps = m_input.jobs->startableSteps(m_input.wallNow);
    std::vector<Candidate> result;
    result.reserve(steps.size());
    for (StepKey &key : steps) {
        const JobRecord *job = m_input.jobs->find(key.job);
        const QueueSettings *queue = m_input.configuration->findQueue(job->accepted.queue);
        // Accepted jobs of a removed queue are finished in the pool in which they were accepted.
        static const QueueSettings RemovedQueue;
        const QueueSettings &settings = queue ? *queue : RemovedQueue;
        const auto pool = m_pools.find(settings.pool.empty() ? job->accepted.pool : settings.pool);
        const StepUrgency urgency = urgencyOf(*job, key, settings, m_input.wallNow);
        const AdviceCache::StepAdvice *stepAdvice =
            settings.advice ? m_input.advice->find(key) : nullptr;
        result.push_back({std::move(key),
                          job,
                          &settings,
                          pool == m_pools.end() ? nullptr : &pool->second,
                          stepAdvice,
                          urgency,
                          {}});
        result.back().allowed = findAllowedWorkers(result.back());
    }
    std::ranges::sort(result, [](const Candidate &left, const Candidate &right) {
        return std::tie(left.urgency.urgencyClass, left.urgency.rank, left.key)
            < std::tie(right.urgency.urgencyClass, right.urgency.rank, right.key);
    });
    return result;
}

DispatchResult Dispatcher::decide()
{
    m_candidates = sortedCandidates();
    const auto dependsOnEndlessRuns = [](const Candidate &candidate) {
        return candidate.spec().isGang || candidate.urgency.urgencyClass != StepUrgency::Immediate;
    };
    if (std::ranges::any_of(m_candidates, dependsOnEndlessRuns))
        findEndlessRuns();
    findMemberNeeds();
    reserveForGangsWithTickets();
    findLongestWaitingGang();
    countCallsNamingWorkers();
    // Placed before more urgent work, which may fill the pool and keep all callers busy at all
    // times.
    if (m_longestWaitingGang)
        placeStep(*m_longestWaitingGang);
    for (const Candidate &candidate : m_candidates) {
        if (&candidate != m_longestWaitingGang)
            placeStep(candidate);
    }
    // The first calls of all steps are made before the further calls of any step.
    std::stable_partition(m_result.advice.begin(), m_result.advice.end(),
                          [](const AdviceDecision &decision) { return !decision.isExtra; });
    return std::move(m_result);
}

void Dispatcher::placeStep(const Candidate &candidate)
{
    const StepRun &step = candidate.job->occurrences[candidate.key.occurrence][candidate.key.step];
    if (!candidate.pool) {
        if (candidate.spec().isGang && step.activeCount == 0)
            noteObstacle(candidate);
        return;
    }
    if (candidate.spec().isGang)
        placeGang(candidate, step);
    else
        placeSingles(candidate, step);
}

std::vector<Dispatcher::PlacementOption>
Dispatcher::placementOptions(const Candidate &candidate) const
{
    std::vector<PlacementOption> places;
    if (!candidate.queue->advice) {
        static const std::string NoTicketNeeded;
        for (const std::size_t worker : candidate.pool->workers)
            addPlacementOption(candidate, worker, &NoTicketNeeded, places);
        return places;
    }
    // The advisor allows a step on few workers of a large pool, so only these are visited.
    for (const AllowedWorker &allowed : candidate.allowed) {
        if (isTicketValid(*allowed.verdict, m_input.now))
            addPlacementOption(candidate, allowed.worker, &allowed.verdict->ticket, places);
    }
    return places;
}

std::vector<Dispatcher::AllowedWorker>
Dispatcher::findAllowedWorkers(const Candidate &candidate) const
{
    std::vector<AllowedWorker> workers;
    if (!candidate.stepAdvice)
        return workers;
    workers.reserve(candidate.stepAdvice->allowed.size());
    for (const auto *entry : candidate.stepAdvice->allowed) {
        const std::optional<std::size_t> worker = positionOf(entry->first);
        if (worker && m_poolOf[*worker] == candidate.pool)
            workers.push_back({*worker, &entry->second});
    }
    std::ranges::sort(workers, {}, &AllowedWorker::worker);
    return workers;
}

std::optional<std::size_t> Dispatcher::positionOf(const WorkerIncarnation &incarnation) const
{
    const auto found = m_positions.find(incarnation.id.value());
    if (found == m_positions.end()
        || m_input.workers[found->second].info->incarnation != incarnation)
        return std::nullopt;
    return found->second;
}

void Dispatcher::addPlacementOption(const Candidate &candidate, std::size_t worker,
                                    const std::string *ticket,
                                    std::vector<PlacementOption> &places) const
{
    const int64_t count = placesOnWorker(candidate, worker);
    if (count > 0 && isEligible(candidate, worker))
        places.push_back({worker, ticket, count});
}

bool Dispatcher::isTicketValid(const AdviceCache::Verdict &verdict, Instant decidedAt) const
{
    return verdict.expires > decidedAt + m_input.startDelay;
}

void Dispatcher::placeSingles(const Candidate &candidate, const StepRun &step)
{
    const StepSpec &spec = candidate.spec();
    int64_t allowed = std::min(teamHeadroom(candidate.job->accepted.team, spec.need),
                               poolHeadroom(candidate, spec.need));
    allowed = std::min<int64_t>(allowed, step.waitingCount());
    if (allowed <= 0) {
        countWaitingStep(candidate, m_result.waiting.atLimit);
        return;
    }
    std::vector<PlacementOption> usable = placementOptions(candidate);
    const int64_t wanted = allowed;
    const int64_t maxRemote = maxRemoteStarts(candidate, usable, wanted);
    int64_t remoteStarts = 0;
    for (uint32_t index = 0; index < step.tasks.size() && allowed > 0; ++index) {
        const TaskProgress &task = step.tasks[index];
        if (task.isDone || task.isActive)
            continue;
        PlacementOption *best = nullptr;
        int64_t bestScore = 0;
        for (PlacementOption &place : usable) {
            if (place.count <= 0
                || (remoteStarts == maxRemote && isAwayFromData(candidate, place.worker)))
                continue;
            const DispatchWorker &worker = m_input.workers[place.worker];
            int64_t score = placementCost(candidate, place.worker);
            // The worker on which the task failed last is the last choice; failures of services are
            // not counted.
            const bool hasFailed = task.failures > 0 || (spec.isService && task.lastAttempt > 0);
            if (hasFailed && task.worker == worker.info->incarnation)
                score += 4 * worker.info->capacity.cpu.value();
            if (!best || score < bestScore) {
                best = &place;
                bestScore = score;
            }
        }
        if (!best)
            break;
        const bool isRemote = isAwayFromData(candidate, best->worker);
        start(candidate, index, task.lastAttempt + 1, best->worker, *best->ticket, isRemote);
        remoteStarts += isRemote;
        --best->count;
        --allowed;
    }
    const int64_t waiting =
        noteDataRackDecision(candidate, usable, wanted - allowed, remoteStarts, allowed);
    if (allowed <= 0)
        return;
    countWaitingStep(candidate,
                     waiting == allowed ? m_result.waiting.forLocality : missingOf(candidate));
    // Tasks that wait need no further tickets until a local worker has free capacity.
    if (!lacksLocalTicket(candidate))
        allowed -= waiting;
    if (candidate.queue->advice && allowed > 0)
        requestSinglesAdvice(candidate, static_cast<uint32_t>(allowed));
}

std::size_t &Dispatcher::missingOf(const Candidate &candidate)
{
    const auto hasPlace = [&](const AllowedWorker &allowed) {
        return placesOnWorker(candidate, allowed.worker) > 0;
    };
    const bool waitsForTicket = candidate.queue->advice
        && (!candidate.stepAdvice || std::ranges::any_of(candidate.allowed, hasPlace));
    return waitsForTicket ? m_result.waiting.withoutTicket : m_result.waiting.withoutCapacity;
}

void Dispatcher::countWaitingStep(const Candidate &candidate, std::size_t &counter)
{
    ++counter;
    const auto &[job, occurrence, step] = candidate.key;
    if (!candidate.spec().isService && candidate.job->occurrences[occurrence][step].activeCount > 0)
        return;
    const auto age = m_input.wallNow - candidate.job->waitingSince(occurrence, step);
    m_result.waiting.olderThan3s += age > std::chrono::seconds(3);
    m_result.waiting.olderThan10s += age > std::chrono::seconds(10);
}

std::vector<const Dispatcher::PlacementOption *>
Dispatcher::chooseForGang(const std::vector<PlacementOption> &order, std::size_t members,
                          const RackId *rack) const
{
    std::vector<const PlacementOption *> chosen;
    for (const PlacementOption &place : order) {
        if (rack && m_input.workers[place.worker].info->rack != *rack)
            continue;
        for (int64_t taken = 0; taken < place.count && chosen.size() < members; ++taken)
            chosen.push_back(&place);
    }
    if (chosen.size() < members)
        chosen.clear();
    return chosen;
}

void Dispatcher::placeGang(const Candidate &candidate, const StepRun &step)
{
    // A gang starts again only after every member of its last attempt has ended.
    if (step.activeCount > 0)
        return;
    const StepSpec &spec = candidate.spec();
    const auto members = static_cast<uint32_t>(step.tasks.size());
    if (teamHeadroom(candidate.job->accepted.team, spec.need) < members) {
        countWaitingStep(candidate, m_result.waiting.atLimit);
        noteObstacle(candidate);
        return;
    }
    const bool mayStart =
        &candidate == m_longestWaitingGang || poolHeadroom(candidate, spec.need) >= members;
    std::vector<PlacementOption> order = placementOptions(candidate);
    // Workers that can take the most members come first, so that the gang occupies few workers. A
    // gang is as slow as its slowest member, so slow workers come last if its time is short.
    const double limit = slownessLimit(candidate.urgency);
    std::ranges::stable_sort(order, [&](const PlacementOption &left, const PlacementOption &right) {
        const bool isLeftSlow = m_input.workers[left.worker].slowness > limit;
        const bool isRightSlow = m_input.workers[right.worker].slowness > limit;
        if (isLeftSlow != isRightSlow)
            return isRightSlow;
        return left.count > right.count;
    });
    std::vector<const PlacementOption *> chosen;
    if (mayStart)
        chosen = chooseLocallyForGang(candidate, order, members);
    if (mayStart && chosen.empty())
        chosen = chooseForGang(order, members, nullptr);
    const bool isRemote = isRemoteForGang(candidate, chosen);
    if (isRemote) {
        if (const RackId *rack = findRackToWaitFor(candidate, members))
            return waitForRack(candidate, members, *rack);
    }
    if (chosen.empty()) {
        countWaitingStep(candidate, missingOf(candidate));
        if (noteObstacle(candidate))
            return;
        reserveForGang(candidate, members);
        if (candidate.queue->advice)
            requestGangAdvice(candidate, members, mayStart);
        return;
    }
    uint32_t attempt = 0;
    for (const TaskProgress &task : step.tasks)
        attempt = std::max(attempt, task.lastAttempt + 1);
    for (uint32_t index = 0; index < members; ++index)
        start(candidate, index, attempt, chosen[index]->worker, *chosen[index]->ticket, isRemote);
    if (prefersLocal(candidate))
        m_result.localityDecisions.push_back({candidate.key, 0, isRemote ? members : 0});
}

int64_t Dispatcher::placementCost(const Candidate &candidate, std::size_t worker) const
{
    const DispatchWorker &workerState = m_input.workers[worker];
    const RackId &dataRack = candidate.spec().dataRack;
    const int64_t capacity = workerState.info->capacity.cpu.value();
    // Best fit: the worker with the least free capacity is preferred.
    int64_t score = workerState.freeCapacity().cpu.value();
    if (!dataRack.isEmpty() && workerState.info->rack != dataRack)
        score += 2 * capacity;
    // Small tasks fill the gaps that are too small for gangs first.
    score += capacity * lostMembers(candidate, worker);
    // Immediate work prefers fast workers; all work avoids very slow ones.
    if (workerState.slowness > VerySlowFactor)
        score += 2 * capacity;
    else if (candidate.urgency.urgencyClass == StepUrgency::Immediate
             && workerState.slowness > SlowFactor)
        score += capacity;
    return score;
}

bool Dispatcher::isEligible(const Candidate &candidate, std::size_t worker) const
{
    const std::string &label = candidate.spec().requiredLabel;
    return label.empty() || hasLabel(*m_input.workers[worker].info, label);
}

int64_t Dispatcher::placesOnWorker(const Candidate &candidate, std::size_t worker) const
{
    const StepSpec &spec = candidate.spec();
    const DispatchWorker &workerState = m_input.workers[worker];
    Resources freeCapacity = workerState.freeCapacity();
    const Reservation &reservation = m_reservations[worker];
    if (reservation.holder && reservation.holder != &candidate
        && !mayUseReserved(candidate, worker))
        freeCapacity -= reservation.amount;
    const int64_t places = spec.need.countFittingIn(freeCapacity);
    if (spec.maxPerWorker == 0 || places <= 0)
        return places;
    const StepKey &key = candidate.key;
    const auto running =
        std::ranges::count_if(workerState.allocations, [&key](const RunAllocation &holder) {
            return holder.step == key.step && holder.occurrence == key.occurrence
                && *holder.job == key.job;
        });
    return std::min<int64_t>(places, int64_t(spec.maxPerWorker) - running);
}

int64_t Dispatcher::teamHeadroom(const TeamId &team, const Resources &need) const
{
    const auto use = m_input.teamUse.find(team);
    return teamHeadroomBeside(use == m_input.teamUse.end() ? Resources() : use->second, team, need);
}

int64_t Dispatcher::teamHeadroomBeside(const Resources &used, const TeamId &team,
                                       const Resources &need) const
{
    const TeamSettings *settings = m_input.configuration->findTeam(team);
    // Jobs of open queues have no team; jobs of a removed team are finished without a limit.
    if (!settings)
        return INT32_MAX;
    int64_t count = INT32_MAX;
    const auto limitBy = [&count](int64_t cap, int64_t inUse, int64_t wanted) {
        if (cap > 0 && wanted > 0)
            count = std::min(count, std::max<int64_t>(0, cap - inUse) / wanted);
    };
    limitBy(settings->cap.cpu.value(), used.cpu.value(), need.cpu.value());
    limitBy(settings->cap.memory.value(), used.memory.value(), need.memory.value());
    limitBy(settings->cap.accelerators.value(), used.accelerators.value(),
            need.accelerators.value());
    return count;
}

int64_t Dispatcher::poolHeadroom(const Candidate &candidate, const Resources &need) const
{
    if (candidate.urgency.urgencyClass == StepUrgency::Immediate || need.cpu.value() <= 0)
        return INT32_MAX;
    const int64_t reserve = reservePercent(candidate.urgency.urgencyClass);
    const Pool &pool = *candidate.pool;
    const CpuMillis shared = pool.capacity - pool.usedForGood;
    const CpuMillis used = pool.used - pool.usedForGood;
    const int64_t freeCapacity = shared.value() * (100 - reserve) / 100 - used.value();
    const int64_t count = std::max<int64_t>(0, freeCapacity) / need.cpu.value();
    // In an idle pool any task may start, even one that needs nearly all of it.
    return used <= CpuMillis(0) ? std::max<int64_t>(count, 1) : count;
}

Duration Dispatcher::expectedLengthOf(const Candidate &candidate) const
{
    const Duration estimate = candidate.spec().estimate;
    if (m_input.remoteFactor <= 1 || !m_input.runLengths)
        return std::max(estimate, MinEstimate);
    return std::max(m_input.runLengths->expectedLength(candidate.queue->id, estimate), MinEstimate);
}

void Dispatcher::start(const Candidate &candidate, uint32_t index, uint32_t attempt,
                       std::size_t worker, const std::string &ticket, bool isRemote)
{
    const StepKey &key = candidate.key;
    const StepSpec &spec = candidate.spec();
    m_result.starts.push_back(
        {{key.job, key.occurrence, key.step, index}, attempt, worker, ticket, isRemote});
    DispatchWorker &workerState = m_input.workers[worker];
    workerState.used += spec.need;
    Duration length = expectedLengthOf(candidate);
    if (isRemote)
        length += localityGain({length, m_input.remoteFactor});
    workerState.allocations.push_back({&key.job, key.occurrence, key.step, spec.need,
                                       spec.isService ? NeverReleased : m_input.now + length});
    if (spec.isService) {
        m_releasable[worker] -= spec.need;
        candidate.pool->usedForGood = candidate.pool->usedForGood + spec.need.cpu;
    }
    candidate.pool->used = candidate.pool->used + spec.need.cpu;
    m_input.teamUse[candidate.job->accepted.team] += spec.need;
}

} // namespace Cranberrymount
