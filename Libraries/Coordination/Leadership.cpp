#include "Coordination/Leadership.h"

#include "Coordination/Journal.h"
#include "Coordination/RepeatedCall.h"
#include "Protocol/ProtocolError.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace Cranberrymount {

namespace {

using Json = nlohmann::json;

const std::string MemberPrefix = "cell/member/";

constexpr Duration TickInterval{50};
/** A leader whose claim the store has not confirmed for this long can accept and start no work.
 * Longer than the timeout of a store call and its first retry, so that one lost response does not
 * cause an election. */
constexpr Duration UnconfirmedLimit{1500};
/** Time that a new link gets to deliver its first heartbeat. */
constexpr Duration LinkGrace{350};
/** A new leader may miss heartbeats for this long while it reads the journal. */
constexpr Duration RecoveryGrace{2000};
/** A leader that has not written its activity for this long does not use the store: an idle leader
 * commits 400 to 500 ms after the response to its last commit, so a store that takes 250 ms leaves
 * a margin of 250 ms for lost responses. */
constexpr Duration InactivityLimit{1000};
/** After two missing heartbeats a follower reads the leader's activity for the first time, so that
 * an election can compare it with a second read after HeartbeatTimeout. */
constexpr Duration WatchDelay{400};
constexpr Duration AwaitPollInterval{20};
/** Interval of announcements to members without a link; members that start or recover while they
 * cannot use the store learn of the leader this way. */
constexpr Duration AnnounceInterval{1000};
/** Crashed members disappear from the member list after this time. */
constexpr Duration MemberLease{8000};
constexpr Duration MemberRenewalInterval{2500};
/** How often a member sends a write of its entry or lease that is not answered. At the worst, the
 * store loses seven in ten; of three renewals in a lease one is then answered almost always. */
constexpr uint32_t MaxMemberCopies = 5;
/** Maximum random pause before an election, so that followers do not all call one at once. */
constexpr double ElectionJitterMs = 80;
constexpr Duration ElectionPause{120};
/** Within this time a leader detects that it can use the store again and its followers learn of it:
 * a probe, a commit and a heartbeat. Keeping the leader costs less than letting a new one read the
 * journal. */
constexpr Duration RegainGrace{250};
/** Head start of stronger nodes in an election: time for two heartbeat polls and the votes. */
constexpr Duration YieldPause{400};
/** A leader that cannot read its claim in this time after an announcement can't use the store. */
constexpr Duration AnnouncementCheckTime{300};
/** A claim is sent again for this long; the next election finds out whether it is still needed. */
constexpr Duration ClaimTime{1000};

std::string encodeMember(const CellMember &member, uint64_t nonce)
{
    return Json{{"node", member.node.value()},
                {"host", member.address.host},
                {"port", member.address.port},
                {"processor", member.processor.value()},
                {"nonce", nonce}}
        .dump();
}

/** @throws ProtocolError or a nlohmann exception if @p value was not made by encodeMember(). */
CellMember decodeMember(const std::string &value)
{
    const Json json = Json::parse(value);
    const auto port = json.at("port").get<int64_t>();
    if (port < 1 || port > UINT16_MAX)
        throw ProtocolError("port of a member entry is not between 1 and 65535");
    // Entries of earlier versions have no "processor" value; such a node counts as weak.
    return {EntryId(json.at("node")),
            {json.at("host"), static_cast<uint16_t>(port)},
            CpuMillis(json.value("processor", int64_t(0)))};
}

/** @return the members in @p read; entries that cannot be parsed are logged and skipped. */
std::vector<CellMember> decodeMembers(const StoreRead &read)
{
    std::vector<CellMember> members;
    for (const StoreEntry &entry : read.entries) {
        try {
            members.push_back(decodeMember(entry.value));
        } catch (const std::exception &error) {
            LOG(ERROR) << "event=member_entry_unreadable key=" << entry.key
                       << " error=" << error.what();
        }
    }
    return members;
}

std::optional<StoreLease> answerOf(const StoreLease &lease)
{
    return lease.answered ? std::optional(lease) : std::nullopt;
}

} // namespace

