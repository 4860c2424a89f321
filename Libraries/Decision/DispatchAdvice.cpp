#include "Decision/AdviceWave.h"
#include "Decision/Dispatcher.h"

#include <algorithm>
#include <cmath>

namespace Cranberrymount {

namespace {

/** Maximum number of workers that the advisor accepts in one call. */
constexpr std::size_t MaxWorkersPerCall = 100;
/** Minimum number of workers in a call while it is unknown which of them the advisor allows. */
constexpr std::size_t MinUnknownWorkersPerCall = 8;
/** Maximum number of calls that are made for a gang at a time. */
constexpr std::size_t MaxGangCalls = 8;
/** Workers with free capacity from which a step that is no gang selects those to ask about; enough
 * to find fast and empty ones. */
constexpr std::size_t MaxSampledWorkers = 120;
/** How much less a worker suits a small task for each gang member that no longer fits beside it. */
constexpr int64_t LostMemberWeight = 2;
/** Capacity of the allowed workers that a gang without room knows, as a multiple of its own size:
 * enough to reserve those that are free first. */
constexpr int KnownCapacityFactor = 2;

/**
 * @return the number of places to request for @p wanted tasks. Other work takes some places before
 * the answer arrives, and the number of allowed workers scatters by about the square root.
 */
double placesToRequest(uint32_t wanted)
{
    return 1.25 * wanted + 2 * std::sqrt(static_cast<double>(wanted));
}

/** @return the number of workers up to which a larger call costs less than a second one. */
std::size_t efficientCallSize(const AdviceCost &cost)
{
    if (cost.perWorker.count() <= 0)
        return MaxWorkersPerCall;
    const auto size = static_cast<std::size_t>(cost.base / cost.perWorker);
    return std::clamp(size, MinUnknownWorkersPerCall, MaxWorkersPerCall);
}

/** @return the number of calls of at most @p callSize workers that name @p workers workers. */
std::size_t callsFor(std::size_t workers, std::size_t callSize)
{
    return (workers + callSize - 1) / callSize;
}

/** @return the largest size of a call of one step; a call that can be short stays short. */
std::size_t maxSinglesCallSize(const AdviceCost &cost)
{
    if (cost.perWorker.count() <= 0
        || cost.costOf(MinUnknownWorkersPerCall) > LongAdviceCallThreshold)
        return efficientCallSize(cost);
    const auto size =
        static_cast<std::size_t>((LongAdviceCallThreshold - cost.base) / cost.perWorker);
    return std::min(size, MaxWorkersPerCall);
}

} // namespace

void Dispatcher::countCallsNamingWorkers()
{
    for (const Candidate &candidate : m_candidates) {
        if (!candidate.stepAdvice)
            continue;
        for (const WorkerIncarnation &incarnation : candidate.stepAdvice->workersInFlight) {
            if (const std::optional<std::size_t> worker = positionOf(incarnation))
                ++m_callsNaming[*worker];
        }
    }
}

int64_t Dispatcher::placesAt(const Candidate &candidate, std::size_t worker, Instant answerAt) const
{
    const int64_t places = placesOnWorker(candidate, worker);
    const Reservation &reservation = m_reservations[worker];
    return reservation.holder == &candidate && reservation.freeAt <= answerAt
        ? std::max(places, reservation.places)
        : places;
}

bool Dispatcher::mayAskAbout(const Candidate &candidate) const
{
    const AdviceCache::StepAdvice *stepAdvice = candidate.stepAdvice;
    return !stepAdvice || (stepAdvice->callsInFlight == 0 && stepAdvice->notBefore <= m_input.now);
}

template <typename Visit>
void Dispatcher::visitUnknownWorkers(const Candidate &candidate, Visit visit) const
{
    std::vector<bool> isKnown(m_input.workers.size(), false);
    if (candidate.stepAdvice) {
        for (const auto &[incarnation, verdict] : candidate.stepAdvice->verdicts) {
            if (const std::optional<std::size_t> worker = positionOf(incarnation))
                isKnown[*worker] = true;
        }
    }
    const std::vector<std::size_t> &workers = candidate.pool->workers;
    const std::size_t first = std::hash<JobId>()(candidate.key.job) % workers.size();
    const auto visitThose = [&](bool areAway) {
        for (std::size_t count = 0; count < workers.size(); ++count) {
            const std::size_t worker = workers[(first + count) % workers.size()];
            if (!isKnown[worker] && isAwayFromData(candidate, worker) == areAway
                && isEligible(candidate, worker) && !visit(worker))
                return false;
        }
        return true;
    };
    if (visitThose(false) && prefersLocal(candidate))
        visitThose(true);
}

Dispatcher::AdvicePlan Dispatcher::planAdvice(const Candidate &candidate, Instant answerAt,
                                              std::size_t maxUnknown, const RackId *rack) const
{
    const double limit = slownessLimit(candidate.urgency);
    AdvicePlan plan;
    const auto addChoice = [&](std::size_t worker, bool isAllowed, int64_t places) {
        const double rank = static_cast<double>(places)
            / static_cast<double>((1 + m_callsNaming[worker])
                                  * (1 + LostMemberWeight * lostMembers(candidate, worker)));
        plan.choices.push_back(
            {worker, isAllowed, places, m_input.workers[worker].slowness > limit, rank});
    };
    for (const auto &[worker, verdict] : candidate.allowed) {
        if (!isEligible(candidate, worker) || (rack && m_input.workers[worker].info->rack != *rack))
            continue;
        plan.allowedCapacity += membersFittingIn(candidate, m_releasable[worker]);
        const int64_t places = placesAt(candidate, worker, answerAt);
        if (places <= 0)
            continue;
        plan.allowedPlaces += places;
        if (isTicketValid(*verdict, answerAt))
            plan.placesWithTicket += places;
        else
            addChoice(worker, true, places);
    }
    const std::size_t maxChoices = plan.choices.size() + maxUnknown;
    visitUnknownWorkers(candidate, [&](std::size_t worker) {
        const bool isInRack = !rack || m_input.workers[worker].info->rack == *rack;
        const int64_t places = isInRack ? placesOnWorker(candidate, worker) : 0;
        if (places > 0)
            addChoice(worker, false, places);
        return plan.choices.size() < maxChoices;
    });
    std::ranges::stable_sort(plan.choices, {}, [&](const AdviceChoice &choice) {
        return std::tuple(!choice.isAllowed, isAwayFromData(candidate, choice.worker),
                          choice.isSlow, -choice.rank);
    });
    groupByRack(candidate, plan.choices);
    return plan;
}

void Dispatcher::addAdviceCalls(const Candidate &candidate, const std::vector<std::size_t> &workers,
                                std::size_t calls)
{
    const AdviceCost &cost = *candidate.queue->advice;
    std::size_t next = 0;
    for (std::size_t call = 0; call < calls; ++call) {
        AdviceDecision decision;
        decision.step = candidate.key;
        const std::size_t end = workers.size() * (call + 1) / calls;
        for (; next < end; ++next) {
            decision.workers.push_back(m_input.workers[workers[next]].info->incarnation);
            ++m_callsNaming[workers[next]];
        }
        decision.cost = cost.costOf(decision.workers.size());
        decision.ticketLifetime = cost.ticketLifetime;
        decision.isExtra = call > 0;
        m_result.advice.push_back(std::move(decision));
    }
}

void Dispatcher::requestSinglesAdvice(const Candidate &candidate, uint32_t wanted)
{
    const AdviceCost &cost = *candidate.queue->advice;
    const std::size_t maxWorkers = maxSinglesCallSize(cost);
    std::size_t &freeCalls = m_input.adviceCapacity.of(cost.costOf(maxWorkers));
    if (freeCalls == 0 || !mayAskAbout(candidate))
        return;
    const AdvicePlan plan = planAdvice(candidate, m_input.now, MaxSampledWorkers);
    const double fraction = m_input.advice->allowedFraction(candidate.queue->id);
    const double requested = placesToRequest(wanted);
    const bool hasEnoughAllowed = plan.allowedPlaces >= wanted;
    double expected = 0;
    std::vector<std::size_t> named;
    for (const AdviceChoice &choice : plan.choices) {
        if (named.size() == maxWorkers
            || (choice.isAllowed ? expected >= wanted : hasEnoughAllowed))
            break;
        if (!choice.isAllowed && expected >= requested && named.size() >= MinUnknownWorkersPerCall)
            break;
        named.push_back(choice.worker);
        expected += static_cast<double>(choice.places) * (choice.isAllowed ? 1 : fraction);
    }
    if (named.empty())
        return;
    --freeCalls;
    addAdviceCalls(candidate, named, 1);
}

std::size_t Dispatcher::maxGangCalls() const
{
    return std::clamp<std::size_t>(m_input.adviceCapacity.longCallers, 1, MaxGangCalls);
}

void Dispatcher::requestGangAdvice(const Candidate &candidate, uint32_t members, bool mayStart,
                                   const RackId *rack)
{
    const AdviceCost &cost = *candidate.queue->advice;
    const std::size_t callSize = efficientCallSize(cost);
    std::size_t &freeCalls = m_input.adviceCapacity.of(cost.costOf(callSize));
    if (freeCalls == 0 || !mayAskAbout(candidate))
        return;
    const AdvicePlan plan =
        planAdvice(candidate, m_input.now + cost.costOf(callSize), m_input.workers.size(), rack);
    const double fraction = m_input.advice->allowedFraction(candidate.queue->id);
    const bool hasEnoughAllowed = plan.allowedPlaces >= members;
    const std::size_t maxNamed = maxGangCalls() * MaxWorkersPerCall;
    // A rack may have fewer workers than a call usually names; those of other racks are of no use.
    AdviceWave wave(members, plan.placesWithTicket, fraction,
                    prefersLocal(candidate) ? 0 : callSize);
    std::vector<std::size_t> named;
    for (const AdviceChoice &choice : plan.choices) {
        if (named.size() == maxNamed || wave.isEnough(!choice.isAllowed))
            break;
        if (!choice.isAllowed && hasEnoughAllowed)
            continue;
        named.push_back(choice.worker);
        if (choice.isAllowed)
            wave.nameAllowed(choice.places);
        else
            wave.nameUnknown(choice.places);
    }
    if (!mayStart || !wave.fitsGang())
        return learnWorkersForGang(candidate, members, plan.allowedCapacity, rack);
    if (named.empty())
        return;
    // A gang takes all callers that it needs or none: tickets of calls that are made one after the
    // other expire before the last answer. Less urgent gangs wait until it has them.
    const std::size_t calls = std::min(callsFor(named.size(), callSize), maxGangCalls());
    if (freeCalls < calls) {
        freeCalls = 0;
        return;
    }
    freeCalls -= calls;
    addAdviceCalls(candidate, named, calls);
}

void Dispatcher::learnWorkersForGang(const Candidate &candidate, uint32_t members,
                                     int64_t allowedCapacity, const RackId *rack)
{
    const int64_t missing = int64_t(rack ? 1 : KnownCapacityFactor) * members - allowedCapacity;
    if (!mayReserve(candidate) || missing <= 0)
        return;
    const AdviceCost &cost = *candidate.queue->advice;
    const std::size_t callSize = efficientCallSize(cost);
    const double fraction = m_input.advice->allowedFraction(candidate.queue->id);
    std::size_t &freeCalls = m_input.adviceCapacity.of(cost.costOf(callSize));
    const std::size_t maxNamed = std::min(maxGangCalls(), freeCalls) * callSize;
    double expected = 0;
    std::vector<std::size_t> named;
    visitUnknownWorkers(candidate, [&](std::size_t worker) {
        const bool isInRack = !rack || m_input.workers[worker].info->rack == *rack;
        const int64_t members = isInRack ? membersFittingIn(candidate, m_releasable[worker]) : 0;
        if (members == 0)
            return true;
        named.push_back(worker);
        expected += fraction * static_cast<double>(members);
        return named.size() < maxNamed && expected < static_cast<double>(missing);
    });
    const std::size_t calls = callsFor(named.size(), callSize);
    freeCalls -= calls;
    addAdviceCalls(candidate, named, calls);
}

} // namespace Cranberrymount
