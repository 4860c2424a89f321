#pragma once

#include "Coordination/Journal.h"
#include "Coordination/Leadership.h"
#include "MemoryStore.h"

#include <nlohmann/json.hpp>

#include <array>
#include <iostream>
#include <set>

namespace Cranberrymount {

/** Several nodes that elect a leader, with the fakes of their store, timers and links. */
class ElectionHistory
{
public:
    /** How a node is lost for the rest of a history. */
    enum class Loss {
        None,
        /** Its connections break, and new ones are refused. */
        Killed,
        /** Its connections stay open without a response, and new ones time out. */
        PowerLost,
        /** The same, but its process goes on; it can't reach the store either. */
        CutOff,
    };

    /** @param losesNodes several nodes at once may be killed or lose power, any number in all */
    explicit ElectionHistory(uint64_t seed, bool losesNodes = false)
        : m_random(seed)
        , m_losesNodes(losesNodes)
    {
        const std::size_t count = 3 + below(3);
        const bool hasWeakNodes = chance(0.3);
        for (std::size_t index = 0; index < count; ++index) {
            const bool isWeak = hasWeakNodes && chance(0.5);
            m_nodes.push_back(std::make_unique<Node>(*this, index, CpuMillis(isWeak ? 250 : 2000)));
        }
    }

    /** A history without random faults of @p count equally strong nodes, which have begun. */
    ElectionHistory(uint64_t seed, std::size_t count)
        : m_random(seed)
    {
        for (std::size_t index = 0; index < count; ++index)
            m_nodes.push_back(std::make_unique<Node>(*this, index, CpuMillis(2000)));
        begin();
    }

    void run(Duration time) { runUntil(m_events.now() + time); }
    Revision newestClaim() const { return m_newestClaim; }
    /** @return the number of the node that leads under the newest claim, if it isn't lost. */
    std::optional<std::size_t> leader() const
    {
        const auto leads = [this](const auto &node) {
            return node->leads && !node->isRetired && node->loss == Loss::None
                && node->leadership.claim() == m_newestClaim;
        };
        const auto found = std::ranges::find_if(m_nodes, leads);
        return found == m_nodes.end()
            ? std::nullopt
            : std::optional(static_cast<std::size_t>(found - m_nodes.begin()));
    }
    void lose(std::size_t number, Loss loss)
    {
        Node &node = *m_nodes.at(number);
        trace(node.self.node.value() + " is lost, way " + std::to_string(static_cast<int>(loss)));
        node.loss = loss;
        if (loss == Loss::Killed)
            breakLinks(node);
    }
    /** Lets a node reach the store, but none of its peers. */
    void cutFromPeers(std::size_t number, Duration time)
    {
        m_nodes.at(number)->cutFromPeersUntil = m_events.now() + time;
    }
    /** @return the time until there is a leader, at most @p limit */
    Duration timeToLeader(Duration limit)
    {
        const Instant from = m_events.now();
        while (!leader() && m_events.now() < from + limit)
            run(Duration(1));
        return between(from, m_events.now());
    }

    /** Plays faults for 20 to 40 s, and then waits for a leader. */
    void play()
    {
        begin();
        m_faultsEndAt = m_events.now() + milliseconds(20'000, 40'000);
        drawStoreFaults();
        drawNodeFaults();
        drawOffers();
        runUntil(m_faultsEndAt);
        m_storeMode = StoreMode::Sound;
        // Writes that were left unanswered are executed until here.
        runUntil(std::max(m_faultsEndAt, m_lastLateWriteAt));
        timeToLeader(RecoveryBound);
        if (!leader())
            find("nobody leads under the newest claim in time");
        runUntil(m_events.now() + RecoveryBound);
        if (!leader())
            find("the cell has lost its leader without a fault");
        if (std::ranges::count_if(
                m_nodes, [](const auto &node) { return node->leads && node->loss == Loss::None; })
            > 1)
            find("a superseded leader goes on");
        // Entries that were written late under a lease that is not renewed end in this time.
        runUntil(m_events.now() + MemberLease);
        for (const auto &node : m_nodes) {
            if (node->loss == Loss::None && !isListed(*node))
                find(node->self.node.value() + " has no entry in the list of members");
        }
    }

