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

Dispatcher::AdvicePlan Dispatcher::planAdvice(const Candidate &candidate, Instant answerAt,
                                              std::size_t maxChoices) const
{
    const StepSpec &spec = candidate.spec();
    const double limit = slownessLimit(candidate.urgency);
    AdvicePlan plan;
    std::vector<bool> isSettled(m_input.workers.size(), false);
    const auto settle = [&](const WorkerIncarnation &incarnation) {
        if (const std::optional<std::size_t> worker = positionOf(incarnation))
            isSettled[*worker] = true;
    };
    const auto addChoice = [&](std::size_t worker, bool isAllowed, int64_t places) {
        const double rank = static_cast<double>(places) / (1 + m_callsNaming[worker]);
        plan.choices.push_back(
            {worker, isAllowed, places, m_input.workers[worker].slowness > limit, rank});
    };
    if (candidate.stepAdvice) {
        for (const auto &[incarnation, verdict] : candidate.stepAdvice->verdicts)
            settle(incarnation);
        for (const WorkerIncarnation &incarnation : candidate.stepAdvice->workersInFlight)
            settle(incarnation);
    }
    for (const auto &[worker, verdict] : candidate.allowed) {
        if (!isEligible(candidate, worker))
            continue;
        plan.allowedCapacity += spec.need.countFittingIn(m_input.workers[worker].info->capacity);
        const int64_t places = placesAt(candidate, worker, answerAt);
        if (places <= 0)
            continue;
        plan.allowedPlaces += places;
        if (verdict->expires > answerAt + m_input.startDelay)
            plan.placesWithTicket += places;
        else
            addChoice(worker, true, places);
    }
    // Each job starts at another position of the pool, so that the steps do not all ask about the
    // same workers.
    const std::vector<std::size_t> &workers = candidate.pool->workers;
    const std::size_t first = std::hash<JobId>()(candidate.key.job) % workers.size();
    const std::size_t end = plan.choices.size() + std::min(maxChoices, workers.size());
    for (std::size_t count = 0; count < workers.size() && plan.choices.size() < end; ++count) {
        const std::size_t worker = workers[(first + count) % workers.size()];
        if (isSettled[worker] || !isEligible(candidate, worker))
            continue;
        const int64_t places = placesOnWorker(candidate, worker);
        if (places > 0)
            addChoice(worker, false, places);
    }
    std::ranges::stable_sort(plan.choices, [](const AdviceChoice &left, const AdviceChoice &right) {
        return std::tuple(!left.isAllowed, left.isSlow, -left.rank)
            < std::tuple(!right.isAllowed, right.isSlow, -right.rank);
    });
    return plan;
}

