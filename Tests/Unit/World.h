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

/** Events in virtual time, in order; equal times keep the order in which they were added. */
class EventQueue
{
public:
    Instant now() const { return m_now; }
    void at(Instant when, std::function<void()> action);
    /** Runs all events up to @p end. */
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

/** What may go wrong with messages, as parts of one. */
struct NetworkFaults
{
    double lostRequestRate = 0;
    double lostResponseRate = 0;
    /** Messages that arrive only after their sender has given up. */
    double lateRate = 0;
    Duration maxDelay{20};
};

/** One worker with the behaviour that docs/Platform.md assumes. */
struct FakeWorker
{
    WorkerInfo info;
    EntryId holder;
    Epoch epoch;
    Instant leaseUntil;
    std::map<AttemptRef, StartOrder> running;
    std::map<AttemptRef, AttemptOutcome> ended;
    bool isDead = false;
    bool failsAll = false;
};

/**
 * A whole deployment in virtual time: control planes over fakes at their four interfaces. The judge
 * looks at the fake workers after every start.
 */
class World
{
public:
    struct Shape
    {
        int zones = 2;
        int entriesPerZone = 2;
        int workersPerZone = 3;
        Resources capacity{CpuMillis(4000), MemoryMb(4000), AcceleratorCount(0)};
        Duration taskTime{2000};
    };

    World(uint64_t seed, Shape shape);
    ~World();

    void run(Duration time);
    bool runUntil(const std::function<bool()> &condition, Duration limit);
    Duration elapsed() const;

    /** Changes the configuration through the first entry that can. @return true if it did. */
    bool change(const std::function<void(Configuration &)> &change);
    /** Submits through a random running entry; @return true if the job was recorded for certain. */
    bool submit(const JobSpec &spec);
    /** Cancels through a random running entry; @return true if that was confirmed. */
    bool cancel(const JobId &job);

    void kill(std::size_t entry);
    void restart(std::size_t entry);
    void pause(std::size_t entry, Duration time);
    void setStoreDown(bool isDown);
    /** Cuts a zone's entries off from the other zones, and from the store if asked. */
    void isolateZone(int zone, bool fromStore);
    void heal();
    void killWorker(std::size_t worker);
    void setFaults(const NetworkFaults &faults) { m_faults = faults; }

    std::size_t entryCount() const { return m_nodes.size(); }
    std::size_t workerCount() const { return m_workers.size(); }
    FakeWorker &worker(std::size_t index) { return m_workers[index]; }
    ControlPlane *controlPlane(std::size_t entry);
    /** @return how many different tasks of @p job ended well on a worker. */
    std::size_t doneTasks(const JobId &job) const;
    std::size_t doneAttempts(const JobId &job) const;
    /** @return true if every task of the job counts as done in the shards' records. */
    bool isRecordedDone(const JobId &job, std::size_t tasks) const;
    /** @return true if no shard's record has an open task of @p job. */
    bool isRecordedEnded(const JobId &job) const;
    std::size_t startCount() const { return m_startCount; }
    const std::vector<std::string> &violations() const { return m_violations; }
    std::size_t eventCount() const { return m_events.eventCount(); }
    pcg64 &random() { return m_random; }
    int randomBelow(int bound);
    /** @return true if the configuration in the store has @p zone out. */
    bool isZoneOutOfService(const ZoneId &zone) const { return m_outOfServiceSince.contains(zone); }
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

    /** Prints to standard error if HISTORY_TRACE is set. */
    void trace(const std::string &what) const;
    bool chance(double probability);
    Duration delay();
    /**
     * Carries a request from @p node to a fake and its answer back, with the faults in force.
     * @p serve runs at the fake; @p answer gets false if the request surely never left.
     */
    void exchange(std::size_t node, bool isUnreachable, Duration timeout,
                  std::function<void()> serve,
                  std::function<void(bool isAnswered, bool isSent)> answer);
    void runOnNode(std::size_t node, uint64_t incarnation, std::function<void()> action);
    void startNode(std::size_t index);
    void publishWorkerList(std::size_t index, uint64_t incarnation);
    void enforceLeases();
    void recordZonesOutOfService(const Configuration &configuration);
    void enforceLease(FakeWorker &worker);
    void startTask(FakeWorker &worker, const StartOrder &order, Instant sentAt);
    void endTask(FakeWorker &worker, const AttemptRef &attempt, AttemptOutcome outcome);
    void checkStart(const FakeWorker &worker, const StartOrder &order, Instant sentAt);
    LeaseAnswer serveLease(FakeWorker &worker, const LeaseRequest &request);
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
    ListVersion m_listVersion{1};
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<std::unique_ptr<NodeComponents>> m_previousComponents;
    std::set<int> m_isolatedZones;
    std::set<int> m_zonesWithoutStore;
    /** Zones that the configuration in the store has out, with when it was accepted. */
    std::map<ZoneId, Instant> m_outOfServiceSince;
    std::map<TeamId, Resources> m_limits;
    std::map<JobId, std::map<uint32_t, std::size_t>> m_done;
    /** When each confirmed cancellation was confirmed. */
    std::map<JobId, Instant> m_cancelledAt;
    std::size_t m_startCount = 0;
    std::vector<std::string> m_violations;
};

} // namespace Cranberrymount
