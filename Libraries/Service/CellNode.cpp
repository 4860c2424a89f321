#include "Service/CellNode.h"

#include "Transport/BootClock.h"

#include <glog/logging.h>

#include <algorithm>
#include <random>

namespace Cranberrymount {

namespace {

constexpr Duration TickInterval{50};
constexpr Duration HeartbeatInterval{200};
/** Calls wait for a leader until the node has had none for this long: an election takes about a
 * second, and a refused client would retry no sooner. */
constexpr Duration MaxLeaderAbsence{1500};
/** The same for a node that stops, which may end before an election is over: a leader that stops,
 * too, has handed its claim over by then. */
constexpr Duration MaxLeaderAbsenceWhenStopping{500};
/** Time after which clients may retry if there is no leader: an election takes about a second.
 * Spread over another second to avoid a burst of retries. */
constexpr Duration NoLeaderRetryDelay{1000};
constexpr double NoLeaderRetrySpreadMs = 1000;
/** Timeout of a call for which the client gives none. */
constexpr Duration DefaultCallTimeout{3000};
/** Shorter suspensions are not logged: they delay the node no more than a busy machine does. */
constexpr Duration SuspensionThreshold{300};
/** After a store outage of this length a leader offers its claim to one peer after the other. */
constexpr Duration StoreOutageBeforeOffer{250};
/** Time between two offers during a store outage. */
constexpr Duration StoreOutageOfferInterval{300};
/** How often a leader that is weaker than a follower offers its claim. */
constexpr Duration StrongerNodeOfferInterval{1000};
/** How long a leader that stops waits for a follower to take its claim before it asks the next. */
constexpr Duration TransferInterval{200};
constexpr uint32_t MaxTransferOffers = 4;
/** Time between two log lines about the load of the process; longer on followers. */
constexpr Duration LeaderLoadInterval{1000};
constexpr Duration FollowerLoadInterval{5000};
/** Links with less bandwidth, in Mbit/s, may be too narrow for the messages of a leader of some
 * hundred workers. */
constexpr double NarrowLinkBandwidth = 50;
/** Part of the descriptors that peers' links without a greeting may take. */
constexpr std::size_t UnidentifiedLinksDivisor = 8;

} // namespace

CellNode::CellNode(asio::io_context &context, CellSettings settings, Platform platform)
    : m_settings(std::move(settings))
    , m_platform(platform)
    , m_timers(context)
    , m_logLimiter(m_timers)
    , m_random(pcg_extras::seed_seq_from<std::random_device>())
    , m_storeResends(m_timers)
    , m_adviceScheduler(m_timers)
    , m_workerConnections(m_platform.commands, m_timers, m_logLimiter, [this] { return random(); })
    , m_commandRelay(m_workerConnections, m_timers)
    , m_peers(context, m_timers, {m_settings.node, m_settings.processor, m_settings.zone},
              m_settings.peer,
              {.clientCall =
                   [this](ClientCall call, ClientResponder respond) {
                       if (m_scheduler)
                           return m_scheduler->handle(std::move(call), std::move(respond));
                       ClientReply reply;
                       reply.outcome = ClientReply::Isolated;
                       reply.retryAfter = NoLeaderRetryDelay;
                       reply.detail = "this node is no longer the leader";
                       respond(reply);
                   },
               .advice =
                   [this](AdviceCall call, std::function<void(AdviceReply)> done) {
                       m_platform.advisor.ask(std::move(call), std::move(done));
                   },
               .vote = [this](Revision claim) { return m_leadership.votesAgainst(claim); },
               .handOver = [this](const HandOverMessage &offer) { m_leadership.takeOver(offer); },
               .announced =
                   [this](const AnnouncementMessage &announcement) {
                       m_leadership.handleAnnouncement(announcement);
                   },
               .leftoverEnds =
                   [this](const std::vector<RunEnded> &ends) {
                       if (m_scheduler)
                           m_scheduler->adoptEnds(ends);
                   },
               .commands = &m_workerConnections,
               .followerJoined =
                   [this](const EntryId &node) {
                       LOG(INFO) << "event=follower_joined node=" << node.value();
                       // Sent before any command, so that the follower can detect late commands.
                       m_peers.sendHeartbeat(node, heartbeatMessage());
                       m_commandRelay.addForwarder(node, m_peers.forwarder(node));
                       m_adviceScheduler.addCaller(
                           node,
                           [this, node](AdviceCall call, std::function<void(AdviceReply)> done) {
                               m_peers.askAdvice(node, std::move(call), std::move(done));
                           });
                   },
               .followerLeft =
                   [this](const EntryId &node) {
                       LOG(INFO) << "event=follower_left node=" << node.value();
                       m_adviceScheduler.removeCaller(node);
                       m_commandRelay.removeForwarder(node);
                   }},
              std::min(PeerHub::MaxUnidentifiedLinks,
                       m_settings.maxDescriptors / UnidentifiedLinksDivisor))
    , m_leadership(m_platform.store, m_timers, m_storeResends, m_peers,
                   {m_settings.node, m_settings.peer, m_settings.processor},
                   [this] { return random(); },
                   {[this](Revision claim, Instant heldAt) { becomeLeader(claim, heldAt); },
                    [this] { becomeFollower(); },
                    [this] {
                        if (m_scheduler)
                            m_scheduler->doubtClaim();
                    }})
{
    if (m_settings.linkBandwidth < NarrowLinkBandwidth)
        m_peers.compressFollowerLinks();
    m_adviceScheduler.addCaller(m_settings.node,
                                [this](AdviceCall call, std::function<void(AdviceReply)> done) {
                                    m_platform.advisor.ask(std::move(call), std::move(done));
                                });
}

CellNode::~CellNode()
{
    m_heldCalls.clear();
}

void CellNode::start()
{
    suspendedSinceLastCall();
    m_loadLoggedAt = m_timers.now();
    m_processorTimeAtLastLog = readSystemClock(CLOCK_PROCESS_CPUTIME_ID);
    m_leaderSeenAt = m_timers.now();
    m_leadership.begin();
    tick();
    beat();
}

double CellNode::random()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

WallTime CellNode::wallNow() const
{
    return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
}

Duration CellNode::suspendedSinceLastCall()
{
    // The boot clock counts the time in which the machine is suspended, the steady clock does not.
    const auto suspended = readSystemClock(CLOCK_BOOTTIME) - readSystemClock(CLOCK_MONOTONIC);
    const auto since = suspended - m_suspendedTotal;
    m_suspendedTotal = suspended;
    return std::chrono::duration_cast<Duration>(since);
}

void CellNode::becomeLeader(Revision claim, Instant claimHeldAt)
{
    CellScheduler::Dependencies dependencies{
        m_platform.store,
        m_storeResends,
        m_platform.operators,
        m_commandRelay,
        m_adviceScheduler,
        m_timers,
        [this] { return wallNow(); },
        m_logLimiter,
        [this](const std::string &name, double by) { m_metrics.count(name, by); },
        [this] { heartbeat(); }};
    m_scheduler = std::make_unique<CellScheduler>(
        std::move(dependencies),
        CellTerms{m_settings.workerLease, m_settings.statusRetention, m_settings.gangWait,
                  m_settings.configApply, m_settings.remoteFactor},
        claim, claimHeldAt, [this] { m_leadership.stepDown(); });
    m_scheduler->recover();
    m_scheduler->adoptEnds(m_leftoverEnds);
}

void CellNode::becomeFollower()
{
    m_leftoverEnds = m_scheduler->unwrittenEnds();
    m_endsForwardedTo = Revision();
    // The next leader needs the connections: a worker takes a limited number from all nodes.
    m_scheduler->abandon();
    m_workerConnections.closeConnections();
    // A later tick destroys the scheduler, since one of its functions may be on the stack.
    m_retiredSchedulers.push_back(std::move(m_scheduler));
    // Reports the loss of leadership, so that followers need not wait until heartbeats are missing.
    m_peers.broadcast(heartbeatMessage());
}

bool CellNode::hasLeader() const
{
    if (m_scheduler)
        return m_scheduler->isReady();
    // A network partition leaves the link open, so the last heartbeat must be recent, too.
    return m_peers.isLinked() && m_peers.heartbeat() && m_peers.heartbeat()->isReady
        && m_timers.now() - m_peers.heartbeatAt() < PeerHub::HeartbeatTimeout;
}

bool CellNode::isReady() const
{
    return !m_isRetiring && hasLeader();
}

void CellNode::handle(ClientCall call, Duration timeout, ClientResponder respond)
{
    const Instant now = m_timers.now();
    m_metrics.count("calls", 1);
    const auto respondAndRecord = [this, now, respond = std::move(respond)](ClientReply reply) {
        m_metrics.observe("call_seconds", m_timers.now() - now);
        m_metrics.count("replies_" + std::to_string(reply.outcome), 1);
        countStopReply(reply.outcome);
        respond(std::move(reply));
    };
    const uint64_t id = m_nextCall++;
    m_heldCalls.emplace(id, HeldCall{call.kind, call.path, respondAndRecord});
    // A scheduler that loses its claim drops the responders of calls that it has not finished.
    const std::shared_ptr<void> dropGuard(nullptr, [this, id](void *) { answerUndetermined(id); });
    const auto respondOnce = [this, id, dropGuard](ClientReply reply) {
        const auto held = m_heldCalls.extract(id);
        if (!held.empty())
            held.mapped().respond(std::move(reply));
    };
    const Duration limit = timeout.count() > 0 ? timeout : DefaultCallTimeout;
    route({std::move(call), respondOnce, now + limit, false});
}

void CellNode::answerUndetermined(uint64_t call)
{
    const auto held = m_heldCalls.extract(call);
    if (held.empty())
        return;
    WaitingCall waiting;
    waiting.call.kind = held.mapped().kind;
    waiting.call.path = held.mapped().path;
    waiting.respond = held.mapped().respond;
    waiting.wasSent = true;
    refuse(waiting);
}

void CellNode::countStopReply(ClientReply::Outcome outcome)
{
    if (!m_isRetiring)
        return;
    if (outcome == ClientReply::Undetermined)
        ++m_stopCounts.undetermined;
    else if (isRefusal(outcome))
        ++m_stopCounts.refused;
    else
        ++m_stopCounts.served;
    const StopCounts counts = stopCounts();
    m_metrics.set("stop_served", static_cast<double>(counts.served));
    m_metrics.set("stop_refused", static_cast<double>(counts.refused));
    m_metrics.set("stop_undetermined", static_cast<double>(counts.undetermined));
    m_metrics.set("stop_left", static_cast<double>(counts.left));
}

CellNode::StopCounts CellNode::stopCounts() const
{
    StopCounts counts = m_stopCounts;
    counts.left = m_heldCalls.size();
    return counts;
}

void CellNode::answerHeldCalls()
{
    m_isEnding = true;
    // Calls that were sent to the leader return to the waiting ones.
    m_peers.follow(std::nullopt);
    for (const WaitingCall &waiting : std::exchange(m_waitingCalls, {}))
        refuse(waiting);
    // This node's own scheduler, or an earlier one, has the others.
    while (!m_heldCalls.empty())
        answerUndetermined(m_heldCalls.begin()->first);
}

void CellNode::route(WaitingCall waiting)
{
    if (m_isEnding)
        return refuse(waiting);
    if (m_scheduler && m_scheduler->isReady()) {
        const auto shared = std::make_shared<WaitingCall>(std::move(waiting));
        return m_scheduler->handle(shared->call, [this, shared](ClientReply reply) {
            if (reply.outcome == ClientReply::Isolated)
                return awaitNextLeader(std::move(*shared));
            shared->answer(std::move(reply));
        });
    }
    if (!m_scheduler && hasLeader())
        return sendToLeader(std::move(waiting));
    m_waitingCalls.push_back(std::move(waiting));
}

void CellNode::sendToLeader(WaitingCall waiting)
{
    const Instant now = m_timers.now();
    const auto timeout =
        std::max(std::chrono::duration_cast<Duration>(waiting.deadline - now), Duration(1));
    const auto shared = std::make_shared<WaitingCall>(std::move(waiting));
    m_peers.callLeader(shared->call, timeout, [this, shared](ClientReply reply) {
        if (reply.outcome == ClientReply::Isolated)
            return awaitNextLeader(std::move(*shared));
        if (reply.outcome != ClientReply::Undetermined)
            return shared->answer(std::move(reply));
        // The call can be repeated at the next leader: the job's id makes it take effect only once.
        shared->wasSent = true;
        awaitNextLeader(std::move(*shared));
    });
}

void CellNode::awaitNextLeader(WaitingCall waiting)
{
    const Instant now = m_timers.now();
    if (m_isEnding || now >= waiting.deadline)
        return refuse(waiting);
    m_waitingCalls.push_back(std::move(waiting));
}

void CellNode::refuse(const WaitingCall &waiting)
{
    ClientReply reply;
    const bool mayHaveRun = waiting.mayHaveRun();
    reply.outcome = mayHaveRun ? ClientReply::Undetermined : ClientReply::Isolated;
    if (!mayHaveRun)
        reply.retryAfter =
            NoLeaderRetryDelay + Duration(static_cast<int64_t>(random() * NoLeaderRetrySpreadMs));
    reply.detail = mayHaveRun ? "the scheduler did not answer" : "no scheduler can be reached";
    LOG_EVENT(m_logLimiter, "call_refused")
        << "path=" << waiting.call.path << " kind=" << static_cast<int>(waiting.call.kind)
        << " may_have_run=" << mayHaveRun << " linked=" << m_peers.isLinked()
        << " claim=" << m_leadership.claim().value();
    waiting.respond(std::move(reply));
}

void CellNode::tick()
{
    m_retiredSchedulers.clear();
    if (suspendedSinceLastCall() > SuspensionThreshold)
        LOG(WARNING) << "event=suspended";
    std::deque<WaitingCall> waiting;
    waiting.swap(m_waitingCalls);
    const Instant now = m_timers.now();
    if (hasLeader())
        m_leaderSeenAt = now;
    const Duration maxAbsence = m_isRetiring ? MaxLeaderAbsenceWhenStopping : MaxLeaderAbsence;
    for (WaitingCall &waitingCall : waiting) {
        if (hasLeader())
            route(std::move(waitingCall));
        else if (now >= std::min(m_leaderSeenAt + maxAbsence, waitingCall.deadline))
            refuse(waitingCall);
        else
            m_waitingCalls.push_back(std::move(waitingCall));
    }
    offerLeadership();
    forwardLeftoverEnds();
    if (now - m_loadLoggedAt >= (m_scheduler ? LeaderLoadInterval : FollowerLoadInterval))
        logLoad();
    m_timers.after(TickInterval, [this] { tick(); });
}

void CellNode::logLoad()
{
    const Instant now = m_timers.now();
    const auto processor = readSystemClock(CLOCK_PROCESS_CPUTIME_ID);
    const WorkerConnections::Counts connections = m_workerConnections.counts();
    const std::size_t openConnections = m_workerConnections.connectionCount();
    m_metrics.set("peer_links_unidentified_closed",
                  static_cast<double>(m_peers.closedUnidentifiedLinks()));
    m_metrics.set("worker_connections_open", static_cast<double>(openConnections));
    m_metrics.set("worker_connections_refused", static_cast<double>(connections.refused));
    m_metrics.set("worker_connections_reset", static_cast<double>(connections.reset));
    m_metrics.set("worker_commands_unsent", static_cast<double>(connections.unsent));
    m_metrics.set("workers_full", static_cast<double>(connections.fullWorkers));
    LOG(INFO) << "event=node_load leads=" << (m_scheduler != nullptr)
              << " over_ms=" << std::chrono::duration_cast<Duration>(now - m_loadLoggedAt).count()
              << " processor_ms="
              << std::chrono::duration_cast<Duration>(processor - m_processorTimeAtLastLog).count()
              << " calls_waiting=" << m_waitingCalls.size()
              << " connections_open=" << openConnections
              << " connections_refused=" << connections.refused
              << " connections_reset=" << connections.reset
              << " commands_unsent=" << connections.unsent
              << " workers_full=" << connections.fullWorkers;
    m_loadLoggedAt = now;
    m_processorTimeAtLastLog = processor;
}

void CellNode::offerLeadership()
{
    const Instant now = m_timers.now();
    if (!m_scheduler || m_isRetiring || now - m_offeredAt < StoreOutageOfferInterval)
        return;
    // The store may still respond to some peer: offer to one after the other.
    if (m_scheduler->storeOutageDuration() >= StoreOutageBeforeOffer) {
        m_offeredAt = now;
        return offerLeadershipTo(m_nextOffer++, true);
    }
    if (now - m_offeredAt < StrongerNodeOfferInterval || !m_peers.hasStrongerFollower())
        return;
    m_offeredAt = now;
    offerLeadershipToStrongest();
}

void CellNode::offerLeadershipToStrongest()
{
    const std::size_t strongest = strongestCount(m_peers.followers());
    if (strongest > 0)
        offerLeadershipTo(m_random() % strongest, false);
}

void CellNode::offerLeadershipTo(std::size_t index, bool isStoreUnresponsive)
{
    const std::vector<LeaderCandidate> followers = m_peers.followers();
    if (followers.empty())
        return;
    const EntryId &node = followers[index % followers.size()].node;
    LOG(INFO) << "event=claim_offered to=" << node.value()
              << " claim=" << m_leadership.claim().value();
    m_peers.sendHandOver(node, {m_leadership.claim(), isStoreUnresponsive});
}

void CellNode::forwardLeftoverEnds()
{
    const auto &beat = m_peers.heartbeat();
    if (m_leftoverEnds.empty() || !m_peers.isLinked() || !beat || beat->claim == m_endsForwardedTo)
        return;
    m_endsForwardedTo = beat->claim;
    LOG(INFO) << "event=ends_passed_on count=" << m_leftoverEnds.size()
              << " claim=" << beat->claim.value();
    m_peers.sendLeftoverEnds(m_leftoverEnds);
}

HeartbeatMessage CellNode::heartbeatMessage() const
{
    if (!m_scheduler)
        return {};
    return {m_leadership.claim(), m_scheduler->timeSinceStoreConfirmation(),
            m_scheduler->isReady()};
}

void CellNode::heartbeat()
{
    if (m_scheduler)
        m_peers.broadcast(heartbeatMessage());
}

void CellNode::beat()
{
    heartbeat();
    m_timers.after(HeartbeatInterval, [this] { beat(); });
}

void CellNode::retire(std::function<void()> done)
{
    m_isRetiring = true;
    m_stopCounts.held = m_heldCalls.size();
    m_metrics.set("stop_held", static_cast<double>(m_stopCounts.held));
    m_leadership.retire();
    m_peers.retire();
    if (!m_scheduler)
        return done();
    m_scheduler->quiesce([this, done = std::move(done)] { transferLeadership(0, done); });
}

void CellNode::transferLeadership(uint32_t offers, std::function<void()> done)
{
    if (!m_scheduler)
        return done();
    if (offers == MaxTransferOffers) {
        m_leadership.stepDown();
        return done();
    }
    offerLeadershipTo(offers, false);
    m_timers.after(TransferInterval, [this, offers, done = std::move(done)] {
        transferLeadership(offers + 1, done);
    });
}

} // namespace Cranberrymount
