#include "ClusterSimulation.h"

#include "Protocol/Json.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace Cranberrymount {

namespace {

constexpr Duration StoreTimeout{600};
constexpr Duration WorkerTimeout{600};
constexpr Duration WorkerLease{4000};
constexpr Duration OrphanGrace{6000};
constexpr Duration LeaseCheckPeriod{50};
constexpr Duration WorkerListPeriod{500};
/** Time until an accepted configuration is in force; the requirements say "a few seconds". */
constexpr Duration MaxConfigurationDelay{6000};

std::string describe(const TaskId &task)
{
    return task.job.value() + "/" + std::to_string(task.index);
}

} // namespace

void EventQueue::at(Instant when, std::function<void()> action)
{
    m_events.push({std::max(when, m_now), m_order++, std::move(action)});
}

void EventQueue::runUntil(Instant end)
{
    while (!m_events.empty() && m_events.top().when <= end) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.when;
        ++m_eventCount;
        event.action();
    }
    m_now = end;
}

/** Timers of one incarnation of a node; postponed while it is paused, dropped after its end. */
class ClusterSimulation::NodeTimers : public TimerService
{
public:
    NodeTimers(ClusterSimulation &simulation, std::size_t node, uint64_t incarnation)
        : m_simulation(simulation)
        , m_node(node)
        , m_incarnation(incarnation)
    {
    }

    Instant now() const override { return m_simulation.m_events.now(); }

    void after(Duration delay, std::function<void()> callback) override
    {
        m_simulation.m_events.at(now() + delay,
                                 [this, &simulation = m_simulation, node = m_node,
                                  incarnation = m_incarnation,
                                  callback = std::move(callback)]() mutable {
                                     simulation.runOnNode(node, incarnation, std::move(callback));
                                 });
    }

private:
    ClusterSimulation &m_simulation;
    std::size_t m_node;
    uint64_t m_incarnation;
};

class ClusterSimulation::NodeStore : public Store
{
public:
    NodeStore(ClusterSimulation &simulation, std::size_t node)
        : m_simulation(simulation)
        , m_node(node)
    {
    }

    void read(const std::string &key, std::function<void(StoreRead)> done) override
    {
        list(key, true, std::move(done));
    }
    void list(const std::string &prefix, std::function<void(StoreRead)> done) override
    {
        list(prefix, false, std::move(done));
    }
    void watch(const std::string &key, Revision, Duration wait,
               std::function<void(StoreRead)> done) override
    {
        // Served at once like a read. The wait only lengthens the timeout, so that freshness
        // evidence is dated to the time of the request.
        list(key, true, std::move(done), wait);
    }
    void write(StorePut put, std::function<void(StoreWrite)> done) override
    {
        mutate(std::move(done),
               [this, put = std::move(put)] { return m_simulation.serveWrite(put); });
    }
    void remove(const std::string &key, Revision expected,
                std::function<void(StoreWrite)> done) override
    {
        mutate(std::move(done), [this, key, expected] {
            const auto found = m_simulation.m_values.find(key);
            if (found == m_simulation.m_values.end() || found->second.revision != expected)
                return StoreWrite();
            m_simulation.m_values.erase(found);
            return StoreWrite{StoreWrite::Written, Revision(++m_simulation.m_revision)};
        });
    }
    void createLease(Duration ttl, std::function<void(StoreLease)> done) override
    {
        lease(std::move(done), [this, ttl] {
            const StoreLeaseId id(m_simulation.m_nextLease++);
            m_simulation.m_leases[id] = {ttl, m_simulation.m_events.now() + ttl};
            return StoreLease{true, true, id};
        });
    }
    void renewLease(StoreLeaseId id, std::function<void(StoreLease)> done) override
    {
        lease(std::move(done), [this, id] {
            m_simulation.expireLeases();
            const auto found = m_simulation.m_leases.find(id);
            if (found == m_simulation.m_leases.end())
                return StoreLease{true, false, {}};
            found->second.until = m_simulation.m_events.now() + found->second.ttl;
            return StoreLease{true, true, id};
        });
    }
    void endLease(StoreLeaseId id, std::function<void(StoreLease)> done) override
    {
        lease(std::move(done), [this, id] {
            const auto found = m_simulation.m_leases.find(id);
            if (found != m_simulation.m_leases.end())
                found->second.until = Instant();
            m_simulation.expireLeases();
            return StoreLease{true, true, id};
        });
    }

private:
    bool isUnreachable() const;

