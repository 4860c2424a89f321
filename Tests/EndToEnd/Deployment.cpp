#include "Deployment.h"

#include "Service/KeyHash.h"

#include <algorithm>
#include <deque>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <numeric>
#include <set>
#include <stdexcept>
#include <thread>

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Cranberrymount {

namespace {

const std::string OperatorKey = "operators";
constexpr Duration PollPeriod{25};
/** How many lines of each log a failure message has. */
constexpr std::size_t LastLines = 20;

std::string programPath(const std::string &name)
{
    return std::string(PROGRAM_FOLDER) + "/" + name;
}

std::string url(uint16_t port)
{
    return "http://127.0.0.1:" + std::to_string(port);
}

/** @return the path of a new folder. @throws std::runtime_error if none can be created. */
std::string makeFolder()
{
    std::string path = std::filesystem::temp_directory_path() / "cranberrymount-XXXXXX";
    if (!mkdtemp(path.data()))
        throw std::runtime_error("cannot create a temporary directory");
    return path;
}

std::string lastLines(const std::filesystem::path &file)
{
    std::deque<std::string> lines;
    std::ifstream stream(file);
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(line + "\n");
        if (lines.size() > LastLines)
            lines.pop_front();
    }
    return std::accumulate(lines.begin(), lines.end(), std::string());
}

std::string taskName(const JournalEvent &journalEvent)
{
    return journalEvent.job + "/" + std::to_string(journalEvent.index);
}

} // namespace

ReadyDeployment::ReadyDeployment()
{
    deployment.awaitReady();
    deployment.configure();
}

HttpResult ReadyDeployment::lookup(const std::string &entry, const std::string &queue,
                                   const std::string &body, std::vector<std::string> headers)
{
    return deployment.call(entry, "POST", "/lookup/" + queue, body, std::move(headers));
}

bool ReadyDeployment::awaitLookupsServed(const std::string &entry)
{
    return eventually([&] { return lookup(entry).status == 200; });
}

Json job(const std::string &kind, int tasks, int runMillis)
{
    return {{"kind", kind}, {"tasks", tasks}, {"payload", Json{{"run_ms", runMillis}}.dump()}};
}

bool eventually(const std::function<bool()> &condition, Duration limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(PollPeriod);
    }
    return true;
}

int64_t unixMillis()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Duration>(sinceEpoch).count();
}

std::vector<std::string> WorkerJournal::tasksWithOverlappingAttempts() const
{
    std::map<std::string, std::set<uint64_t>> runningAttempts;
    std::vector<std::string> found;
    for (const JournalEvent &journalEvent : events) {
        auto &attempts = runningAttempts[taskName(journalEvent)];
        if (journalEvent.event != "started") {
            attempts.erase(journalEvent.attempt);
            continue;
        }
        attempts.insert(journalEvent.attempt);
        if (attempts.size() > 1)
            found.push_back(taskName(journalEvent));
    }
    return found;
}

std::size_t WorkerJournal::doneTasks(const std::string &job) const
{
    std::set<uint32_t> done;
    for (const JournalEvent &journalEvent : events) {
        if (journalEvent.event == "done" && journalEvent.job == job)
            done.insert(journalEvent.index);
    }
    return done.size();
}

std::size_t WorkerJournal::doneAttempts(const std::string &job) const
{
    return count("done", job);
}

std::size_t WorkerJournal::count(const std::string &event, const std::string &job) const
{
    return std::count_if(events.begin(), events.end(), [&](const JournalEvent &journalEvent) {
        return journalEvent.event == event && journalEvent.job == job;
    });
}

int64_t WorkerJournal::peakCpuMillis(const std::string &team) const
{
    int64_t used = 0;
    int64_t peak = 0;
    for (const JournalEvent &journalEvent : events) {
        if (journalEvent.team != team)
            continue;
        used += journalEvent.event == "started" ? journalEvent.cpuMillis : -journalEvent.cpuMillis;
        peak = std::max(peak, used);
    }
    return peak;
}

std::size_t WorkerJournal::startsIn(const std::string &zone, int64_t millis) const
{
    return std::count_if(events.begin(), events.end(), [&](const JournalEvent &journalEvent) {
        return journalEvent.event == "started" && journalEvent.zone == zone
            && journalEvent.at > millis;
    });
}

Deployment::Deployment(DeploymentShape shape, std::string folder)
    : m_shape(std::move(shape))
    , m_folder(std::move(folder))
{
}