    const std::vector<std::string> &findings() const { return m_findings; }
    std::size_t winCount() const { return m_wonBy.size(); }

private:
    /** Time after which a store call counts as unanswered. */
    static constexpr Duration CallTimeout{1000};
    static constexpr Duration HeartbeatInterval{200};
    /** Interval of a leader's writes, which depend on its claim. */
    static constexpr Duration WriteInterval{200};
    static constexpr Duration TransferInterval{200};
    static constexpr uint32_t MaxTransferOffers = 4;
    /** Longest delay of a message without faults. */
    static constexpr Duration MaxDelay{20};
    static constexpr Duration ConnectTimeout{300};
    static constexpr Duration VoteTimeout{300};

    // The constants of Leadership.cpp, and the longest course of an election with them.
    static constexpr Duration StoreCall = 2 * MaxDelay;
    static constexpr Duration TickInterval{50};
    static constexpr Duration LinkGrace{350};
    static constexpr Duration RecoveryGrace{2000};
    static constexpr Duration AwaitPollInterval{20};
    static constexpr Duration ElectionJitter{80};
    static constexpr Duration ElectionPause{120};
    static constexpr Duration RegainGrace{250};
    static constexpr Duration YieldPause{400};
    static constexpr Duration MemberLease{8000};
    /** From a node's next tick to its knowledge of the claim in the store. */
    static constexpr Duration ReadTime = TickInterval + ElectionJitter + StoreCall;
    /** From the claim to the others' votes: a new link, the list of members, the votes. */
    static constexpr Duration VotingTime = LinkGrace + AwaitPollInterval + StoreCall + VoteTimeout;
    static constexpr Duration ClaimTime = RegainGrace + StoreCall;
    /** A node may have to read a new claim, give way to a stronger node, and lose a vote to members
     * that learn later than it that nobody leads; then it claims. */
    static constexpr Duration ElectionTime = (ReadTime + LinkGrace)
        + (ReadTime + VotingTime + YieldPause) + (ReadTime + VotingTime + ElectionPause)
        + (ReadTime + VotingTime + ClaimTime);
    /** Time that a node needs to see in the store that a leader without commits is gone. */
    static constexpr Duration InactivityTime = RecoveryGrace + StoreCall;
    /** From the end of all faults: calls that are open end, a superseded leader's next write or a
     * retiring leader's last offer makes it step down, and its followers no longer count it as one
     * that recovers. */
    static constexpr Duration RecoveryBound = CallTimeout
        + std::max(WriteInterval + StoreCall, TransferInterval *MaxTransferOffers) + RecoveryGrace
        + HeartbeatInterval + InactivityTime + ElectionTime;

    struct Node;
    /** What the store does with part of the calls. */
    enum class StoreMode { Sound, Loses, Delays, ExecutesLate, Everything, Busy, Silent };

    /** Timers of one node, which wait while it is paused. */
    class NodeTimers : public TimerService
    {
    public:
        NodeTimers(ElectionHistory &history, Node &node)
            : m_history(history)
            , m_node(node)
        {
        }
        Instant now() const override { return m_history.m_events.now(); }
        void after(Duration delay, std::function<void()> callback) override
        {
            m_history.runOn(m_node, delay, std::move(callback));
        }

    private:
        ElectionHistory &m_history;
        Node &m_node;
    };

    /** One node's calls to the shared store. */
    class NodeStore : public TransactionalStore
    {
    public:
        NodeStore(ElectionHistory &history, Node &node)
            : m_history(history)
            , m_node(node)
        {
        }
        void list(const std::string &prefix, std::function<void(StoreRead)> done) override
        {
            m_history.exchange<StoreRead>(
                m_node, false, [this, prefix] { return m_history.serveList(prefix); },
                std::move(done));
        }
        void commit(StoreTransaction transaction, std::function<void(CommitResult)> done) override
        {
            m_history.exchange<CommitResult>(
                m_node, true,
                [this, transaction = std::move(transaction)] {
                    return m_history.serveCommit(transaction);
                },
                std::move(done));
        }
        void probe(std::function<void(bool)> done) override
        {
            list("none", [done = std::move(done)](const StoreRead &read) { done(read.answered); });
        }
        void createLease(Duration ttl, std::function<void(StoreLease)> done) override
        {
            m_history.exchange<StoreLease>(
                m_node, true, [this, ttl] { return m_history.serveNewLease(ttl); },
                std::move(done));
        }
        void renewLease(StoreLeaseId id, std::function<void(StoreLease)> done) override
        {
            m_history.exchange<StoreLease>(
                m_node, true, [this, id] { return m_history.serveRenewal(id); }, std::move(done));
        }

