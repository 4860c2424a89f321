#include "Coordination/JobViewJson.h"

namespace Cranberrymount {

namespace {

void countState(Json &counts, const std::string &state, std::size_t by)
{
    counts[state] = counts.value(state, std::size_t(0)) + by;
}

} // namespace

Json encodeJobView(const JobView &view)
{
    Json tasks = Json::array();
    for (const TaskView &task : view.tasks) {
        Json shown = {{"index", task.index}, {"state", task.state}};
        if (!task.worker.isEmpty())
            shown["worker"] = task.worker.value();
        if (task.failures > 0)
            shown["failures"] = task.failures;
        tasks.push_back(std::move(shown));
    }
    return {{"spec", view.spec}, {"shard", view.shard.value()},    {"cancelled", view.cancelled},
            {"tasks", tasks},    {"wait_reason", view.waitReason}, {"history", view.history}};
}

Json summarizeJobView(const JobView &view)
{
    Json counts = Json::object();
    for (const TaskView &task : view.tasks)
        countState(counts, task.state, 1);
    return {{"id", view.spec.id.value()},
            {"team", view.spec.team.value()},
            {"kind", policyName(view.spec.policy)},
            {"total", view.spec.tasks},
            {"counts", counts}};
}

Json mergeJobViews(const Json &views)
{
    std::map<uint32_t, Json> tasks;
    Json merged = {{"shards", Json::object()}};
    for (const Json &view : views) {
        merged["spec"] = view.at("spec");
        const auto shard = view.at("shard").get<std::string>();
        merged["shards"][shard] = {{"wait_reason", view.at("wait_reason")},
                                   {"history", view.at("history")}};
        merged["cancelled"] = merged.value("cancelled", false) || view.at("cancelled").get<bool>();
        for (Json task : view.at("tasks")) {
            task["shard"] = shard;
            Json &known = tasks[task.at("index").get<uint32_t>()];
            if (known.is_null() || known.at("state") == "moving")
                known = std::move(task);
        }
    }
    Json counts = Json::object();
    Json list = Json::array();
    for (auto &[index, task] : tasks) {
        countState(counts, task.at("state").get<std::string>(), 1);
        list.push_back(std::move(task));
    }
    merged["counts"] = std::move(counts);
    merged["tasks"] = std::move(list);
    return merged;
}

Json mergeJobSummaries(const Json &summaries)
{
    std::map<std::string, Json> jobs;
    for (const Json &summary : summaries) {
        Json &job = jobs[summary.at("id").get<std::string>()];
        if (job.is_null()) {
            job = summary;
            continue;
        }
        for (const auto &[state, count] : summary.at("counts").items())
            countState(job["counts"], state, count.get<std::size_t>());
    }
    Json merged = Json::array();
    for (auto &[id, job] : jobs)
        merged.push_back(std::move(job));
    return merged;
}

Json encodeShardStatus(const ShardStatus &status, const ZoneId &zone)
{
    Json unresolved = Json::array();
    for (const WorkerId &worker : status.unresolved)
        unresolved.push_back(worker.value());
    return {{"shard", status.shard.value()},
            {"zone", zone.value()},
            {"epoch", status.epoch.value()},
            {"active", status.isActive},
            {"workers", status.workers},
            {"capacity", status.capacity},
            {"free", status.free},
            {"waiting", status.waiting},
            {"running", status.running},
            {"record_bytes", status.recordBytes},
            {"unresolved_workers", unresolved}};
}

} // namespace Cranberrymount