Leadership::Leadership(TransactionalStore &store, TimerService &timers, ResendPolicy &resends,
                       ElectionPeers &peers, CellMember self, std::function<double()> random,
                       Observer observer)
    : m_store(store)
    , m_timers(timers)
    , m_resends(resends)
    , m_peers(peers)
    , m_self(std::move(self))
    , m_random(std::move(random))
    , m_observer(std::move(observer))
    , m_claimCount(static_cast<uint64_t>(m_random() * 1e15))
{
}

void Leadership::begin()
{
    registerMember();
    tick();
}

/** Takes the first lease that the store names; those of other copies end without any key. */
void Leadership::registerMember()
{
    const auto send = [this](auto done) {
        m_store.createLease(MemberLease,
                            [done](const StoreLease &lease) { done(answerOf(lease)); });
    };
    const auto handle = [this](const std::optional<StoreLease> &lease) {
        if (!lease || !lease->alive)
            return m_timers.after(MemberRenewalInterval, [this] { registerMember(); });
        m_lease = lease->id;
        writeMember();
    };
    RepeatedCall<StoreLease>::begin({m_timers, m_resends, "member_lease", MaxMemberCopies}, send,
                                    handle);
}

/** Writes the entry under the lease that is renewed: a copy with another lease may be executed late
 * and would let the entry expire. Another lease is taken only after this one has ended, and then
 * the store refuses all copies. */
void Leadership::writeMember()
{
    StoreTransaction transaction;
    transaction.puts = {{MemberPrefix + m_self.node.value(), encodeMember(m_self, 0), m_lease}};
    const auto send = [this, transaction = std::move(transaction)](auto done) {
        m_store.commit(transaction, [done](const CommitResult &result) {
            done(result.outcome == CommitResult::Unknown ? std::nullopt : std::optional(result));
        });
    };
    const auto handle = [this](const std::optional<CommitResult> &result) {
        const bool isWritten = result && result->outcome == CommitResult::Committed;
        m_timers.after(MemberRenewalInterval, [this, isWritten] { renewMember(isWritten); });
    };
    RepeatedCall<CommitResult>::begin({m_timers, m_resends, "member_entry", MaxMemberCopies}, send,
                                      handle);
}

void Leadership::renewMember(bool isWritten)
{
    const auto send = [this](auto done) {
        m_store.renewLease(m_lease, [done](const StoreLease &lease) { done(answerOf(lease)); });
    };
    const auto handle = [this, isWritten](const std::optional<StoreLease> &lease) {
        if (lease && !lease->alive)
            return registerMember();
        if (lease && !isWritten)
            return writeMember();
        m_timers.after(MemberRenewalInterval, [this, isWritten] { renewMember(isWritten); });
    };
    RepeatedCall<StoreLease>::begin({m_timers, m_resends, "member_renewal", MaxMemberCopies}, send,
                                    handle);
}

bool Leadership::isLeaderHealthy() const
{
    const auto &beat = m_peers.heartbeat();
    const auto followed = m_timers.now() - m_followedAt;
    if (!m_peers.isLinked() || !beat)
        return followed < LinkGrace && !m_peers.hasFailedToLink();
    // A new leader is reading the journal; a crash would break its link.
    if (followed < RecoveryGrace && beat->claim == m_leader.revision)
        return true;
    return beat->claim == m_leader.revision
        && m_timers.now() - m_peers.heartbeatAt() < ElectionPeers::HeartbeatTimeout
        && beat->timeSinceStoreConfirmation < UnconfirmedLimit;
}

bool Leadership::votesAgainst(Revision claim) const
{
    if (m_leader.revision > claim)
        return false;
    if (m_isLeading)
        return false;
    return !isLeaderHealthy() || !m_peers.isLinked();
}

void Leadership::tick()
{
    watchLateLeader();
    if (!m_isLeading && !m_isElecting && !m_isRetired && m_timers.now() >= m_noElectionUntil
        && (m_leader.revision == Revision() || !isLeaderHealthy())) {
        m_isElecting = true;
        m_timers.after(Duration(static_cast<int64_t>(m_random() * ElectionJitterMs)),
                       [this] { readLeader(); });
    }
    m_timers.after(TickInterval, [this] { tick(); });
}

void Leadership::readLeader()
{
    if (m_isLeading)
        return endElection(Duration(0));
    m_store.list(LeaderKey, [this, known = m_leader.revision](const StoreRead &read) {
        handleLeader(read, known);
    });
}

