// Stand-in for worker instances and their targets; one process hosts many.
//
// It keeps the record by which tests judge: what ran, when, under which lease, and every moment at
// which capacity or slots were exceeded. It accepts what a real worker would accept and notes what
// should never have been asked of it.

#include "ServeUntilSignal.h"

#include "Protocol/Json.h"

#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <mutex>

namespace Cranberrymount {

namespace {

using AttemptKey = std::tuple<std::string, uint32_t, uint64_t>;

constexpr int Refused = 409;
constexpr int RefusedUnread = 429;

Instant now()
{
    return std::chrono::steady_clock::now();
}

int64_t unixMillis()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Duration>(sinceEpoch).count();
}

struct Running
{
    std::string team;
    Resources resources;
    Instant endsAt;
    bool willFail = false;
    std::optional<Instant> stopsAt;
};

struct HeldPoll
{
    Instant until;
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
    uint64_t epoch = 0;
    /** Epoch at which the present holder first got the lease. */
    uint64_t holderEpoch = 0;
    Instant leaseUntil;
    std::map<AttemptKey, Running> running;
    std::map<AttemptKey, std::string> ended;
    std::optional<HeldPoll> poll;
    uint32_t slotsInUse = 0;
    bool failsAll = false;
    bool isDead = false;
};

struct PendingLookup
{
    Instant until;
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
    HttpResponse lease(Worker &worker, const Json &body, const HttpResponder &respond,
                       bool &isHeld);
    HttpResponse start(Worker &worker, const Json &body);
    HttpResponse stop(Worker &worker, const Json &body);
    HttpResponse release(Worker &worker, const Json &body);
    void target(Worker &worker, const HttpRequest &request, const HttpResponder &respond);
    HttpResponse admin(const HttpRequest &request);
    Json report(const Worker &worker, bool complete) const;
    void end(Worker &worker, const AttemptKey &key, const std::string &outcome);
    void note(const Worker &worker, const std::string &event, const AttemptKey &key,
              const Running &task);
    void violate(const Worker &worker, const std::string &what);
    /** A worker acts on its own clock first: nothing runs past the lease and its grace. */
    void enforceLease(Worker &worker);