    StoreRead find(const std::string &key, bool isExact)
    {
        m_simulation.expireLeases();
        StoreRead read;
        read.answered = true;
        for (const auto &[name, stored] : m_simulation.m_values) {
            if (isExact ? name == key : name.starts_with(key))
                read.entries.push_back({name, stored.value, stored.revision});
        }
        return read;
    }
    void list(const std::string &key, bool isExact, std::function<void(StoreRead)> done,
              Duration wait = Duration(0))
    {
        auto read = std::make_shared<StoreRead>();
        m_simulation.exchange(
            m_node, isUnreachable(), StoreTimeout + wait,
            [this, key, isExact, read] {
                if (!m_simulation.m_storeDown)
                    *read = find(key, isExact);
            },
            [read, done = std::move(done)](bool isAnswered, bool) {
                done(isAnswered ? *read : StoreRead());
            });
    }
    /** @param notSent result if the request certainly was not sent. */
    template <typename Answer>
    void serveByStore(std::function<void(Answer)> done, std::function<Answer()> serve,
                      const Answer &notSent)
    {
        auto result = std::make_shared<Answer>();
        m_simulation.exchange(
            m_node, isUnreachable(), StoreTimeout,
            [this, result, serve = std::move(serve)] {
                if (!m_simulation.m_storeDown)
                    *result = serve();
            },
            [result, notSent, done = std::move(done)](bool isAnswered, bool isSent) {
                if (!isSent)
                    return done(notSent);
                done(isAnswered ? *result : Answer());
            });
    }
    void mutate(std::function<void(StoreWrite)> done, std::function<StoreWrite()> serve)
    {
        serveByStore<StoreWrite>(std::move(done), std::move(serve), {StoreWrite::NotSent, {}});
    }
    void lease(std::function<void(StoreLease)> done, std::function<StoreLease()> serve)
    {
        serveByStore<StoreLease>(std::move(done), std::move(serve), {});
    }

    ClusterSimulation &m_simulation;
    std::size_t m_node;
};

class ClusterSimulation::NodeWorkers : public WorkerLink
{
public:
    NodeWorkers(ClusterSimulation &simulation, std::size_t node)
        : m_simulation(simulation)
        , m_node(node)
    {
    }

    void lease(const WorkerInfo &worker, LeaseRequest request,
               std::function<void(LeaseResult)> done) override;
    void probe(const WorkerInfo &worker, std::function<void(bool)> done) override;
    void start(const WorkerInfo &worker, Epoch epoch, std::vector<StartCommand> commands,
               std::function<void(StartResult)> done) override;
    void stop(const WorkerInfo &worker, Epoch epoch, std::vector<AttemptRef> attempts,
              bool checkpoint) override;
    void release(const WorkerInfo &worker, EntryId holder, Epoch epoch,
                 std::function<void(bool)> done) override;

private:
    FakeWorker &find(const WorkerInfo &info) const
    {
        return *std::find_if(m_simulation.m_workers.begin(), m_simulation.m_workers.end(),
                             [&](const auto &worker) { return worker.info.id == info.id; });
    }

    ClusterSimulation &m_simulation;
    std::size_t m_node;
};

class ClusterSimulation::NodePeers : public PeerNetwork
{
public:
    NodePeers(ClusterSimulation &simulation, std::size_t node)
        : m_simulation(simulation)
        , m_node(node)
    {
    }

    void send(const Endpoint &peer, PeerMessage message) override;
    void call(const Endpoint &peer, PeerMessage message, const std::string &trace, Duration timeout,
              std::function<void(PeerResult)> done) override;

private:
    ClusterSimulation &m_simulation;
    std::size_t m_node;
};

/** Components of one incarnation of a node; the control plane is last, so it is destroyed first. */
struct ClusterSimulation::NodeComponents
{
    NodeTimers timers;
    NodeStore store;
    NodeWorkers workers;
    NodePeers peers;
    std::unique_ptr<ControlPlane> controlPlane = {};
};