Deployment::Deployment(DeploymentShape shape)
    : Deployment(std::move(shape), makeFolder())
{
    m_platformPort = reservePort();
    spawn("platform", {"standin-platform", "--port", std::to_string(m_platformPort)});
    const auto responds = [this](const std::string &url) {
        return eventually([&] { return m_client.sendAndWait({"GET", url}).isOk(); });
    };
    if (!responds(url(m_platformPort) + "/admin/counters"))
        fail("the platform stand-in did not start");
    for (const std::string &zone : m_shape.zones) {
        const uint16_t port = m_workerPorts[zone] = reservePort();
        writeFleet(zone, port);
        spawn("workers-" + zone,
              {"standin-worker", "--port", std::to_string(port), "--fleet",
               m_folder + "/fleet-" + zone + ".json", "--orphan-grace-ms",
               std::to_string(m_shape.orphanGrace.count())});
        if (!responds(url(port) + "/admin/journal"))
            fail("a worker stand-in did not start");
        changeInstances({{"add", m_fleets[zone]}});
        for (int number = 0; number < m_shape.entriesPerZone; ++number)
            m_entries[zone + "-e" + std::to_string(number)] = {zone, reservePort(), reservePort()};
    }
    for (const auto &[name, entry] : m_entries) {
        writeSettings(name, entry);
        startEntry(name);
    }
}

