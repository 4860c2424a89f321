#include "Protocol/Json.h"

#include "Protocol/ProtocolError.h"

#include <xxhash.h>

namespace Cranberrymount {

namespace {

struct PolicyName
{
    std::string operator()(const BatchPolicy &) const { return "batch"; }
    std::string operator()(const GangPolicy &) const { return "gang"; }
    std::string operator()(const ServicePolicy &) const { return "service"; }
};

TaskPhase phaseFromLetter(char letter)
{
    switch (letter) {
    case 'o':
        return TaskPhase::Open;
    case 'd':
        return TaskPhase::Done;
    case 'f':
        return TaskPhase::Failed;
    case 'c':
        return TaskPhase::Cancelled;
    default:
        throw ProtocolError(std::string("unknown task phase '") + letter + "'");
    }
}

} // namespace

uint64_t digestOf(const JobSpec &spec)
{
    const std::string text = Json(spec).dump();
    return XXH64(text.data(), text.size(), 0);
}

std::string policyName(const WorkPolicy &policy)
{
    return std::visit(PolicyName(), policy);
}

WorkPolicy policyFromName(const std::string &name)
{
    if (name == "batch")
        return BatchPolicy();
    if (name == "gang")
        return GangPolicy();
    if (name == "service")
        return ServicePolicy();
    throw ProtocolError("kind '" + name + "' is not batch, gang or service");
}

Json parseJson(const std::string &text)
{
    Json json = Json::parse(text, nullptr, false);
    if (json.is_discarded())
        throw ProtocolError("text is not valid JSON");
    return json;
}

template <typename T> T fromJson(const Json &json)
{
    try {
        return json.get<T>();
    } catch (const Json::exception &error) {
        throw ProtocolError(error.what());
    }
}

template Resources fromJson<Resources>(const Json &);
template JobSpec fromJson<JobSpec>(const Json &);
template JobPortion fromJson<JobPortion>(const Json &);
template ShardRecord fromJson<ShardRecord>(const Json &);
template Configuration fromJson<Configuration>(const Json &);
template WorkerInfo fromJson<WorkerInfo>(const Json &);

void to_json(Json &json, const Resources &resources)
{
    json = {{"cpu_millis", resources.cpu.value()},
            {"memory_mb", resources.memory.value()},
            {"accelerators", resources.accelerators.value()}};
}

void from_json(const Json &json, Resources &resources)
{
    resources.cpu = CpuMillis(json.value("cpu_millis", int64_t(0)));
    resources.memory = MemoryMb(json.value("memory_mb", int64_t(0)));
    resources.accelerators = AcceleratorCount(json.value("accelerators", int64_t(0)));
}

void to_json(Json &json, const JobSpec &spec)
{
    json = {{"id", spec.id.value()}, {"team", spec.team.value()}, {"kind", policyName(spec.policy)},
            {"tasks", spec.tasks},   {"per_task", spec.perTask},  {"payload", spec.payload}};
    if (spec.urgent)
        json["urgent"] = true;
    if (spec.deadline != 0)
        json["deadline"] = spec.deadline;
}

void from_json(const Json &json, JobSpec &spec)
{
    spec.id = JobId(json.at("id").get<std::string>());
    spec.team = TeamId(json.at("team").get<std::string>());
    spec.policy = policyFromName(json.at("kind").get<std::string>());
    spec.tasks = json.at("tasks").get<uint32_t>();
    spec.perTask = json.at("per_task").get<Resources>();
    spec.payload = json.value("payload", std::string());
    spec.urgent = json.value("urgent", false);
    spec.deadline = json.value("deadline", int64_t(0));
}

void to_json(Json &json, const JobPortion &portion)
{
    // One letter per task keeps the record of a job with thousands of tasks small.
    std::string phases;
    Json indexes = Json::array();
    Json failures = Json::object();
    for (const TaskRecord &task : portion.tasks) {
        phases.push_back(static_cast<char>(task.phase));
        indexes.push_back(task.index);
        if (task.failures > 0)
            failures[std::to_string(task.index)] = task.failures;
    }
    json = {{"spec", portion.spec}, {"phases", phases}};
    const bool hasAllTasks = portion.tasks.size() == portion.spec.tasks;
    if (!hasAllTasks)
        json["indexes"] = indexes;
    if (!failures.empty())
        json["failures"] = failures;
    if (portion.cancelled)
        json["cancelled"] = true;
}

void from_json(const Json &json, JobPortion &portion)
{
    portion.spec = json.at("spec").get<JobSpec>();
    portion.cancelled = json.value("cancelled", false);
    const auto phases = json.at("phases").get<std::string>();
    const auto indexes = json.value("indexes", std::vector<uint32_t>());
    const Json failures = json.value("failures", Json::object());
    if (!indexes.empty() && indexes.size() != phases.size())
        throw ProtocolError("portion must have as many indexes as phases");
    std::vector<TaskRecord> tasks;
    for (std::size_t position = 0; position < phases.size(); ++position) {
        TaskRecord task;
        task.index = indexes.empty() ? static_cast<uint32_t>(position) : indexes[position];
        task.phase = phaseFromLetter(phases[position]);
        task.failures = failures.value(std::to_string(task.index), 0U);
        tasks.push_back(task);
    }
    portion.add(tasks);
}

void to_json(Json &json, const ShardRecord &record)
{
    json = {{"epoch", record.epoch.value()}, {"sequence", record.sequence}};
    Json roster = Json::object();
    for (const auto &[worker, version] : record.roster)
        roster[worker.value()] = version.value();
    Json portions = Json::array();
    for (const auto &[job, portion] : record.portions)
        portions.push_back(portion);
    Json outgoing = Json::array();
    for (const OutgoingMove &move : record.outgoing) {
        outgoing.push_back({{"sequence", move.sequence},
                            {"target", move.target.value()},
                            {"portion", move.portion}});
    }
    Json admitted = Json::array();
    for (const AdmittedJob &job : record.admitted)
        admitted.push_back({job.job.value(), job.digest});
    json["admitted"] = std::move(admitted);
    Json cancelled = Json::array();
    for (const JobId &job : record.cancelled)
        cancelled.push_back(job.value());
    json["cancelled"] = std::move(cancelled);
    Json sent = Json::object();
    for (const auto &[shard, sequence] : record.lastSent)
        sent[shard.value()] = sequence;
    Json received = Json::object();
    for (const auto &[shard, sequence] : record.lastReceived)
        received[shard.value()] = sequence;
    json["roster"] = std::move(roster);
    json["portions"] = std::move(portions);
    json["outgoing"] = std::move(outgoing);
    json["last_sent"] = std::move(sent);
    json["last_received"] = std::move(received);
}

void from_json(const Json &json, ShardRecord &record)
{
    record.epoch = Epoch(json.at("epoch").get<uint64_t>());
    record.sequence = json.at("sequence").get<uint64_t>();
    for (const auto &[worker, version] : json.at("roster").items())
        record.roster[WorkerId(worker)] = InstanceListVersion(version.get<uint64_t>());
    for (const Json &portion : json.at("portions")) {
        auto decoded = portion.get<JobPortion>();
        const JobId job = decoded.spec.id;
        record.portions.emplace(job, std::move(decoded));
    }
    for (const Json &move : json.at("outgoing")) {
        record.outgoing.push_back({move.at("sequence").get<uint64_t>(),
                                   ShardId(move.at("target").get<std::string>()),
                                   move.at("portion").get<JobPortion>()});
    }
    for (const Json &job : json.at("admitted"))
        record.admitted.push_back({JobId(job.at(0).get<std::string>()), job.at(1).get<uint64_t>()});
    // Records written by earlier versions lack this field.
    for (const Json &job : json.value("cancelled", Json::array()))
        record.cancelled.emplace_back(job.get<std::string>());
    for (const auto &[shard, sequence] : json.at("last_sent").items())
        record.lastSent[ShardId(shard)] = sequence.get<uint64_t>();
    for (const auto &[shard, sequence] : json.at("last_received").items())
        record.lastReceived[ShardId(shard)] = sequence.get<uint64_t>();
}

void to_json(Json &json, const Configuration &configuration)
{
    Json teams = Json::object();
    for (const auto &[id, team] : configuration.teams) {
        teams[id.value()] = {
            {"share", team.share}, {"limit", team.limit}, {"key_hashes", team.keyHashes}};
    }
    Json queues = Json::object();
    for (const auto &[id, queue] : configuration.queues) {
        Json allowed = Json::array();
        for (const TeamId &team : queue.teams)
            allowed.push_back(team.value());
        queues[id.value()] = {
            {"open", queue.open}, {"teams", allowed}, {"timeout_ms", queue.timeoutMs}};
    }
    Json zones = Json::array();
    for (const ZoneId &zone : configuration.zonesOutOfService)
        zones.push_back(zone.value());
    Json deadlines = Json::object();
    for (const auto &[job, deadline] : configuration.deadlines)
        deadlines[job.value()] = deadline;
    Json decisions = Json::array();
    for (const auto &[plan, decision] : configuration.decisions)
        decisions.push_back({plan.value(), decision == PlanDecision::Confirmed});
    json = {{"teams", teams},
            {"queues", queues},
            {"zones_out", zones},
            {"deadlines", deadlines},
            {"decisions", decisions}};
}

void from_json(const Json &json, Configuration &configuration)
{
    for (const auto &[id, team] : json.at("teams").items()) {
        configuration.teams[TeamId(id)] = {team.at("share").get<double>(),
                                           team.at("limit").get<Resources>(),
                                           team.at("key_hashes").get<std::set<std::string>>()};
    }
    for (const auto &[id, json] : json.at("queues").items()) {
        Queue queue;
        queue.open = json.at("open").get<bool>();
        for (const auto &team : json.at("teams"))
            queue.teams.insert(TeamId(team.get<std::string>()));
        queue.timeoutMs = json.at("timeout_ms").get<uint32_t>();
        configuration.queues[QueueId(id)] = queue;
    }
    for (const auto &zone : json.at("zones_out"))
        configuration.zonesOutOfService.insert(ZoneId(zone.get<std::string>()));
    for (const auto &[job, deadline] : json.at("deadlines").items())
        configuration.deadlines[JobId(job)] = deadline.get<int64_t>();
    for (const auto &decision : json.at("decisions")) {
        configuration.decisions.emplace_back(PlanId(decision.at(0).get<std::string>()),
                                             decision.at(1).get<bool>() ? PlanDecision::Confirmed
                                                                        : PlanDecision::Rejected);
    }
}

void to_json(Json &json, const WorkerInfo &worker)
{
    json = {{"id", worker.id.value()},     {"zone", worker.zone.value()},
            {"rack", worker.rack.value()}, {"capacity", worker.capacity},
            {"url", worker.url},           {"slots", worker.slots},
            {"leaving", worker.leaving},   {"connections", worker.connections}};
}

void from_json(const Json &json, WorkerInfo &worker)
{
    worker.id = WorkerId(json.at("id").get<std::string>());
    worker.zone = ZoneId(json.at("zone").get<std::string>());
    worker.rack = RackId(json.at("rack").get<std::string>());
    worker.capacity = json.at("capacity").get<Resources>();
    worker.url = json.at("url").get<std::string>();
    worker.slots = json.value("slots", 0U);
    worker.connections = json.value("connections", 0U);
    worker.leaving = json.value("leaving", false);
}

} // namespace Cranberrymount