struct ClusterSimulation::Node
{
    int zone = 0;
    EntryId id;
    Endpoint address;
    uint64_t incarnation = 0;
    bool isRunning = false;
    Instant pausedUntil;
    std::vector<std::function<void()>> postponed;
    std::unique_ptr<NodeComponents> components;
};

bool ClusterSimulation::NodeStore::isUnreachable() const
{
    return m_simulation.m_zonesWithoutStore.contains(m_simulation.m_nodes[m_node]->zone);
}

void ClusterSimulation::NodeWorkers::lease(const WorkerInfo &info, LeaseRequest request,
                                           std::function<void(LeaseResult)> done)
{
    auto answer = std::make_shared<LeaseResult>();
    FakeWorker &worker = find(info);
    // A worker may delay its response by up to the requested wait. Here a quarter of the wait
    // passes before the request is sent.
    const Duration pause = request.wait / 4;
    m_simulation.m_events.at(m_simulation.m_events.now() + pause, [=, this, &worker] {
        m_simulation.exchange(
            m_node, worker.isDead, WorkerTimeout,
            [=, this, &worker] { *answer = m_simulation.serveLease(worker, request); },
            [answer, done](bool isAnswered, bool) { done(isAnswered ? *answer : LeaseResult()); });
    });
}

void ClusterSimulation::NodeWorkers::probe(const WorkerInfo &info, std::function<void(bool)> done)
{
    const FakeWorker &worker = find(info);
    m_simulation.exchange(
        m_node, worker.isDead, WorkerTimeout, [] {},
        [done = std::move(done)](bool isAnswered, bool) { done(isAnswered); });
}

void ClusterSimulation::NodeWorkers::start(const WorkerInfo &info, Epoch epoch,
                                           std::vector<StartCommand> commands,
                                           std::function<void(StartResult)> done)
{
    FakeWorker &worker = find(info);
    auto answer = std::make_shared<StartResult>();
    const Instant sentAt = m_simulation.m_events.now();
    m_simulation.exchange(
        m_node, worker.isDead, WorkerTimeout,
        [=, this, &worker] {
            m_simulation.enforceLease(worker);
            if (worker.epoch != epoch || m_simulation.m_events.now() >= worker.leaseUntil) {
                m_simulation.trace("refused start of " + describe(commands.front().task) + " on "
                                   + worker.info.id.value() + " epoch "
                                   + std::to_string(epoch.value()) + " worker epoch "
                                   + std::to_string(worker.epoch.value()));
                answer->outcome = StartResult::Refused;
                return;
            }
            for (const StartCommand &command : commands)
                m_simulation.startTask(worker, command, sentAt);
            answer->outcome = StartResult::Started;
        },
        [answer, done = std::move(done)](bool isAnswered, bool isSent) {
            if (!isSent)
                return done({StartResult::NotSent});
            done(isAnswered ? *answer : StartResult());
        });
}

void ClusterSimulation::NodeWorkers::stop(const WorkerInfo &info, Epoch epoch,
                                          std::vector<AttemptRef> attempts, bool)
{
    FakeWorker &worker = find(info);
    m_simulation.exchange(
        m_node, worker.isDead, WorkerTimeout,
        [=, this, &worker] {
            if (epoch < worker.epoch)
                return;
            for (const AttemptRef &attempt : attempts)
                m_simulation.endTask(worker, attempt, AttemptOutcome::Stopped);
        },
        [](bool, bool) {});
}

void ClusterSimulation::NodeWorkers::release(const WorkerInfo &info, EntryId holder, Epoch epoch,
                                             std::function<void(bool)> done)
{
    FakeWorker &worker = find(info);
    m_simulation.exchange(
        m_node, worker.isDead, WorkerTimeout,
        [=, this, &worker] {
            if (worker.holder != holder || epoch < worker.epoch)
                return;
            worker.holder = EntryId();
            worker.epoch = epoch;
            worker.leaseUntil = m_simulation.m_events.now();
        },
        [done = std::move(done)](bool isAnswered, bool) { done(isAnswered); });
}