Deployment::~Deployment()
{
    for (const auto &[name, process] : m_processes) {
        kill(process, SIGKILL);
        waitpid(process, nullptr, 0);
    }
    if (std::uncaught_exceptions() > 0 || std::getenv("KEEP_LOGS")) {
        std::cerr << "logs are kept in " << m_folder << "\n";
        return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void Deployment::fail(const std::string &what) const
{
    std::string message = what + "\nfolder: " + m_folder;
    for (const auto &file : std::filesystem::directory_iterator(m_folder)) {
        if (file.path().extension() == ".log")
            message += "\n" + file.path().filename().string() + ":\n" + lastLines(file);
    }
    throw std::runtime_error(message);
}

uint16_t Deployment::reservePort()
{
    // Differs from the ports of the tests just before, so that late calls to those reach nobody.
    return m_ports.emplace_back(getpid()).port();
}

void Deployment::spawn(const std::string &name, const std::vector<std::string> &arguments)
{
    std::vector<std::string> argumentStrings = arguments;
    argumentStrings[0] = programPath(arguments[0]);
    std::vector<char *> argumentPointers;
    argumentPointers.reserve(argumentStrings.size() + 1);
    for (std::string &word : argumentStrings)
        argumentPointers.push_back(word.data());
    argumentPointers.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const std::string log = m_folder + "/" + name + ".log";
    posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    pid_t process = 0;
    const int failure = posix_spawn(&process, argumentStrings[0].c_str(), &actions, nullptr,
                                    argumentPointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0)
        fail("cannot start " + argumentStrings[0]);
    m_processes[name] = process;
}

void Deployment::writeFleet(const std::string &zone, uint16_t port)
{
    Json fleet = Json::array();
    for (int number = 0; number < m_shape.workersPerZone; ++number) {
        const std::string id = zone + "-w" + std::to_string(number);
        WorkerInfo worker;
        worker.id = WorkerId(id);
        worker.zone = ZoneId(zone);
        worker.rack = RackId(zone + "-r" + std::to_string(number / m_shape.workersPerRack));
        worker.capacity = m_shape.capacity;
        worker.url = url(port) + "/" + id;
        worker.slots = 8;
        worker.connections = 64;
        fleet.push_back(worker);
    }
    std::ofstream(m_folder + "/fleet-" + zone + ".json") << fleet.dump();
    m_fleets[zone] = std::move(fleet);
}

void Deployment::writeSettings(const std::string &name, const Entry &entry)
{
    std::string peers;
    for (const auto &[other, peer] : m_entries)
        peers +=
            (peers.empty() ? "\"127.0.0.1:" : ", \"127.0.0.1:") + std::to_string(peer.peer) + "\"";
    std::ofstream(m_folder + "/" + name + ".toml")
        << "[entry]\nid = \"" << name << "\"\nzone = \"" << entry.zone
        << "\"\nhttp = \"127.0.0.1:" << entry.http << "\"\npeer = \"127.0.0.1:" << entry.peer
        << "\"\npeers = [" << peers << "]\noperator_key_sha256 = \"" << hashKey(OperatorKey)
        << "\"\n[platform]\nstore = \"" << url(m_platformPort) << "\"\ninstances = \""
        << url(m_platformPort) << "/instances\"\n[limits]\nfaults_allowed = true\n"
        << "[timing]\nheartbeat_ms = 300\nstore_timeout_ms = 600\nworker_timeout_ms = 600\n"
        << "instance_list_ms = 300\nworker_lease_ms = " << m_shape.workerLease.count()
        << "\nstore_lease_ms = " << m_shape.storeLease.count()
        << "\norphan_grace_ms = " << m_shape.orphanGrace.count() << "\n";
}

void Deployment::startEntry(const std::string &name)
{
    spawn(name, {"cranberrymountd", m_folder + "/" + name + ".toml"});
}

void Deployment::awaitReady()
{
    const bool isReady = eventually([this] {
        for (const std::string &name : entries()) {
            std::size_t active = 0;
            const Json statusReport = status(name);
            for (const Json &entry : statusReport.value("entries", Json::array())) {
                for (const Json &shard : entry.at("shards"))
                    active += shard.at("active").get<bool>() ? 1 : 0;
            }
            if (active != m_shape.zones.size())
                return false;
        }
        return true;
    });
    if (!isReady)
        fail("the deployment did not become ready");
}

void Deployment::configure()
{
    Configuration configuration;
    const Resources limit{CpuMillis(1'000'000), MemoryMb(4'000'000), AcceleratorCount(0)};
    for (const char *team : {"red", "blue"})
        configuration.teams[TeamId(team)] = {1.0, limit, {}};
    configuration.queues[QueueId("open")] = {true, {}, 1500};
    configuration.queues[QueueId("keyed")] = {false, {TeamId("red")}, 1500};
    const std::string entry = entries().front();
    planAndConfirm(entry, {{"type", "apply"}, {"configuration", configuration}});
    for (const std::string team : {"red", "blue"}) {
        planAndConfirm(
            entry, {{"type", "issue-key"}, {"team", team}, {"key_sha256", hashKey("key-" + team)}});
    }
    awaitConfigurationInForce();
}

void Deployment::awaitConfigurationInForce()
{
    uint64_t latest = 0;
    for (const std::string &name : entries())
        latest = std::max(latest, status(name).at("configuration_revision").get<uint64_t>());
    const bool isInForce = eventually(
        [&] {
            for (const std::string &name : entries()) {
                if (status(name).value("configuration_revision", uint64_t(0)) < latest)
                    return false;
            }
            return true;
        },
        Duration(6000));
    if (!isInForce)
        fail("the configuration did not come into force at every entry within 6 s");
}

void Deployment::signal(const std::string &name, int signal)
{
    kill(m_processes.at(name), signal);
    if (signal == SIGKILL)
        awaitEnd(name, Duration(5000));
}

bool Deployment::awaitEnd(const std::string &name, Duration limit)
{
    const pid_t process = m_processes.at(name);
    const bool hasEnded =
        eventually([&] { return waitpid(process, nullptr, WNOHANG) == process; }, limit);
    if (hasEnded)
        m_processes.erase(name);
    return hasEnded;
}

std::string Deployment::entryUrl(const std::string &entry) const
{
    return url(m_entries.at(entry).http);
}

std::vector<std::string> Deployment::entries() const
{
    std::vector<std::string> names;
    for (const auto &[name, entry] : m_entries) {
        if (m_processes.contains(name))
            names.push_back(name);
    }
    return names;
}

std::vector<Json> Deployment::workersOf(const std::string &zone) const
{
    return m_fleets.at(zone).get<std::vector<Json>>();
}

HttpResult Deployment::call(const std::string &entry, const std::string &method,
                            const std::string &path, const std::string &body,
                            std::vector<std::string> headers)
{
    HttpCall call{method, entryUrl(entry) + path, body, std::move(headers), Duration(6000)};
    call.atMostOnce = true;
    return m_client.sendAndWait(std::move(call));
}

Json Deployment::callAsOperator(const std::string &entry, const std::string &method,
                                const std::string &path, const Json &body)
{
    const HttpResult result =
        call(entry, method, path, body.dump(), {"X-Operator-Key: " + OperatorKey});
    Json response = Json::parse(result.body, nullptr, false);
    if (!response.is_object())
        response = Json::object();
    response["http_status"] = result.status;
    return response;
}

void Deployment::planAndConfirm(const std::string &entry, const Json &intent)
{
    const Json plan = callAsOperator(entry, "POST", "/plans", intent);
    if (!plan.contains("id"))
        fail("the entry returned no plan: " + plan.dump());
    const Json confirmation =
        callAsOperator(entry, "POST", "/plans/" + plan.at("id").get<std::string>() + "/confirm");
    if (confirmation.at("http_status") != 200)
        fail("the entry refused to confirm the plan: " + confirmation.dump());
}

std::string Deployment::submit(const std::string &entry, const std::string &team, Json job)
{
    if (!job.contains("per_task"))
        job["per_task"] = {{"cpu_millis", 1000}, {"memory_mb", 1000}};
    const HttpResult result = call(entry, "POST", "/jobs", job.dump(), {"X-Team-Key: key-" + team});
    if (!result.isOk())
        return {};
    return Json::parse(result.body).at("id").get<std::string>();
}

Json Deployment::taskCounts(const std::string &entry, const std::string &team,
                            const std::string &job)
{
    const HttpResult result = call(entry, "GET", "/jobs/" + job, {}, {"X-Team-Key: key-" + team});
    return result.isOk() ? Json::parse(result.body).at("counts") : Json::object();
}

bool Deployment::isDone(const std::string &entry, const std::string &team, const std::string &job,
                        std::size_t tasks)
{
    return taskCounts(entry, team, job).value("done", std::size_t(0)) == tasks;
}

Json Deployment::status(const std::string &entry)
{
    const HttpResult result = call(entry, "GET", "/status");
    return result.isOk() ? Json::parse(result.body) : Json::object();
}

std::string Deployment::ownerOf(const std::string &zone)
{
    for (const std::string &name : entries()) {
        const Json statusReport = status(name);
        for (const Json &entry : statusReport.value("entries", Json::array())) {
            if (entry.at("zone") == zone && !entry.at("shards").empty())
                return entry.at("entry").get<std::string>();
        }
    }
    return {};
}

void Deployment::clearPlatformFaults()
{
    setPlatformFaults(Json::object());
}

void Deployment::setPlatformFaults(const Json &faults)
{
    const HttpResult result =
        m_client.sendAndWait({"POST", url(m_platformPort) + "/admin/faults", faults.dump()});
    if (!result.isOk())
        fail("the platform stand-in refused the faults " + faults.dump());
}

void Deployment::setWorkerFaults(const std::string &zone, const Json &faults)
{
    m_client.sendAndWait({"POST", url(m_workerPorts.at(zone)) + "/admin/faults", faults.dump()});
}

void Deployment::changeInstances(const Json &change)
{
    m_client.sendAndWait({"POST", url(m_platformPort) + "/admin/instances", change.dump()});
}

void Deployment::isolateZone(const std::string &zone, bool fromPlatform)
{
    for (const auto &[name, entry] : m_entries) {
        if (!m_processes.contains(name))
            continue;
        const bool isInside = entry.zone == zone;
        Json rule = {{"peers", Json::array()}, {"urls", Json::array()}};
        for (const auto &[other, peer] : m_entries) {
            if ((peer.zone == zone) != isInside)
                rule["peers"].push_back("127.0.0.1:" + std::to_string(peer.peer));
        }
        for (const auto &[workerZone, port] : m_workerPorts) {
            if ((workerZone == zone) != isInside)
                rule["urls"].push_back(url(port));
        }
        if (isInside && fromPlatform)
            rule["urls"].push_back(url(m_platformPort));
        call(name, "POST", "/faults", rule.dump());
    }
}

void Deployment::isolateZoneFromPlatform(const std::string &zone)
{
    for (const auto &[name, entry] : m_entries) {
        if (entry.zone == zone)
            isolateEntryFromPlatform(name);
    }
}

void Deployment::isolateEntryFromPlatform(const std::string &entry)
{
    const Json rule = {{"peers", Json::array()}, {"urls", {url(m_platformPort)}}};
    call(entry, "POST", "/faults", rule.dump());
}

void Deployment::restoreNetwork()
{
    for (const std::string &name : entries())
        call(name, "POST", "/faults", "{}");
}

WorkerJournal Deployment::journal()
{
    WorkerJournal journal;
    for (const auto &[zone, port] : m_workerPorts) {
        const HttpResult result = m_client.sendAndWait({"GET", url(port) + "/admin/journal"});
        if (!result.isOk())
            fail("cannot read the worker journal of zone " + zone);
        const Json json = Json::parse(result.body);
        for (const Json &journalEvent : json.at("journal")) {
            journal.events.push_back({journalEvent.at("event"), journalEvent.at("at"),
                                      journalEvent.at("worker"), journalEvent.at("zone"),
                                      journalEvent.at("job"), journalEvent.at("index"),
                                      journalEvent.at("attempt"), journalEvent.at("team"),
                                      journalEvent.at("cpu_millis")});
        }
        for (const Json &violation : json.at("violations"))
            journal.violations.push_back(violation);
        for (const auto &[id, runs] : json.at("lookup_runs").items())
            journal.lookupRuns[id] += runs.get<uint64_t>();
    }
    // Within a millisecond, ends sort before starts: a stop frees the capacity for a start.
    std::stable_sort(journal.events.begin(), journal.events.end(),
                     [](const JournalEvent &left, const JournalEvent &right) {
                         const bool leftStarts = left.event == "started";
                         const bool rightStarts = right.event == "started";
                         return std::tie(left.at, leftStarts) < std::tie(right.at, rightStarts);
                     });
    return journal;
}

} // namespace Cranberrymount
