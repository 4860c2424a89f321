#pragma once

#include "Protocol/Json.h"
#include "State/Worker.h"
#include "Transport/HttpClient.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <sys/types.h>

namespace Cranberrymount {

/** Shape of a deployment under test. */
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

/** One line of the workers' own record. */
struct JournalEvent
{
    std::string event;
    int64_t at = 0;
    std::string worker;
    std::string zone;
    std::string job;
    uint32_t index = 0;
    uint64_t attempt = 0;
    std::string team;
    int64_t cpuMillis = 0;
};

/** What the workers and targets recorded; the judge of every end-to-end test. */
struct WorkerJournal
{
    /** In order of time. */
    std::vector<JournalEvent> events;
    Json violations = Json::array();
    std::map<std::string, uint64_t> lookupRuns;

    /** @return tasks of which two attempts ran at the same time. */
    std::vector<std::string> tasksWithOverlappingAttempts() const;
    /** @return how many different tasks of @p job ended well. */
    std::size_t doneTasks(const std::string &job) const;
    /** @return how many attempts of @p job ended well. */
    std::size_t doneAttempts(const std::string &job) const;
    std::size_t count(const std::string &event, const std::string &job) const;
    /** @return the most that @p team's tasks took at one time, in thousandths of a core. */
    int64_t peakCpuMillis(const std::string &team) const;
    /** @return tasks that started in @p zone after the Unix time @p millis. */
    std::size_t startsIn(const std::string &zone, int64_t millis) const;
};

/** Stand-ins and entry processes, started for one test and ended with it. */
class Deployment
{
public:
    explicit Deployment(DeploymentShape shape = {});
    ~Deployment();

    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /** Waits until every zone's shard is active. */
    void awaitReady();
    /** Applies the tests' teams and queues and issues the key "key-TEAM" of each team. */
    void configure();

    /** Waits until every entry acts on the latest configuration. */
    void awaitConfigurationInForce();

    /** Sends @p signal to the process @p name, such as "a-e0", "workers-a" or "platform". */
    void signal(const std::string &name, int signal);
    /** Waits until the process @p name has ended. @return true if it ended within @p limit. */
    bool awaitEnd(const std::string &name, Duration limit);
    void startEntry(const std::string &name);

    HttpResult call(const std::string &entry, const std::string &method, const std::string &path,
                    const std::string &body = {}, std::vector<std::string> headers = {});
    /** Calls an entry as operator; @return the answer's body. */
    Json callAsOperator(const std::string &entry, const std::string &method,
                        const std::string &path, const Json &body = Json::object());
    /** Makes a plan from @p intent and confirms it. */
    void planAndConfirm(const std::string &entry, const Json &intent);
    /** Submits a job with its team's key. @return the job's name, or an empty text. */
    std::string submit(const std::string &entry, const std::string &team, Json job);
    /** @return how many tasks of @p job are in each state. */
    Json taskCounts(const std::string &entry, const std::string &team, const std::string &job);
    bool isDone(const std::string &entry, const std::string &team, const std::string &job,
                std::size_t tasks);
    Json status(const std::string &entry);
    /** @return the entry that owns the only shard of @p zone. */
    std::string ownerOf(const std::string &zone);

    /** Sets exactly @p faults at the platform. */
    void setPlatformFaults(const Json &faults);
    void clearPlatformFaults();
    void setWorkerFaults(const std::string &zone, const Json &faults);
    void changeInstances(const Json &change);
    /** Cuts @p zone off from the other zones' entries, and from the platform if asked. */
    void isolateZone(const std::string &zone, bool fromPlatform);
    /** Cuts the entries of @p zone off from the platform alone. */
    void isolateZoneFromPlatform(const std::string &zone);
    /** Cuts one entry off from the platform alone. */
    void isolateEntryFromPlatform(const std::string &entry);
    void restoreNetwork();
    WorkerJournal journal();

    const DeploymentShape &shape() const { return m_shape; }
    std::string entryUrl(const std::string &entry) const;
    std::vector<std::string> entries() const;
    std::vector<Json> workersOf(const std::string &zone) const;

private:
    struct Entry
    {
        std::string zone;
        uint16_t http = 0;
        uint16_t peer = 0;
    };

    void spawn(const std::string &name, const std::vector<std::string> &arguments);
    void writeFleet(const std::string &zone, uint16_t port);
    void writeSettings(const std::string &name, const Entry &entry);

    DeploymentShape m_shape;
    std::string m_folder;
    HttpClient m_client;
    uint16_t m_platformPort = 0;
    std::map<std::string, uint16_t> m_workerPorts;
    std::map<std::string, Entry> m_entries;
    std::map<std::string, pid_t> m_processes;
    std::map<std::string, Json> m_fleets;
};

/** A deployment that is ready and has the tests' configuration. */
class ReadyDeployment
{
protected:
    ReadyDeployment();

    HttpResult lookup(const std::string &entry, const std::string &queue = "open",
                      const std::string &body = "{}", std::vector<std::string> headers = {});
    /** Waits until @p entry serves lookups: slots of a new owner open once a former owner's
     *  requests must have ended. @return false if it did not. */
    bool awaitLookupsServed(const std::string &entry);

    Deployment deployment;
};

/** @return a job whose tasks run for @p runMillis. */
Json job(const std::string &kind, int tasks, int runMillis);

/** Waits until @p condition holds. @return false if it did not within @p limit. */
bool eventually(const std::function<bool()> &condition, Duration limit = Duration(30'000));

/** @return milliseconds since the Unix epoch, as the stand-ins record them. */
int64_t unixMillis();

} // namespace Cranberrymount
