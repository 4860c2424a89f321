#include "Coordination/ControlPlane.h"

#include "Coordination/JobViewJson.h"
#include "Protocol/Json.h"
#include "Protocol/ProtocolError.h"

#include <xxhash.h>

namespace Cranberrymount {

namespace {

constexpr Duration ControlCallTimeout{2500};
constexpr Duration EvidenceCallTimeout{1000};
/** Heartbeats that may be missed before a member counts as unresponsive. */
constexpr int MissedHeartbeats = 3;

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

ControlPlane::ControlPlane(Store &store, WorkerLink &workers, PeerNetwork &peers,
                           TimerService &timers, Settings settings)
    : m_peers(peers)
    , m_timers(timers)
    , m_settings(std::move(settings))
    , m_members(self(), m_settings.heartbeatPeriod * MissedHeartbeats)
    , m_configuration(store, timers, self(), m_settings.configuration)
    , m_ownership(store, workers, timers, *this, m_members, m_settings.ownership)
{
    for (const Endpoint &peer : m_settings.peers) {
        if (peer != address())
            m_members.addAddress(peer);
    }
    m_configuration.onChange([this] {
        m_ownership.configurationChanged();
        if (m_onConfigurationChange)
            m_onConfigurationChange();
    });
}

void ControlPlane::start()
{
    m_configuration.start();
    m_ownership.start();
    beat();
    m_timers.every(m_settings.heartbeatPeriod, [this] { beat(); });
}

void ControlPlane::announceLeaving()
{
    m_leaving = true;
    beat();
}

void ControlPlane::releaseAll(std::function<void()> done)
{
    m_ownership.releaseAll(
        [this, done = std::move(done)]() mutable { m_configuration.leave(std::move(done)); });
}

void ControlPlane::setListed(InstanceListVersion version, const std::vector<WorkerInfo> &workers)
{
    m_listedShards.clear();
    for (const WorkerInfo &worker : workers)
        m_listedShards.insert(shardOf(worker));
    m_ownership.setListed(version, workers,
                          [this](const WorkerInfo &worker) { return shardOf(worker); });
}

std::vector<Member> ControlPlane::members() const
{
    return m_members.alive(m_timers.now());
}

void ControlPlane::addMethod(const std::string &name,
                             std::function<std::string(const std::string &)> answer)
{
    m_methods[name] = std::move(answer);
}

void ControlPlane::setStatusExtra(std::function<void(Json &)> extra)
{
    m_statusExtra = std::move(extra);
}

void ControlPlane::onConfigurationChange(std::function<void()> callback)
{
    m_onConfigurationChange = std::move(callback);
}

const Configuration &ControlPlane::configuration() const
{
    return *m_configuration.configuration();
}

bool ControlPlane::isConfigurationFresh() const
{
    return m_configuration.isFresh();
}

ShardId ControlPlane::shardOf(const WorkerInfo &worker) const
{
    const std::string &rack = worker.rack.value();
    const uint64_t part = XXH64(rack.data(), rack.size(), 0) % m_settings.shardsPerZone;
    return ShardId(worker.zone.value() + "." + std::to_string(part));
}

std::vector<ShardCandidate> ControlPlane::shardCandidates(bool withOwn) const
{
    const auto &unavailableZones = configuration().zonesOutOfService;
    std::vector<ShardCandidate> found;
    if (withOwn && !unavailableZones.contains(zone())) {
        for (const ShardController *controller : m_ownership.controllers()) {
            const ShardStatus status = controller->status();
            if (status.isActive) {
                found.push_back({status.shard, zone(), true, status.free,
                                 static_cast<uint32_t>(status.waiting)});
            }
        }
    }
    for (const Member &member : m_members.alive(m_timers.now())) {
        const Heartbeat &beat = member.heartbeat;
        if (beat.leaving || unavailableZones.contains(beat.zone))
            continue;
        for (const ShardSummary &shard : beat.shards) {
            if (shard.active) {
                found.push_back(
                    {shard.shard, beat.zone, beat.zone == zone(), shard.free, shard.waitingTasks});
            }
        }
    }
    return found;
}

std::vector<ShardCandidate> ControlPlane::otherShards() const
{
    return shardCandidates(false);
}

std::optional<ShardId> ControlPlane::chooseHomeFor(const Resources &perTask, uint32_t tasks) const
{
    return chooseHome(shardCandidates(true), perTask, tasks);
}

void ControlPlane::offerMove(const ShardId &from, const OutgoingMove &move,
                             std::function<void(MoveOutcome)> done)
{
    const Json body = {{"shard", move.target.value()},
                       {"from", from.value()},
                       {"sequence", move.sequence},
                       {"portion", move.portion}};
    callOwner(move.target, {"adopt", body.dump()}, {},
              [done = std::move(done)](const PeerResult &result) {
                  const auto *reply = std::get_if<ControlReply>(&result.message);
                  const bool isAccepted =
                      result.outcome == PeerResult::Answered && reply && reply->status == 200;
                  done(isAccepted ? MoveOutcome::Accepted : MoveOutcome::Unknown);
              });
}

void ControlPlane::callOwner(const ShardId &shard, const ControlCall &call,
                             const std::string &trace, std::function<void(PeerResult)> done)
{
    if (m_ownership.controller(shard)) {
        return control(call, [done = std::move(done)](ControlReply reply) {
            done({PeerResult::Answered, std::move(reply)});
        });
    }
    const auto owner = m_members.ownerOf(shard, m_timers.now());
    if (!owner)
        return done({PeerResult::NotSent, {}});
    m_peers.call(owner->heartbeat.address, call, trace, ControlCallTimeout, std::move(done));
}

void ControlPlane::gather(const ControlCall &call, const std::string &trace,
                          std::function<void(GatheredReplies)> done)
{
    struct Collection
    {
        GatheredReplies gathered;
        std::size_t remaining = 1;
        std::function<void(GatheredReplies)> done;
    };
    auto collection = std::make_shared<Collection>();
    collection->done = std::move(done);
    const auto finished = [collection] {
        if (--collection->remaining == 0)
            collection->done(std::move(collection->gathered));
    };
    const auto alive = members();
    collection->remaining += alive.size();
    for (const Member &member : alive) {
        m_peers.call(member.heartbeat.address, call, trace, ControlCallTimeout,
                     [collection, finished, id = member.heartbeat.from](const PeerResult &result) {
                         const auto *reply = std::get_if<ControlReply>(&result.message);
                         if (result.outcome == PeerResult::Answered && reply
                             && Json::accept(reply->body))
                             collection->gathered.replies.push_back({id, *reply});
                         else
                             collection->gathered.unresponsive.push_back(id);
                         finished();
                     });
    }
    control(call, [this, collection, finished](ControlReply reply) {
        collection->gathered.replies.push_back({self(), std::move(reply)});
        finished();
    });
}

/**
 * Cancels in two rounds. The first finds the job. In the second every shard remembers the
 * cancellation, so that tasks in transit during the first are cancelled where they arrive; shards
 * may remember only jobs that exist.
 */
void ControlPlane::cancelJob(Cancellation wanted, const std::string &trace,
                             std::function<void(CancelOutcome)> done)
{
    wanted.known = false;
    runCancelRound(wanted, trace,
                   [this, wanted, trace, done = std::move(done)](auto outcome) mutable {
                       if (outcome != CancelOutcome::Cancelled)
                           return done(outcome);
                       wanted.known = true;
                       runCancelRound(wanted, trace, std::move(done));
                   });
}

void ControlPlane::runCancelRound(const Cancellation &wanted, const std::string &trace,
                                  std::function<void(CancelOutcome)> done)
{
    const Json body = {
        {"job", wanted.job.value()}, {"team", wanted.team.value()}, {"known", wanted.known}};
    gather(
        {"cancel", body.dump()}, trace,
        [this, isFound = wanted.known, done = std::move(done)](const GatheredReplies &all) mutable {
            std::set<ShardId> missing = m_listedShards;
            bool isRecorded = all.unresponsive.empty();
            for (const GatheredReply &reply : all.replies) {
                isRecorded = isRecorded && reply.reply.status == 200;
                const Json answer = parseJson(reply.reply.body);
                isFound = isFound || answer.value("found", false);
                for (const Json &shard : answer.value("shards", Json::array()))
                    missing.erase(ShardId(shard.get<std::string>()));
            }
            // A shard that has no owner at present may hold tasks of the job.
            if (!isRecorded || !missing.empty())
                return done(CancelOutcome::Unknown);
            done(isFound ? CancelOutcome::Cancelled : CancelOutcome::NoSuchJob);
        });
}

std::vector<ShardId> ControlPlane::shardsWithoutOwner() const
{
    std::vector<ShardId> unowned;
    for (const ShardId &shard : m_listedShards) {
        if (!m_ownership.controller(shard) && !m_members.ownerOf(shard, m_timers.now()))
            unowned.push_back(shard);
    }
    return unowned;
}

void ControlPlane::recordHeartbeat(const Heartbeat &beat)
{
    m_members.recordHeartbeat(beat, m_timers.now());
    m_configuration.recordHeartbeat(beat.from);
    m_configuration.readIfNewer(beat.configRevision);
}

void ControlPlane::control(const ControlCall &call, std::function<void(ControlReply)> reply)
{
    try {
        if (call.method == "admit")
            return handleAdmit(call.body, std::move(reply));
        if (call.method == "cancel")
            return handleCancel(call.body, std::move(reply));
        if (call.method == "adopt")
            return handleAdopt(call.body, std::move(reply));
        if (call.method == "job")
            return reply({200, localJobViews(call.body)});
        if (call.method == "jobs")
            return reply({200, localJobSummaries()});
        if (call.method == "status")
            return reply({200, localStatus()});
        if (call.method == "evidence")
            return reply({200, answerEvidence(call.body)});
        if (call.method == "configuration")
            return reply({200, Json(configuration()).dump()});
        const auto added = m_methods.find(call.method);
        if (added != m_methods.end())
            return reply({200, added->second(call.body)});
        reply({404, "unknown method " + call.method});
    } catch (const ProtocolError &error) {
        reply({400, error.what()});
    } catch (const Json::exception &error) {
        reply({400, error.what()});
    }
}

void ControlPlane::handleAdmit(const std::string &body, std::function<void(ControlReply)> reply)
{
    const Json json = parseJson(body);
    ShardController *controller =
        m_ownership.controller(ShardId(json.at("shard").get<std::string>()));
    if (!controller)
        return reply({200, outcomeName(AdmissionOutcome::NotRun)});
    controller->admit(fromJson<JobSpec>(json.at("spec")),
                      [reply = std::move(reply)](AdmissionOutcome outcome) {
                          reply({200, outcomeName(outcome)});
                      });
}

void ControlPlane::handleCancel(const std::string &body, std::function<void(ControlReply)> reply)
{
    struct Collection
    {
        std::size_t remaining = 1;
        bool isRecorded = true;
        Json answer = {{"found", false}, {"shards", Json::array()}};
    };
    const Json json = parseJson(body);
    const Cancellation wanted{JobId(json.at("job").get<std::string>()),
                              TeamId(json.at("team").get<std::string>()),
                              json.at("known").get<bool>()};
    auto collection = std::make_shared<Collection>();
    const auto finished = [collection, reply = std::move(reply)](bool wasRecorded) {
        collection->isRecorded = collection->isRecorded && wasRecorded;
        if (--collection->remaining == 0)
            reply({collection->isRecorded ? 200 : 503, collection->answer.dump()});
    };
    for (ShardController *controller : m_ownership.controllers()) {
        ++collection->remaining;
        collection->answer["shards"].push_back(controller->shard().value());
        if (controller->cancel(wanted, finished))
            collection->answer["found"] = true;
    }
    finished(true);
}

void ControlPlane::handleAdopt(const std::string &body, std::function<void(ControlReply)> reply)
{
    const Json json = parseJson(body);
    OutgoingMove move;
    move.sequence = json.at("sequence").get<uint64_t>();
    move.target = ShardId(json.at("shard").get<std::string>());
    move.portion = fromJson<JobPortion>(json.at("portion"));
    ShardController *controller = m_ownership.controller(move.target);
    if (!controller)
        return reply({503, "not the owner"});
    controller->acceptMove(ShardId(json.at("from").get<std::string>()), move,
                           [reply = std::move(reply)](MoveOutcome answer) {
                               reply({answer == MoveOutcome::Accepted ? 200 : 503, {}});
                           });
}

std::string ControlPlane::localJobViews(const std::string &id) const
{
    Json views = Json::array();
    for (const ShardController *controller : m_ownership.controllers()) {
        if (const auto view = controller->job(JobId(id)))
            views.push_back(encodeJobView(*view));
    }
    return views.dump();
}

std::string ControlPlane::localJobSummaries() const
{
    Json summaries = Json::array();
    for (const ShardController *controller : m_ownership.controllers()) {
        for (const JobView &view : controller->jobs())
            summaries.push_back(summarizeJobView(view));
    }
    return summaries.dump();
}

std::string ControlPlane::localStatus() const
{
    Json shards = Json::array();
    for (const ShardController *controller : m_ownership.controllers())
        shards.push_back(encodeShardStatus(controller->status(), zone()));
    const auto age = m_configuration.evidenceAge();
    Json status = {{"entry", self().value()},
                   {"zone", zone().value()},
                   {"configuration_revision", configuration().revision.value()},
                   {"evidence_age_ms", age ? age->count() : -1},
                   {"fresh", m_configuration.isFresh()},
                   {"leaving", m_leaving},
                   {"shards", shards}};
    if (m_statusExtra)
        m_statusExtra(status);
    return status.dump();
}

/**
 * Answers a peer's request for freshness evidence. If the store does not answer this entry either,
 * it also vouches for the configuration: it promises to make no change for a fixed time.
 */
std::string ControlPlane::answerEvidence(const std::string &body)
{
    const Json question = parseJson(body);
    const bool isVouched =
        m_configuration.vouchFor(EntryId(question.at("from").get<std::string>()));
    const auto age = m_configuration.evidenceAge();
    Json answer = {{"revision", configuration().revision.value()},
                   {"age_ms", age ? age->count() : -1},
                   {"vouched", isVouched}};
    if (question.at("revision").get<uint64_t>() < configuration().revision.value())
        answer["configuration"] = configuration();
    return answer.dump();
}

Heartbeat ControlPlane::heartbeat() const
{
    Heartbeat beat;
    beat.from = self();
    beat.zone = zone();
    beat.address = address();
    beat.leaving = m_leaving;
    beat.configRevision = configuration().revision;
    beat.evidenceAge = m_configuration.evidenceAge();
    for (const ShardController *controller : m_ownership.controllers()) {
        const ShardStatus status = controller->status();
        beat.shards.push_back({status.shard, status.epoch, status.isActive, status.free,
                               static_cast<uint32_t>(status.waiting), 0});
    }
    if (!beat.shards.empty())
        beat.shards.front().freeSlots = m_freeSlots;
    return beat;
}

void ControlPlane::beat()
{
    const Heartbeat ownHeartbeat = heartbeat();
    for (const Endpoint &address : m_members.addresses(m_timers.now()))
        m_peers.send(address, ownHeartbeat);
    askPeersForEvidence();
}

/**
 * Asks peers for freshness evidence, since those in other zones may reach the store when this entry
 * cannot. Members that have not acknowledged this entry are always asked, since it may change the
 * configuration only once all have.
 */
void ControlPlane::askPeersForEvidence()
{
    const Instant askedAt = m_timers.now();
    const bool isStoreResponding = m_configuration.isStoreResponding();
    const Json question = {{"from", self().value()},
                           {"revision", configuration().revision.value()}};
    for (const Member &member : members()) {
        const EntryId peer = member.heartbeat.from;
        if (isStoreResponding && m_configuration.vouches().isAcknowledgedBy(peer))
            continue;
        m_peers.call(member.heartbeat.address, ControlCall{"evidence", question.dump()}, {},
                     EvidenceCallTimeout, [this, peer, askedAt](const PeerResult &result) {
                         applyPeerEvidence(peer, result, askedAt);
                     });
    }
}

void ControlPlane::applyPeerEvidence(const EntryId &peer, const PeerResult &result, Instant askedAt)
{
    const auto *reply = std::get_if<ControlReply>(&result.message);
    if (result.outcome != PeerResult::Answered || !reply || reply->status != 200)
        return;
    const Json json = parseJson(reply->body);
    const Revision revision(json.at("revision").get<uint64_t>());
    const Duration age(json.at("age_ms").get<int64_t>());
    m_configuration.vouches().recordAcknowledgement(peer, askedAt);
    if (json.contains("configuration")) {
        auto newer = fromJson<Configuration>(json.at("configuration"));
        newer.revision = revision;
        m_configuration.applyConfiguration(std::move(newer));
    }
    if (json.at("vouched").get<bool>())
        m_configuration.vouches().recordVouch(peer, revision, askedAt);
    if (age.count() >= 0)
        m_configuration.applyEvidence(revision, askedAt - age);
}

} // namespace Cranberrymount