void ClusterSimulation::NodePeers::send(const Endpoint &peer, PeerMessage message)
{
    const std::size_t target = peer.port;
    const Node &node = *m_simulation.m_nodes[target];
    m_simulation.exchange(
        m_node, m_simulation.isPartitioned(m_node, node.zone), WorkerTimeout,
        [this, target, message = std::move(message)] {
            Node &receiver = *m_simulation.m_nodes[target];
            m_simulation.runOnNode(target, receiver.incarnation, [&receiver, message] {
                receiver.components->controlPlane->recordHeartbeat(std::get<Heartbeat>(message));
            });
        },
        [](bool, bool) {});
}

void ClusterSimulation::NodePeers::call(const Endpoint &peer, PeerMessage message,
                                        const std::string &, Duration timeout,
                                        std::function<void(PeerResult)> done)
{
    const std::size_t target = peer.port;
    const std::size_t self = m_node;
    ClusterSimulation &simulation = m_simulation;
    const Node &node = *simulation.m_nodes[target];
    const uint64_t incarnation = simulation.m_nodes[self]->incarnation;
    auto isFinished = std::make_shared<bool>(false);
    const auto finish = [&simulation, self, incarnation, isFinished,
                         done = std::move(done)](PeerResult result) {
        simulation.runOnNode(self, incarnation, [isFinished, done, result = std::move(result)] {
            if (!std::exchange(*isFinished, true))
                done(result);
        });
    };
    const bool isUnreachable = simulation.isPartitioned(self, node.zone) || !node.isRunning;
    simulation.m_events.at(simulation.m_events.now() + timeout, [finish, isUnreachable] {
        finish({isUnreachable ? PeerResult::NotSent : PeerResult::Unknown, {}});
    });
    if (isUnreachable || simulation.chance(simulation.m_faults.lostRequestRate))
        return;
    simulation.m_events.at(
        simulation.m_events.now() + simulation.delay(),
        [&simulation, target, self, finish, message = std::move(message)] {
            Node &receiver = *simulation.m_nodes[target];
            simulation.runOnNode(
                target, receiver.incarnation, [&simulation, &receiver, finish, message, self] {
                    receiver.components->controlPlane->control(
                        std::get<ControlCall>(message),
                        [&simulation, finish, &receiver, self](const ControlReply &reply) {
                            if (simulation.chance(simulation.m_faults.lostResponseRate)
                                || simulation.isPartitioned(self, receiver.zone))
                                return;
                            simulation.m_events.at(simulation.m_events.now() + simulation.delay(),
                                                   [finish, reply] {
                                                       finish({PeerResult::Answered, reply});
                                                   });
                        });
                });
        });
}

ClusterSimulation::ClusterSimulation(uint64_t seed, Shape shape)
    : m_shape(shape)
    , m_random(seed)
{
    for (int zone = 0; zone < shape.zones; ++zone) {
        for (int number = 0; number < shape.workersPerZone; ++number) {
            FakeWorker worker;
            worker.info.id = WorkerId("w" + std::to_string(zone) + "-" + std::to_string(number));
            worker.info.zone = ZoneId("z" + std::to_string(zone));
            worker.info.rack =
                RackId("r" + std::to_string(zone) + "-" + std::to_string(number / 2));
            worker.info.capacity = shape.capacity;
            m_workers.push_back(std::move(worker));
        }
    }
    for (int zone = 0; zone < shape.zones; ++zone) {
        for (int number = 0; number < shape.entriesPerZone; ++number) {
            auto node = std::make_unique<Node>();
            node->zone = zone;
            node->id = EntryId("e" + std::to_string(zone) + "-" + std::to_string(number));
            node->address = {"node", static_cast<uint16_t>(m_nodes.size())};
            m_nodes.push_back(std::move(node));
        }
    }
    for (std::size_t index = 0; index < m_nodes.size(); ++index)
        startNode(index);
    enforceLeases();
}

ClusterSimulation::~ClusterSimulation() = default;

