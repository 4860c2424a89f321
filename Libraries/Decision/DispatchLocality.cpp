#include "Decision/Dispatcher.h"

#include <algorithm>

namespace Cranberrymount {

namespace {

/** Number of workers in a call that renews the tickets of a rack; sets the expected time of it. */
constexpr std::size_t WorkersPerRackCall = 12;

} // namespace

bool Dispatcher::prefersLocal(const Candidate &candidate) const
{
    const StepSpec &spec = candidate.spec();
    // A service has no run time by which a wait could pay off.
    if (m_input.remoteFactor <= 1 || spec.isService)
        return false;
    return !spec.dataRack.isEmpty() || (spec.isGang && spec.wantsOneRack && spec.taskCount > 1);
}

bool Dispatcher::isAwayFromData(const Candidate &candidate, std::size_t worker) const
{
    const RackId &dataRack = candidate.spec().dataRack;
    return !dataRack.isEmpty() && prefersLocal(candidate)
        && m_input.workers[worker].info->rack != dataRack;
}

Duration Dispatcher::localityHorizon(const Candidate &candidate) const
{
    if (!prefersLocal(candidate))
        return Duration(0);
    LocalityChoice choice{expectedLengthOf(candidate), m_input.remoteFactor,
                          candidate.urgency.slack, Duration(0)};
    if (m_input.localityWaits) {
        const Instant since =
            m_input.localityWaits->waitingSince(candidate.key).value_or(m_input.now);
        choice.waited = std::chrono::duration_cast<Duration>(m_input.now - since);
    }
    return maxLocalityWait(choice);
}

std::vector<const Dispatcher::PlacementOption *>
Dispatcher::chooseLocallyForGang(const Candidate &candidate,
                                 const std::vector<PlacementOption> &order,
                                 std::size_t members) const
{
    const StepSpec &spec = candidate.spec();
    std::vector<const PlacementOption *> chosen;
    if (!spec.dataRack.isEmpty() && prefersLocal(candidate))
        chosen = chooseForGang(order, members, &spec.dataRack);
    if (!spec.wantsOneRack)
        return chosen;
    for (auto place = order.begin(); place != order.end() && chosen.empty(); ++place)
        chosen = chooseForGang(order, members, &m_input.workers[place->worker].info->rack);
    return chosen;
}

bool Dispatcher::isRemoteForGang(const Candidate &candidate,
                                 const std::vector<const PlacementOption *> &chosen) const
{
    if (chosen.empty() || !prefersLocal(candidate))
        return false;
    const RackId &firstRack = m_input.workers[chosen.front()->worker].info->rack;
    return std::ranges::any_of(chosen, [&](const PlacementOption *place) {
        return isAwayFromData(candidate, place->worker)
            || (candidate.spec().wantsOneRack
                && m_input.workers[place->worker].info->rack != firstRack);
    });
}

void Dispatcher::addExpectedPlaces(const Candidate &candidate, std::size_t worker, Instant horizon,
                                   bool withFreeNow, double weight,
                                   std::vector<ExpectedPlace> &places) const
{
    const DispatchWorker &workerState = m_input.workers[worker];
    int64_t known = placesOnWorker(candidate, worker);
    if (withFreeNow)
        places.insert(places.end(), static_cast<std::size_t>(known), {m_input.now, weight});
    const Reservation &reservation = m_reservations[worker];
    if (reservation.holder && reservation.holder != &candidate
        && !mayUseReserved(candidate, worker))
        return;
    std::vector<std::pair<Instant, Resources>> releases;
    for (const RunAllocation &allocation : workerState.allocations) {
        if (allocation.releasedAt < horizon)
            releases.emplace_back(allocation.releasedAt, allocation.need);
    }
    std::ranges::sort(releases, {}, &std::pair<Instant, Resources>::first);
    Resources freeCapacity = workerState.freeCapacity();
    for (const auto &[when, amount] : releases) {
        freeCapacity += amount;
        for (const int64_t count = membersFittingIn(candidate, freeCapacity); known < count;
             ++known)
            places.push_back({when, weight});
    }
}

int64_t Dispatcher::placesAwaitedBefore(const Candidate &candidate, const RackId &rack) const
{
    const auto found = m_awaited.find(rack);
    if (found == m_awaited.end())
        return 0;
    const Resources &need = candidate.spec().need;
    const auto countOf = [](int64_t amount, int64_t each) {
        return each > 0 ? (amount + each - 1) / each : 0;
    };
    return std::max({countOf(found->second.cpu.value(), need.cpu.value()),
                     countOf(found->second.memory.value(), need.memory.value()),
                     countOf(found->second.accelerators.value(), need.accelerators.value())});
}

const RackId *Dispatcher::findRackToWaitFor(const Candidate &candidate, std::size_t members) const
{
    const Duration horizon = localityHorizon(candidate);
    if (horizon <= Duration(0))
        return nullptr;
    struct Rack
    {
        const RackId *id = nullptr;
        std::vector<ExpectedPlace> places;
    };
    std::map<std::string_view, Rack> racks;
    const bool needsAdvice = candidate.queue->advice.has_value();
    const double fraction = needsAdvice ? m_input.advice->allowedFraction(candidate.queue->id) : 1;
    for (const std::size_t worker : candidate.pool->workers) {
        if (isAwayFromData(candidate, worker) || !isEligible(candidate, worker)
            || !mayBeAllowed(candidate, worker))
            continue;
        const CellWorker &info = *m_input.workers[worker].info;
        const bool isAllowed =
            needsAdvice && candidate.stepAdvice && candidate.stepAdvice->find(info.incarnation);
        Rack &rack = racks[info.rack.value()];
        rack.id = &info.rack;
        addExpectedPlaces(candidate, worker, m_input.now + horizon, true, isAllowed ? 1 : fraction,
                          rack.places);
    }
    const RackId *best = nullptr;
    Instant bestTime = m_input.now + horizon;
    for (auto &[name, rack] : racks) {
        std::ranges::sort(rack.places, {}, &ExpectedPlace::when);
        auto missing = static_cast<double>(placesAwaitedBefore(candidate, *rack.id))
            + static_cast<double>(members);
        for (const ExpectedPlace &place : rack.places) {
            missing -= place.weight;
            if (missing > 0)
                continue;
            // Tickets can be requested before the capacity is free.
            const Instant when = needsAdvice
                ? std::max(place.when,
                           m_input.now + candidate.queue->advice->costOf(WorkersPerRackCall))
                : place.when;
            if (when < bestTime) {
                best = rack.id;
                bestTime = when;
            }
            break;
        }
    }
    return best;
}

void Dispatcher::waitForRack(const Candidate &candidate, uint32_t members, const RackId &rack)
{
    m_result.localityDecisions.push_back({candidate.key, members, 0});
    m_awaited[rack] += candidate.spec().need.times(members);
    countWaitingStep(candidate, m_result.waiting.forLocality);
    // Others may use what was reserved for the gang elsewhere.
    for (Reservation &reservation : m_reservations) {
        if (reservation.holder == &candidate)
            reservation = {};
    }
    reserveForGang(candidate, members, &rack);
    if (candidate.queue->advice)
        requestGangAdvice(candidate, members, true, &rack);
}

int64_t Dispatcher::countWaitingForDataRack(const Candidate &candidate, int64_t wanted) const
{
    const Duration horizon = localityHorizon(candidate);
    if (wanted <= 0 || horizon <= Duration(0))
        return 0;
    const Instant until = m_input.now + horizon;
    std::vector<ExpectedPlace> places;
    if (candidate.queue->advice) {
        const Instant ticketAt = m_input.now + candidate.queue->advice->costOf(WorkersPerRackCall);
        for (const auto &[worker, verdict] : candidate.allowed) {
            if (isAwayFromData(candidate, worker) || !isEligible(candidate, worker))
                continue;
            const std::size_t first = places.size();
            addExpectedPlaces(candidate, worker, until, !isTicketValid(*verdict, m_input.now), 1,
                              places);
            for (std::size_t index = first; index < places.size(); ++index) {
                if (!isTicketValid(*verdict, places[index].when))
                    places[index].when = std::max(places[index].when, ticketAt);
            }
        }
    } else {
        for (const std::size_t worker : candidate.pool->workers) {
            if (!isAwayFromData(candidate, worker) && isEligible(candidate, worker))
                addExpectedPlaces(candidate, worker, until, false, 1, places);
        }
    }
    const auto inTime = std::ranges::count_if(
        places, [until](const ExpectedPlace &place) { return place.when < until; });
    return std::clamp<int64_t>(inTime - placesAwaitedBefore(candidate, candidate.spec().dataRack),
                               0, wanted);
}

int64_t Dispatcher::maxRemoteStarts(const Candidate &candidate,
                                    const std::vector<PlacementOption> &options, int64_t wanted)
{
    if (!prefersLocal(candidate))
        return wanted;
    int64_t others = wanted;
    for (const PlacementOption &option : options) {
        if (!isAwayFromData(candidate, option.worker))
            others -= std::min(others, option.count);
    }
    const int64_t waiting = countWaitingForDataRack(candidate, others);
    const StepSpec &spec = candidate.spec();
    if (waiting > 0)
        m_awaited[spec.dataRack] += spec.need.times(waiting);
    return others - waiting;
}

int64_t Dispatcher::noteDataRackDecision(const Candidate &candidate,
                                         const std::vector<PlacementOption> &options,
                                         int64_t started, int64_t remoteStarts, int64_t remaining)
{
    if (!prefersLocal(candidate))
        return 0;
    int64_t remotePlaces = 0;
    for (const PlacementOption &option : options) {
        if (isAwayFromData(candidate, option.worker))
            remotePlaces += option.count;
    }
    const int64_t waiting = std::min(remaining, remotePlaces);
    if (waiting > 0 || started > 0)
        m_result.localityDecisions.push_back({candidate.key, waiting, remoteStarts});
    return waiting;
}

bool Dispatcher::lacksLocalTicket(const Candidate &candidate) const
{
    return std::ranges::any_of(candidate.allowed, [&](const AllowedWorker &allowed) {
        return !isAwayFromData(candidate, allowed.worker) && isEligible(candidate, allowed.worker)
            && !isTicketValid(*allowed.verdict, m_input.now)
            && placesOnWorker(candidate, allowed.worker) > 0;
    });
}

bool Dispatcher::isWaitingForRack(const Candidate &candidate) const
{
    return m_input.localityWaits && m_input.localityWaits->isWaiting(candidate.key)
        && localityHorizon(candidate) > Duration(0);
}

bool Dispatcher::putWholeRackFirst(const Candidate &candidate,
                                   std::vector<PlacementOption> &places) const
{
    if (!prefersLocal(candidate))
        return false;
    const std::vector<const PlacementOption *> local =
        chooseLocallyForGang(candidate, places, candidate.spec().taskCount);
    if (local.empty() || isRemoteForGang(candidate, local))
        return false;
    const RackId &rack = m_input.workers[local.front()->worker].info->rack;
    std::stable_partition(places.begin(), places.end(), [&](const PlacementOption &place) {
        return m_input.workers[place.worker].info->rack == rack;
    });
    return true;
}

void Dispatcher::groupByRack(const Candidate &candidate, std::vector<AdviceChoice> &choices) const
{
    if (!candidate.spec().isGang || !prefersLocal(candidate))
        return;
    const double fraction = m_input.advice->allowedFraction(candidate.queue->id);
    const auto rackOf = [this](const AdviceChoice &choice) {
        return std::string_view(m_input.workers[choice.worker].info->rack.value());
    };
    std::map<std::string_view, double> places;
    for (const AdviceChoice &choice : choices)
        places[rackOf(choice)] += choice.rank * (choice.isAllowed ? 1 : fraction);
    std::ranges::stable_sort(choices, {}, [&](const AdviceChoice &choice) {
        return std::tuple(isAwayFromData(candidate, choice.worker), -places[rackOf(choice)],
                          rackOf(choice));
    });
}

} // namespace Cranberrymount