    private:
        ElectionHistory &m_history;
        Node &m_node;
    };

    /** One node's link to its leader, votes and announcements. */
    class NodePeers : public ElectionPeers
    {
    public:
        NodePeers(ElectionHistory &history, Node &node)
            : m_history(history)
            , m_node(node)
        {
        }
        void follow(std::optional<Endpoint> leader) override
        {
            if (m_leader)
                m_leader->followers.erase(&m_node);
            m_leader = nullptr;
            m_heartbeat.reset();
            m_hasFailed = false;
            const uint64_t attempt = ++m_attempt;
            if (!leader)
                return;
            Node &target = m_history.nodeAt(*leader);
            const bool isUnreachable = m_history.isUnreachable(m_node, target);
            m_history.runOn(m_node, isUnreachable ? ConnectTimeout : m_history.delay(),
                            [this, attempt, isUnreachable, &target] {
                                if (attempt != m_attempt)
                                    return;
                                m_hasFailed = isUnreachable || target.loss == Loss::Killed;
                                if (m_hasFailed)
                                    return;
                                m_leader = &target;
                                target.followers.insert(&m_node);
                                m_history.sendHeartbeat(target, m_node);
                            });
        }
        /** Breaks the link to the leader if it goes to @p target. */
        void breakLink(const Node &target)
        {
            if (m_leader != &target)
                return;
            m_leader = nullptr;
            m_heartbeat.reset();
            m_hasFailed = true;
        }
        void receive(const Node &from, const HeartbeatMessage &beat)
        {
            if (m_leader != &from)
                return;
            m_heartbeat = beat;
            m_heartbeatAt = m_history.m_events.now();
        }
        bool isLinked() const override { return m_leader; }
        bool hasFailedToLink() const override { return m_hasFailed; }
        const std::optional<HeartbeatMessage> &heartbeat() const override { return m_heartbeat; }
        Instant heartbeatAt() const override { return m_heartbeatAt; }
        bool hasFollower(const EntryId &node) const override
        {
            return std::ranges::any_of(m_node.followers, [&node](const Node *follower) {
                return follower->self.node == node;
            });
        }
        void askVote(const Endpoint &peer, Revision claim,
                     std::function<void(std::optional<bool>)> done) override
        {
            const auto finish = firstCallOnly(std::move(done));
            Node &target = m_history.nodeAt(peer);
            const bool isRefused = target.loss == Loss::Killed;
            m_history.runOn(m_node, isRefused ? m_history.delay() : VoteTimeout,
                            [finish] { finish({}); });
            m_history.send(m_node, target, [this, &target, claim, finish] {
                const bool agrees = target.leadership.votesAgainst(claim);
                m_history.send(target, m_node, [finish, agrees] { finish(agrees); });
            });
        }
        void announce(const Endpoint &peer, const AnnouncementMessage &announcement) override
        {
            Node &target = m_history.nodeAt(peer);
            m_history.send(m_node, target, [&target, announcement] {
                target.leadership.handleAnnouncement(announcement);
            });
        }

    private:
        ElectionHistory &m_history;
        Node &m_node;
        Node *m_leader = nullptr;
        uint64_t m_attempt = 0;
        bool m_hasFailed = false;
        std::optional<HeartbeatMessage> m_heartbeat;
        Instant m_heartbeatAt;
    };

    struct Node
    {
        Node(ElectionHistory &history, std::size_t number, CpuMillis processor)
            : self{EntryId("n" + std::to_string(number)),
                   {"host", static_cast<uint16_t>(1 + number)},
                   processor}
            , timers(history, *this)
            , store(history, *this)
            , resends(timers)
            , peers(history, *this)
            , leadership(
                  store, timers, resends, peers, self,
                  [&history] { return history.m_random(1000) / 1000.0; },
                  {[this, &history](Revision claim, Instant) { history.checkWin(*this, claim); },
                   [this] { leads = false; }, [] {}})
        {
        }

