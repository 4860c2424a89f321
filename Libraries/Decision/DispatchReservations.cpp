#include "Decision/Dispatcher.h"

#include <algorithm>

namespace Cranberrymount {

namespace {

/** Maximum number of gangs that reserve workers at a time; more would leave too much of the pool
 * idle. */
constexpr std::size_t MaxReservingGangs = 2;
/** A run that is overdue is expected to run on for its overdue time divided by this: tasks that use
 * the room until then delay the gang by less than the run has, even if they take as much longer
 * than expected. */
constexpr int OverdueRemainingDivisor = 4;
/** A run that is overdue by more than this multiple of its expected length, within the bounds
 * below, is not relied on to end. Slow workers and remote data together triple a length. */
constexpr int MaxOverdueFactor = 2;
/** Submitters' estimates of short tasks are rough. */
constexpr Duration MinOverdueLimit{1000};
/** No reservation rests on an overdue run for longer than this. */
constexpr Duration MaxOverdueLimit{10'000};
/** How long a step of which nothing runs waits beside capacity that is reserved for a gang while
 * most of the pool is free; by the users' rules a job must not do so 14 s after the last
 * submission. */
constexpr Duration MaxWaitBehindGang{10'000};

} // namespace

const char *nameOf(GangObstacle obstacle)
{
    switch (obstacle) {
    case GangObstacle::None:
        return "none";
    case GangObstacle::NoWorkers:
        return "no_workers";
    case GangObstacle::TeamLimit:
        return "team_limit";
    case GangObstacle::TooLarge:
        return "too_large";
    case GangObstacle::Advice:
        return "advice";
    case GangObstacle::EndlessRuns:
        return "endless_runs";
    }
    return "unknown";
}

Instant expectedRelease(Instant now, Instant expectedEnd, Duration expectedLength)
{
    const auto overdue = std::chrono::duration_cast<Duration>(now - expectedEnd);
    if (overdue <= Duration(0))
        return expectedEnd;
    const Duration limit =
        std::clamp(MaxOverdueFactor * expectedLength, MinOverdueLimit, MaxOverdueLimit);
    return overdue > limit ? NeverReleased : now + overdue / OverdueRemainingDivisor;
}

void Dispatcher::findEndlessRuns()
{
    for (auto &[name, pool] : m_pools) {
        for (const std::size_t index : pool.workers) {
            const DispatchWorker &worker = m_input.workers[index];
            m_releasable[index] = worker.info->capacity;
            for (const RunAllocation &allocation : worker.allocations) {
                if (allocation.releasedAt != NeverReleased)
                    continue;
                m_releasable[index] -= allocation.need;
                pool.usedForGood = pool.usedForGood + allocation.need.cpu;
            }
        }
    }
}

void Dispatcher::findMemberNeeds()
{
    for (const Candidate &candidate : m_candidates) {
        const StepSpec &spec = candidate.spec();
        if (spec.isGang && candidate.pool && spec.need.cpu > candidate.pool->memberNeed.cpu
            && m_input.jobs->findStep(candidate.key)->activeCount == 0)
            candidate.pool->memberNeed = spec.need;
    }
}

int64_t Dispatcher::lostMembers(const Candidate &candidate, std::size_t worker) const
{
    const Resources &member = candidate.pool->memberNeed;
    if (candidate.spec().isGang || member == Resources())
        return 0;
    const Resources freeCapacity = m_input.workers[worker].freeCapacity();
    const Resources left = freeCapacity - candidate.spec().need;
    return member.countFittingIn(freeCapacity) - member.countFittingIn(left);
}

bool Dispatcher::mayBeAllowed(const Candidate &candidate, std::size_t worker) const
{
    if (!candidate.queue->advice || !candidate.stepAdvice)
        return true;
    const AdviceCache::Verdict *verdict =
        candidate.stepAdvice->find(m_input.workers[worker].info->incarnation);
    return !verdict || verdict->isAllowed;
}

int64_t Dispatcher::membersFittingIn(const Candidate &candidate, const Resources &freeCapacity)
{
    const StepSpec &spec = candidate.spec();
    const int64_t count = spec.need.countFittingIn(freeCapacity);
    return spec.maxPerWorker == 0 ? count : std::min<int64_t>(count, spec.maxPerWorker);
}

GangObstacle Dispatcher::obstacleOf(const Candidate &candidate) const
{
    const StepSpec &spec = candidate.spec();
    if (!candidate.pool)
        return GangObstacle::NoWorkers;
    if (teamHeadroomBeside({}, candidate.job->accepted.team, spec.need) < spec.taskCount)
        return GangObstacle::TeamLimit;
    int64_t placesOnAllowed = 0;
    for (const AllowedWorker &allowed : candidate.allowed) {
        if (isEligible(candidate, allowed.worker))
            placesOnAllowed += membersFittingIn(candidate, m_releasable[allowed.worker]);
        if (placesOnAllowed >= spec.taskCount)
            return GangObstacle::None;
    }
    const auto releasable = [this](std::size_t worker) { return m_releasable[worker]; };
    const auto whole = [this](std::size_t worker) {
        return m_input.workers[worker].info->capacity;
    };
    const auto fits = [&](const auto &capacityOf, bool needsAdvice) {
        int64_t places = 0;
        for (const std::size_t worker : candidate.pool->workers) {
            if (!isEligible(candidate, worker) || (needsAdvice && !mayBeAllowed(candidate, worker)))
                continue;
            places += membersFittingIn(candidate, capacityOf(worker));
            if (places >= spec.taskCount)
                return true;
        }
        return false;
    };
    if (fits(releasable, true))
        return GangObstacle::None;
    if (fits(whole, true))
        return GangObstacle::EndlessRuns;
    return fits(whole, false) ? GangObstacle::Advice : GangObstacle::TooLarge;
}

bool Dispatcher::noteObstacle(const Candidate &candidate)
{
    const GangObstacle obstacle = obstacleOf(candidate);
    if (obstacle == GangObstacle::None)
        return false;
    m_result.blockedGangs.push_back({candidate.key, obstacle});
    return true;
}

bool Dispatcher::mayReserve(const Candidate &candidate) const
{
    return candidate.urgency.urgencyClass <= StepUrgency::InTime
        || &candidate == m_longestWaitingGang;
}

bool Dispatcher::isLeftBehind(const Candidate &candidate) const
{
    const Pool &pool = *candidate.pool;
    return 2 * pool.used.value() < pool.capacity.value()
        && m_input.jobs->findStep(candidate.key)->activeCount == 0
        && m_input.wallNow - candidate.job->waitingSince(candidate.key.occurrence)
        > MaxWaitBehindGang;
}

bool Dispatcher::mayUseReserved(const Candidate &candidate, std::size_t worker) const
{
    const StepSpec &spec = candidate.spec();
    // A service that is not running is missed by its users; a gang only starts later.
    if (candidate.urgency.urgencyClass == StepUrgency::Immediate || spec.isService)
        return true;
    if (isLeftBehind(candidate))
        return true;
    if (spec.estimate <= Duration(0))
        return false;
    const auto slowness = std::max(m_input.workers[worker].slowness, 1.0);
    const auto length =
        Duration(static_cast<int64_t>(static_cast<double>(spec.estimate.count()) * slowness));
    return m_input.now + m_input.startDelay + length <= m_reservations[worker].startsAt;
}

void Dispatcher::reserveForGang(const Candidate &candidate, uint32_t wanted, const RackId *rack)
{
    const bool isLongestWaiting = &candidate == m_longestWaitingGang;
    const std::size_t maxGangs = rack ? MaxReservingGangs - 1 : MaxReservingGangs;
    if (!mayReserve(candidate) || (!isLongestWaiting && m_reservingGangs >= maxGangs)
        || teamHeadroom(candidate.job->accepted.team, candidate.spec().need) < wanted)
        return;
    // FIXME: Only whole workers are reserved; a gang may fit beside long runs earlier.
    struct Choice
    {
        std::size_t worker = 0;
        Resources freeCapacity;
        int64_t places = 0;
        /** When the worker is expected to have its first and its last place. */
        Instant firstFreeAt{};
        Instant freeAt{};
    };
    struct Release
    {
        Instant when;
        std::size_t choice = 0;
        Resources amount;
    };
    std::vector<Choice> choices;
    std::vector<Release> releases;
    int64_t places = 0;
    const auto addChoice = [&](std::size_t worker) {
        const Candidate *holder = m_reservations[worker].holder;
        if (!isEligible(candidate, worker) || (holder && holder != &candidate))
            return;
        if (rack && m_input.workers[worker].info->rack != *rack)
            return;
        const DispatchWorker &workerState = m_input.workers[worker];
        const Resources freeCapacity = workerState.freeCapacity();
        const int64_t placesNow = membersFittingIn(candidate, freeCapacity);
        for (const RunAllocation &allocation : workerState.allocations) {
            if (allocation.releasedAt != NeverReleased)
                releases.push_back({allocation.releasedAt, choices.size(), allocation.need});
        }
        choices.push_back({worker, freeCapacity, placesNow, m_input.now, m_input.now});
        places += placesNow;
    };
    if (candidate.queue->advice) {
        for (const AllowedWorker &allowed : candidate.allowed)
            addChoice(allowed.worker);
    } else {
        std::ranges::for_each(candidate.pool->workers, addChoice);
    }
    std::ranges::make_heap(releases, std::ranges::greater(), &Release::when);
    while (places < wanted && !releases.empty()) {
        std::ranges::pop_heap(releases, std::ranges::greater(), &Release::when);
        const Release release = releases.back();
        releases.pop_back();
        Choice &choice = choices[release.choice];
        choice.freeCapacity += release.amount;
        const int64_t more = membersFittingIn(candidate, choice.freeCapacity) - choice.places;
        if (more == 0)
            continue;
        if (choice.places == 0)
            choice.firstFreeAt = release.when;
        choice.freeAt = release.when;
        choice.places += more;
        places += more;
    }
    if (places < wanted)
        return;
    std::erase_if(choices, [](const Choice &choice) { return choice.places == 0; });
    std::ranges::sort(choices, {}, &Choice::firstFreeAt);
    std::size_t used = 0;
    for (places = 0; places < wanted; ++used)
        places += choices[used].places;
    choices.resize(used);
    const Instant startsAt = std::ranges::max(choices, {}, &Choice::freeAt).freeAt;
    m_reservingGangs += !isLongestWaiting;
    for (const Choice &choice : choices) {
        m_reservations[choice.worker] = {&candidate, m_input.workers[choice.worker].info->capacity,
                                         choice.freeAt, choice.places, startsAt};
    }
}

void Dispatcher::findLongestWaitingGang()
{
    std::vector<const Candidate *> lateGangs;
    for (const Candidate &candidate : m_candidates) {
        const StepSpec &spec = candidate.spec();
        if (spec.isGang && candidate.urgency.urgencyClass > StepUrgency::InTime
            && m_input.jobs->findStep(candidate.key)->activeCount == 0
            && teamHeadroom(candidate.job->accepted.team, spec.need) >= spec.taskCount)
            lateGangs.push_back(&candidate);
    }
    // Late gangs, which can still earn credit, come before Leftover ones.
    std::ranges::sort(lateGangs, {}, [](const Candidate *candidate) {
        return std::tuple(candidate->urgency.urgencyClass, candidate->job->accepted.acceptedAt,
                          candidate->key);
    });
    // A gang that can't be placed must not keep its place in front of those that can.
    const auto longest = std::ranges::find_if(lateGangs, [this](const Candidate *candidate) {
        return obstacleOf(*candidate) == GangObstacle::None;
    });
    if (longest != lateGangs.end())
        m_longestWaitingGang = *longest;
}

std::vector<Dispatcher::PlacementOption>
Dispatcher::optionsWithTickets(const Candidate &candidate) const
{
    std::vector<PlacementOption> places;
    for (const auto &[worker, verdict] : candidate.allowed) {
        if (m_reservations[worker].holder || !isEligible(candidate, worker))
            continue;
        const bool hasTicket = isTicketValid(*verdict, m_input.now)
            || candidate.stepAdvice->workersInFlight.contains(
                m_input.workers[worker].info->incarnation);
        const int64_t count = hasTicket ? placesOnWorker(candidate, worker) : 0;
        if (count > 0)
            places.push_back({worker, nullptr, count});
    }
    // Workers that can take the most members come first, so that the gang reserves few workers.
    std::ranges::sort(places, [](const PlacementOption &left, const PlacementOption &right) {
        return std::pair(-left.count, left.worker) < std::pair(-right.count, right.worker);
    });
    return places;
}

void Dispatcher::reserveForGangsWithTickets()
{
    for (const Candidate &candidate : m_candidates) {
        const StepSpec &spec = candidate.spec();
        if (!spec.isGang || !candidate.pool || !candidate.stepAdvice
            || m_input.jobs->findStep(candidate.key)->activeCount > 0
            || teamHeadroom(candidate.job->accepted.team, spec.need) < spec.taskCount)
            continue;
        std::vector<PlacementOption> places = optionsWithTickets(candidate);
        // The capacity elsewhere is not kept idle while the gang waits for one rack.
        if (!putWholeRackFirst(candidate, places) && isWaitingForRack(candidate))
            continue;
        int64_t wanted = spec.taskCount;
        for (const PlacementOption &place : places)
            wanted -= place.count;
        if (wanted > 0)
            continue;
        wanted = spec.taskCount;
        for (const PlacementOption &place : places) {
            const int64_t taken = std::min(place.count, wanted);
            if (taken == 0)
                break;
            wanted -= taken;
            m_reservations[place.worker] = {&candidate, spec.need.times(taken), m_input.now, taken,
                                            m_input.now};
        }
    }
}

} // namespace Cranberrymount