void Leadership::handleLeader(const StoreRead &read, Revision known)
{
    if (!read.answered)
        observeActivity(read);
    if (!read.answered || m_isLeading || m_isRetired)
        return endElection(ElectionPause);
    const auto entry = std::ranges::find(read.entries, LeaderKey, &StoreEntry::key);
    if (entry == read.entries.end())
        return claimVacantCell();
    // A later claim was learned after the read was sent.
    if (m_leader.revision != known && entry->revision < m_leader.revision)
        return endElection(Duration(0));
    if (entry->revision != m_leader.revision) {
        try {
            recordLeader(*entry);
        } catch (const std::exception &error) {
            LOG(ERROR) << "event=leader_entry_unreadable error=" << error.what();
            return claimLeadership(entry->revision);
        }
        if (m_leader.node != m_self.node) {
            followLeader();
            return endElection(LinkGrace);
        }
    }
    observeActivity(read);
    // The claim belongs to an earlier process of this node, which no longer runs, or to an earlier
    // try. A node must never follow itself.
    if (m_leader.node == m_self.node)
        return claimLeadership(m_leader.revision);
    if (!m_peers.isLinked()
        || m_timers.now() - m_peers.heartbeatAt() > ElectionPeers::HeartbeatTimeout) {
        // Only the link may have failed; a new link shows whether the leader still responds.
        followLeader();
        return awaitLeader();
    }
    callElection();
}

/** Polls until a new link shows the leader healthy, or fails, or LinkGrace is over. */
void Leadership::awaitLeader()
{
    const bool isHealthy = m_peers.isLinked() && m_peers.heartbeat() && isLeaderHealthy();
    const bool isOver = m_peers.hasFailedToLink() || m_timers.now() - m_followedAt >= LinkGrace;
    if (isHealthy || isOver)
        return callElection();
    m_timers.after(AwaitPollInterval, [this] { awaitLeader(); });
}

void Leadership::recordLeader(const StoreEntry &entry)
{
    const CellMember member = decodeMember(entry.value);
    m_leader = {entry.revision, member.node, member.address};
    LOG(INFO) << "event=leader_seen node=" << member.node.value()
              << " claim=" << entry.revision.value();
}

void Leadership::followLeader()
{
    m_followedAt = m_timers.now();
    m_peers.follow(m_leader.address);
}

void Leadership::callElection()
{
    if (m_isLeading || m_isRetired
        || (m_peers.isLinked() && isLeaderHealthy() && m_peers.heartbeat()))
        return endElection(Duration(0));
    LOG(INFO) << "event=leader_suspected node=" << m_leader.node.value()
              << " claim=" << m_leader.revision.value() << " linked=" << m_peers.isLinked();
    m_store.list(MemberPrefix, [this, claim = m_leader.revision](const StoreRead &read) {
        if (!read.answered || m_isLeading)
            return endElection(ElectionPause);
        countVotes(claim, read);
    });
}

void Leadership::countVotes(Revision claim, const StoreRead &members)
{
    // The leader that was suspected has been replaced.
    if (m_leader.revision != claim)
        return endElection(Duration(0));
    const auto count = std::make_shared<VoteCount>();
    const auto decide = [this, count, claim] {
        if (--count->awaited == 0)
            decideElection(claim, *count);
    };
    ++count->awaited;
    for (const CellMember &member : decodeMembers(members)) {
        if (member.node == m_self.node || member.node == m_leader.node)
            continue;
        ++count->members;
        ++count->awaited;
        const bool isStronger = isClearlyStronger(member.processor, m_self.processor);
        m_peers.askVote(member.address, claim, [=](std::optional<bool> vote) {
            count->answering += vote.has_value();
            count->agreeing += vote.value_or(false);
            count->hasStronger |= isStronger && vote.value_or(false);
            decide();
        });
    }
    decide();
}

void Leadership::decideElection(Revision claim, const VoteCount &count)
{
    LOG(INFO) << "event=election claim=" << claim.value() << " members=" << count.members
              << " answering=" << count.answering << " agreeing=" << count.agreeing;
    if (m_leader.revision != claim || m_isRetired || 2 * count.agreeing < count.answering)
        return endElection(ElectionPause);
    // A single node may only have bad links, however few members there are.
    if (count.agreeing > 1 && 2 * count.agreeing >= count.members)
        return claimAfterVote(claim, count);
    awaitInactivity(claim, count);
}

