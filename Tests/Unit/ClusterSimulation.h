#pragma once

#include "Coordination/ControlPlane.h"

#include <pcg_random.hpp>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace Cranberrymount {

/** Runs events in order of virtual time, and of their addition if the times are equal. */
class EventQueue
{
public:
    Instant now() const { return m_now; }
    /** Adds an event; a time in the past means now. */
    void at(Instant when, std::function<void()> action);
    /** Runs all events up to and including @p end. */
    void runUntil(Instant end);
    std::size_t eventCount() const { return m_eventCount; }

private:
    struct Event
    {
        Instant when;
        uint64_t order;
        std::function<void()> action;
        bool operator>(const Event &other) const
        {
            return std::tie(when, order) > std::tie(other.when, other.order);
        }
    };

    Instant m_now{Duration(1'000'000)};
    uint64_t m_order = 0;
    std::size_t m_eventCount = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
};

/** Faults of the network as probabilities (0 to 1) for each message, and the usual delay. */
struct NetworkFaults
{
    double lostRequestRate = 0;
    double lostResponseRate = 0;
    /** Messages that take 500 to 4499 ms; most of them arrive after the timeout of their sender. */
    double lateRate = 0;
    /** Longest delay of a message that is not late. */
    Duration maxDelay{20};
};

/** Fake worker with the behaviour that docs/Platform.md assumes. */
struct FakeWorker
{
    WorkerInfo info;
    EntryId holder;
    Epoch epoch;
    Instant leaseUntil;
    std::map<AttemptRef, StartCommand> running;
    std::map<AttemptRef, AttemptOutcome> ended;
    bool isDead = false;
    bool failsAll = false;
};

/**
 * Simulates a whole deployment in virtual time: control planes over fakes of their four interfaces
 * (timers, store, workers and peers). Every start is checked against the state of all fake workers;
 * broken rules are listed by violations().
 */
class ClusterSimulation
{
public:
    /** Size of the deployment, and how long its tasks run. */
    struct Shape
    {
        int zones = 2;
        int entriesPerZone = 2;
        int workersPerZone = 3;
        Resources capacity{CpuMillis(4000), MemoryMb(4000), AcceleratorCount(0)};
        Duration taskTime{2000};
    };

    ClusterSimulation(uint64_t seed, Shape shape);
    ~ClusterSimulation();

    void run(Duration time);
    bool runUntil(const std::function<bool()> &condition, Duration limit);
    Duration elapsed() const;

    /** Changes the configuration through the first entry that succeeds. @return true if one did. */
    bool change(const std::function<void(Configuration &)> &change);
    /**
     * Submits a job through a random entry.
     * @return true if the entry is running and reported that the job is recorded.
     */
    bool submit(const JobSpec &spec);
    /**
     * Cancels a job through a random entry.
     * @return true if the entry is running and confirmed the cancellation.
     */
    bool cancel(const JobId &job);

    /** Ends an entry's process without a shutdown. */
    void kill(std::size_t entry);
    void restart(std::size_t entry);
    /** Postpones all timers and messages of an entry for @p time, as a stopped process does. */
    void pause(std::size_t entry, Duration time);
    void setStoreDown(bool isDown);
    /** Partitions a zone's entries from the other zones and, with @p fromStore, from the store. */
    void isolateZone(int zone, bool fromStore);
    /** Ends all partitions. */
    void heal();
    void killWorker(std::size_t worker);
    void setFaults(const NetworkFaults &faults) { m_faults = faults; }

