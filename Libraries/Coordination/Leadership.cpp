#include "Coordination/Leadership.h"

#include "Coordination/Journal.h"
#include "Protocol/ProtocolError.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace Cranberrymount {

namespace {

using Json = nlohmann::json;

const std::string MemberPrefix = "cell/member/";

constexpr Duration TickInterval{50};
/** A leader that the store has not confirmed for this long can accept and start nothing. Above the
 * time-out of a store call and its first repeat, so that a lost answer does not cost a claim. */
constexpr Duration UnconfirmedLimit{1500};
/** Time for a new link to bring its first heartbeat. */
constexpr Duration LinkGrace{350};
constexpr Duration RecoveryGrace{2000};
constexpr Duration AwaitPollInterval{20};
/** Members that come up or come back while the store refuses them hear of the leader after this. */
constexpr Duration AnnounceInterval{1000};
/** Members that died disappear from the list after this. */
constexpr Duration MemberLease{8000};
constexpr Duration MemberRenewalInterval{2500};
/** Random part of the pause before an election, so that followers do not vote all at once. */
constexpr double ElectionJitterMs = 80;
constexpr Duration ElectionPause{120};
/** A leader notices within this time that the store serves it again, and tells its followers: a
 * probe, a commit and a heartbeat. Keeping it is better than a new one that reads the journal. */
constexpr Duration RegainGrace{250};
/** Start that stronger nodes get in an election: two polls of the heartbeat and the votes. */
constexpr Duration YieldPause{400};

std::string encodeMember(const CellMember &member, uint64_t nonce)
{
    return Json{{"node", member.node.value()},
                {"host", member.address.host},
                {"port", member.address.port},
                {"processor", member.processor.value()},
                {"nonce", nonce}}
        .dump();
}

/** @throws ProtocolError or nlohmann's exceptions if @p value is not what encodeMember() makes. */
CellMember decodeMember(const std::string &value)
{
    const Json json = Json::parse(value);
    const auto port = json.at("port").get<int64_t>();
    if (port < 1 || port > UINT16_MAX)
        throw ProtocolError("a member's port is out of range");
    // Entries of earlier versions do not tell the processor; such a node counts as weak.
    return {EntryId(json.at("node")),
            {json.at("host"), static_cast<uint16_t>(port)},
            CpuMillis(json.value("processor", int64_t(0)))};
}

/** @return the members in @p read; entries that cannot be read are logged and left out. */
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

} // namespace

Leadership::Leadership(TransactionalStore &store, TimerService &timers, PeerHub &peers,
                       CellMember self, std::function<double()> random, Observer observer)
    : m_store(store)
    , m_timers(timers)
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

void Leadership::registerMember()
{
    m_store.createLease(MemberLease, [this](const StoreLease &lease) {
        if (!lease.answered || !lease.alive)
            return m_timers.after(MemberRenewalInterval, [this] { registerMember(); });
        m_lease = lease.id;
        StoreTransaction transaction;
        transaction.puts = {{MemberPrefix + m_self.node.value(), encodeMember(m_self, 0), m_lease}};
        m_store.commit(std::move(transaction), [this](const CommitResult &result) {
            if (result.outcome != CommitResult::Committed)
                return m_timers.after(MemberRenewalInterval, [this] { registerMember(); });
            m_timers.after(MemberRenewalInterval, [this] { renewMember(); });
        });
    });
}

void Leadership::renewMember()
{
    m_store.renewLease(m_lease, [this](const StoreLease &lease) {
        if (lease.answered && !lease.alive)
            return registerMember();
        m_timers.after(MemberRenewalInterval, [this] { renewMember(); });
    });
}

bool Leadership::isLeaderHealthy() const
{
    const auto &beat = m_peers.heartbeat();
    const auto followed = m_timers.now() - m_followedAt;
    if (!m_peers.isLinked() || !beat)
        return followed < LinkGrace && !m_peers.hasFailedToLink();
    // A new leader is busy with the journal; its link breaks if its process ends.
    if (followed < RecoveryGrace && beat->claim == m_leader.revision)
        return true;
    return beat->claim == m_leader.revision
        && m_timers.now() - m_peers.heartbeatAt() < PeerHub::HeartbeatTimeout
        && beat->storeAge < UnconfirmedLimit;
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
    m_store.list(LeaderKey, [this](const StoreRead &read) { handleLeader(read); });
}

void Leadership::handleLeader(const StoreRead &read)
{
    if (!read.answered || m_isLeading || m_isRetired)
        return endElection(ElectionPause);
    const auto entry = std::ranges::find(read.entries, LeaderKey, &StoreEntry::key);
    if (entry == read.entries.end())
        return claimVacantCell();
    if (entry->revision != m_leader.revision) {
        try {
            recordLeader(*entry);
        } catch (const std::exception &error) {
            LOG(ERROR) << "event=leader_entry_unreadable error=" << error.what();
            return claimLeadership(entry->revision);
        }
        // An earlier process of this very node cannot lead any more.
        if (m_leader.node == m_self.node)
            return claimLeadership(m_leader.revision);
        followLeader();
        return endElection(LinkGrace);
    }
    if (!m_peers.isLinked() || m_timers.now() - m_peers.heartbeatAt() > PeerHub::HeartbeatTimeout) {
        // The link may have gone silent; a new one tells whether the leader has.
        followLeader();
        return awaitLeader();
    }
    callElection();
}

