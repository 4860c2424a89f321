#include "Service/JobApi.h"

#include "Coordination/JobViewJson.h"
#include "Protocol/ProtocolError.h"

#include <glog/logging.h>

#include <algorithm>

namespace Cranberrymount {

namespace {

constexpr uint32_t MaxTasks = 10'000;
constexpr std::size_t MaxNameLength = 64;
constexpr std::size_t MaxPayloadBytes = 4096;
constexpr std::size_t JobIdBytes = 8;

bool isValidName(const std::string &text)
{
    return !text.empty() && text.size() <= MaxNameLength
        && std::all_of(text.begin(), text.end(), [](unsigned char character) {
               return std::isalnum(character) || character == '-' || character == '_'
                   || character == '.';
           });
}

std::string homeKey(const JobId &id)
{
    return "home/" + id.value();
}

JsonResponse notRun(int status, const std::string &reason)
{
    return {status, {{"outcome", "not-run"}, {"error", reason}}};
}

/** @return true if the job @p jobView belongs to @p team, or if @p team is empty. */
bool isVisibleTo(const TeamId &team, const Json &jobView)
{
    return team.isEmpty() || jobView.at("team").get<std::string>() == team.value();
}

void checkResources(const Json &job, std::vector<std::string> &faults)
{
    const Json resources = job.value("per_task", Json());
    if (!resources.is_object()) {
        faults.emplace_back(
            "'per_task' must be an object with cpu_millis, memory_mb, accelerators");
        return;
    }
    for (const auto &[key, value] : resources.items()) {
        const bool isKnown = key == "cpu_millis" || key == "memory_mb" || key == "accelerators";
        if (!isKnown)
            faults.push_back("unknown key 'per_task." + key + "'");
        else if (!value.is_number_integer() || value.get<int64_t>() < 0)
            faults.push_back("'per_task." + key + "' must be an integer of 0 or more");
    }
    if (!resources.contains("cpu_millis") || resources.at("cpu_millis") == 0)
        faults.emplace_back("'per_task.cpu_millis' must be an integer of 1 or more");
}

} // namespace

std::vector<std::string> validateJob(const Json &job)
{
    if (!job.is_object())
        return {"a job must be a JSON object"};
    std::vector<std::string> faults;
    static const std::set<std::string> Known{"id",      "kind",   "tasks",    "per_task",
                                             "payload", "urgent", "deadline", "team"};
    for (const auto &[key, value] : job.items()) {
        if (!Known.contains(key))
            faults.push_back("unknown key '" + key + "'");
    }
    if (job.contains("id")
        && (!job["id"].is_string() || !isValidName(job["id"].get<std::string>())))
        faults.emplace_back("'id' must be up to 64 letters, digits, '-', '_' or '.'");
    const Json kind = job.value("kind", Json());
    if (kind != "batch" && kind != "gang" && kind != "service")
        faults.emplace_back("'kind' must be batch, gang or service");
    const Json tasks = job.value("tasks", Json(1));
    if (!tasks.is_number_integer() || tasks.get<int64_t>() < 1 || tasks.get<int64_t>() > MaxTasks)
        faults.push_back("'tasks' must be an integer from 1 to " + std::to_string(MaxTasks));
    checkResources(job, faults);
    const Json payload = job.value("payload", Json(""));
    if (!payload.is_string() || payload.get<std::string>().size() > MaxPayloadBytes)
        faults.push_back("'payload' must be a string of up to " + std::to_string(MaxPayloadBytes)
                         + " bytes");
    if (!job.value("urgent", Json(false)).is_boolean())
        faults.emplace_back("'urgent' must be true or false");
    if (!job.value("deadline", Json(0)).is_number_integer())
        faults.emplace_back("'deadline' must be an integer, in seconds since the Unix epoch");
    return faults;
}

JobApi::JobApi(EntryNode &node)
    : m_node(node)
{
}

std::string JobApi::unschedulableReason(const JobSpec &spec) const
{
    const auto &workers = m_node.instances().workers();
    const bool fitsOnWorker =
        std::any_of(workers.begin(), workers.end(), [&spec](const WorkerInfo &worker) {
            return spec.perTask.fitsIn(worker.capacity);
        });
    if (!workers.empty() && !fitsOnWorker)
        return "no worker is large enough for one task";
    const auto &teams = m_node.controlPlane().configurationManager().configuration()->teams;
    const auto team = teams.find(spec.team);
    const bool isGang = std::holds_alternative<GangPolicy>(spec.policy);
    const Resources neededAtOnce = isGang ? spec.perTask.times(spec.tasks) : spec.perTask;
    if (team != teams.end() && !neededAtOnce.fitsIn(team->second.limit)) {
        return isGang ? "the gang as a whole exceeds the team's upper limit"
                      : "one task exceeds the team's upper limit";
    }
    if (!isGang || workers.empty())
        return {};
    std::map<ZoneId, int64_t> taskCapacityByZone;
    for (const WorkerInfo &worker : workers)
        taskCapacityByZone[worker.zone] += spec.perTask.countFittingIn(worker.capacity);
    const bool fitsInZone =
        std::any_of(taskCapacityByZone.begin(), taskCapacityByZone.end(), [&](const auto &item) {
            return item.second >= static_cast<int64_t>(spec.tasks);
        });
    return fitsInZone ? std::string() : "no zone is large enough for all tasks of the gang at once";
}

void JobApi::submit(Json job, const TeamId &team, const std::string &trace, Done done)
{
    const auto faults = validateJob(job);
    if (!faults.empty())
        return done({400, {{"outcome", "not-run"}, {"error", "invalid job"}, {"faults", faults}}});
    const bool isNamed = job.contains("id");
    if (!isNamed)
        job["id"] = "job-" + m_node.tracer().randomHex(JobIdBytes);
    job["team"] = team.value();
    job["tasks"] = job.value("tasks", 1);
    const auto spec = fromJson<JobSpec>(job);
    const std::string reason = unschedulableReason(spec);
    if (!reason.empty())
        return done(notRun(422, "this job can never run: " + reason));
    const auto home = m_node.controlPlane().chooseHomeFor(spec.perTask, spec.tasks);
    if (!home)
        return done(notRun(503, "no shard can accept a job now; try again"));
    if (isNamed)
        return claimHome(spec, *home, trace, std::move(done));
    admit(spec, *home, false, trace, std::move(done));
}

void JobApi::claimHome(const JobSpec &spec, const ShardId &home, const std::string &trace,
                       Done done)
{
    m_node.store().write(
        {homeKey(spec.id), home.value(), Revision(), m_node.dayLease().current()},
        [this, spec, home, trace, done = std::move(done)](const StoreWrite &write) {
            if (write.outcome == StoreWrite::Written)
                return admit(spec, home, false, trace, done);
            if (write.outcome == StoreWrite::NotSent)
                return done(notRun(503, "the store cannot be reached"));
            m_node.store().read(homeKey(spec.id), [this, spec, trace, done](const StoreRead &read) {
                if (!read.answered || read.entries.empty()) {
                    return done({504,
                                 {{"outcome", "unknown"},
                                  {"id", spec.id.value()},
                                  {"error",
                                   "the store cannot be reached; an earlier "
                                   "submission with this id may be recorded"},
                                  {"next", "submit again with the same id"}}});
                }
                admit(spec, ShardId(read.entries.front().value), true, trace, done);
            });
        });
}

void JobApi::admit(const JobSpec &spec, const ShardId &home, bool mayBeRecorded,
                   const std::string &trace, Done done)
{
    const Json body = {{"shard", home.value()}, {"spec", spec}};
    m_node.controlPlane().callOwner(
        home, {"admit", body.dump()}, trace,
        [spec, home, mayBeRecorded, trace, done = std::move(done)](const PeerResult &result) {
            const auto *reply = std::get_if<ControlReply>(&result.message);
            const bool isAnswered = result.outcome == PeerResult::Answered && reply;
            std::string outcome = isAnswered ? reply->body : "unknown";
            if (result.outcome == PeerResult::NotSent)
                outcome = "not-run";
            LOG(INFO) << "event=job_submitted job=" << spec.id.value()
                      << " team=" << spec.team.value() << " home=" << home.value()
                      << " outcome=" << outcome << " trace=" << trace;
            Json response = {{"id", spec.id.value()}, {"home", home.value()}};
            if (outcome == "recorded")
                return done({201, response});
            if (outcome == "already-recorded")
                return done({200, response});
            if (outcome == "name-taken")
                return done(notRun(409, "another job with this id was submitted before"));
            if (outcome == "not-run" && !mayBeRecorded)
                return done(notRun(503, "the home shard cannot record the job now"));
            response["outcome"] = "unknown";
            response["error"] = "the job may have been recorded";
            response["next"] = "show the job, or submit it again with the same id";
            done({504, response});
        });
}

void JobApi::cancel(const JobId &id, const TeamId &team, const std::string &trace, Done done)
{
    LOG(INFO) << "event=job_cancelled job=" << id.value() << " trace=" << trace;
    m_node.controlPlane().cancelJob(
        {id, team}, trace, [done = std::move(done)](CancelOutcome outcome) {
            switch (outcome) {
            case CancelOutcome::Cancelled:
                return done({200, {{"state", "cancelling"}}});
            case CancelOutcome::NoSuchJob:
                return done({404, {{"error", "no such job"}}});
            case CancelOutcome::Unknown:
                return done({504,
                             {{"outcome", "unknown"},
                              {"error", "not every shard has recorded the cancellation"},
                              {"next", "cancel again"}}});
            }
        });
}

void JobApi::show(const JobId &id, const TeamId &team, const std::string &trace, const Done &done)
{
    m_node.controlPlane().gather(
        {"job", id.value()}, trace,
        answering(done, [this, id, team, done](const GatheredReplies &gathered) {
            Json views = Json::array();
            for (const GatheredReply &reply : gathered.replies) {
                for (const Json &view : parseJson(reply.reply.body)) {
                    if (isVisibleTo(team, view.at("spec")))
                        views.push_back(view);
                }
            }
            if (views.empty()) {
                const bool isComplete = gathered.unresponsive.empty()
                    && m_node.controlPlane().shardsWithoutOwner().empty();
                return done(
                    {isComplete ? 404 : 503,
                     {{"error",
                       "none of the shards that answered has a record of job " + id.value()}}});
            }
            Json merged = mergeJobViews(views);
            merged["silent_entries"] = gathered.unresponsive.size();
            const auto age = m_node.controlPlane().configurationManager().evidenceAge();
            merged["configuration_age_ms"] = age ? age->count() : -1;
            done({200, std::move(merged)});
        }));
}

void JobApi::list(const TeamId &team, const std::string &trace, const Done &done)
{
    m_node.controlPlane().gather({"jobs", {}}, trace,
                                 answering(done, [team, done](const GatheredReplies &gathered) {
                                     Json summaries = Json::array();
                                     for (const GatheredReply &reply : gathered.replies) {
                                         for (const Json &summary : parseJson(reply.reply.body)) {
                                             if (isVisibleTo(team, summary))
                                                 summaries.push_back(summary);
                                         }
                                     }
                                     done({200,
                                           {{"jobs", mergeJobSummaries(summaries)},
                                            {"silent_entries", gathered.unresponsive.size()}}});
                                 }));
}

} // namespace Cranberrymount
