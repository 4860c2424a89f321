#pragma once

#include "Coordination/SlotTable.h"
#include "Protocol/PeerNetwork.h"
#include "Service/Metrics.h"
#include "Service/Tracer.h"
#include "Transport/HttpClient.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace Cranberrymount {

/** Another entry that can grant slots of targets. */
struct LookupPeer
{
    Endpoint address;
    bool sameZone = false;
    uint32_t freeSlots = 0;
};

/** Token bucket that limits retries to a fraction of the requests, so that they do not add load
 * while targets fail. */
class RetryBudget
{
public:
    /** Adds the tokens for one request. */
    void recordRequest();
    /** @return true if a retry is allowed now; takes its token. */
    bool takeRetry();

private:
    std::mutex m_mutex;
    double m_tokens = 20;
};

/**
 * Routes lookup requests to targets: first with a slot of this entry, then through entries that
 * hold slots in the same zone, then through entries of other zones. Runs on traffic threads.
 *
 * A request that is not idempotent is sent to a second target or entry only if no byte reached the
 * first one, or if that one reported that the request did not run.
 */
class LookupRouter
{
public:
    using Done = std::function<void(LookupReply)>;

    LookupRouter(SlotTable &slots, HttpClient &client, PeerNetwork &peers, Tracer &tracer,
                 Metrics &metrics);

    /** Replaces the other entries that can grant slots. */
    void setPeers(std::vector<LookupPeer> peers);

    void route(LookupCall call, const std::string &trace, Done done);

private:
    struct Request;
    using RequestRef = std::shared_ptr<Request>;

    void routeNext(const RequestRef &request);
    /** Takes a slot of this entry's targets; waits for one until the deadline if @p mayWait. */
    void takeLocalSlot(const RequestRef &request, bool mayWait);
    /** While targets change owners, no entry grants their slots: polls until the deadline for an
     * entry that does. */
    void waitForTargets(const RequestRef &request);
    void forwardToPeer(const RequestRef &request, const LookupPeer &peer);
    void sendToTarget(const RequestRef &request, const Slot &slot);
    void handleTargetResponse(const RequestRef &request, const Slot &slot,
                              const HttpResult &result);
    void finish(const RequestRef &request, LookupReply reply);
    void retryOrFinish(const RequestRef &request, LookupReply reply);
    /** Tries another entry after @p from reported that it has no target. Does not count as a retry:
     * neither that entry nor a target ran anything, and each entry is asked once. */
    void tryNextPeer(const RequestRef &request, const Endpoint &from);
    std::optional<LookupPeer> choosePeer(const RequestRef &request, bool sameZone);

    SlotTable &m_slots;
    HttpClient &m_client;
    PeerNetwork &m_peerNetwork;
    Tracer &m_tracer;
    Metrics &m_metrics;
    RetryBudget m_retryBudget;
    std::mutex m_mutex;
    std::vector<LookupPeer> m_peers;
    /** Entries that reported that they have no target, and until when that report is trusted. */
    std::map<Endpoint, Instant> m_peersWithoutTarget;
};

} // namespace Cranberrymount