        CellMember self;
        NodeTimers timers;
        NodeStore store;
        ResendPolicy resends;
        NodePeers peers;
        std::set<Node *> followers;
        bool leads = false;
        bool isRetired = false;
        /** It is retired, or will be once it is no longer paused. */
        bool isLeaving = false;
        Loss loss = Loss::None;
        /** Number of the term; a leader's writes end with it. */
        uint64_t term = 0;
        /** The last claim that the node knew when an earlier event had ended. */
        Revision known;
        Instant confirmedAt;
        Instant pausedUntil;
        Instant cutFromStoreUntil;
        Instant cutFromPeersUntil;
        Leadership leadership;
    };

    // Chance and time.

    uint64_t below(uint64_t bound) { return m_random(static_cast<uint32_t>(bound)); }
    bool chance(double probability) { return m_random(1'000'000) < probability * 1e6; }
    Duration milliseconds(int64_t from, int64_t to)
    {
        return Duration(from + static_cast<int64_t>(below(static_cast<uint64_t>(to - from))));
    }
    Duration delay() { return milliseconds(1, MaxDelay.count()); }
    void after(Duration time, std::function<void()> action)
    {
        m_events.at(m_events.now() + time, [this, action = std::move(action)] {
            action();
            for (const auto &node : m_nodes) {
                const Revision claim = node->leadership.claim();
                if (claim < node->known)
                    find(node->self.node.value() + " goes back to claim "
                         + std::to_string(claim.value()));
                node->known = std::max(node->known, claim);
            }
        });
    }
    /** Runs @p action in a node's process, which may be paused. */
    void runOn(Node &node, Duration time, std::function<void()> action)
    {
        after(time, [this, &node, action = std::move(action)] {
            if (node.loss == Loss::Killed || node.loss == Loss::PowerLost)
                return;
            if (node.pausedUntil > m_events.now())
                return runOn(node, between(m_events.now(), node.pausedUntil), action);
            action();
        });
    }
    static Duration between(Instant from, Instant to)
    {
        return std::chrono::duration_cast<Duration>(to - from);
    }
    void begin()
    {
        for (const auto &node : m_nodes) {
            after(milliseconds(0, 200), [&node] { node->leadership.begin(); });
            after(milliseconds(0, 200), [this, &node] { beat(*node); });
        }
    }
    void runUntil(Instant time) { m_events.runUntil(time); }
    void trace(const std::string &what) const
    {
        if (std::getenv("HISTORY_TRACE"))
            std::cerr << (m_events.now() - Instant(Duration(1'000'000))).count() << ' ' << what
                      << '\n';
    }
    void find(const std::string &what)
    {
        trace("FINDING " + what);
        m_findings.push_back(what);
    }

    // Links.

    Node &nodeAt(const Endpoint &address) { return *m_nodes.at(address.port - 1); }
    bool isCut(const Node &one, const Node &other) const
    {
        return &one != &other
            && (one.loss == Loss::CutOff || other.loss == Loss::CutOff
                || std::max(one.cutFromPeersUntil, other.cutFromPeersUntil) > m_events.now());
    }
    /** @return true if a connection from @p one to @p other gets no response. */
    bool isUnreachable(const Node &one, const Node &other) const
    {
        return isCut(one, other) || other.loss == Loss::PowerLost;
    }
    void breakLinks(Node &ended)
    {
        for (const auto &node : m_nodes) {
            node->followers.erase(&ended);
            if (node.get() != &ended)
                runOn(*node, delay(), [&node, &ended] { node->peers.breakLink(ended); });
        }
    }
    void send(Node &from, Node &to, std::function<void()> action)
    {
        if (!isCut(from, to))
            runOn(to, delay(), std::move(action));
    }
    void sendHeartbeat(Node &from, Node &to)
    {
        HeartbeatMessage beat;
        if (from.leads)
            beat = {from.leadership.claim(), between(from.confirmedAt, m_events.now()), true};
        send(from, to, [&from, &to, beat] { to.peers.receive(from, beat); });
    }
    void beat(Node &node)
    {
        for (Node *follower : node.followers)
            sendHeartbeat(node, *follower);
        runOn(node, HeartbeatInterval, [this, &node] { beat(node); });
    }