void ClusterSimulation::startNode(std::size_t index)
{
    Node &node = *m_nodes[index];
    ++node.incarnation;
    node.isRunning = true;
    // Messages in flight may still refer to the components of an earlier incarnation.
    m_previousComponents.push_back(std::move(node.components));
    node.pausedUntil = Instant();
    node.postponed.clear();
    node.components.reset(new NodeComponents{NodeTimers(*this, index, node.incarnation),
                                             NodeStore(*this, index), NodeWorkers(*this, index),
                                             NodePeers(*this, index)});
    ControlPlane::Settings settings;
    for (const auto &other : m_nodes)
        settings.peers.push_back(other->address);
    settings.heartbeatPeriod = Duration(500);
    settings.ownership.self = node.id;
    settings.ownership.zone = ZoneId("z" + std::to_string(node.zone));
    settings.ownership.address = node.address;
    settings.ownership.incarnation = std::to_string(node.incarnation);
    settings.ownership.leaseTtl = Duration(3000);
    settings.ownership.controller.pool.leaseTtl = WorkerLease;
    settings.ownership.controller.pool.orphanGrace = OrphanGrace;
    NodeComponents &components = *node.components;
    components.controlPlane = std::make_unique<ControlPlane>(
        components.store, components.workers, components.peers, components.timers, settings);
    components.controlPlane->start();
    publishWorkerList(index, node.incarnation);
}

void ClusterSimulation::publishWorkerList(std::size_t index, uint64_t incarnation)
{
    runOnNode(index, incarnation, [this, index, incarnation] {
        std::vector<WorkerInfo> listed;
        for (const FakeWorker &worker : m_workers) {
            if (!worker.isDead)
                listed.push_back(worker.info);
        }
        m_nodes[index]->components->controlPlane->setListed(m_listVersion, listed);
        m_events.at(m_events.now() + WorkerListPeriod,
                    [this, index, incarnation] { publishWorkerList(index, incarnation); });
    });
}

void ClusterSimulation::runOnNode(std::size_t index, uint64_t incarnation,
                                  std::function<void()> action)
{
    Node &node = *m_nodes[index];
    if (!node.isRunning || node.incarnation != incarnation)
        return;
    if (m_events.now() < node.pausedUntil) {
        node.postponed.push_back(std::move(action));
        return;
    }
    action();
}

bool ClusterSimulation::chance(double probability)
{
    constexpr uint32_t Steps = 1'000'000;
    return m_random(Steps) < static_cast<uint64_t>(probability * Steps);
}

int ClusterSimulation::randomBelow(int bound)
{
    return static_cast<int>(m_random(static_cast<uint64_t>(bound)));
}

Duration ClusterSimulation::delay()
{
    if (chance(m_faults.lateRate))
        return Duration(500 + randomBelow(4000));
    return Duration(1 + randomBelow(static_cast<int>(m_faults.maxDelay.count())));
}

void ClusterSimulation::exchange(std::size_t index, bool isUnreachable, Duration timeout,
                                 std::function<void()> serve,
                                 std::function<void(bool, bool)> answer)
{
    const uint64_t incarnation = m_nodes[index]->incarnation;
    auto isFinished = std::make_shared<bool>(false);
    const auto finish = [this, index, incarnation, isFinished,
                         answer = std::move(answer)](bool isAnswered, bool isSent) {
        runOnNode(index, incarnation, [isFinished, answer, isAnswered, isSent] {
            if (!std::exchange(*isFinished, true))
                answer(isAnswered, isSent);
        });
    };
    m_events.at(m_events.now() + timeout,
                [finish, isUnreachable] { finish(false, !isUnreachable); });
    if (isUnreachable || chance(m_faults.lostRequestRate))
        return;
    m_events.at(m_events.now() + delay(), [this, serve = std::move(serve), finish] {
        serve();
        if (!chance(m_faults.lostResponseRate))
            m_events.at(m_events.now() + delay(), [finish] { finish(true, true); });
    });
}

void ClusterSimulation::trace(const std::string &what) const
{
    if (std::getenv("HISTORY_TRACE"))
        std::cerr << elapsed().count() << " " << what << "\n";
}

void ClusterSimulation::run(Duration time)
{
    m_events.runUntil(m_events.now() + time);
}

bool ClusterSimulation::runUntil(const std::function<bool()> &condition, Duration limit)
{
    const Instant end = m_events.now() + limit;
    while (!condition()) {
        if (m_events.now() >= end)
            return false;
        run(Duration(100));
    }
    return true;
}

Duration ClusterSimulation::elapsed() const
{
    return std::chrono::duration_cast<Duration>(m_events.now().time_since_epoch());
}

ControlPlane *ClusterSimulation::controlPlane(std::size_t entry)
{
    return m_nodes[entry]->isRunning ? m_nodes[entry]->components->controlPlane.get() : nullptr;
}

