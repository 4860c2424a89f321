#pragma once

#include "Coordination/ConfigurationManager.h"
#include "Coordination/MemberTable.h"
#include "Coordination/ShardOwnership.h"
#include "Protocol/Json.h"
#include "Protocol/PeerNetwork.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace Cranberrymount {

/** One member's reply to a call that went to all members. */
struct GatheredReply
{
    EntryId entry;
    ControlReply reply;
};

/** The replies to a call that went to all members. */
struct GatheredReplies
{
    std::vector<GatheredReply> replies;
    /** Members that did not answer although their heartbeats show them alive. */
    std::vector<EntryId> unresponsive;
};

/** Outcome of a cancellation. */
enum class CancelOutcome {
    /** Every shard has recorded it: no further task of the job starts anywhere. */
    Cancelled,
    NoSuchJob,
    /** Some shard did not record it; the job may continue there. */
    Unknown,
};

/**
 * The decision logic of one entry instance, which reaches the outside only through four interfaces:
 * store, workers, peers and time. Runs on one thread; tests drive it in virtual time.
 */
class ControlPlane : private ShardContext
{
public:
    struct Settings
    {
        std::vector<Endpoint> peers;
        uint32_t shardsPerZone = 1;
        Duration heartbeatPeriod{1000};
        ConfigurationManager::Settings configuration;
        /** Also holds the name, zone and address of this entry. */
        ShardOwnership::Settings ownership;
    };

    ControlPlane(Store &store, WorkerLink &workers, PeerNetwork &peers, TimerService &timers,
                 Settings settings);

    void start();
    /** Announces to the peers that this entry stops soon. */
    void announceLeaving();
    bool isLeaving() const { return m_leaving; }
    /** Releases everything that this entry holds, then calls @p done. */
    void releaseAll(std::function<void()> done);

    /** Applies the platform's list of workers. */
    void setListed(InstanceListVersion version, const std::vector<WorkerInfo> &workers);
    /** Sets the number of free slots that heartbeats report. */
    void setFreeSlots(uint32_t freeSlots) { m_freeSlots = freeSlots; }

    /** Handles a heartbeat from a peer. */
    void recordHeartbeat(const Heartbeat &heartbeat);
    /** Answers a call from a peer or from this entry itself. */
    void control(const ControlCall &call, std::function<void(ControlReply)> reply);

    /** @return the shard for a new job of @p tasks tasks that need @p perTask each, if any. */
    std::optional<ShardId> chooseHomeFor(const Resources &perTask, uint32_t tasks) const;
    /** Calls the owner of @p shard, which may be this entry. */
    void callOwner(const ShardId &shard, const ControlCall &call, const std::string &trace,
                   std::function<void(PeerResult)> done);
    /** Calls every member that is alive, this one included. */
    void gather(const ControlCall &call, const std::string &trace,
                std::function<void(GatheredReplies)> done);

    /** Cancels a job on all shards. */
    void cancelJob(Cancellation wanted, const std::string &trace,
                   std::function<void(CancelOutcome)> done);
    /** @return the listed shards that no live member is known to own. */
    std::vector<ShardId> shardsWithoutOwner() const;

    ConfigurationManager &configurationManager() { return m_configuration; }
    const ConfigurationManager &configurationManager() const { return m_configuration; }
    const ShardOwnership &ownership() const { return m_ownership; }
    /** @return the members with a recent heartbeat, without this entry. */
    std::vector<Member> members() const;
    /** Adds a method that peers may call; the reply is status 200 with what @p answer returns. */
    void addMethod(const std::string &name, std::function<std::string(const std::string &)> answer);
    /** Sets a callback that adds figures of this entry to the reply of the method "status". */
    void setStatusExtra(std::function<void(Json &)> extra);
    void onConfigurationChange(std::function<void()> callback);

private:
    const Configuration &configuration() const override;
    bool isConfigurationFresh() const override;
    std::vector<ShardCandidate> otherShards() const override;
    void offerMove(const ShardId &from, const OutgoingMove &move,
                   std::function<void(MoveOutcome)> done) override;

    void handleAdmit(const std::string &body, std::function<void(ControlReply)> reply);
    void handleCancel(const std::string &body, std::function<void(ControlReply)> reply);
    void runCancelRound(const Cancellation &wanted, const std::string &trace,
                        std::function<void(CancelOutcome)> done);
    void handleAdopt(const std::string &body, std::function<void(ControlReply)> reply);
    std::string localJobViews(const std::string &id) const;
    std::string localJobSummaries() const;
    std::string localStatus() const;
    std::string answerEvidence(const std::string &body);

    /** Sends a heartbeat to all known addresses and asks peers for evidence. */
    void beat();
    Heartbeat heartbeat() const;
    void askPeersForEvidence();
    void applyPeerEvidence(const EntryId &peer, const PeerResult &result, Instant askedAt);
    ShardId shardOf(const WorkerInfo &worker) const;
    std::vector<ShardCandidate> shardCandidates(bool withOwn) const;

    PeerNetwork &m_peers;
    TimerService &m_timers;
    const EntryId &self() const { return m_settings.ownership.self; }
    const ZoneId &zone() const { return m_settings.ownership.zone; }
    const Endpoint &address() const { return m_settings.ownership.address; }

    Settings m_settings;
    MemberTable m_members;
    ConfigurationManager m_configuration;
    ShardOwnership m_ownership;
    /** The shards of all workers on the platform's list. */
    std::set<ShardId> m_listedShards;
    uint32_t m_freeSlots = 0;
    bool m_leaving = false;
    std::function<void(Json &)> m_statusExtra;
    std::map<std::string, std::function<std::string(const std::string &)>> m_methods;
    std::function<void()> m_onConfigurationChange;
};

} // namespace Cranberrymount