    // The store.

    struct Lease
    {
        Duration ttl;
        Instant end;
    };
    StoreLease serveNewLease(Duration ttl)
    {
        const StoreLeaseId id(m_leases.size() + 1);
        m_leases[id] = {ttl, m_events.now() + ttl};
        return {true, true, id};
    }
    StoreLease serveRenewal(StoreLeaseId id)
    {
        if (!isAlive(id))
            return {true, false, id};
        m_leases[id].end = m_events.now() + m_leases[id].ttl;
        return {true, true, id};
    }
    bool isAlive(StoreLeaseId id) const
    {
        const auto found = m_leases.find(id);
        return found != m_leases.end() && found->second.end > m_events.now();
    }
    void removeEndedEntries()
    {
        std::erase_if(m_leaseOf, [this](const auto &entry) {
            const bool hasEnded = !isAlive(entry.second);
            if (hasEnded)
                m_values.erase(entry.first);
            return hasEnded;
        });
    }
    bool isListed(const Node &node)
    {
        removeEndedEntries();
        return m_values.contains("cell/member/" + node.self.node.value());
    }

    StoreRead serveList(const std::string &prefix)
    {
        removeEndedEntries();
        StoreRead read{true, {}};
        for (const auto &[key, entry] : m_values) {
            if (key.starts_with(prefix))
                read.entries.push_back(entry);
        }
        return read;
    }
    CommitResult serveCommit(const StoreTransaction &transaction)
    {
        CommitResult result{CommitResult::Committed, {}, {}};
        for (const auto &put : transaction.puts) {
            if (put.lease.value() != 0 && !isAlive(put.lease))
                return {CommitResult::LeaseEnded, {}, {}};
        }
        for (const auto &condition : transaction.conditions) {
            const auto found = m_values.find(condition.key);
            const bool exists = found != m_values.end();
            if (exists)
                result.current.push_back(found->second);
            if ((exists ? found->second.revision : Revision()) != condition.revision)
                result.outcome = CommitResult::Conflict;
        }
        if (result.outcome == CommitResult::Conflict)
            return result;
        result.current.clear();
        result.revision = Revision(++m_revision);
        for (const auto &put : transaction.puts) {
            m_values[put.key] = {put.key, put.value, result.revision};
            if (put.lease.value() != 0)
                m_leaseOf[put.key] = put.lease;
            if (put.key == LeaderKey)
                recordClaim(put.value, result.revision);
        }
        return result;
    }
    void recordClaim(const std::string &value, Revision revision)
    {
        const auto node = nlohmann::json::parse(value).at("node").get<std::string>();
        trace("store: claim " + std::to_string(revision.value()) + " of " + node);
        m_writtenBy.emplace(revision, EntryId(node));
        m_newestClaim = revision;
    }

    /** Sends a call to the store, with the faults of the moment. */
    template <typename Answer>
    void exchange(Node &node, bool isWrite, std::function<Answer()> serve,
                  std::function<void(Answer)> done)
    {
        const auto finish = firstCallOnly(std::move(done));
        const StoreMode mode = m_storeMode;
        const auto draws = [this, mode](StoreMode fault, double probability) {
            return (mode == fault || mode == StoreMode::Everything) && chance(probability);
        };
        if (mode == StoreMode::Busy && chance(0.7)) {
            Answer refusal;
            if constexpr (std::is_same_v<Answer, CommitResult>)
                refusal.outcome = CommitResult::NotDone;
            return runOn(node, delay(), [finish, refusal] { finish(refusal); });
        }
        runOn(node, CallTimeout, [finish] { finish(Answer()); });
        const bool isLost = draws(StoreMode::Loses, 0.15) || mode == StoreMode::Silent
            || node.loss == Loss::CutOff || node.cutFromStoreUntil > m_events.now();
        if (isWrite && draws(StoreMode::ExecutesLate, 0.3)) {
            const Duration late = milliseconds(1000, 6000);
            m_lastLateWriteAt = std::max(m_lastLateWriteAt, m_events.now() + late);
            return after(late, [serve = std::move(serve)] { serve(); });
        }
        if (isLost)
            return;
        const bool isAnswerLost = draws(StoreMode::Loses, 0.15);
        const Duration back =
            draws(StoreMode::Delays, 0.4) ? milliseconds(20, CallTimeout.count()) : delay();
        after(delay(), [this, &node, serve = std::move(serve), finish, isAnswerLost, back] {
            const Answer answer = serve();
            if (!isAnswerLost)
                runOn(node, back, [finish, answer] { finish(answer); });
        });
    }

