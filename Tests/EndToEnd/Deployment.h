#pragma once

#include "PortReservation.h"

#include "Protocol/Json.h"
#include "State/Worker.h"
#include "Transport/HttpClient.h"

#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

#include <sys/types.h>

namespace Cranberrymount {

/** Size and timing of a deployment under test. */
struct DeploymentShape
{
    std::vector<std::string> zones{"a", "b"};
    int entriesPerZone = 2;
    int workersPerZone = 4;
    int workersPerRack = 2;
    Resources capacity{CpuMillis(4000), MemoryMb(16'000), AcceleratorCount(0)};
    Duration workerLease{2500};
    Duration storeLease{1500};
    Duration orphanGrace{3000};
};

/** One event that a worker stand-in recorded. */
struct JournalEvent
{
    std::string event;
    /** Milliseconds since the Unix epoch. */
    int64_t at = 0;
    std::string worker;
    std::string zone;
    std::string job;
    uint32_t index = 0;
    uint64_t attempt = 0;
    std::string team;
    int64_t cpuMillis = 0;
};

/** What the workers and targets recorded; every end-to-end test checks its result against it. */
struct WorkerJournal
{
    /** Sorted by time. */
    std::vector<JournalEvent> events;
    /** Each moment at which a worker's capacity or slots were exceeded. */
    Json violations = Json::array();
    /** How often the targets ran each lookup, by the id in its body. */
    std::map<std::string, uint64_t> lookupRuns;

    /** @return tasks of which two attempts ran at the same time. */
    std::vector<std::string> tasksWithOverlappingAttempts() const;
    /** @return how many different tasks of @p job completed successfully. */
    std::size_t doneTasks(const std::string &job) const;
    /** @return how many attempts of @p job completed successfully. */
    std::size_t doneAttempts(const std::string &job) const;
    /** @return how many events named @p event were recorded for @p job. */
    std::size_t count(const std::string &event, const std::string &job) const;
    /** @return the peak processor use of @p team's running tasks, in thousandths of a core. */
    int64_t peakCpuMillis(const std::string &team) const;
    /** @return how many tasks started in @p zone after the Unix time @p millis. */
    std::size_t startsIn(const std::string &zone, int64_t millis) const;
};

/**
 * Stand-in and entry processes that run for the duration of one test. A function throws
 * std::runtime_error if a process does not do what was asked; the message names the folder of the
 * logs and has the last lines of each.
 */
class Deployment
{
public:
    explicit Deployment(DeploymentShape shape = {});
    /** Ends all processes; keeps the logs if an exception ends the test or KEEP_LOGS is set. */
    ~Deployment();

    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /** Waits until every zone's shard is active. */
    void awaitReady();
    /** Declares the tests' teams and queues and issues the key "key-TEAM" to each team. */
    void configure();

    /** Waits until every entry uses the latest configuration. */
    void awaitConfigurationInForce();

    /** Sends @p signal to the process @p name, such as "a-e0", "workers-a" or "platform". */
    void signal(const std::string &name, int signal);
    /** Waits until the process @p name has ended. @return true if it ended within @p limit. */
    bool awaitEnd(const std::string &name, Duration limit);
    void startEntry(const std::string &name);

    /** Calls an entry over HTTP; the request is sent at most once. */
    HttpResult call(const std::string &entry, const std::string &method, const std::string &path,
                    const std::string &body = {}, std::vector<std::string> headers = {});
    /** Calls an entry with the operator key. @return the response body plus "http_status". */
    Json callAsOperator(const std::string &entry, const std::string &method,
                        const std::string &path, const Json &body = Json::object());
    /** Makes a plan from @p intent and confirms it. */
    void planAndConfirm(const std::string &entry, const Json &intent);
    /** Submits a job with its team's key. @return the job's id, or an empty string if refused. */
    std::string submit(const std::string &entry, const std::string &team, Json job);
    /** @return how many tasks of @p job are in each state. */
    Json taskCounts(const std::string &entry, const std::string &team, const std::string &job);
    /** @return true if @p tasks tasks of @p job are done. */
    bool isDone(const std::string &entry, const std::string &team, const std::string &job,
                std::size_t tasks);
    Json status(const std::string &entry);
    /** @return the entry that owns the only shard of @p zone. */
    std::string ownerOf(const std::string &zone);

    /** Sets @p faults at the platform stand-in and clears all others. */
    void setPlatformFaults(const Json &faults);
    void clearPlatformFaults();
    /** Sets @p faults at the worker stand-in of @p zone. */
    void setWorkerFaults(const std::string &zone, const Json &faults);
    /** Adds, replaces or removes workers in the platform's instance list. */
    void changeInstances(const Json &change);
    /**
     * Blocks calls between @p zone and the other zones, and with @p fromPlatform also the calls of
     * the zone's entries to the platform.
     */
    void isolateZone(const std::string &zone, bool fromPlatform);
    /** Blocks only the calls of all entries of @p zone to the platform. */
    void isolateZoneFromPlatform(const std::string &zone);
    /** Blocks only the calls of one entry to the platform. */
    void isolateEntryFromPlatform(const std::string &entry);
    /** Removes all blocks at the running entries. */
    void restoreNetwork();
    /** @return the merged journals of all worker stand-ins. */
    WorkerJournal journal();

    const DeploymentShape &shape() const { return m_shape; }
    std::string entryUrl(const std::string &entry) const;
    /** @return the names of the entries whose processes run. */
    std::vector<std::string> entries() const;
    std::vector<Json> workersOf(const std::string &zone) const;

private:
    struct Entry
    {
        std::string zone;
        uint16_t http = 0;
        uint16_t peer = 0;
    };

    /** Only creates the folder; the destructor then runs also if the start of a process fails. */
    Deployment(DeploymentShape shape, std::string folder);

    /** Throws std::runtime_error with @p what, the folder and the last lines of each log. */
    [[noreturn]] void fail(const std::string &what) const;
    uint16_t reservePort();
    void spawn(const std::string &name, const std::vector<std::string> &arguments);
    void writeFleet(const std::string &zone, uint16_t port);
    void writeSettings(const std::string &name, const Entry &entry);

    DeploymentShape m_shape;
    std::string m_folder;
    HttpClient m_client;
    std::list<PortReservation> m_ports;
    uint16_t m_platformPort = 0;
    std::map<std::string, uint16_t> m_workerPorts;
    std::map<std::string, Entry> m_entries;
    std::map<std::string, pid_t> m_processes;
    std::map<std::string, Json> m_fleets;
};

/** Test fixture: a deployment that is ready and has the tests' configuration. */
class ReadyDeployment
{
protected:
    ReadyDeployment();

    HttpResult lookup(const std::string &entry, const std::string &queue = "open",
                      const std::string &body = "{}", std::vector<std::string> headers = {});
    /**
     * Waits until @p entry serves lookups. A new shard owner uses a target's slots only once all
     * requests of the former owner must have ended.
     * @return false on timeout.
     */
    bool awaitLookupsServed(const std::string &entry);

    Deployment deployment;
};

/** @return a job specification with @p tasks tasks that run for @p runMillis each. */
Json job(const std::string &kind, int tasks, int runMillis);

/** Polls @p condition until it is true. @return false if it did not become true within @p limit. */
bool eventually(const std::function<bool()> &condition, Duration limit = Duration(30'000));

/** @return milliseconds since the Unix epoch, the unit of the stand-ins' journals. */
int64_t unixMillis();

} // namespace Cranberrymount
