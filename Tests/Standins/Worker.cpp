// Stand-in for worker instances and their targets; one process hosts many workers.
//
// Its journal is what the tests check: which task ran when and under which lease epoch, and each
// violation of a worker's capacity or slots. The stand-in accepts every request that a real worker
// would accept, and records a violation if the scheduler should not have sent it.

#include "ServeUntilSignal.h"

#include "Protocol/Json.h"

#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <mutex>

namespace Cranberrymount {

namespace {

using AttemptKey = std::tuple<std::string, uint32_t, uint64_t>;

// HTTP statuses.
/** The request's holder or epoch is not that of the current lease. */
constexpr int Conflict = 409;
/** The target refuses the request without processing it. */
constexpr int TooManyRequests = 429;

Instant now()
{
    return std::chrono::steady_clock::now();
}

int64_t unixMillis()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Duration>(sinceEpoch).count();
}

struct TaskRun
{
    std::string team;
    Resources resources;
    Instant endsAt;
    /** At @c endsAt the task ends as failed instead of done. */
    bool isGoingToFail = false;
    /** When a requested stop takes effect; after a checkpoint if one is requested. */
    std::optional<Instant> stopsAt;
};

/** A lease renewal that waits for the next ended run, at most until @p respondAt. */
struct LongPoll
{
    Instant respondAt;
    HttpResponder respond;
};

/** One worker instance. */
struct Worker
{
    std::string id;
    std::string zone;
    Resources capacity;
    uint32_t slots = 0;
    std::string holder;
    /** Highest epoch of a granted or released lease. */
    uint64_t epoch = 0;
    /** Epoch with which the current holder first got the lease. */
    uint64_t holderEpoch = 0;
    Instant leaseUntil;
    std::map<AttemptKey, TaskRun> running;
    /** Outcomes of ended attempts that the holder has not acknowledged yet. */
    std::map<AttemptKey, std::string> ended;
    std::optional<LongPoll> longPoll;
    uint32_t slotsInUse = 0;
    bool failsEveryTask = false;
    /** The instance has crashed: it answers no request. */
    bool isDead = false;
};

/** A lookup that a target answers with @p body at @p respondAt. */
struct PendingLookup
{
    Instant respondAt;
    std::string worker;
    std::string body;
    HttpResponder respond;
};

class WorkerHost
{
public:
    explicit WorkerHost(Duration orphanGrace)
        : m_orphanGrace(orphanGrace)
    {
    }

    void add(Worker worker) { m_workers[worker.id] = std::move(worker); }
    void handle(const HttpRequest &request, const HttpResponder &respond);
    void tick();

private:
    /** Grants or renews the lease. Sets @p isDeferred if the response follows later. */
    HttpResponse lease(Worker &worker, const Json &body, const HttpResponder &respond,
                       bool &isDeferred);
    HttpResponse start(Worker &worker, const Json &body);
    HttpResponse stop(Worker &worker, const Json &body);
    HttpResponse release(Worker &worker, const Json &body);
    /** Handles a lookup that is sent to the worker's target. */
    void target(Worker &worker, const HttpRequest &request, const HttpResponder &respond);
    /** Returns the journal, or sets the faults that a test asks for. */
    HttpResponse admin(const HttpRequest &request);
    /** @return the ended attempts; with @p isComplete also those that run. */
    Json report(const Worker &worker, bool isComplete) const;
    /** Ends an attempt with @p outcome and answers the long poll, if one waits. */
    void end(Worker &worker, const AttemptKey &key, const std::string &outcome);
    void recordEvent(const Worker &worker, const std::string &event, const AttemptKey &key,
                     const TaskRun &task);
    void recordViolation(const Worker &worker, const std::string &what);
    /** Stops all tasks once the lease and the orphan grace are over by the worker's own clock. */
    void enforceLease(Worker &worker);