    // Leaders.

    void checkWin(Node &node, Revision claim)
    {
        const std::string what =
            node.self.node.value() + " wins claim " + std::to_string(claim.value());
        trace(what);
        const auto [winner, isFirst] = m_wonBy.emplace(claim, node.self.node);
        if (!isFirst)
            find(what + ", which " + winner->second.value() + " has won before");
        const auto writer = m_writtenBy.find(claim);
        if (writer == m_writtenBy.end() || writer->second != node.self.node)
            find(what + ", which it has not written");
        if (claim <= node.known)
            find(what + ", and knows " + std::to_string(node.known.value()));
        if (node.leads)
            find(what + ", and leads already");
        if (node.isRetired)
            find(what + ", and is retired");
        node.leads = true;
        node.confirmedAt = m_events.now();
        const uint64_t term = ++node.term;
        // The observer is called before the node has become leader completely.
        runOn(node, Duration(0), [this, &node, claim, term] { writeAsLeader(node, claim, term); });
    }

    /** Writes as the journal does: a refused write shows that another node holds the claim. */
    void writeAsLeader(Node &node, Revision claim, uint64_t term)
    {
        if (!node.leads || node.term != term)
            return;
        StoreTransaction transaction;
        transaction.conditions = {{LeaderKey, claim}};
        transaction.puts = {{"cell/segment/" + node.self.node.value(), "", {}},
                            {LeaderActivityKey, "", {}}};
        const Instant sentAt = m_events.now();
        node.store.commit(
            std::move(transaction), [this, &node, claim, term, sentAt](const CommitResult &result) {
                if (!node.leads || node.term != term)
                    return;
                if (result.outcome == CommitResult::Conflict)
                    return node.leadership.stepDown();
                if (result.outcome == CommitResult::Committed)
                    node.confirmedAt = sentAt;
                runOn(node, WriteInterval,
                      [this, &node, claim, term] { writeAsLeader(node, claim, term); });
            });
    }

    // What the seed draws.

    Duration timeLeft() const { return between(m_events.now(), m_faultsEndAt); }
    Node &anyNode() { return *m_nodes[below(m_nodes.size())]; }
    /** @return a leader, if there is one, in three of four cases. */
    Node &likelyLeader()
    {
        const auto leader =
            std::ranges::find_if(m_nodes, [](const auto &node) { return node->leads; });
        return leader != m_nodes.end() && chance(0.75) ? **leader : anyNode();
    }

    void drawStoreFaults()
    {
        if (timeLeft() <= Duration(0))
            return;
        constexpr std::array Modes{
            StoreMode::Sound,        StoreMode::Loses,      StoreMode::Delays,
            StoreMode::ExecutesLate, StoreMode::Everything, StoreMode::Everything,
            StoreMode::Busy,         StoreMode::Silent,
        };
        m_storeMode = Modes[below(Modes.size())];
        trace("store mode " + std::to_string(static_cast<int>(m_storeMode)));
        after(milliseconds(300, m_storeMode == StoreMode::Silent ? 2500 : 6000),
              [this] { drawStoreFaults(); });
    }