void Leadership::claimAfterVote(Revision claim, const VoteCount &count)
{
    if (count.hasStronger && yieldsOnce(claim))
        return endElection(YieldPause);
    // The leader is alive and has only lost access to the store.
    if (m_peers.isLinked()
        && m_timers.now() - m_peers.heartbeatAt() < ElectionPeers::HeartbeatTimeout)
        return m_timers.after(RegainGrace, [this, claim] { claimIfStillLost(claim); });
    claimLeadership(claim);
}

void Leadership::observeActivity(const StoreRead &read)
{
    // Time in which the store can't be used does not count as inactivity of the leader.
    if (!read.answered) {
        m_activity = {};
        return;
    }
    const auto claim = std::ranges::find(read.entries, LeaderKey, &StoreEntry::key);
    if (claim == read.entries.end())
        return;
    const auto written = std::ranges::find(read.entries, LeaderActivityKey, &StoreEntry::key);
    // What an earlier leader has written does not count.
    const Revision revision = written == read.entries.end()
        ? claim->revision
        : std::max(claim->revision, written->revision);
    if (m_activity.claim == claim->revision && m_activity.revision == revision)
        return;
    m_activity = {claim->revision, revision, m_timers.now()};
}

void Leadership::watchLateLeader()
{
    const Instant beatAt = m_peers.heartbeatAt();
    if (m_isLeading || m_isElecting || m_isRetired || !m_peers.isLinked() || !m_peers.heartbeat()
        || m_watchedHeartbeat == beatAt || m_timers.now() - beatAt < WatchDelay)
        return;
    m_watchedHeartbeat = beatAt;
    m_store.list(LeaderKey, [this](const StoreRead &read) { observeActivity(read); });
}

Instant Leadership::inactiveAt() const
{
    // A new leader commits nothing until it has read the journal.
    const bool isReading = m_activity.revision == m_activity.claim;
    return m_activity.since + (isReading ? RecoveryGrace : InactivityLimit);
}

void Leadership::awaitInactivity(Revision claim, const VoteCount &count)
{
    const Instant readAt = std::max(m_timers.now(), inactiveAt());
    const auto pause = std::chrono::duration_cast<Duration>(readAt - m_timers.now());
    m_timers.after(pause, [this, claim, count] {
        if (m_leader.revision != claim || m_isLeading || m_isRetired)
            return endElection(Duration(0));
        m_store.list(LeaderKey, [this, claim, count, sentAt = m_timers.now()](const auto &read) {
            observeActivity(read);
            if (!read.answered || m_leader.revision != claim || m_isLeading || m_isRetired)
                return endElection(ElectionPause);
            const bool isInactive = m_activity.claim == claim && sentAt >= inactiveAt();
            LOG(INFO) << "event=leader_activity_checked claim=" << claim.value()
                      << " inactive=" << isInactive;
            if (!isInactive || (m_peers.isLinked() && m_peers.heartbeat() && isLeaderHealthy()))
                return endElection(ElectionPause);
            claimAfterVote(claim, count);
        });
    });
}

bool Leadership::yieldsOnce(Revision claim)
{
    return std::exchange(m_lastYieldedClaim, claim) != claim;
}

/** Claims leadership of a cell that has no claim in the store. */
void Leadership::claimVacantCell()
{
    m_store.list(MemberPrefix, [this](const StoreRead &read) {
        if (!read.answered || m_isLeading || m_isRetired)
            return endElection(ElectionPause);
        const bool hasStronger =
            std::ranges::any_of(decodeMembers(read), [this](const CellMember &member) {
                return isClearlyStronger(member.processor, m_self.processor);
            });
        if (hasStronger && yieldsOnce(Revision()))
            return endElection(YieldPause);
        claimLeadership(Revision());
    });
}