    std::mutex m_mutex;
    Duration m_orphanGrace;
    std::map<std::string, Worker> m_workers;
    std::vector<PendingLookup> m_lookups;
    Json m_journal = Json::array();
    Json m_violations = Json::array();
    std::map<std::string, uint64_t> m_lookupRuns;
    uint64_t m_lookupCount = 0;
    /** How many of the next lookups run but are answered only after their deadline. */
    int m_unansweredLookups = 0;
};

Json keyToJson(const AttemptKey &key)
{
    return {std::get<0>(key), std::get<1>(key), std::get<2>(key)};
}

AttemptKey keyFromJson(const Json &json)
{
    return {json.at(0).get<std::string>(), json.at(1).get<uint32_t>(), json.at(2).get<uint64_t>()};
}

void WorkerHost::recordEvent(const Worker &worker, const std::string &event, const AttemptKey &key,
                             const TaskRun &task)
{
    m_journal.push_back({{"event", event},
                         {"at", unixMillis()},
                         {"worker", worker.id},
                         {"zone", worker.zone},
                         {"job", std::get<0>(key)},
                         {"index", std::get<1>(key)},
                         {"attempt", std::get<2>(key)},
                         {"team", task.team},
                         {"cpu_millis", task.resources.cpu.value()},
                         {"memory_mb", task.resources.memory.value()},
                         {"accelerators", task.resources.accelerators.value()},
                         {"epoch", worker.epoch}});
}

void WorkerHost::recordViolation(const Worker &worker, const std::string &what)
{
    m_violations.push_back({{"worker", worker.id}, {"what", what}, {"at", unixMillis()}});
}

Json WorkerHost::report(const Worker &worker, bool isComplete) const
{
    Json json = {{"epoch", worker.epoch}, {"running_count", worker.running.size()}};
    Json ended = Json::array();
    for (const auto &[key, outcome] : worker.ended) {
        Json item = keyToJson(key);
        item.push_back(outcome);
        ended.push_back(item);
    }
    if (!ended.empty())
        json["ended"] = ended;
    if (!isComplete)
        return json;
    json["running"] = Json::array();
    for (const auto &[key, task] : worker.running) {
        Json item = keyToJson(key);
        item.push_back(task.team);
        item.push_back(task.resources);
        json["running"].push_back(item);
    }
    return json;
}

void WorkerHost::end(Worker &worker, const AttemptKey &key, const std::string &outcome)
{
    const auto found = worker.running.find(key);
    if (found == worker.running.end())
        return;
    recordEvent(worker, outcome, key, found->second);
    worker.running.erase(found);
    worker.ended[key] = outcome;
    if (worker.longPoll) {
        worker.longPoll->respond({200, report(worker, false).dump()});
        worker.longPoll.reset();
    }
}

void WorkerHost::enforceLease(Worker &worker)
{
    if (worker.running.empty() || now() <= worker.leaseUntil + m_orphanGrace)
        return;
    while (!worker.running.empty()) {
        const AttemptKey key = worker.running.begin()->first;
        end(worker, key, "stopped");
    }
}

HttpResponse WorkerHost::lease(Worker &worker, const Json &body, const HttpResponder &respond,
                               bool &isDeferred)
{
    const auto holder = body.at("holder").get<std::string>();
    const auto epoch = body.at("epoch").get<uint64_t>();
    const bool isLeaseValid = now() < worker.leaseUntil && !worker.holder.empty();
    if (epoch < worker.epoch || (isLeaseValid && worker.holder != holder))
        return {Conflict, Json{{"holder", worker.holder}, {"epoch", worker.epoch}}.dump()};
    const bool isNewLease = worker.holder != holder || !isLeaseValid;
    if (isNewLease)
        worker.holderEpoch = epoch;
    worker.holder = holder;
    worker.epoch = epoch;
    worker.leaseUntil = now() + Duration(body.at("ttl_ms").get<int64_t>());
    for (const Json &attempt : body.value("acknowledged", Json::array()))
        worker.ended.erase(keyFromJson(attempt));
    const bool isComplete = isNewLease || body.value("complete", false);
    const Duration wait(body.value("wait_ms", 0));
    if (worker.longPoll) {
        worker.longPoll->respond({200, report(worker, false).dump()});
        worker.longPoll.reset();
    }
    if (isComplete || wait.count() == 0 || !worker.ended.empty())
        return {200, report(worker, isComplete).dump()};
    worker.longPoll = LongPoll{now() + wait, respond};
    isDeferred = true;
    return {};
}

HttpResponse WorkerHost::start(Worker &worker, const Json &body)
{
    if (body.at("epoch").get<uint64_t>() != worker.epoch || now() >= worker.leaseUntil)
        return {Conflict, Json{{"epoch", worker.epoch}}.dump()};
    for (const Json &task : body.at("tasks")) {
        const AttemptKey key{task.at("job").get<std::string>(), task.at("index").get<uint32_t>(),
                             task.at("attempt").get<uint64_t>()};
        if (worker.running.contains(key) || worker.ended.contains(key))
            continue;
        const Json payload = Json::parse(task.at("payload").get<std::string>(), nullptr, false);
        const bool isObject = payload.is_object();
        TaskRun running;
        running.team = task.at("team").get<std::string>();
        running.resources = task.at("resources").get<Resources>();
        running.endsAt = now() + Duration(isObject ? payload.value("run_ms", 1000) : 1000);
        running.isGoingToFail = worker.failsEveryTask || (isObject && payload.value("fail", false));
        worker.running[key] = running;
        recordEvent(worker, "started", key, running);
    }
    Resources used;
    for (const auto &[key, task] : worker.running)
        used += task.resources;
    if (!used.fitsIn(worker.capacity))
        recordViolation(worker, "overcommitted");
    return {200, "{}"};
}

HttpResponse WorkerHost::stop(Worker &worker, const Json &body)
{
    if (body.at("epoch").get<uint64_t>() < worker.holderEpoch)
        return {Conflict, "{}"};
    const Duration checkpointTime(body.value("checkpoint", false) ? 50 : 0);
    for (const Json &attempt : body.at("attempts")) {
        const auto found = worker.running.find(keyFromJson(attempt));
        if (found != worker.running.end() && !found->second.stopsAt)
            found->second.stopsAt = now() + checkpointTime;
    }
    return {200, "{}"};
}

HttpResponse WorkerHost::release(Worker &worker, const Json &body)
{
    const auto epoch = body.at("epoch").get<uint64_t>();
    if (worker.holder != body.at("holder").get<std::string>() || epoch < worker.epoch)
        return {Conflict, "{}"};
    worker.holder.clear();
    worker.epoch = epoch;
    worker.leaseUntil = now();
    return {200, "{}"};
}

void WorkerHost::target(Worker &worker, const HttpRequest &request, const HttpResponder &respond)
{
    const std::string epoch = request.header("X-Lease-Epoch");
    if (!epoch.empty() && std::stoull(epoch) < worker.holderEpoch)
        return respond({TooManyRequests, "{\"error\":\"stale lease epoch\"}"});
    if (worker.slotsInUse >= worker.slots)
        recordViolation(worker, "slots exceeded");
    const Json body = Json::parse(request.body, nullptr, false);
    ++m_lookupCount;
    if (body.is_object() && body.contains("id"))
        ++m_lookupRuns[body.at("id").get<std::string>()];
    if (m_unansweredLookups > 0) {
        --m_unansweredLookups;
        // The client's deadline passes before this response.
        m_lookups.push_back({now() + Duration(15'000), worker.id, {}, respond});
        ++worker.slotsInUse;
        return;
    }
    const Duration workTime(body.is_object() ? body.value("work_ms", 0) : 0);
    const Json response = {{"worker", worker.id}, {"echo", request.body}};
    if (workTime.count() == 0)
        return respond({200, response.dump()});
    ++worker.slotsInUse;
    m_lookups.push_back({now() + workTime, worker.id, response.dump(), respond});
}

HttpResponse WorkerHost::admin(const HttpRequest &request)
{
    if (request.path == "/admin/journal") {
        return {200,
                Json{{"journal", m_journal},
                     {"violations", m_violations},
                     {"lookup_count", m_lookupCount},
                     {"lookup_runs", m_lookupRuns}}
                    .dump()};
    }
    const Json body = parseJson(request.body.empty() ? "{}" : request.body);
    m_unansweredLookups = body.value("silent_lookups", m_unansweredLookups);
    for (const auto &[id, flag] : body.value("fails_all", Json::object()).items())
        m_workers.at(id).failsEveryTask = flag.get<bool>();
    for (const auto &[id, flag] : body.value("dead", Json::object()).items()) {
        Worker &worker = m_workers.at(id);
        worker.isDead = flag.get<bool>();
        for (const auto &[key, task] : worker.running)
            recordEvent(worker, "died", key, task);
        worker.running.clear();
        worker.ended.clear();
        worker.longPoll.reset();
        worker.leaseUntil = now();
        worker.epoch = 0;
        worker.holder.clear();
    }
    return {200, "{}"};
}

void WorkerHost::handle(const HttpRequest &request, const HttpResponder &respond)
{
    const std::lock_guard lock(m_mutex);
    if (request.path.starts_with("/admin/"))
        return respond(admin(request));
    const auto slash = request.path.find('/', 1);
    const auto found = m_workers.find(request.path.substr(1, slash - 1));
    if (found == m_workers.end())
        return respond({404, "{\"error\":\"no such worker\"}"});
    Worker &worker = found->second;
    if (worker.isDead)
        return; // A crashed instance never responds.
    enforceLease(worker);
    const std::string operation = request.path.substr(slash + 1);
    if (operation.starts_with("target/"))
        return target(worker, request, respond);
    if (operation == "ping")
        return respond({200, "{}"});
    const Json body = parseJson(request.body);
    bool isDeferred = false;
    HttpResponse response{404, "{}"};
    if (operation == "lease")
        response = lease(worker, body, respond, isDeferred);
    else if (operation == "start")
        response = start(worker, body);
    else if (operation == "stop")
        response = stop(worker, body);
    else if (operation == "release")
        response = release(worker, body);
    if (!isDeferred)
        respond(response);
}

void WorkerHost::tick()
{
    const std::lock_guard lock(m_mutex);
    for (auto &[id, worker] : m_workers) {
        enforceLease(worker);
        std::vector<std::pair<AttemptKey, std::string>> finished;
        for (const auto &[key, task] : worker.running) {
            if (task.stopsAt && *task.stopsAt <= now())
                finished.emplace_back(key, "stopped");
            else if (task.endsAt <= now())
                finished.emplace_back(key, task.isGoingToFail ? "failed" : "done");
        }
        for (const auto &[key, outcome] : finished)
            end(worker, key, outcome);
        if (worker.longPoll && worker.longPoll->respondAt <= now()) {
            worker.longPoll->respond({200, report(worker, false).dump()});
            worker.longPoll.reset();
        }
    }
    std::erase_if(m_lookups, [this](const PendingLookup &lookup) {
        if (lookup.respondAt > now())
            return false;
        --m_workers.at(lookup.worker).slotsInUse;
        lookup.respond({200, lookup.body});
        return true;
    });
}

} // namespace

} // namespace Cranberrymount

int main(int argc, char **argv)
{
    using namespace Cranberrymount;
    try {
        TCLAP::CmdLine command("standin-worker: workers and targets for tests", ' ', "0.1");
        const TCLAP::ValueArg<uint16_t> port("", "port", "HTTP port", true, 0, "PORT", command);
        const TCLAP::ValueArg<std::string> fleet("", "fleet", "JSON list of workers", true, "",
                                                 "FILE", command);
        const TCLAP::ValueArg<int64_t> grace("", "orphan-grace-ms",
                                             "time that tasks keep running without a lease", false,
                                             30'000, "MS", command);
        const TCLAP::ValueArg<std::size_t> threads("", "threads", "HTTP threads", false, 2, "N",
                                                   command);
        command.parse(argc, argv);
        WorkerHost host{Duration(grace.getValue())};
        std::ifstream file(fleet.getValue());
        const auto infos = Json::parse(file).get<std::vector<WorkerInfo>>();
        for (const WorkerInfo &info : infos) {
            Worker worker;
            worker.id = info.id.value();
            worker.zone = info.zone.value();
            worker.capacity = info.capacity;
            worker.slots = info.slots;
            host.add(std::move(worker));
        }
        HttpServerLimits limits;
        limits.threads = threads.getValue();
        serveUntilSignal(host, port.getValue(), limits, Duration(5));
        return 0;
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return 1;
    }
}
