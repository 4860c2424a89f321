#include "Service/EntryNode.h"

#include "Protocol/Json.h"
#include "Protocol/ProtocolError.h"
#include "Service/JobViewJson.h"

#include <asio/post.hpp>
#include <glog/logging.h>
#include <xxhash.h>

#include <algorithm>

namespace Cranberrymount {

namespace {

constexpr Duration ControlCallTimeout{2500};
constexpr Duration EvidenceCallTimeout{1000};
constexpr Duration SlotPeriod{50};
constexpr Duration DayLeaseTtl{86'400'000};
/** Heartbeats that may be missed before a member counts as silent. */
constexpr int MissedHeartbeats = 3;

ShardOwnership::Settings ownershipSettings(const Settings &settings, Tracer &tracer)
{
    ShardOwnership::Settings result;
    result.self = settings.entry;
    result.zone = settings.zone;
    result.address = settings.peer;
    result.incarnation = tracer.randomHex(8);
    result.leaseTtl = settings.storeLease;
    result.keeper.pool.leaseTtl = settings.workerLease;
    result.keeper.pool.orphanGrace = settings.orphanGrace;
    return result;
}

ConfigurationKeeper::Settings configurationSettings(const Settings &settings)
{
    ConfigurationKeeper::Settings result;
    result.evidenceBound = settings.evidenceBound;
    return result;
}

const char *outcomeName(AdmissionOutcome outcome)
{
    switch (outcome) {
    case AdmissionOutcome::Recorded:
        return "recorded";
    case AdmissionOutcome::AlreadyRecorded:
        return "already-recorded";
    case AdmissionOutcome::NameTaken:
        return "name-taken";
    case AdmissionOutcome::NotRun:
        return "not-run";
    case AdmissionOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
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
                  peerMessage(std::move(message), trace, std::move(reply));
              })
    , m_router(m_slots, m_trafficClient, m_peers, m_tracer, m_metrics)
    , m_members(m_settings.entry, m_settings.heartbeatPeriod * MissedHeartbeats)
    , m_configuration(m_store, m_timers, configurationSettings(m_settings))
    , m_claims(m_store, m_timers, m_settings.entry.value())
    , m_dayLease(m_store, m_timers, DayLeaseTtl)
    , m_ownership(m_store, m_workers, m_timers, *this, m_members,
                  ownershipSettings(m_settings, m_tracer))
    , m_instances(m_controlClient, m_control, m_timers, m_settings.instancesUrl,
                  m_settings.instanceListPeriod,
                  [this](ListVersion version, const std::vector<WorkerInfo> &workers) {
                      m_ownership.setListed(version, workers, [this](const WorkerInfo &worker) {
                          return shardOf(worker);
                      });
                  })
{
    for (const Endpoint &peer : m_settings.peers) {
        if (peer != m_settings.peer)
            m_members.addAddress(peer);
    }
    m_configuration.onChange([this] {
        publishConfiguration();
        m_ownership.configurationChanged();
    });
}

EntryNode::~EntryNode()
{
    m_control.stop();
    m_traffic.stop();
    if (m_controlThread.joinable())
        m_controlThread.join();
    if (m_trafficThread.joinable())
        m_trafficThread.join();
}

void EntryNode::start()
{
    m_trafficThread = std::thread([this] { m_traffic.run(); });
    m_controlThread = std::thread([this] { m_control.run(); });
    onControl([this] {
        m_configuration.start();
        m_claims.start();
        m_dayLease.start();
        m_instances.start();
        m_ownership.start();
        beat();
        m_timers.every(m_settings.heartbeatPeriod, [this] { beat(); });
        m_timers.every(SlotPeriod, [this] {
            updateSlots();
            publishConfiguration();
        });
    });
}

void EntryNode::onControl(std::function<void()> action)
{
    asio::post(m_control, std::move(action));
}

void EntryNode::announceLeaving()
{
    m_leaving = true;
    onControl([this] { beat(); });
}

void EntryNode::handBack(std::function<void()> done)
{
    m_ownership.handBack(std::move(done));
}

std::shared_ptr<const Configuration> EntryNode::freshConfiguration() const
{
    const std::lock_guard lock(m_publishedMutex);
    return std::chrono::steady_clock::now() < m_publishedFreshUntil ? m_published : nullptr;
}

std::shared_ptr<const Configuration> EntryNode::latestConfiguration() const
{
    const std::lock_guard lock(m_publishedMutex);
    return m_published ? m_published : std::make_shared<const Configuration>();
}

void EntryNode::publishConfiguration()
{
    const auto age = m_configuration.evidenceAge();
    const Instant now = m_timers.now();
    const std::lock_guard lock(m_publishedMutex);
    m_published = m_configuration.configuration();
    m_publishedFreshUntil = age ? now - *age + m_settings.evidenceBound : Instant();
}

const Configuration &EntryNode::configuration() const
{
    return *m_configuration.configuration();
}

bool EntryNode::isConfigurationFresh() const
{
    return m_configuration.isFresh();
}

ShardId EntryNode::shardOf(const WorkerInfo &worker) const
{
    const std::string &rack = worker.rack.value();
    const uint64_t part = XXH64(rack.data(), rack.size(), 0) % m_settings.shardsPerZone;
    return ShardId(worker.zone.value() + "." + std::to_string(part));
}

std::vector<ShardCandidate> EntryNode::candidates(bool withOwn) const
{
    const auto &out = configuration().zonesOut;
    std::vector<ShardCandidate> found;
    if (withOwn && !out.contains(m_settings.zone)) {
        for (const ShardKeeper *keeper : m_ownership.keepers()) {
            const ShardStatus status = keeper->status();
            if (status.isActive) {
                found.push_back({status.shard, m_settings.zone, true, status.free,
                                 static_cast<uint32_t>(status.waiting)});
            }
        }
    }
    for (const Member &member : m_members.alive(m_timers.now())) {
        const Heartbeat &beat = member.heartbeat;
        if (beat.leaving || out.contains(beat.zone))
            continue;
        for (const ShardSummary &shard : beat.shards) {
            if (shard.active) {
                found.push_back({shard.shard, beat.zone, beat.zone == m_settings.zone, shard.free,
                                 shard.waitingTasks});
            }
        }
    }
    return found;
}

std::vector<ShardCandidate> EntryNode::otherShards() const
{
    return candidates(false);
}

std::optional<ShardId> EntryNode::chooseHomeFor(const Resources &perTask, uint32_t tasks) const
{
    return chooseHome(candidates(true), perTask, tasks);
}

void EntryNode::offerMove(const ShardId &from, const OutgoingMove &move,
                          std::function<void(MoveAnswer)> done)
{
    const Json body = {{"shard", move.target.value()},
                       {"from", from.value()},
                       {"sequence", move.sequence},
                       {"portion", move.portion}};
    callOwner(move.target, {"adopt", body.dump()}, {},
              [done = std::move(done)](const PeerResult &result) {
                  const auto *reply = std::get_if<ControlReply>(&result.message);
                  const bool isTaken
                          = result.outcome == PeerResult::Answered && reply && reply->status == 200;
                  done(isTaken ? MoveAnswer::Taken : MoveAnswer::Unknown);
              });
}

void EntryNode::callOwner(const ShardId &shard, const ControlCall &call, const std::string &trace,
                          std::function<void(PeerResult)> done)
{
    if (m_ownership.keeper(shard)) {
        return control(call, [done = std::move(done)](ControlReply reply) {
            done({PeerResult::Answered, std::move(reply)});
        });
    }
    const auto owner = m_members.ownerOf(shard, m_timers.now());
    if (!owner)
        return done({PeerResult::NotSent, {}});
    Span span = m_tracer.begin("control." + call.method, trace);
    const std::string childTrace = span.traceparent();
    m_peers.call(owner->heartbeat.address, call, childTrace, ControlCallTimeout,
                 [this, span = std::move(span), done = std::move(done)](PeerResult result) {
                     m_tracer.end(span);
                     onControl([done, result = std::move(result)] { done(result); });
                 });
}

void EntryNode::gather(const ControlCall &call, const std::string &trace,
                       std::function<void(Gathered)> done)
{
    struct Collection
    {
        Gathered gathered;
        std::size_t left = 1;
        std::function<void(Gathered)> done;
    };
    auto collection = std::make_shared<Collection>();
    collection->done = std::move(done);
    const auto finished = [collection] {
        if (--collection->left == 0)
            collection->done(std::move(collection->gathered));
    };
    const auto members = m_members.alive(m_timers.now());
    collection->left += members.size();
    for (const Member &member : members) {
        m_peers.call(member.heartbeat.address, call, trace, ControlCallTimeout,
                     [this, collection, finished, id = member.heartbeat.from](PeerResult result) {
                         onControl([collection, finished, id, result = std::move(result)] {
                             const auto *reply = std::get_if<ControlReply>(&result.message);
                             if (result.outcome == PeerResult::Answered && reply)
                                 collection->gathered.replies.push_back({id, *reply});
                             else
                                 collection->gathered.silent.push_back(id);
                             finished();
                         });
                     });
    }
    control(call, [this, collection, finished](ControlReply reply) {
        collection->gathered.replies.push_back({m_settings.entry, std::move(reply)});
        finished();
    });
}

void EntryNode::cut(const std::set<std::string> &peers, const std::vector<std::string> &urls)
{
    m_peers.block(peers);
    m_controlClient.blockPrefixes(urls);
    m_trafficClient.blockPrefixes(urls);
}

void EntryNode::peerMessage(PeerMessage message, const std::string &trace,
                            std::function<void(PeerMessage)> reply)
{
    if (const auto *beat = std::get_if<Heartbeat>(&message))
        return onControl([this, beat = *beat] { heard(beat); });
    if (auto *call = std::get_if<LookupCall>(&message)) {
        return m_router.route(std::move(*call), trace, [reply = std::move(reply)](LookupReply answer) {
            reply(std::move(answer));
        });
    }
    if (const auto *call = std::get_if<ControlCall>(&message)) {
        onControl([this, call = *call, reply = std::move(reply)] {
            control(call, [reply](ControlReply answer) { reply(std::move(answer)); });
        });
    }
}

void EntryNode::heard(const Heartbeat &beat)
{
    m_members.heard(beat, m_timers.now());
    m_configuration.hasNewer(beat.configRevision);
    updatePeers();
}

void EntryNode::control(const ControlCall &call, std::function<void(ControlReply)> reply)
{
    try {
        if (call.method == "admit")
            return admitHere(call.body, std::move(reply));
        if (call.method == "cancel")
            return cancelHere(call.body, std::move(reply));
        if (call.method == "adopt")
            return adoptHere(call.body, std::move(reply));
        if (call.method == "job")
            return reply({200, jobHere(call.body)});
        if (call.method == "jobs")
            return reply({200, jobsHere()});
        if (call.method == "status")
            return reply({200, statusHere()});
        if (call.method == "evidence")
            return reply({200, evidenceHere()});
        if (call.method == "configuration")
            return reply({200, Json(configuration()).dump()});
        reply({404, "unknown method " + call.method});
    } catch (const ProtocolError &error) {
        reply({400, error.what()});
    } catch (const Json::exception &error) {
        reply({400, error.what()});
    }
}

void EntryNode::admitHere(const std::string &body, std::function<void(ControlReply)> reply)
{
    const Json json = parseJson(body);
    ShardKeeper *keeper = m_ownership.keeper(ShardId(json.at("shard").get<std::string>()));
    if (!keeper)
        return reply({200, outcomeName(AdmissionOutcome::NotRun)});
    keeper->admit(fromJson<JobSpec>(json.at("spec")),
                  [reply = std::move(reply)](AdmissionOutcome outcome) {
                      reply({200, outcomeName(outcome)});
                  });
}

void EntryNode::cancelHere(const std::string &body, std::function<void(ControlReply)> reply)
{
    auto left = std::make_shared<std::size_t>(1);
    auto recorded = std::make_shared<bool>(true);
    auto found = std::make_shared<bool>(false);
    const auto finished = [left, recorded, found, reply = std::move(reply)] {
        if (--*left == 0)
            reply({*recorded ? 200 : 503, *found ? "found" : "unknown"});
    };
    for (ShardKeeper *keeper : m_ownership.keepers()) {
        ++*left;
        const bool isHere = keeper->cancel(JobId(body), [recorded, finished](bool wasRecorded) {
            *recorded = *recorded && wasRecorded;
            finished();
        });
        if (isHere)
            *found = true;
        else
            --*left;
    }
    finished();
}

void EntryNode::adoptHere(const std::string &body, std::function<void(ControlReply)> reply)
{
    const Json json = parseJson(body);
    OutgoingMove move;
    move.sequence = json.at("sequence").get<uint64_t>();
    move.target = ShardId(json.at("shard").get<std::string>());
    move.portion = fromJson<Portion>(json.at("portion"));
    ShardKeeper *keeper = m_ownership.keeper(move.target);
    if (!keeper)
        return reply({503, "not the owner"});
    keeper->takeMove(ShardId(json.at("from").get<std::string>()), move,
                     [reply = std::move(reply)](MoveAnswer answer) {
                         reply({answer == MoveAnswer::Taken ? 200 : 503, {}});
                     });
}

std::string EntryNode::jobHere(const std::string &id) const
{
    Json views = Json::array();
    for (const ShardKeeper *keeper : m_ownership.keepers()) {
        if (const auto view = keeper->job(JobId(id)))
            views.push_back(encodeJobView(*view));
    }
    return views.dump();
}

std::string EntryNode::jobsHere() const
{
    Json summaries = Json::array();
    for (const ShardKeeper *keeper : m_ownership.keepers()) {
        for (const JobView &view : keeper->jobs())
            summaries.push_back(summarizeJobView(view));
    }
    return summaries.dump();
}

std::string EntryNode::statusHere() const
{
    Json shards = Json::array();
    for (const ShardKeeper *keeper : m_ownership.keepers())
        shards.push_back(encodeShardStatus(keeper->status(), m_settings.zone));
    const auto age = m_configuration.evidenceAge();
    return Json{{"entry", m_settings.entry.value()},
                {"zone", m_settings.zone.value()},
                {"configuration_revision", configuration().revision.value()},
                {"evidence_age_ms", age ? age->count() : -1},
                {"fresh", m_configuration.isFresh()},
                {"leaving", m_leaving.load()},
                {"slots_in_use", m_slots.slotsInUse()},
                {"requests_waiting", m_slots.waiting()},
                {"store_calls", m_store.calls()},
                {"worker_calls", m_workers.calls()},
                {"worker_body_bytes", m_workers.bodyBytes()},
                {"peer_bytes_sent", m_peers.bytesSent()},
                {"peer_messages_sent", m_peers.messagesSent()},
                {"shards", shards}}
            .dump();
}

std::string EntryNode::evidenceHere() const
{
    const auto age = m_configuration.evidenceAge();
    return Json{{"revision", configuration().revision.value()},
                {"age_ms", age ? age->count() : -1}}
            .dump();
}

Heartbeat EntryNode::heartbeat() const
{
    Heartbeat beat;
    beat.from = m_settings.entry;
    beat.zone = m_settings.zone;
    beat.address = m_settings.peer;
    beat.leaving = m_leaving;
    beat.configRevision = configuration().revision;
    beat.evidenceAge = m_configuration.evidenceAge();
    for (const ShardKeeper *keeper : m_ownership.keepers()) {
        const ShardStatus status = keeper->status();
        beat.shards.push_back({status.shard, status.epoch, status.isActive, status.free,
                               static_cast<uint32_t>(status.waiting), 0});
    }
    if (!beat.shards.empty())
        beat.shards.front().freeSlots = static_cast<uint32_t>(m_slots.freeSlots(m_timers.now()));
    return beat;
}

void EntryNode::beat()
{
    const Heartbeat mine = heartbeat();
    for (const Endpoint &address : m_members.addresses(m_timers.now()))
        m_peers.send(address, mine);
    askPeersForEvidence();
    updatePeers();
}

/** Peers in other zones may reach the store when this entry does not. */
void EntryNode::askPeersForEvidence()
{
    if (m_configuration.hearsStore())
        return;
    const Instant askedAt = m_timers.now();
    for (const Member &member : m_members.alive(askedAt)) {
        m_peers.call(member.heartbeat.address, ControlCall{"evidence", {}}, {},
                     EvidenceCallTimeout, [this, askedAt](PeerResult result) {
                         onControl([this, askedAt, result = std::move(result)] {
                             const auto *reply = std::get_if<ControlReply>(&result.message);
                             if (result.outcome != PeerResult::Answered || !reply)
                                 return;
                             const Json json = parseJson(reply->body);
                             const Duration age(json.at("age_ms").get<int64_t>());
                             if (age.count() >= 0) {
                                 m_configuration.takeEvidence(
                                         Revision(json.at("revision").get<uint64_t>()),
                                         askedAt - age);
                             }
                         });
                     });
    }
}

void EntryNode::updatePeers()
{
    std::vector<LookupPeer> peers;
    const auto &out = configuration().zonesOut;
    for (const Member &member : m_members.alive(m_timers.now())) {
        const Heartbeat &beat = member.heartbeat;
        if (beat.leaving || beat.shards.empty() || out.contains(beat.zone))
            continue;
        uint32_t free = 0;
        for (const ShardSummary &shard : beat.shards)
            free += shard.freeSlots;
        peers.push_back({beat.address, beat.zone == m_settings.zone, free});
    }
    m_router.setPeers(std::move(peers));
}

/** @return how long a former holder's requests may still occupy slots. */
Duration EntryNode::slotQuarantine() const
{
    Duration longest{0};
    for (const auto &[id, queue] : configuration().queues)
        longest = std::max(longest, Duration(queue.timeoutMs));
    return longest;
}

void EntryNode::updateSlots()
{
    const Instant now = m_timers.now();
    std::vector<SlotTarget> targets;
    const bool isOut = configuration().zonesOut.contains(m_settings.zone);
    const Duration quarantine = slotQuarantine();
    for (const ShardKeeper *keeper : m_ownership.keepers()) {
        if (isOut || m_leaving)
            break;
        for (const HeldWorker &worker : keeper->pool().heldWorkers()) {
            const WorkerInfo &info = worker.info;
            if (info.slots == 0 || info.leaving)
                continue;
            targets.push_back({info.id, info.url, std::min(info.slots, info.connections),
                               worker.epoch, worker.since + quarantine, worker.until});
        }
    }
    m_slots.setTargets(targets);
    m_slots.expire(now);
}

} // namespace Cranberrymount