    std::size_t entryCount() const { return m_nodes.size(); }
    std::size_t workerCount() const { return m_workers.size(); }
    FakeWorker &worker(std::size_t index) { return m_workers[index]; }
    ControlPlane *controlPlane(std::size_t entry);
    /** @return how many different tasks of @p job completed on a worker. */
    std::size_t doneTasks(const JobId &job) const;
    /** @return how many attempts of @p job completed; tasks that ran twice count twice. */
    std::size_t doneAttempts(const JobId &job) const;
    /** @return true if @p tasks different tasks of @p job are done in the shards' records. */
    bool isRecordedDone(const JobId &job, std::size_t tasks) const;
    /** @return true if no shard's record has an open task or an outgoing portion of @p job. */
    bool isRecordedEnded(const JobId &job) const;
    std::size_t startCount() const { return m_startCount; }
    const std::vector<std::string> &violations() const { return m_violations; }
    std::size_t eventCount() const { return m_events.eventCount(); }
    pcg64 &random() { return m_random; }
    int randomBelow(int bound);
    /** @return true if the configuration in the store takes @p zone out of service. */
    bool isZoneOutOfService(const ZoneId &zone) const { return m_outOfServiceSince.contains(zone); }
    /** Sets the limit that starts are checked against; the configuration stays as it is. */
    void setTeamLimit(const TeamId &team, const Resources &limit) { m_limits[team] = limit; }

private:
    class NodeTimers;
    class NodeStore;
    class NodeWorkers;
    class NodePeers;
    struct NodeComponents;
    struct Node;
    struct StoredValue
    {
        std::string value;
        Revision revision;
        StoreLeaseId lease;
    };
    struct StoredLease
    {
        Duration ttl{0};
        Instant until;
    };

    /** Prints to standard error if the environment variable HISTORY_TRACE is set. */
    void trace(const std::string &what) const;
    bool chance(double probability);
    Duration delay();
    /**
     * Sends a request from @p node to a fake and returns the response, both with the current
     * faults.
     * @p serve runs at the fake if the request arrives. @p answer runs once at the node: isAnswered
     * is false after @p timeout, isSent is false if the request certainly was not sent.
     */
    void exchange(std::size_t node, bool isUnreachable, Duration timeout,
                  std::function<void()> serve,
                  std::function<void(bool isAnswered, bool isSent)> answer);
    /** Runs @p action in a node's process; postpones it during a pause, drops it after a kill. */
    void runOnNode(std::size_t node, uint64_t incarnation, std::function<void()> action);
    void startNode(std::size_t index);
    /** Passes the list of workers to the node now and periodically. */
    void publishWorkerList(std::size_t index, uint64_t incarnation);
    /** Calls enforceLease() for all workers now and periodically. */
    void enforceLeases();
    void recordZonesOutOfService(const Configuration &configuration);
    /** Stops all runs of a worker whose lease and grace time are over. */
    void enforceLease(FakeWorker &worker);
    void startTask(FakeWorker &worker, const StartCommand &command, Instant sentAt);
    void endTask(FakeWorker &worker, const AttemptRef &attempt, AttemptOutcome outcome);
    /** Adds a violation for each rule that the start has just broken. */
    void checkStart(const FakeWorker &worker, const StartCommand &command, Instant sentAt);
    LeaseResult serveLease(FakeWorker &worker, const LeaseRequest &request);
    StoreWrite serveWrite(const StorePut &put);
    void expireLeases();
    bool isPartitioned(std::size_t from, int zone) const;

    Shape m_shape;
    pcg64 m_random;
    EventQueue m_events;
    NetworkFaults m_faults;
    bool m_storeDown = false;
    std::map<std::string, StoredValue> m_values;
    std::map<StoreLeaseId, StoredLease> m_leases;
    uint64_t m_revision = 0;
    uint64_t m_nextLease = 1;
    std::vector<FakeWorker> m_workers;
    InstanceListVersion m_listVersion{1};
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<std::unique_ptr<NodeComponents>> m_previousComponents;
    std::set<int> m_isolatedZones;
    std::set<int> m_zonesWithoutStore;
    /** Zones out of service in the stored configuration, with the time when each was taken out. */
    std::map<ZoneId, Instant> m_outOfServiceSince;
    std::map<TeamId, Resources> m_limits;
    std::map<JobId, std::map<uint32_t, std::size_t>> m_done;
    /** When the cancellation of each job was confirmed. */
    std::map<JobId, Instant> m_cancelledAt;
    std::size_t m_startCount = 0;
    std::vector<std::string> m_violations;
};

} // namespace Cranberrymount
