#include "Service/EntryNode.h"

#include "Protocol/Json.h"
#include "Transport/BootClock.h"

#include <asio/post.hpp>
#include <glog/logging.h>

#include <algorithm>

namespace Cranberrymount {

namespace {

constexpr Duration SlotUpdatePeriod{50};
constexpr Duration DayLeaseTtl{86'400'000};
constexpr std::size_t IncarnationBytes = 8;

/** Runs the callbacks of @p context until it is stopped. One that fails ends no others. */
void runCallbacks(asio::io_context &context)
{
    while (!context.stopped()) {
        try {
            context.run();
        } catch (const std::exception &error) {
            LOG(ERROR) << "event=callback_failed error=" << error.what();
        }
    }
}

ControlPlane::Settings controlPlaneSettings(const Settings &settings, Tracer &tracer)
{
    ControlPlane::Settings result;
    result.peers = settings.peers;
    result.shardsPerZone = settings.shardsPerZone;
    result.heartbeatPeriod = settings.heartbeatPeriod;
    result.configuration.evidenceBound = settings.evidenceBound;
    ShardOwnership::Settings &ownership = result.ownership;
    ownership.self = settings.entry;
    ownership.zone = settings.zone;
    ownership.address = settings.peer;
    ownership.incarnation = tracer.randomHex(IncarnationBytes);
    ownership.leaseTtl = settings.storeLease;
    ownership.controller.pool.leaseTtl = settings.workerLease;
    ownership.controller.pool.orphanGrace = settings.orphanGrace;
    return result;
}

} // namespace

EntryNode::EntryNode(Settings settings)
    : m_settings(std::move(settings))
    , m_tracer("cranberrymountd/" + m_settings.entry.value())
    , m_controlGuard(asio::make_work_guard(m_control))
    , m_trafficGuard(asio::make_work_guard(m_traffic))
    , m_timers(m_control)
    , m_store(m_controlClient, m_control, m_settings.storeUrl, m_settings.storeTimeout)
    , m_workers(m_controlClient, m_control, m_settings.workerTimeout)
    , m_slots(m_settings.maxWaitingRequests)
    , m_peers(m_traffic, m_settings.peer,
              [this](PeerMessage message, const std::string &trace,
                     std::function<void(PeerMessage)> reply) {
                  handlePeerMessage(std::move(message), trace, std::move(reply));
              })
    , m_controlPeers(m_peers, m_control)
    , m_router(m_slots, m_trafficClient, m_peers, m_tracer, m_metrics)
    , m_controlPlane(m_store, m_workers, m_controlPeers, m_timers,
                     controlPlaneSettings(m_settings, m_tracer))
    , m_claims(m_store, m_timers, m_settings.entry.value())
    , m_dayLease(m_store, m_timers, DayLeaseTtl)
    , m_instances(m_controlClient, m_control, m_timers, m_settings.instancesUrl,
                  m_settings.instanceListPeriod,
                  [this](InstanceListVersion version, const std::vector<WorkerInfo> &workers) {
                      m_controlPlane.setListed(version, workers);
                  })
{
    m_controlPlane.onConfigurationChange([this] { publishConfiguration(); });
    m_controlPlane.addMethod("trace",
                             [this](const std::string &id) { return m_tracer.traceJson(id); });
    m_controlPlane.setStatusExtra([this](Json &status) { addStatusCounters(status); });
}

EntryNode::~EntryNode()
{
    // The threads must end before the members that their callbacks use are destroyed.
    m_controlClient.stop();
    m_trafficClient.stop();
    m_control.stop();
    m_traffic.stop();
    if (m_controlThread.joinable())
        m_controlThread.join();
    if (m_trafficThread.joinable())
        m_trafficThread.join();
}

void EntryNode::start()
{
    m_trafficThread = std::thread([this] { runCallbacks(m_traffic); });
    m_controlThread = std::thread([this] { runCallbacks(m_control); });
    runOnControlThread([this] {
        m_claims.start();
        m_dayLease.start();
        m_instances.start();
        m_controlPlane.start();
        m_timers.every(SlotUpdatePeriod, [this] {
            updateSlots();
            updatePeers();
            publishConfiguration();
        });
    });
}

void EntryNode::runOnControlThread(std::function<void()> action)
{
    asio::post(m_control, std::move(action));
}

void EntryNode::announceLeaving()
{
    m_leaving = true;
    runOnControlThread([this] { m_controlPlane.announceLeaving(); });
}

std::shared_ptr<const Configuration> EntryNode::freshConfiguration() const
{
    const std::lock_guard lock(m_publishedMutex);
    return bootInstant() < m_publishedFreshUntil ? m_published : nullptr;
}

std::shared_ptr<const Configuration> EntryNode::latestConfiguration() const
{
    const std::lock_guard lock(m_publishedMutex);
    return m_published ? m_published : std::make_shared<const Configuration>();
}

void EntryNode::publishConfiguration()
{
    const ConfigurationManager &manager = m_controlPlane.configurationManager();
    const std::lock_guard lock(m_publishedMutex);
    m_published = manager.configuration();
    m_publishedFreshUntil = manager.freshUntil();
}

void EntryNode::isolateFrom(const std::set<std::string> &peers,
                            const std::vector<std::string> &urls)
{
    m_peers.block(peers);
    m_controlClient.blockPrefixes(urls);
    m_trafficClient.blockPrefixes(urls);
}

void EntryNode::handlePeerMessage(PeerMessage message, const std::string &trace,
                                  std::function<void(PeerMessage)> reply)
{
    if (const auto *peerHeartbeat = std::get_if<Heartbeat>(&message))
        return runOnControlThread([this, peerHeartbeat = *peerHeartbeat] {
            m_controlPlane.recordHeartbeat(peerHeartbeat);
        });
    if (auto *call = std::get_if<LookupCall>(&message)) {
        return m_router.route(
            std::move(*call), trace,
            [reply = std::move(reply)](LookupReply answer) { reply(std::move(answer)); });
    }
    if (const auto *call = std::get_if<ControlCall>(&message)) {
        runOnControlThread([this, call = *call, trace, reply = std::move(reply)] {
            const Span span = m_tracer.begin("control." + call.method, trace);
            m_controlPlane.control(call, [this, span, reply](ControlReply answer) {
                reply(std::move(answer));
                m_tracer.end(span);
            });
        });
    }
}

void EntryNode::updatePeers()
{
    std::vector<LookupPeer> peers;
    const auto configuration = m_controlPlane.configurationManager().configuration();
    for (const Member &member : m_controlPlane.members()) {
        const Heartbeat &peerHeartbeat = member.heartbeat;
        if (peerHeartbeat.leaving || peerHeartbeat.shards.empty()
            || configuration->zonesOutOfService.contains(peerHeartbeat.zone))
            continue;
        uint32_t free = 0;
        for (const ShardSummary &shard : peerHeartbeat.shards)
            free += shard.freeSlots;
        peers.push_back({peerHeartbeat.address, peerHeartbeat.zone == m_settings.zone, free});
    }
    m_router.setPeers(std::move(peers));
}

Duration EntryNode::slotQuarantine() const
{
    Duration longestTimeout{0};
    const auto configuration = m_controlPlane.configurationManager().configuration();
    for (const auto &[id, queue] : configuration->queues)
        longestTimeout = std::max(longestTimeout, Duration(queue.timeoutMs));
    return longestTimeout;
}

void EntryNode::updateSlots()
{
    const Instant now = m_timers.now();
    std::vector<SlotTarget> targets;
    const auto configuration = m_controlPlane.configurationManager().configuration();
    const bool isZoneOutOfService = configuration->zonesOutOfService.contains(m_settings.zone);
    const Duration quarantine = slotQuarantine();
    for (const ShardController *controller : m_controlPlane.ownership().controllers()) {
        if (isZoneOutOfService || m_leaving)
            break;
        for (const HeldWorker &worker : controller->pool().heldWorkers()) {
            const WorkerInfo &info = worker.info;
            if (info.slots == 0 || info.leaving)
                continue;
            targets.push_back({info.id, info.url, std::min(info.slots, info.connections),
                               worker.epoch, worker.since + quarantine, worker.until});
        }
    }
    m_slots.setTargets(targets);
    m_slots.expire(now);
    const std::size_t free = m_slots.freeSlots(now);
    m_controlPlane.setFreeSlots(static_cast<uint32_t>(free));
    m_metrics.set("slots_free", static_cast<double>(free));
    m_metrics.set("slots_in_use", static_cast<double>(m_slots.slotsInUse()));
    m_metrics.set("lookups_waiting", static_cast<double>(m_slots.waiting()));
    m_metrics.set("shards_owned",
                  static_cast<double>(m_controlPlane.ownership().controllers().size()));
    m_metrics.set("store_calls", static_cast<double>(m_store.calls()));
    m_metrics.set("configuration_fresh", m_controlPlane.configurationManager().isFresh() ? 1 : 0);
}

void EntryNode::addStatusCounters(Json &status) const
{
    status["slots_in_use"] = m_slots.slotsInUse();
    status["requests_waiting"] = m_slots.waiting();
    status["store_calls"] = m_store.calls();
    status["worker_calls"] = m_workers.calls();
    status["worker_body_bytes"] = m_workers.bodyBytes();
    status["peer_bytes_sent"] = m_peers.bytesSent();
    status["peer_messages_sent"] = m_peers.messagesSent();
}

} // namespace Cranberrymount