void Leadership::takeOver(const HandOverMessage &offer)
{
    if (m_isLeading || m_isRetired || offer.claim != m_leader.revision)
        return;
    m_isElecting = true;
    LOG(INFO) << "event=leadership_offered claim=" << offer.claim.value()
              << " store_lost=" << offer.isStoreUnresponsive;
    if (!offer.isStoreUnresponsive)
        return claimLeadership(offer.claim, true);
    m_store.list(LeaderKey, [this, claim = offer.claim](const StoreRead &read) {
        if (!read.answered)
            return endElection(Duration(0));
        m_timers.after(RegainGrace, [this, claim] { claimIfStillLost(claim); });
    });
}

void Leadership::claimIfStillLost(Revision claim)
{
    const auto &beat = m_peers.heartbeat();
    const bool isServed =
        beat && beat->claim == claim && beat->timeSinceStoreConfirmation < RegainGrace;
    if (isServed || m_isLeading || m_isRetired || claim != m_leader.revision)
        return endElection(Duration(0));
    claimLeadership(claim);
}

void Leadership::claimLeadership(Revision expected, bool isHandedOver)
{
    const auto claimTry = std::make_shared<ClaimTry>();
    claimTry->number = ++m_claimCount;
    claimTry->value = encodeMember(m_self, claimTry->number);
    claimTry->expected = expected;
    claimTry->isHandedOver = isHandedOver;
    claimTry->begin = m_timers.now();
    sendClaim(claimTry);
}

void Leadership::sendClaim(const ClaimTryHandle &claimTry)
{
    ++claimTry->copies;
    LOG(INFO) << "event=claim_sent try=" << claimTry->number
              << " expected=" << claimTry->expected.value() << " copy=" << claimTry->copies;
    StoreTransaction transaction;
    transaction.conditions = {{LeaderKey, claimTry->expected}};
    transaction.puts = {{LeaderKey, claimTry->value, {}}};
    m_store.commit(std::move(transaction),
                   [this, claimTry, sentAt = m_timers.now()](const CommitResult &result) {
                       handleClaimResult(claimTry, sentAt, result);
                   });
    awaitClaim(claimTry);
}

void Leadership::handleClaimResult(const ClaimTryHandle &claimTry, Instant sentAt,
                                   const CommitResult &result)
{
    LOG(INFO) << "event=claim_answered try=" << claimTry->number << " outcome=" << result.outcome
              << " revision=" << result.revision.value() << " leads=" << m_isLeading;
    if (result.outcome == CommitResult::Unknown) {
        if (claimTry->isActive)
            readClaimBack(claimTry);
        return;
    }
    if (result.outcome != CommitResult::NotDone)
        m_resends.recordResponse(std::chrono::duration_cast<Duration>(m_timers.now() - sentAt));
    if (result.outcome == CommitResult::Committed) {
        claimTry->isActive = false;
        return becomeLeader(result.revision, sentAt);
    }
    // An earlier copy may have been executed.
    const auto written = std::ranges::find(result.current, claimTry->value, &StoreEntry::value);
    if (written != result.current.end()) {
        claimTry->isActive = false;
        return becomeLeader(written->revision, sentAt);
    }
    giveUpClaim(claimTry);
}

void Leadership::awaitClaim(const ClaimTryHandle &claimTry)
{
    ResendPolicy::checkAfter(m_timers, m_resends.delayAfter(1 + claimTry->readBacks),
                             [this, claimTry, copy = claimTry->copies] {
                                 if (!claimTry->isActive || claimTry->copies != copy)
                                     return;
                                 if (m_timers.now() - claimTry->begin >= ClaimTime)
                                     return giveUpClaim(claimTry);
                                 if (!m_resends.takeExtraCall())
                                     return awaitClaim(claimTry);
                                 readClaimBack(claimTry);
                             });
}

void Leadership::readClaimBack(const ClaimTryHandle &claimTry)
{
    ++claimTry->readBacks;
    m_store.list(
        LeaderKey,
        [this, claimTry, copy = claimTry->copies, readAt = m_timers.now()](const StoreRead &read) {
            if (!claimTry->isActive || claimTry->copies != copy)
                return;
            if (!read.answered)
                return giveUpClaim(claimTry);
            const auto entry = std::ranges::find(read.entries, LeaderKey, &StoreEntry::key);
            const Revision current = entry == read.entries.end() ? Revision() : entry->revision;
            if (current == claimTry->expected) {
                const bool isOver = m_timers.now() - claimTry->begin >= ClaimTime;
                if (isOver || m_isLeading || m_isRetired || !isStillWanted(*claimTry))
                    return giveUpClaim(claimTry);
                return sendClaim(claimTry);
            }
            if (entry == read.entries.end() || entry->value != claimTry->value)
                return giveUpClaim(claimTry);
            claimTry->isActive = false;
            becomeLeader(current, readAt);
        });
}

