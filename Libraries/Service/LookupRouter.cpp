#include "Service/LookupRouter.h"

#include "Transport/BootClock.h"

#include <glog/logging.h>

#include <algorithm>

namespace Cranberrymount {

namespace {

constexpr double RetryTokensPerRequest = 0.1;
constexpr double MaxRetryTokens = 100;
constexpr unsigned MaxAttempts = 3;
constexpr Duration SuspectDuration{2000};
constexpr Duration ForwardMargin{200};
constexpr Duration TargetPollPeriod{100};
/** How long an entry's report that it has no target is trusted; about the time until its next
 * heartbeat. */
constexpr Duration NoTargetValidity{500};
/** HTTP status with which a target refuses a request without reading it. */
constexpr int StatusTooManyRequests = 429;

LookupReply notRun(const std::string &reason)
{
    LookupReply reply;
    reply.outcome = LookupReply::NotRun;
    reply.reason = reason;
    return reply;
}

LookupReply unknown(const std::string &reason)
{
    LookupReply reply;
    reply.outcome = LookupReply::Unknown;
    reply.reason = reason;
    return reply;
}

} // namespace

void RetryBudget::recordRequest()
{
    const std::lock_guard lock(m_mutex);
    m_tokens = std::min(MaxRetryTokens, m_tokens + RetryTokensPerRequest);
}

bool RetryBudget::takeRetry()
{
    const std::lock_guard lock(m_mutex);
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

struct LookupRouter::Request
{
    LookupCall call;
    Done done;
    Span span;
    Instant startedAt;
    Instant deadline;
    unsigned attempts = 0;
    std::set<WorkerId> triedTargets;
    std::set<Endpoint> triedPeers;
    /** True once a target may have run the request and did not respond. */
    bool mayHaveRun = false;
};

LookupRouter::LookupRouter(SlotTable &slots, HttpClient &client, PeerNetwork &peers, Tracer &tracer,
                           Metrics &metrics)
    : m_slots(slots)
    , m_client(client)
    , m_peerNetwork(peers)
    , m_tracer(tracer)
    , m_metrics(metrics)
{
}

void LookupRouter::setPeers(std::vector<LookupPeer> peers)
{
    const std::lock_guard lock(m_mutex);
    m_peers = std::move(peers);
}

void LookupRouter::route(LookupCall call, const std::string &trace, Done done)
{
    m_retryBudget.recordRequest();
    auto request = std::make_shared<Request>();
    request->span = m_tracer.begin(call.hops > 0 ? "lookup.route" : "lookup.serve", trace);
    request->span.attributes["queue"] = call.queue.value();
    request->startedAt = bootInstant();
    request->deadline = request->startedAt + call.timeout;
    request->call = std::move(call);
    request->done = std::move(done);
    routeNext(request);
}

void LookupRouter::routeNext(const RequestRef &request)
{
    const Instant now = bootInstant();
    if (now >= request->deadline)
        return finish(request, notRun("no slot became free in time"));
    const bool isForwarded = request->call.hops == 0;
    if (isForwarded || m_slots.freeSlots(now) > 0)
        return takeLocalSlot(request, isForwarded);
    if (const auto peer = choosePeer(request, true))
        return forwardToPeer(request, *peer);
    if (const auto peer = choosePeer(request, false))
        return forwardToPeer(request, *peer);
    if (m_slots.canServe(request->deadline, request->triedTargets))
        return takeLocalSlot(request, true);
    waitForTargets(request);
}

void LookupRouter::waitForTargets(const RequestRef &request)
{
    const Instant now = bootInstant();
    const Instant nextPoll = std::min(request->deadline, now + TargetPollPeriod);
    m_slots.take(now, {nextPoll, true}, request->triedTargets,
                 [this, request, nextPoll](const std::optional<Slot> &slot) {
                     if (slot)
                         return sendToTarget(request, *slot);
                     if (bootInstant() < nextPoll)
                         return finish(request, notRun("too many requests are waiting for a slot"));
                     request->triedPeers.clear();
                     routeNext(request);
                 });
}

std::optional<LookupPeer> LookupRouter::choosePeer(const RequestRef &request, bool sameZone)
{
    const std::lock_guard lock(m_mutex);
    const Instant now = bootInstant();
    std::erase_if(m_peersWithoutTarget, [now](const auto &item) { return item.second <= now; });
    LookupPeer *mostFree = nullptr;
    for (LookupPeer &peer : m_peers) {
        if (peer.sameZone != sameZone || request->triedPeers.contains(peer.address)
            || m_peersWithoutTarget.contains(peer.address))
            continue;
        // A peer in the same zone queues the request if it has no free slot; one in another zone is
        // used only if it has a free slot.
        if (peer.freeSlots == 0 && !sameZone)
            continue;
        if (!mostFree || peer.freeSlots > mostFree->freeSlots)
            mostFree = &peer;
    }
    if (!mostFree)
        return std::nullopt;
    const LookupPeer chosen = *mostFree;
    // Each forwarded request counts as one slot until the next heartbeat reports the free slots.
    if (mostFree->freeSlots > 0)
        --mostFree->freeSlots;
    return chosen;
}

void LookupRouter::forwardToPeer(const RequestRef &request, const LookupPeer &peer)
{
    request->triedPeers.insert(peer.address);
    ++request->attempts;
    LookupCall call = request->call;
    --call.hops;
    call.timeout = std::chrono::duration_cast<Duration>(request->deadline - bootInstant());
    m_metrics.count("lookups_passed_on_total");
    m_peerNetwork.call(
        peer.address, std::move(call), request->span.traceparent(),
        request->call.timeout + ForwardMargin,
        [this, request, address = peer.address](PeerResult result) {
            if (result.outcome == PeerResult::NotSent)
                return retryOrFinish(request,
                                     notRun("the entry that owns the slots could not be reached"));
            if (result.outcome == PeerResult::Unknown) {
                request->mayHaveRun = true;
                return retryOrFinish(request,
                                     unknown("the entry that owns the slots did not answer"));
            }
            auto *reply = std::get_if<LookupReply>(&result.message);
            if (!reply)
                return finish(request,
                              unknown("the entry that owns the slots sent an unexpected reply"));
            if (reply->noTarget && reply->outcome == LookupReply::NotRun)
                return tryNextPeer(request, address);
            if (reply->outcome == LookupReply::Answered)
                return finish(request, std::move(*reply));
            retryOrFinish(request, std::move(*reply));
        });
}

void LookupRouter::tryNextPeer(const RequestRef &request, const Endpoint &from)
{
    {
        const std::lock_guard lock(m_mutex);
        m_peersWithoutTarget[from] = bootInstant() + NoTargetValidity;
    }
    m_metrics.count("lookups_redirected_total");
    --request->attempts;
    routeNext(request);
}

void LookupRouter::takeLocalSlot(const RequestRef &request, bool mayWait)
{
    const Instant now = bootInstant();
    m_slots.take(now, {mayWait ? request->deadline : now}, request->triedTargets,
                 [this, request, mayWait](const std::optional<Slot> &slot) {
                     if (slot)
                         return sendToTarget(request, *slot);
                     // Another request took the last free slot in between: try another entry.
                     if (!mayWait && ++request->attempts < MaxAttempts)
                         return routeNext(request);
                     LookupReply reply = notRun("no slot became free in time");
                     reply.noTarget = !request->mayHaveRun
                         && !m_slots.canServe(request->deadline, request->triedTargets);
                     finish(request, std::move(reply));
                 });
}

void LookupRouter::sendToTarget(const RequestRef &request, const Slot &slot)
{
    ++request->attempts;
    request->triedTargets.insert(slot.worker);
    request->span.attributes["worker"] = slot.worker.value();
    HttpCall call;
    call.method = "POST";
    call.url = slot.url + "/target/" + request->call.queue.value();
    call.body = request->call.body;
    call.headers = {"X-Lease-Epoch: " + std::to_string(slot.epoch.value()),
                    "traceparent: " + request->span.traceparent()};
    call.timeout = std::max(std::chrono::duration_cast<Duration>(request->deadline - bootInstant()),
                            Duration(1));
    call.atMostOnce = !request->call.idempotent;
    m_client.send(std::move(call), [this, request, slot](const HttpResult &result) {
        handleTargetResponse(request, slot, result);
    });
}

void LookupRouter::handleTargetResponse(const RequestRef &request, const Slot &slot,
                                        const HttpResult &result)
{
    const Instant now = bootInstant();
    if (result.outcome == HttpResult::Unknown) {
        // The target may still run the request, for up to the timeout of the queue.
        m_slots.releaseLater(slot, now + request->call.timeout);
        m_slots.suspect(slot.worker, now + SuspectDuration);
        request->mayHaveRun = true;
        return retryOrFinish(request, unknown("the target did not answer: " + result.error));
    }
    m_slots.release(slot, now);
    if (result.outcome == HttpResult::NotSent) {
        m_slots.suspect(slot.worker, now + SuspectDuration);
        return retryOrFinish(request, notRun("the target could not be reached: " + result.error));
    }
    if (result.status == StatusTooManyRequests)
        return retryOrFinish(request, notRun("the target refused the request"));
    LookupReply reply;
    reply.outcome = LookupReply::Answered;
    reply.status = result.status;
    reply.contentType = result.contentType;
    reply.body = result.body;
    reply.worker = slot.worker;
    finish(request, std::move(reply));
}

void LookupRouter::retryOrFinish(const RequestRef &request, LookupReply reply)
{
    const bool mayRepeat = reply.outcome == LookupReply::NotRun || request->call.idempotent;
    if (mayRepeat && request->attempts < MaxAttempts && bootInstant() < request->deadline
        && m_retryBudget.takeRetry()) {
        m_metrics.count("lookup_retries_total");
        return routeNext(request);
    }
    // The last attempt may have been refused, but an earlier one may have run.
    if (request->mayHaveRun)
        reply.outcome = LookupReply::Unknown;
    finish(request, std::move(reply));
}

void LookupRouter::finish(const RequestRef &request, LookupReply reply)
{
    if (request->mayHaveRun && reply.outcome == LookupReply::NotRun)
        reply.outcome = LookupReply::Unknown;
    static const char *const OutcomeNames[] = {"answered", "not_run", "unknown"};
    m_metrics.count(std::string("lookups_") + OutcomeNames[reply.outcome] + "_total");
    m_metrics.observe("lookup_seconds", bootInstant() - request->startedAt);
    request->span.attributes["outcome"] = OutcomeNames[reply.outcome];
    if (!reply.reason.empty())
        request->span.attributes["reason"] = reply.reason;
    if (reply.outcome != LookupReply::Answered) {
        LOG(INFO) << "event=lookup_refused queue=" << request->call.queue.value()
                  << " outcome=" << OutcomeNames[reply.outcome] << " reason=\"" << reply.reason
                  << "\" trace=" << request->span.traceId;
    }
    m_tracer.end(request->span);
    request->done(std::move(reply));
}

} // namespace Cranberrymount
