#include "Decision/GangReservation.h"

#include <algorithm>

namespace Cranberrymount {

namespace {

/** Of a task about whose run time nothing is known. */
constexpr Duration UnknownRest{60'000};
/** Of a task that runs longer than was expected; the longer overdue, the more is left. */
constexpr Duration FirstOverdueRest{1000};
constexpr int OverdueFactor = 3;

struct ExpectedEnd
{
    Instant when;
    std::size_t position;
    Resources resources;
};

Instant expectedEndOf(const RunningTask &task, Instant now)
{
    if (!task.expectedEnd)
        return now + UnknownRest;
    if (*task.expectedEnd > now)
        return *task.expectedEnd;
    return now + FirstOverdueRest + OverdueFactor * (now - *task.expectedEnd);
}

bool endsLater(const ExpectedEnd &left, const ExpectedEnd &right)
{
    return left.when > right.when;
}

/** @return a heap with the soonest end on top. */
std::vector<ExpectedEnd> expectedEnds(const std::vector<WorkerRoom> &workers,
                                      const std::vector<RunningTask> &running, Instant now)
{
    const auto positions = positionsByName(workers);
    std::vector<Resources> unexplained(workers.size());
    for (std::size_t position = 0; position < workers.size(); ++position) {
        if (workers[position].usable)
            unexplained[position] = workers[position].capacity - workers[position].free;
    }
    std::vector<ExpectedEnd> ends;
    for (const RunningTask &task : running) {
        const auto position = positions.find(task.worker.value());
        if (position == positions.end() || !workers[position->second].usable)
            continue;
        unexplained[position->second] -= task.resources;
        if (!task.isService)
            ends.push_back({expectedEndOf(task, now), position->second, task.resources});
    }
    // Starts that are not confirmed yet take room too.
    for (std::size_t position = 0; position < workers.size(); ++position) {
        const Resources rest = unexplained[position].clampedToZero();
        if (rest != Resources())
            ends.push_back({now + UnknownRest, position, rest});
    }
    std::make_heap(ends.begin(), ends.end(), endsLater);
    return ends;
}

} // namespace

std::vector<ReservedWorker> reserveFor(const WaitingGroup &gang,
                                       const std::vector<WorkerRoom> &workers,
                                       const std::vector<RunningTask> &running, Instant now)
{
    const auto wanted = static_cast<int64_t>(gang.indexes.size());
    std::vector<Resources> free(workers.size());
    std::vector<int64_t> fits(workers.size(), 0);
    int64_t total = 0;
    for (std::size_t position = 0; position < workers.size(); ++position) {
        if (!workers[position].usable)
            continue;
        free[position] = workers[position].free;
        fits[position] = gang.perTask.countIn(free[position]);
        total += fits[position];
    }
    Instant until = now;
    auto ends = expectedEnds(workers, running, now);
    while (total < wanted && !ends.empty()) {
        std::pop_heap(ends.begin(), ends.end(), endsLater);
        const ExpectedEnd end = ends.back();
        ends.pop_back();
        until = end.when;
        free[end.position] += end.resources;
        const int64_t more = gang.perTask.countIn(free[end.position]) - fits[end.position];
        fits[end.position] += more;
        total += more;
    }
    if (total < wanted)
        return {};
    std::vector<std::size_t> order;
    for (std::size_t position = 0; position < workers.size(); ++position) {
        if (fits[position] > 0)
            order.push_back(position);
    }
    std::stable_sort(order.begin(), order.end(),
                     [&](auto left, auto right) { return fits[left] > fits[right]; });
    std::vector<ReservedWorker> reserved;
    int64_t left = wanted;
    for (const std::size_t position : order) {
        if (left <= 0)
            break;
        const int64_t members = std::min(fits[position], left);
        left -= members;
        reserved.push_back({position, until, free[position] - gang.perTask.times(members)});
    }
    return reserved;
}

} // namespace Cranberrymount