    std::mutex m_mutex;
    Duration m_orphanGrace;
    std::map<std::string, Worker> m_workers;
    std::vector<PendingLookup> m_lookups;
    Json m_journal = Json::array();
    Json m_violations = Json::array();
    std::map<std::string, uint64_t> m_lookupRuns;
    uint64_t m_lookupCount = 0;
    int m_silentLookups = 0;
};

Json keyJson(const AttemptKey &key)
{
    return {std::get<0>(key), std::get<1>(key), std::get<2>(key)};
}

AttemptKey keyFrom(const Json &json)
{
    return {json.at(0).get<std::string>(), json.at(1).get<uint32_t>(), json.at(2).get<uint64_t>()};
}

void WorkerHost::note(const Worker &worker, const std::string &event, const AttemptKey &key,
                      const Running &task)
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

void WorkerHost::violate(const Worker &worker, const std::string &what)
{
    m_violations.push_back({{"worker", worker.id}, {"what", what}, {"at", unixMillis()}});
}

Json WorkerHost::report(const Worker &worker, bool complete) const
{
    Json json = {{"epoch", worker.epoch}, {"running_count", worker.running.size()}};
    Json ended = Json::array();
    for (const auto &[key, outcome] : worker.ended) {
        Json item = keyJson(key);
        item.push_back(outcome);
        ended.push_back(item);
    }
    if (!ended.empty())
        json["ended"] = ended;
    if (!complete)
        return json;
    json["running"] = Json::array();
    for (const auto &[key, task] : worker.running) {
        Json item = keyJson(key);
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
    note(worker, outcome, key, found->second);
    worker.running.erase(found);
    worker.ended[key] = outcome;
    if (worker.poll) {
        worker.poll->respond({200, report(worker, false).dump()});
        worker.poll.reset();
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
                               bool &isHeld)
{
    const auto holder = body.at("holder").get<std::string>();
    const auto epoch = body.at("epoch").get<uint64_t>();
    const bool isLive = now() < worker.leaseUntil && !worker.holder.empty();
    if (epoch < worker.epoch || (isLive && worker.holder != holder))
        return {Refused, Json{{"holder", worker.holder}, {"epoch", worker.epoch}}.dump()};
    const bool isNew = worker.holder != holder || !isLive;
    if (isNew)
        worker.holderEpoch = epoch;
    worker.holder = holder;
    worker.epoch = epoch;
    worker.leaseUntil = now() + Duration(body.at("ttl_ms").get<int64_t>());
    for (const Json &attempt : body.value("acknowledged", Json::array()))
        worker.ended.erase(keyFrom(attempt));
    const bool complete = isNew || body.value("complete", false);
    const Duration wait(body.value("wait_ms", 0));
    if (worker.poll) {
        worker.poll->respond({200, report(worker, false).dump()});
        worker.poll.reset();
    }
    if (complete || wait.count() == 0 || !worker.ended.empty())
        return {200, report(worker, complete).dump()};
    worker.poll = HeldPoll{now() + wait, respond};
    isHeld = true;
    return {};
}

HttpResponse WorkerHost::start(Worker &worker, const Json &body)
{
    if (body.at("epoch").get<uint64_t>() != worker.epoch || now() >= worker.leaseUntil)
        return {Refused, Json{{"epoch", worker.epoch}}.dump()};
    for (const Json &task : body.at("tasks")) {
        const AttemptKey key{task.at("job").get<std::string>(), task.at("index").get<uint32_t>(),
                             task.at("attempt").get<uint64_t>()};
        if (worker.running.contains(key) || worker.ended.contains(key))
            continue;
        const Json payload = Json::parse(task.at("payload").get<std::string>(), nullptr, false);
        const bool isObject = payload.is_object();
        Running running;
        running.team = task.at("team").get<std::string>();
        running.resources = task.at("resources").get<Resources>();
        running.endsAt = now() + Duration(isObject ? payload.value("run_ms", 1000) : 1000);
        running.willFail = worker.failsAll || (isObject && payload.value("fail", false));
        worker.running[key] = running;
        note(worker, "started", key, running);
    }
    Resources used;
    for (const auto &[key, task] : worker.running)
        used += task.resources;
    if (!used.fitsIn(worker.capacity))
        violate(worker, "overcommitted");
    return {200, "{}"};
}

HttpResponse WorkerHost::stop(Worker &worker, const Json &body)
{
    if (body.at("epoch").get<uint64_t>() < worker.holderEpoch)
        return {Refused, "{}"};
    const Duration checkpoint(body.value("checkpoint", false) ? 50 : 0);
    for (const Json &attempt : body.at("attempts")) {
        const auto found = worker.running.find(keyFrom(attempt));
        if (found != worker.running.end() && !found->second.stopsAt)
            found->second.stopsAt = now() + checkpoint;
    }
    return {200, "{}"};
}

HttpResponse WorkerHost::release(Worker &worker, const Json &body)
{
    const auto epoch = body.at("epoch").get<uint64_t>();
    if (worker.holder != body.at("holder").get<std::string>() || epoch < worker.epoch)
        return {Refused, "{}"};
    worker.holder.clear();
    worker.epoch = epoch;
    worker.leaseUntil = now();
    return {200, "{}"};
}

void WorkerHost::target(Worker &worker, const HttpRequest &request, const HttpResponder &respond)
{
    const std::string epoch = request.header("X-Lease-Epoch");
    if (!epoch.empty() && std::stoull(epoch) < worker.holderEpoch)
        return respond({RefusedUnread, "{\"error\":\"stale lease epoch\"}"});
    if (worker.slotsInUse >= worker.slots)
        violate(worker, "slots exceeded");
    const Json body = Json::parse(request.body, nullptr, false);
    ++m_lookupCount;
    if (body.is_object() && body.contains("id"))
        ++m_lookupRuns[body.at("id").get<std::string>()];
    if (m_silentLookups > 0) {
        --m_silentLookups;
        m_lookups.push_back({now() + Duration(15'000), worker.id, {}, respond});
        ++worker.slotsInUse;
        return;
    }
    const Duration work(body.is_object() ? body.value("work_ms", 0) : 0);
    const Json answer = {{"worker", worker.id}, {"echo", request.body}};
    if (work.count() == 0)
        return respond({200, answer.dump()});
    ++worker.slotsInUse;
    m_lookups.push_back({now() + work, worker.id, answer.dump(), respond});
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
    m_silentLookups = body.value("silent_lookups", m_silentLookups);
    for (const auto &[id, flag] : body.value("fails_all", Json::object()).items())
        m_workers.at(id).failsAll = flag.get<bool>();
    for (const auto &[id, flag] : body.value("dead", Json::object()).items()) {
        Worker &worker = m_workers.at(id);
        worker.isDead = flag.get<bool>();
        for (const auto &[key, task] : worker.running)
            note(worker, "died", key, task);
        worker.running.clear();
        worker.ended.clear();
        worker.poll.reset();
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
        return; // A dead instance never answers.
    enforceLease(worker);
    const std::string verb = request.path.substr(slash + 1);
    if (verb.starts_with("target/"))
        return target(worker, request, respond);
    if (verb == "ping")
        return respond({200, "{}"});
    const Json body = parseJson(request.body);
    bool isHeld = false;
    HttpResponse answer{404, "{}"};
    if (verb == "lease")
        answer = lease(worker, body, respond, isHeld);
    else if (verb == "start")
        answer = start(worker, body);
    else if (verb == "stop")
        answer = stop(worker, body);
    else if (verb == "release")
        answer = release(worker, body);
    if (!isHeld)
        respond(answer);
}

void WorkerHost::tick()
{
    const std::lock_guard lock(m_mutex);
    for (auto &[id, worker] : m_workers) {
        enforceLease(worker);
        std::vector<std::pair<AttemptKey, std::string>> over;
        for (const auto &[key, task] : worker.running) {
            if (task.stopsAt && *task.stopsAt <= now())
                over.emplace_back(key, "stopped");
            else if (task.endsAt <= now())
                over.emplace_back(key, task.willFail ? "failed" : "done");
        }
        for (const auto &[key, outcome] : over)
            end(worker, key, outcome);
        if (worker.poll && worker.poll->until <= now()) {
            worker.poll->respond({200, report(worker, false).dump()});
            worker.poll.reset();
        }
    }
    std::erase_if(m_lookups, [this](const PendingLookup &lookup) {
        if (lookup.until > now())
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
                                             "time that tasks run without a lease", false, 30'000,
                                             "MS", command);
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