bool ClusterSimulation::change(const std::function<void(Configuration &)> &change)
{
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        if (!controlPlane(index) || m_events.now() < m_nodes[index]->pausedUntil)
            continue;
        auto outcome = std::make_shared<std::optional<ChangeResult::Outcome>>();
        controlPlane(index)->configurationManager().change(
            [change](Configuration &configuration) {
                change(configuration);
                return true;
            },
            [outcome](const ChangeResult &result) { *outcome = result.outcome; });
        runUntil([&] { return outcome->has_value(); }, Duration(20'000));
        if (*outcome == ChangeResult::Changed)
            return true;
    }
    return false;
}

bool ClusterSimulation::submit(const JobSpec &spec)
{
    const auto entry = static_cast<std::size_t>(randomBelow(static_cast<int>(m_nodes.size())));
    ControlPlane *node = controlPlane(entry);
    if (!node)
        return false;
    const auto home = node->chooseHomeFor(spec.perTask, spec.tasks);
    if (!home)
        return false;
    auto isRecorded = std::make_shared<bool>(false);
    auto isAnswered = std::make_shared<bool>(false);
    runOnNode(entry, m_nodes[entry]->incarnation, [=] {
        node->callOwner(*home, {"admit", Json{{"shard", home->value()}, {"spec", spec}}.dump()}, {},
                        [isRecorded, isAnswered](const PeerResult &result) {
                            const auto *reply = std::get_if<ControlReply>(&result.message);
                            *isAnswered = true;
                            *isRecorded = result.outcome == PeerResult::Answered && reply
                                && reply->body == "recorded";
                        });
    });
    runUntil([&] { return *isAnswered; }, Duration(5000));
    return *isRecorded;
}

bool ClusterSimulation::cancel(const JobId &job)
{
    const auto entry = static_cast<std::size_t>(randomBelow(static_cast<int>(m_nodes.size())));
    ControlPlane *node = controlPlane(entry);
    if (!node)
        return false;
    auto outcome = std::make_shared<std::optional<CancelOutcome>>();
    runOnNode(entry, m_nodes[entry]->incarnation, [node, job, outcome] {
        node->cancelJob({job}, {}, [outcome](CancelOutcome reported) { *outcome = reported; });
    });
    runUntil([&] { return outcome->has_value(); }, Duration(8000));
    if (*outcome != CancelOutcome::Cancelled)
        return false;
    trace("cancelled " + job.value());
    m_cancelledAt.try_emplace(job, m_events.now());
    return true;
}

void ClusterSimulation::kill(std::size_t entry)
{
    trace("kill " + m_nodes[entry]->id.value());
    m_nodes[entry]->isRunning = false;
    m_nodes[entry]->postponed.clear();
}

void ClusterSimulation::restart(std::size_t entry)
{
    if (m_nodes[entry]->isRunning)
        return;
    trace("restart " + m_nodes[entry]->id.value());
    startNode(entry);
}

void ClusterSimulation::pause(std::size_t entry, Duration time)
{
    Node &node = *m_nodes[entry];
    if (!node.isRunning)
        return;
    trace("pause " + node.id.value() + " for " + std::to_string(time.count()));
    node.pausedUntil = m_events.now() + time;
    const uint64_t incarnation = node.incarnation;
    m_events.at(node.pausedUntil, [this, entry, incarnation] {
        Node &paused = *m_nodes[entry];
        if (paused.incarnation != incarnation || m_events.now() < paused.pausedUntil)
            return;
        std::vector<std::function<void()>> postponed;
        postponed.swap(paused.postponed);
        for (auto &action : postponed)
            runOnNode(entry, incarnation, std::move(action));
    });
}

bool ClusterSimulation::isPartitioned(std::size_t from, int zone) const
{
    const int own = m_nodes[from]->zone;
    return own != zone && (m_isolatedZones.contains(own) || m_isolatedZones.contains(zone));
}

void ClusterSimulation::isolateZone(int zone, bool fromStore)
{
    trace("isolate z" + std::to_string(zone) + (fromStore ? " also from the store" : ""));
    m_isolatedZones.insert(zone);
    if (fromStore)
        m_zonesWithoutStore.insert(zone);
}

void ClusterSimulation::setStoreDown(bool isDown)
{
    trace(isDown ? "store down" : "store up");
    m_storeDown = isDown;
}

void ClusterSimulation::heal()
{
    trace("heal");
    m_isolatedZones.clear();
    m_zonesWithoutStore.clear();
}

void ClusterSimulation::killWorker(std::size_t index)
{
    FakeWorker &worker = m_workers[index];
    worker.isDead = true;
    worker.running.clear();
    worker.ended.clear();
    // The list of workers gets a new version only after 3 s.
    m_events.at(m_events.now() + Duration(3000),
                [this] { m_listVersion = InstanceListVersion(m_listVersion.value() + 1); });
}

void ClusterSimulation::expireLeases()
{
    std::erase_if(m_leases, [this](const auto &item) {
        if (item.second.until >= m_events.now())
            return false;
        std::erase_if(m_values,
                      [&](const auto &value) { return value.second.lease == item.first; });
        return true;
    });
}

StoreWrite ClusterSimulation::serveWrite(const StorePut &put)
{
    expireLeases();
    const auto found = m_values.find(put.key);
    const Revision revision = found == m_values.end() ? Revision() : found->second.revision;
    const bool isLeaseGone = put.lease != StoreLeaseId() && !m_leases.contains(put.lease);
    if (revision != put.expected || isLeaseGone)
        return {StoreWrite::Conflict, revision};
    m_values[put.key] = {put.value, Revision(++m_revision), put.lease};
    if (put.key == "configuration")
        recordZonesOutOfService(decodeJson<Configuration>(put.value));
    return {StoreWrite::Written, Revision(m_revision)};
}

void ClusterSimulation::recordZonesOutOfService(const Configuration &configuration)
{
    std::erase_if(m_outOfServiceSince, [&](const auto &item) {
        return !configuration.zonesOutOfService.contains(item.first);
    });
    for (const ZoneId &zone : configuration.zonesOutOfService)
        m_outOfServiceSince.try_emplace(zone, m_events.now());
}

void ClusterSimulation::enforceLease(FakeWorker &worker)
{
    if (m_events.now() <= worker.leaseUntil + OrphanGrace)
        return;
    while (!worker.running.empty()) {
        const AttemptRef attempt = worker.running.begin()->first;
        endTask(worker, attempt, AttemptOutcome::Stopped);
    }
}

void ClusterSimulation::enforceLeases()
{
    for (FakeWorker &worker : m_workers)
        enforceLease(worker);
    m_events.at(m_events.now() + LeaseCheckPeriod, [this] { enforceLeases(); });
}

LeaseResult ClusterSimulation::serveLease(FakeWorker &worker, const LeaseRequest &request)
{
    enforceLease(worker);
    LeaseResult answer;
    const bool isLive = m_events.now() < worker.leaseUntil && !worker.holder.isEmpty();
    if (request.epoch < worker.epoch || (isLive && worker.holder != request.holder)) {
        answer.outcome = LeaseResult::Held;
        return answer;
    }
    const bool isNew = worker.holder != request.holder || !isLive;
    worker.holder = request.holder;
    worker.epoch = request.epoch;
    worker.leaseUntil = m_events.now() + request.ttl;
    for (const AttemptRef &attempt : request.acknowledged)
        worker.ended.erase(attempt);
    answer.outcome = LeaseResult::Granted;
    trace("lease " + worker.info.id.value() + " to " + worker.holder.value() + " epoch "
          + std::to_string(worker.epoch.value()) + (request.complete ? " complete" : "")
          + (isNew ? " new" : ""));
    answer.report.epoch = worker.epoch;
    answer.report.complete = isNew || request.complete;
    answer.report.runningCount = worker.running.size();
    for (const auto &[attempt, outcome] : worker.ended)
        answer.report.ended.push_back({attempt.task, attempt.attempt, outcome});
    if (!answer.report.complete)
        return answer;
    for (const auto &[attempt, command] : worker.running)
        answer.report.running.push_back(
            {attempt.task, attempt.attempt, command.team, command.resources});
    return answer;
}

void ClusterSimulation::startTask(FakeWorker &worker, const StartCommand &command, Instant sentAt)
{
    const AttemptRef attempt{command.task, command.attempt};
    if (worker.running.contains(attempt) || worker.ended.contains(attempt))
        return;
    worker.running.emplace(attempt, command);
    ++m_startCount;
    trace("start " + describe(command.task) + " on " + worker.info.id.value() + " by "
          + worker.holder.value());
    checkStart(worker, command, sentAt);
    const bool willFail = worker.failsAll || command.payload == "fail";
    m_events.at(m_events.now() + m_shape.taskTime, [this, &worker, attempt, willFail] {
        endTask(worker, attempt, willFail ? AttemptOutcome::Failed : AttemptOutcome::Done);
    });
}

void ClusterSimulation::endTask(FakeWorker &worker, const AttemptRef &attempt,
                                AttemptOutcome outcome)
{
    if (worker.running.erase(attempt) == 0)
        return;
    worker.ended[attempt] = outcome;
    trace("end " + describe(attempt.task) + " on " + worker.info.id.value() + " outcome "
          + std::to_string(static_cast<int>(outcome)));
    if (outcome == AttemptOutcome::Done)
        ++m_done[attempt.task.job][attempt.task.index];
}

void ClusterSimulation::checkStart(const FakeWorker &worker, const StartCommand &command,
                                   Instant sentAt)
{
    Resources used;
    for (const auto &[attempt, running] : worker.running)
        used += running.resources;
    if (!used.fitsIn(worker.info.capacity))
        m_violations.push_back("overcommitted " + worker.info.id.value());
    std::size_t copyCount = 0;
    Resources usedByTeam;
    for (const FakeWorker &other : m_workers) {
        for (const auto &[attempt, running] : other.running) {
            copyCount += attempt.task == command.task ? 1 : 0;
            if (running.team == command.team)
                usedByTeam += running.resources;
        }
    }
    if (copyCount > 1)
        m_violations.push_back("two places: " + describe(command.task));
    const auto limit = m_limits.find(command.team);
    if (limit != m_limits.end() && !usedByTeam.fitsIn(limit->second))
        m_violations.push_back("above the limit: team " + command.team.value());
    const auto cancelled = m_cancelledAt.find(command.task.job);
    if (cancelled != m_cancelledAt.end() && sentAt > cancelled->second)
        m_violations.push_back("ordered after its cancellation: " + describe(command.task));
    for (const auto &[zone, since] : m_outOfServiceSince) {
        if (worker.info.zone == zone && m_events.now() - since > MaxConfigurationDelay)
            m_violations.push_back("start in zone out of service: " + worker.info.id.value());
    }
}

std::size_t ClusterSimulation::doneTasks(const JobId &job) const
{
    const auto found = m_done.find(job);
    return found == m_done.end() ? 0 : found->second.size();
}

std::size_t ClusterSimulation::doneAttempts(const JobId &job) const
{
    const auto found = m_done.find(job);
    std::size_t attempts = 0;
    if (found == m_done.end())
        return attempts;
    for (const auto &[index, count] : found->second)
        attempts += count;
    return attempts;
}

bool ClusterSimulation::isRecordedEnded(const JobId &job) const
{
    for (const auto &[key, stored] : m_values) {
        if (!key.starts_with("record/"))
            continue;
        const auto record = decodeJson<ShardRecord>(stored.value);
        const bool isMovingAway =
            std::any_of(record.outgoing.begin(), record.outgoing.end(),
                        [&job](const auto &move) { return move.portion.spec.id == job; });
        const auto portion = record.portions.find(job);
        const bool isOpen = portion != record.portions.end()
            && std::any_of(portion->second.tasks.begin(), portion->second.tasks.end(),
                           [](const auto &task) { return task.phase == TaskPhase::Open; });
        if (isMovingAway || isOpen)
            return false;
    }
    return true;
}

bool ClusterSimulation::isRecordedDone(const JobId &job, std::size_t tasks) const
{
    std::set<uint32_t> done;
    for (const auto &[key, stored] : m_values) {
        if (!key.starts_with("record/"))
            continue;
        const auto record = decodeJson<ShardRecord>(stored.value);
        const auto portion = record.portions.find(job);
        if (portion == record.portions.end())
            continue;
        for (const TaskRecord &task : portion->second.tasks) {
            if (task.phase == TaskPhase::Done)
                done.insert(task.index);
        }
    }
    return done.size() == tasks;
}

} // namespace Cranberrymount
