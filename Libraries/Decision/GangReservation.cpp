#include "Decision/GangReservation.h"

#include <algorithm>

namespace Cranberrymount {

namespace {

/** Assumed remaining run time of a task whose run time is unknown. */
constexpr Duration UnknownRemainingTime{60'000};
/** Assumed remaining run time of a task that runs longer than expected: this, plus the time by
 * which it is overdue times OverdueFactor. */
constexpr Duration MinOverdueRemainingTime{1000};
constexpr int OverdueFactor = 3;

/** Capacity that becomes free on a worker at an expected time. */
struct ExpectedEnd
{
    Instant when;
    std::size_t position;
    Resources resources;
};

Instant expectedEndOf(const RunningTask &task, Instant now)
{
    if (!task.expectedEnd)
        return now + UnknownRemainingTime;
    if (*task.expectedEnd > now)
        return *task.expectedEnd;
    return now + MinOverdueRemainingTime + OverdueFactor * (now - *task.expectedEnd);
}

bool endsLater(const ExpectedEnd &left, const ExpectedEnd &right)
{
    return left.when > right.when;
}

/** @return a heap with the soonest end on top. */
std::vector<ExpectedEnd> expectedEnds(const std::vector<WorkerCapacity> &workers,
                                      const std::vector<RunningTask> &running, Instant now)
{
    const auto positions = positionsByName(workers);
    std::vector<Resources> unattributed(workers.size());
    for (std::size_t position = 0; position < workers.size(); ++position) {
        if (workers[position].usable)
            unattributed[position] = workers[position].capacity - workers[position].free;
    }
    std::vector<ExpectedEnd> ends;
    for (const RunningTask &task : running) {
        const auto position = positions.find(task.worker.value());
        if (position == positions.end() || !workers[position->second].usable)
            continue;
        unattributed[position->second] -= task.resources;
        if (!task.isService)
            ends.push_back({expectedEndOf(task, now), position->second, task.resources});
    }
    // Capacity in use by no listed task belongs to starts that are not confirmed yet.
    for (std::size_t position = 0; position < workers.size(); ++position) {
        const Resources remainder = unattributed[position].clampedToZero();
        if (remainder != Resources())
            ends.push_back({now + UnknownRemainingTime, position, remainder});
    }
    std::make_heap(ends.begin(), ends.end(), endsLater);
    return ends;
}

} // namespace

std::vector<ReservedWorker> reserveWorkersFor(const WaitingGroup &gang,
                                              const std::vector<WorkerCapacity> &workers,
                                              const std::vector<RunningTask> &running, Instant now)
{
    const auto wanted = static_cast<int64_t>(gang.indexes.size());
    std::vector<Resources> free(workers.size());
    std::vector<int64_t> memberCounts(workers.size(), 0);
    int64_t total = 0;
    for (std::size_t position = 0; position < workers.size(); ++position) {
        if (!workers[position].usable)
            continue;
        free[position] = workers[position].free;
        memberCounts[position] = gang.perTask.countFittingIn(free[position]);
        total += memberCounts[position];
    }
    Instant until = now;
    auto ends = expectedEnds(workers, running, now);
    while (total < wanted && !ends.empty()) {
        std::pop_heap(ends.begin(), ends.end(), endsLater);
        const ExpectedEnd end = ends.back();
        ends.pop_back();
        until = end.when;
        free[end.position] += end.resources;
        const int64_t more =
            gang.perTask.countFittingIn(free[end.position]) - memberCounts[end.position];
        memberCounts[end.position] += more;
        total += more;
    }
    if (total < wanted)
        return {};
    std::vector<std::size_t> order;
    for (std::size_t position = 0; position < workers.size(); ++position) {
        if (memberCounts[position] > 0)
            order.push_back(position);
    }
    std::stable_sort(order.begin(), order.end(), [&](auto left, auto right) {
        return memberCounts[left] > memberCounts[right];
    });
    std::vector<ReservedWorker> reserved;
    int64_t left = wanted;
    for (const std::size_t position : order) {
        if (left <= 0)
            break;
        const int64_t members = std::min(memberCounts[position], left);
        left -= members;
        reserved.push_back({position, until, free[position] - gang.perTask.times(members)});
    }
    return reserved;
}

} // namespace Cranberrymount
