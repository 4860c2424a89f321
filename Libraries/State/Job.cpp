#include "State/Job.h"

#include <algorithm>

namespace Cranberrymount {

TaskRecord *JobPortion::find(uint32_t index)
{
    const auto task = std::lower_bound(
        tasks.begin(), tasks.end(), index,
        [](const TaskRecord &candidate, uint32_t wanted) { return candidate.index < wanted; });
    return task == tasks.end() || task->index != index ? nullptr : &*task;
}

const TaskRecord *JobPortion::find(uint32_t index) const
{
    return const_cast<JobPortion *>(this)->find(index); // NOLINT: changes nothing
}

void JobPortion::add(const std::vector<TaskRecord> &newTasks)
{
    tasks.insert(tasks.end(), newTasks.begin(), newTasks.end());
    std::sort(tasks.begin(), tasks.end(),
              [](const auto &left, const auto &right) { return left.index < right.index; });
}

} // namespace Cranberrymount
