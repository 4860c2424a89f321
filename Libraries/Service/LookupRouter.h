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

/** Another entry that hands out slots. */
struct LookupPeer
{
    Endpoint address;
    bool sameZone = false;
    uint32_t freeSlots = 0;
};

/** Allows retries up to a part of the requests, so that a failing fleet is not loaded further. */
class RetryBudget
{
public:
    void recordRequest();
    /** @return true if one more retry may be made now. */
    bool takeRetry();

private:
    std::mutex m_mutex;
    double m_tokens = 20;
};

/**
 * Takes lookup requests to a target: a slot of this entry's own first, then the entries that hold
 * slots in the same zone, then other zones. Runs on traffic threads.
 *
 * A request that is not idempotent leaves this process for a target at most once, and is passed on
 * to another entry again only if no byte reached the first.
 */
class LookupRouter
{
public:
    using Done = std::function<void(LookupReply)>;

    LookupRouter(SlotTable &slots, HttpClient &client, PeerNetwork &peers, Tracer &tracer,
                 Metrics &metrics);

    /** Replaces the other entries that slots can be had from. */
    void setPeers(std::vector<LookupPeer> peers);

    void route(LookupCall call, const std::string &trace, Done done);

private:
    struct Request;
    using RequestRef = std::shared_ptr<Request>;

    void routeNext(const RequestRef &request);
    void takeLocalSlot(const RequestRef &request, bool mayWait);
    void waitForTargets(const RequestRef &request);
    void forwardToPeer(const RequestRef &request, const LookupPeer &peer);
    void sendToTarget(const RequestRef &request, const Slot &slot);
    void handleTargetResponse(const RequestRef &request, const Slot &slot,
                              const HttpResult &result);
    void finish(const RequestRef &request, LookupReply reply);
    void retryOrFinish(const RequestRef &request, LookupReply reply);
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
    /** Entries that said to have no target, and until when that is believed. */
    std::map<Endpoint, Instant> m_peersWithoutTarget;
};

} // namespace Cranberrymount