/** Gives a new link to the leader time to prove it sound, but no longer than it needs. */
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
    m_store.list(MemberPrefix, [this](const StoreRead &read) {
        if (!read.answered || m_isLeading)
            return endElection(ElectionPause);
        countVotes(read);
    });
}

void Leadership::countVotes(const StoreRead &members)
{
    struct Count
    {
        std::size_t members = 1;
        std::size_t agreeing = 1;
        std::size_t awaited = 0;
        /** A stronger node would take the claim, too. */
        bool hasStronger = false;
    };
    const auto count = std::make_shared<Count>();
    const Revision claim = m_leader.revision;
    const auto decide = [this, count, claim] {
        if (--count->awaited > 0)
            return;
        LOG(INFO) << "event=election claim=" << claim.value() << " members=" << count->members
                  << " agreeing=" << count->agreeing;
        if (count->hasStronger && yieldsOnce(claim))
            return endElection(YieldPause);
        if (2 * count->agreeing < count->members || m_leader.revision != claim || m_isRetired)
            return endElection(ElectionPause);
        // The holder lives, only the store was lost to it.
        if (m_peers.isLinked()
            && m_timers.now() - m_peers.heartbeatAt() < PeerHub::HeartbeatTimeout)
            return m_timers.after(RegainGrace, [this, claim] { claimIfStillLost(claim); });
        claimLeadership(claim);
    };
    ++count->awaited;
    for (const CellMember &member : decodeMembers(members)) {
        if (member.node == m_self.node || member.node == m_leader.node)
            continue;
        ++count->members;
        ++count->awaited;
        const bool isStronger = isClearlyStronger(member.processor, m_self.processor);
        m_peers.askVote(member.address, claim, [=](std::optional<bool> vote) {
            count->agreeing += vote.value_or(false);
            count->hasStronger |= isStronger && vote.value_or(false);
            decide();
        });
    }
    decide();
}

bool Leadership::yieldsOnce(Revision claim)
{
    return std::exchange(m_lastYieldedClaim, claim) != claim;
}

/** Claims a cell that never had a leader. */
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
              << " store_lost=" << offer.isStoreLost;
    if (!offer.isStoreLost)
        return claimLeadership(offer.claim);
    m_store.list(LeaderKey, [this, claim = offer.claim](const StoreRead &read) {
        if (!read.answered)
            return endElection(Duration(0));
        m_timers.after(RegainGrace, [this, claim] { claimIfStillLost(claim); });
    });
}

void Leadership::claimIfStillLost(Revision claim)
{
    const auto &beat = m_peers.heartbeat();
    const bool isServed = beat && beat->claim == claim && beat->storeAge < RegainGrace;
    if (isServed || m_isLeading || m_isRetired || claim != m_leader.revision)
        return endElection(Duration(0));
    claimLeadership(claim);
}

void Leadership::claimLeadership(Revision expected)
{
    m_claimValue = encodeMember(m_self, ++m_claimCount);
    StoreTransaction transaction;
    transaction.conditions = {{LeaderKey, expected}};
    transaction.puts = {{LeaderKey, m_claimValue, {}}};
    m_store.commit(std::move(transaction), [this](const CommitResult &result) {
        if (result.outcome == CommitResult::Committed)
            return becomeLeader(result.revision);
        if (result.outcome != CommitResult::Unknown)
            return endElection(ElectionPause);
        // The claim may have been written; the value tells.
        m_store.list(LeaderKey, [this](const StoreRead &read) {
            const auto entry = std::ranges::find(read.entries, LeaderKey, &StoreEntry::key);
            if (entry != read.entries.end() && entry->value == m_claimValue)
                return becomeLeader(entry->revision);
            endElection(ElectionPause);
        });
    });
}

void Leadership::becomeLeader(Revision revision)
{
    m_leader = {revision, m_self.node, m_self.address};
    m_isLeading = true;
    m_isElecting = false;
    m_peers.follow(std::nullopt);
    LOG(INFO) << "event=leadership_won claim=" << revision.value();
    m_observer.won(revision);
    announce();
}

/** Tells members that have no link here; they may be unable to read the store. */
void Leadership::announce()
{
    if (!m_isLeading)
        return;
    m_store.list(MemberPrefix, [this](const StoreRead &read) {
        if (!m_isLeading)
            return;
        for (const CellMember &member : decodeMembers(read)) {
            if (member.node != m_self.node && !m_peers.hasFollower(member.node))
                m_peers.announce(member.address, {m_leader.revision, m_self.node, m_self.address});
        }
        m_timers.after(read.answered ? AnnounceInterval : ElectionPause, [this] { announce(); });
    });
}

void Leadership::handleAnnouncement(const AnnouncementMessage &announcement)
{
    if (announcement.claim <= m_leader.revision)
        return;
    LOG(INFO) << "event=leader_announced node=" << announcement.node.value()
              << " claim=" << announcement.claim.value();
    m_leader = {announcement.claim, announcement.node, announcement.address};
    if (m_isLeading)
        giveUp();
    followLeader();
}

void Leadership::giveUp()
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