void Dispatcher::addAdviceCalls(const Candidate &candidate, const AdvicePlan &plan,
                                std::size_t count, std::size_t calls)
{
    const AdviceCost &cost = *candidate.queue->advice;
    std::size_t next = 0;
    for (std::size_t call = 0; call < calls; ++call) {
        AdviceDecision decision;
        decision.step = candidate.key;
        const std::size_t end = count * (call + 1) / calls;
        for (; next < end; ++next) {
            const std::size_t worker = plan.choices[next].worker;
            decision.workers.push_back(m_input.workers[worker].info->incarnation);
            ++m_callsNaming[worker];
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
    const AdviceCache::StepAdvice *stepAdvice = candidate.stepAdvice;
    const std::size_t maxWorkers = maxSinglesCallSize(cost);
    std::size_t &freeCalls = m_input.adviceCapacity.of(cost.costOf(maxWorkers));
    if (freeCalls == 0
        || (stepAdvice && (stepAdvice->callsInFlight > 0 || stepAdvice->notBefore > m_input.now)))
        return;
    const AdvicePlan plan = planAdvice(candidate, m_input.now, MaxSampledWorkers);
    const double fraction = m_input.advice->allowedFraction(candidate.queue->id);
    const double requested = placesToRequest(wanted);
    const bool hasEnoughAllowed = plan.allowedPlaces >= wanted;
    double expected = 0;
    std::size_t count = 0;
    for (; count < std::min(maxWorkers, plan.choices.size()); ++count) {
        const AdviceChoice &choice = plan.choices[count];
        if (choice.isAllowed ? expected >= wanted : hasEnoughAllowed)
            break;
        if (!choice.isAllowed && expected >= requested && count >= MinUnknownWorkersPerCall)
            break;
        expected += static_cast<double>(choice.places) * (choice.isAllowed ? 1 : fraction);
    }
    if (count == 0)
        return;
    --freeCalls;
    addAdviceCalls(candidate, plan, count, 1);
}

std::size_t Dispatcher::maxGangCalls() const
{
    return std::clamp<std::size_t>(m_input.adviceCapacity.longCallers, 1, MaxGangCalls);
}

void Dispatcher::requestGangAdvice(const Candidate &candidate, uint32_t members, bool mayStart)
{
    const AdviceCost &cost = *candidate.queue->advice;
    const AdviceCache::StepAdvice *stepAdvice = candidate.stepAdvice;
    const std::size_t callSize = efficientCallSize(cost);
    std::size_t &freeCalls = m_input.adviceCapacity.of(cost.costOf(callSize));
    if (freeCalls == 0
        || (stepAdvice && (stepAdvice->callsInFlight > 0 || stepAdvice->notBefore > m_input.now)))
        return;
    const AdvicePlan plan =
        planAdvice(candidate, m_input.now + cost.costOf(callSize), m_input.workers.size());
    const double fraction = m_input.advice->allowedFraction(candidate.queue->id);
    const double requested = placesToRequest(members);
    const bool hasEnoughAllowed = plan.allowedPlaces >= members;
    const std::size_t maxNamed = std::min(maxGangCalls() * MaxWorkersPerCall, plan.choices.size());
    auto expected = static_cast<double>(plan.placesWithTicket);
    std::size_t count = 0;
    for (; count < maxNamed; ++count) {
        const AdviceChoice &choice = plan.choices[count];
        if (expected >= requested || (!choice.isAllowed && hasEnoughAllowed))
            break;
        expected += static_cast<double>(choice.places) * (choice.isAllowed ? 1 : fraction);
    }
    if (!mayStart || expected < members)
        return learnWorkersForGang(candidate, members, plan);
    if (count == 0)
        return;
    // A gang takes all callers that it needs or none: tickets of calls that are made one after the
    // other expire before the last answer. Less urgent gangs wait until it has them.
    const std::size_t calls = std::min((count + callSize - 1) / callSize, maxGangCalls());
    if (freeCalls < calls) {
        freeCalls = 0;
        return;
    }
    freeCalls -= calls;
    addAdviceCalls(candidate, plan, count, calls);
}

void Dispatcher::learnWorkersForGang(const Candidate &candidate, uint32_t members,
                                     const AdvicePlan &plan)
{
    // Only these may reserve workers.
    const bool mayReserve =
        candidate.urgency.urgencyClass <= StepUrgency::InTime || &candidate == m_longestWaitingGang;
    const int64_t missing = int64_t(KnownCapacityFactor) * members - plan.allowedCapacity;
    if (!mayReserve || missing <= 0)
        return;
    const std::vector<std::size_t> &workers = candidate.pool->workers;
    const std::size_t first = std::hash<JobId>()(candidate.key.job) % workers.size();
    const AdviceCost &cost = *candidate.queue->advice;
    const std::size_t callSize = efficientCallSize(cost);
    const double fraction = m_input.advice->allowedFraction(candidate.queue->id);
    std::size_t &freeCalls = m_input.adviceCapacity.of(cost.costOf(callSize));
    const std::size_t maxNamed = std::min(maxGangCalls(), freeCalls) * callSize;
    double expected = 0;
    AdvicePlan unknown;
    for (std::size_t count = 0; count < workers.size() && unknown.choices.size() < maxNamed
         && expected < static_cast<double>(missing);
         ++count) {
        const std::size_t worker = workers[(first + count) % workers.size()];
        const CellWorker &info = *m_input.workers[worker].info;
        if (!isEligible(candidate, worker)
            || (candidate.stepAdvice && candidate.stepAdvice->find(info.incarnation)))
            continue;
        unknown.choices.push_back({worker, false, 0, false, 0});
        expected +=
            fraction * static_cast<double>(candidate.spec().need.countFittingIn(info.capacity));
    }
    if (unknown.choices.empty())
        return;
    const std::size_t calls = (unknown.choices.size() + callSize - 1) / callSize;
    freeCalls -= calls;
    addAdviceCalls(candidate, unknown, unknown.choices.size(), calls);
}

} // namespace Cranberrymount