    void drawNodeFaults()
    {
        const Duration left = timeLeft();
        if (left <= Duration(0))
            return;
        Node &node = likelyLeader();
        const Instant until = m_events.now() + std::min(left, milliseconds(200, 4000));
        const std::size_t unusable = static_cast<std::size_t>(std::ranges::count_if(
            m_nodes, [](const auto &one) { return one->isLeaving || one->loss != Loss::None; }));
        switch (below(m_losesNodes ? 9 : 8)) {
        case 0:
        case 1:
            node.pausedUntil = until;
            break;
        case 2:
        case 3:
            node.cutFromStoreUntil = until;
            break;
        case 4:
            node.cutFromPeersUntil = until;
            break;
        case 5:
            runOn(node, Duration(0), [&node] { node.leadership.stepDown(); });
            break;
        case 6:
            if (unusable + 2 < m_nodes.size() && chance(0.3)) {
                node.isLeaving = true;
                runOn(node, Duration(0), [this, &node] { retire(node); });
            }
            break;
        case 7:
            replayAnnouncement(node);
            break;
        default:
            drawLosses(below(m_nodes.size() - unusable));
        }
        after(milliseconds(200, 3000), [this] { drawNodeFaults(); });
    }

    /** Kills @p count nodes that are neither retired nor lost, or lets them lose power, at once. */
    void drawLosses(std::size_t count)
    {
        const Loss loss = chance(0.5) ? Loss::Killed : Loss::PowerLost;
        for (std::size_t lost = 0; lost < count;) {
            const std::size_t number = below(m_nodes.size());
            const Node &node = *m_nodes[number];
            if (node.isLeaving || node.loss != Loss::None)
                continue;
            lose(number, loss);
            ++lost;
        }
    }

    /** Announces a claim to all, as its holder would or has done, now and once more later. */
    void replayAnnouncement(Node &node)
    {
        if (!m_wonBy.contains(node.leadership.claim()))
            return;
        const EntryId &holder = m_wonBy.at(node.leadership.claim());
        const auto from = std::ranges::find_if(
            m_nodes, [&holder](const auto &one) { return one->self.node == holder; });
        const AnnouncementMessage announcement{node.leadership.claim(), holder,
                                               (*from)->self.address};
        for (const auto &one : m_nodes) {
            for (const Duration time : {Duration(0), milliseconds(0, 3000)})
                after(time, [this, &node, &one, announcement] {
                    send(node, *one, [&one, announcement] {
                        one->leadership.handleAnnouncement(announcement);
                    });
                });
        }
    }

    void retire(Node &node)
    {
        if (node.isRetired)
            return;
        trace(node.self.node.value() + " retires");
        node.isRetired = true;
        node.leadership.retire();
        transfer(node, 0);
    }
    void transfer(Node &node, uint32_t offers)
    {
        if (!node.leads)
            return;
        if (offers == MaxTransferOffers)
            return node.leadership.stepDown();
        offer(node, anyNode(), false);
        runOn(node, TransferInterval, [this, &node, offers] { transfer(node, offers + 1); });
    }

    void offer(Node &from, Node &to, bool isStoreUnresponsive)
    {
        if (&from == &to || from.loss != Loss::None)
            return;
        send(from, to,
             [&to, message = HandOverMessage{from.leadership.claim(), isStoreUnresponsive}] {
                 to.leadership.takeOver(message);
             });
    }
    /** Offers a leader's claim to a node, often again while the node's first try is open. */
    void drawOffers()
    {
        if (timeLeft() <= Duration(0))
            return;
        Node &from = likelyLeader();
        Node &to = anyNode();
        if (from.leads) {
            offer(from, to, chance(0.4));
            for (uint64_t more = below(3); more > 0; --more) {
                Node &next = chance(0.7) ? to : anyNode();
                after(milliseconds(0, 1200), [this, &from, &next] {
                    if (from.leads)
                        offer(from, next, chance(0.4));
                });
            }
        }
        after(milliseconds(100, 3000), [this] { drawOffers(); });
    }

    pcg64 m_random;
    bool m_losesNodes = false;
    EventQueue m_events;
    std::map<std::string, StoreEntry> m_values;
    std::map<StoreLeaseId, Lease> m_leases;
    /** The leases of the keys that have one. */
    std::map<std::string, StoreLeaseId> m_leaseOf;
    uint64_t m_revision = 100;
    Revision m_newestClaim;
    std::map<Revision, EntryId> m_writtenBy;
    std::map<Revision, EntryId> m_wonBy;
    StoreMode m_storeMode = StoreMode::Sound;
    Instant m_faultsEndAt;
    Instant m_lastLateWriteAt;
    std::vector<std::string> m_findings;
    std::vector<std::unique_ptr<Node>> m_nodes;
};

} // namespace Cranberrymount