bool Leadership::isStillWanted(const ClaimTry &claimTry) const
{
    const auto &beat = m_peers.heartbeat();
    const bool hasRegained = m_peers.isLinked() && beat && beat->claim == claimTry.expected
        && isLeaderHealthy() && beat->timeSinceStoreConfirmation < RegainGrace;
    return claimTry.isHandedOver || !hasRegained;
}

void Leadership::giveUpClaim(const ClaimTryHandle &claimTry)
{
    if (!claimTry->isActive)
        return;
    claimTry->isActive = false;
    endElection(ElectionPause);
}

/** Leads with the claim @p revision, unless another try of this node has won or a later claim is
 * known: the leader's offers and this node's elections may have several tries open at a time. */
void Leadership::becomeLeader(Revision revision, Instant heldAt)
{
    if (m_isLeading || m_isRetired || revision <= m_leader.revision)
        return endElection(ElectionPause);
    m_leader = {revision, m_self.node, m_self.address};
    m_isLeading = true;
    m_isElecting = false;
    m_peers.follow(std::nullopt);
    LOG(INFO) << "event=leadership_won claim=" << revision.value();
    m_observer.won(revision, heldAt);
    announce(revision);
}

/** Announces this leader to members without a link to it; they may be unable to read the store. */
void Leadership::announce(Revision claim)
{
    if (!m_isLeading || m_leader.revision != claim)
        return;
    m_store.list(MemberPrefix, [this, claim](const StoreRead &read) {
        if (!m_isLeading || m_leader.revision != claim)
            return;
        for (const CellMember &member : decodeMembers(read)) {
            if (member.node != m_self.node && !m_peers.hasFollower(member.node))
                m_peers.announce(member.address, {claim, m_self.node, m_self.address});
        }
        m_timers.after(read.answered ? AnnounceInterval : ElectionPause,
                       [this, claim] { announce(claim); });
    });
}

void Leadership::handleAnnouncement(const AnnouncementMessage &announcement)
{
    if (announcement.claim <= m_leader.revision)
        return;
    if (m_isLeading)
        return checkAnnouncement(announcement);
    followAnnounced(announcement);
}

void Leadership::checkAnnouncement(const AnnouncementMessage &announcement)
{
    if (m_isCheckingClaim)
        return;
    m_isCheckingClaim = true;
    m_observer.doubted();
    const auto decide = [this, announcement, check = ++m_claimChecks](bool stands) {
        if (!m_isCheckingClaim || check != m_claimChecks)
            return;
        m_isCheckingClaim = false;
        if (m_isLeading && stands) {
            LOG_EVERY_N(WARNING, 20)
                << "event=announcement_refuted node=" << announcement.node.value()
                << " claim=" << announcement.claim.value();
        } else if (announcement.claim > m_leader.revision) {
            followAnnounced(announcement);
        }
    };
    m_store.list(LeaderKey, [this, decide](const StoreRead &read) {
        const auto entry = std::ranges::find(read.entries, LeaderKey, &StoreEntry::key);
        decide(read.answered && entry != read.entries.end()
               && entry->revision == m_leader.revision);
    });
    m_timers.after(AnnouncementCheckTime, [decide] { decide(false); });
}

void Leadership::followAnnounced(const AnnouncementMessage &announcement)
{
    LOG(INFO) << "event=leader_announced node=" << announcement.node.value()
              << " claim=" << announcement.claim.value();
    m_leader = {announcement.claim, announcement.node, announcement.address};
    if (m_isLeading)
        stepDown();
    followLeader();
}

void Leadership::stepDown()
{
    if (!m_isLeading)
        return;
    m_isLeading = false;
    LOG(INFO) << "event=leadership_lost claim=" << m_leader.revision.value();
    m_noElectionUntil = m_timers.now();
    m_observer.lost();
}

void Leadership::endElection(Duration pause)
{
    m_isElecting = false;
    m_noElectionUntil = m_timers.now() + pause;
}

} // namespace Cranberrymount
