#pragma once

#include "Coordination/ConfigurationKeeper.h"
#include "Coordination/MemberTable.h"
#include "Coordination/ShardOwnership.h"
#include "Protocol/Json.h"
#include "Protocol/PeerNetwork.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

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

/** What became of a cancellation. */
enum class CancelOutcome {
    /** Every shard has recorded it: no further task of the job starts anywhere. */
    Cancelled,
    NoSuchJob,
    /** Some shard did not record it; the job may go on there. */
    Unknown,
};

/**
 * Everything that one entry instance decides, behind four interfaces: store, workers, peers and
 * time. Runs on one thread; tests drive it through virtual time.
 */
class ControlPlane : private ShardContext
{
public:
    struct Settings
    {
        std::vector<Endpoint> peers;
        uint32_t shardsPerZone = 1;
        Duration heartbeatPeriod{1000};
        ConfigurationKeeper::Settings configuration;
        /** Also names this entry, its zone and its address. */
        ShardOwnership::Settings ownership;
    };

    ControlPlane(Store &store, WorkerLink &workers, PeerNetwork &peers, TimerService &timers,
                 Settings settings);

    void start();
    /** Tells the peers that this entry stops soon. */
    void announceLeaving();
    bool isLeaving() const { return m_leaving; }
    /** Hands back all that this entry holds, then calls @p done. */
    void handBack(std::function<void()> done);

    /** Takes the platform's list of workers in. */
    void setListed(ListVersion version, const std::vector<WorkerInfo> &workers);
    /** Sets how many slots the heartbeats tell of. */
    void setFreeSlots(uint32_t freeSlots) { m_freeSlots = freeSlots; }

    void heard(const Heartbeat &heartbeat);
    /** Answers a call from a peer or from this entry itself. */
    void control(const ControlCall &call, std::function<void(ControlReply)> reply);

    /** @return where a new job of @p tasks tasks of @p perTask should have its home. */
    std::optional<ShardId> chooseHomeFor(const Resources &perTask, uint32_t tasks) const;
    /** Calls the owner of @p shard, which may be this entry. */
    void callOwner(const ShardId &shard, const ControlCall &call, const std::string &trace,
                   std::function<void(PeerResult)> done);
    /** Calls every member that is alive, this one included. */
    void gather(const ControlCall &call, const std::string &trace,
                std::function<void(Gathered)> done);

    /** Cancels a job on all shards. */
    void cancelJob(Cancellation wanted, const std::string &trace,
                   std::function<void(CancelOutcome)> done);
    /** @return the listed shards that no live member is known to own. */
    std::vector<ShardId> shardsWithoutOwner() const;

    ConfigurationKeeper &configurationKeeper() { return m_configuration; }
    const ConfigurationKeeper &configurationKeeper() const { return m_configuration; }
    const ShardOwnership &ownership() const { return m_ownership; }
    /** @return the members that were heard lately. */
    std::vector<Member> members() const;
    /** Adds a method that peers may call, answered with status 200 by what @p answer returns. */
    void addMethod(const std::string &name, std::function<std::string(const std::string &)> answer);
    /** Adds figures of this entry to what the method "status" answers. */
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
    ConfigurationKeeper m_configuration;
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
