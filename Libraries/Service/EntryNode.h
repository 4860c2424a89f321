#pragma once

#include "Coordination/ClaimBook.h"
#include "Coordination/ConfigurationKeeper.h"
#include "Coordination/MemberTable.h"
#include "Coordination/ShardOwnership.h"
#include "Coordination/SlotTable.h"
#include "Protocol/HttpStore.h"
#include "Protocol/HttpWorkerLink.h"
#include "Protocol/TcpPeerNetwork.h"
#include "Service/InstanceList.h"
#include "Service/LookupRouter.h"
#include "Service/Metrics.h"
#include "Service/Settings.h"
#include "Service/Tracer.h"
#include "Transport/AsioTimerService.h"

#include <atomic>
#include <functional>
#include <memory>
#include <thread>

namespace Cranberrymount {

/** One member's answer to a call that went to all of them. */
struct GatheredReply
{
    EntryId entry;
    ControlReply reply;
};

/** What a call to all members brought. */
struct Gathered
{
    std::vector<GatheredReply> replies;
    /** Members that are alive by their heartbeats and did not answer. */
    std::vector<EntryId> silent;
};

/**
 * One entry instance: all parts of the library, wired. The control thread runs everything that
 * decides; peer links, HTTP and lookups run on traffic threads.
 */
class EntryNode : private ShardContext
{
public:
    explicit EntryNode(Settings settings);
    ~EntryNode();

    EntryNode(const EntryNode &) = delete;
    EntryNode &operator=(const EntryNode &) = delete;

    void start();
    /** Tells balancer and peers that this entry stops soon; new requests still are served. */
    void announceLeaving();
    bool isLeaving() const { return m_leaving; }

    /** Runs @p action on the control thread. */
    void onControl(std::function<void()> action);

    const Settings &settings() const { return m_settings; }
    Metrics &metrics() { return m_metrics; }
    Tracer &tracer() { return m_tracer; }
    LookupRouter &router() { return m_router; }
    SlotTable &slots() { return m_slots; }
    /** @return the configuration if there is recent evidence for it; from any thread. */
    std::shared_ptr<const Configuration> freshConfiguration() const;
    /** @return the latest known configuration; from any thread. */
    std::shared_ptr<const Configuration> latestConfiguration() const;

    // The rest is for the control thread.
    /** Hands back all that this entry holds, then calls @p done. */
    void handBack(std::function<void()> done);
    Store &store() { return m_store; }
    TimerService &timers() { return m_timers; }
    ConfigurationKeeper &configurationKeeper() { return m_configuration; }
    ClaimBook &claims() { return m_claims; }
    RotatingLease &dayLease() { return m_dayLease; }
    const InstanceList &instances() const { return m_instances; }
    /** @return where a new job of @p perTask times @p tasks should have its home. */
    std::optional<ShardId> chooseHomeFor(const Resources &perTask, uint32_t tasks) const;
    /** Calls the owner of @p shard, which may be this entry. */
    void callOwner(const ShardId &shard, const ControlCall &call, const std::string &trace,
                   std::function<void(PeerResult)> done);
    /** Calls every member that is alive, this one included. */
    void gather(const ControlCall &call, const std::string &trace,
                std::function<void(Gathered)> done);
    /** Cuts this entry off from addresses and URLs, for failure tests. */
    void cut(const std::set<std::string> &peers, const std::vector<std::string> &urls);

private:
    const Configuration &configuration() const override;
    bool isConfigurationFresh() const override;
    std::vector<ShardCandidate> otherShards() const override;
    void offerMove(const ShardId &from, const OutgoingMove &move,
                   std::function<void(MoveAnswer)> done) override;

    void peerMessage(PeerMessage message, const std::string &trace,
                     std::function<void(PeerMessage)> reply);
    void heard(const Heartbeat &heartbeat);
    void control(const ControlCall &call, std::function<void(ControlReply)> reply);
    void admitHere(const std::string &body, std::function<void(ControlReply)> reply);
    void cancelHere(const std::string &body, std::function<void(ControlReply)> reply);
    void adoptHere(const std::string &body, std::function<void(ControlReply)> reply);
    std::string jobHere(const std::string &id) const;
    std::string jobsHere() const;
    std::string statusHere() const;
    std::string evidenceHere() const;

    void beat();
    Heartbeat heartbeat() const;
    void updateSlots();
    Duration slotQuarantine() const;
    void updatePeers();
    void askPeersForEvidence();
    void publishConfiguration();
    ShardId shardOf(const WorkerInfo &worker) const;
    std::vector<ShardCandidate> candidates(bool withOwn) const;

    Settings m_settings;
    Metrics m_metrics;
    Tracer m_tracer;
    asio::io_context m_control;
    asio::io_context m_traffic;
    asio::executor_work_guard<asio::io_context::executor_type> m_controlGuard;
    asio::executor_work_guard<asio::io_context::executor_type> m_trafficGuard;
    AsioTimerService m_timers;
    HttpClient m_controlClient;
    HttpClient m_trafficClient;
    HttpStore m_store;
    HttpWorkerLink m_workers;
    SlotTable m_slots;
    TcpPeerNetwork m_peers;
    LookupRouter m_router;
    MemberTable m_members;
    ConfigurationKeeper m_configuration;
    ClaimBook m_claims;
    RotatingLease m_dayLease;
    ShardOwnership m_ownership;
    InstanceList m_instances;
    std::atomic<bool> m_leaving = false;

    mutable std::mutex m_publishedMutex;
    std::shared_ptr<const Configuration> m_published;
    Instant m_publishedFreshUntil;

    std::thread m_controlThread;
    std::thread m_trafficThread;
};

} // namespace Cranberrymount
