#include "Service/EntryApi.h"

#include "Protocol/ProtocolError.h"
#include "Service/KeyHash.h"

#include <glog/logging.h>

#include <algorithm>

namespace Cranberrymount {

namespace {

const std::string LookupPrefix = "/lookup/";
const std::string JobsPrefix = "/jobs";
const std::string PlansPrefix = "/plans";
const std::string RequestsPrefix = "/requests/";
constexpr std::size_t NonceBytes = 8;

HttpResponse jsonResponse(int status, const Json &body)
{
    // A request's path, which an error may quote, need not be UTF-8.
    HttpResponse response{status, body.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n"};
    if (body.is_object() && body.contains("outcome"))
        response.headers["X-Outcome"] = body.at("outcome").get<std::string>();
    return response;
}

HttpResponse refusal(int status, const std::string &reason)
{
    return jsonResponse(status, {{"outcome", "not-run"}, {"error", reason}});
}

HttpResponse lookupResponse(const LookupReply &reply)
{
    switch (reply.outcome) {
    case LookupReply::Answered: {
        HttpResponse response{reply.status, reply.body, reply.contentType};
        response.headers["X-Outcome"] = "answered";
        response.headers["X-Worker"] = reply.worker.value();
        return response;
    }
    case LookupReply::NotRun: {
        HttpResponse response = refusal(503, reply.reason);
        response.headers["Retry-After"] = "1";
        return response;
    }
    case LookupReply::Unknown:
        break;
    }
    return jsonResponse(504,
                        {{"outcome", "unknown"},
                         {"error", reply.reason},
                         {"next", "repeat with the same Idempotency-Key to learn the outcome"}});
}

PlanApi::Done respondWith(const HttpResponder &respond)
{
    return [respond](const JsonResponse &response) {
        respond(jsonResponse(response.status, response.body));
    };
}

std::optional<TeamId> teamOfKey(const Configuration &configuration, const std::string &key)
{
    if (key.empty())
        return std::nullopt;
    const std::string hash = hashKey(key);
    for (const auto &[id, team] : configuration.teams) {
        if (team.keyHashes.contains(hash))
            return id;
    }
    return std::nullopt;
}

} // namespace

EntryApi::EntryApi(EntryNode &node)
    : m_node(node)
    , m_plans(node)
    , m_jobs(node)
{
}

void EntryApi::handle(HttpRequest request, HttpResponder respond)
{
    const std::string path = request.path;
    if (path.starts_with(LookupPrefix))
        return lookup(std::move(request), std::move(respond), path.substr(LookupPrefix.size()));
    if (path == JobsPrefix || path.starts_with(JobsPrefix + "/"))
        return jobs(request, respond, path.substr(JobsPrefix.size()));
    if (path == PlansPrefix || path.starts_with(PlansPrefix + "/"))
        return plans(request, respond, path.substr(PlansPrefix.size()));
    if (path == "/status")
        return status(respond);
    if (path == "/metrics")
        return respond({200, m_node.metrics().prometheusText(), "text/plain; version=0.0.4"});
    if (path == "/traces")
        return respond({200, m_node.tracer().exportJson()});
    if (path == "/healthz") {
        const bool isLeaving = m_node.isLeaving();
        return respond({isLeaving ? 503 : 200, Json{{"leaving", isLeaving}}.dump() + "\n"});
    }
    if (path.starts_with(RequestsPrefix) && request.method == "GET")
        return explainRequest(respond, path.substr(RequestsPrefix.size()));
    if (path == "/faults")
        return injectFaults(request, respond);
    respond(refusal(404, "no such path; see docs/Api.md"));
}

bool EntryApi::isOperator(const HttpRequest &request) const
{
    const std::string key = request.header("X-Operator-Key");
    return !key.empty() && hashKey(key) == m_node.settings().operatorKeyHash;
}

void EntryApi::runOnControlThread(const HttpResponder &respond, std::function<void()> action)
{
    m_node.runOnControlThread([respond, action = std::move(action)] {
        try {
            action();
        } catch (const ProtocolError &error) {
            respond(refusal(400, error.what()));
        } catch (const Json::exception &error) {
            respond(refusal(400, error.what()));
        }
    });
}

void EntryApi::lookup(HttpRequest request, HttpResponder respond, const std::string &queueName)
{
    const Span span = m_node.tracer().begin("lookup", request.header("traceparent"));
    respond = [this, span, respond = std::move(respond)](const HttpResponse &response) {
        respond(endLookupSpan(response, span));
    };
    if (request.method != "POST")
        return respond(refusal(405, "lookup requests must use POST"));
    const auto latest = m_node.latestConfiguration();
    const auto queue = latest->queues.find(QueueId(queueName));
    if (queue == latest->queues.end()) {
        const bool hasNone = latest->revision == Revision();
        return respond(hasNone ? refusal(503, "this entry has no configuration yet")
                               : refusal(404, "no queue '" + queueName + "'"));
    }
    std::string scope = queueName;
    if (!queue->second.open) {
        const auto fresh = m_node.freshConfiguration();
        if (!fresh)
            return respond(refusal(503, "keys cannot be checked: no recent configuration"));
        const auto team = teamOfKey(*fresh, request.header("X-Team-Key"));
        if (!team)
            return respond(refusal(401, "the key is missing, unknown or withdrawn"));
        if (!queue->second.teams.contains(*team))
            return respond(refusal(403, "team " + team->value() + " may not use this queue"));
        scope += "/" + team->value();
    }
    const std::string idempotentHeader = request.header("X-Idempotent");
    if (!idempotentHeader.empty() && idempotentHeader != "true" && idempotentHeader != "false")
        return respond(refusal(400, "X-Idempotent must be true or false"));
    LookupCall call;
    call.queue = QueueId(queueName);
    call.idempotent = idempotentHeader == "true";
    call.timeout = Duration(queue->second.timeoutMs);
    const std::string key = request.header("Idempotency-Key");
    if (!key.empty() && !call.idempotent) {
        return routeWithIdempotencyKey(std::move(request), respond, std::move(call),
                                       hashKey(scope + "/" + key), span);
    }
    call.body = std::move(request.body);
    m_node.router().route(std::move(call), span.traceparent(),
                          [respond = std::move(respond)](const LookupReply &reply) {
                              respond(lookupResponse(reply));
                          });
}

HttpResponse EntryApi::endLookupSpan(HttpResponse response, Span span)
{
    span.attributes["status"] = std::to_string(response.status);
    const auto outcome = response.headers.find("X-Outcome");
    if (outcome != response.headers.end())
        span.attributes["outcome"] = outcome->second;
    if (outcome != response.headers.end() && outcome->second != "answered")
        span.attributes["reason"] = parseJson(response.body).value("error", "");
    response.headers["X-Request-Id"] = span.traceId;
    m_node.tracer().end(std::move(span));
    return response;
}

void EntryApi::explainRequest(const HttpResponder &respond, const std::string &id)
{
    runOnControlThread(respond, [this, id, respond] {
        m_node.controlPlane().gather(
            {"trace", id}, {},
            answering(respondWith(respond), [id, respond](const GatheredReplies &gathered) {
                Json hops = Json::array();
                for (const GatheredReply &reply : gathered.replies) {
                    for (const Json &hop : parseJson(reply.reply.body))
                        hops.push_back(hop);
                }
                if (hops.empty())
                    return respond(
                        jsonResponse(404, {{"error", "no entry has a record of request " + id}}));
                std::sort(hops.begin(), hops.end(), [](const Json &left, const Json &right) {
                    return left.at("begun_ns") < right.at("begun_ns");
                });
                respond(jsonResponse(200,
                                     {{"id", id},
                                      {"hops", hops},
                                      {"silent_entries", gathered.unresponsive.size()}}));
            }));
    });
}

void EntryApi::routeWithIdempotencyKey(HttpRequest request, const HttpResponder &respond,
                                       LookupCall call, const std::string &scope, const Span &span)
{
    const std::string digest = hashKey(request.body);
    const std::string nonce = m_node.tracer().randomHex(NonceBytes);
    call.body = std::move(request.body);
    const auto claimed = [=, this, call = std::move(call)](const ClaimResult &claim) {
        switch (claim.outcome) {
        case ClaimResult::Claimed:
            break;
        case ClaimResult::Replayed: {
            HttpResponse response = lookupResponse(claim.reply);
            response.headers["X-Replayed"] = "true";
            return respond(response);
        }
        case ClaimResult::InDoubt:
            return respond(jsonResponse(
                409,
                {{"outcome", "unknown"},
                 {"error", "another request with this key is in flight or its outcome was lost"}}));
        case ClaimResult::Mismatch:
            return respond(refusal(422, "this Idempotency-Key was used with another body"));
        case ClaimResult::NotRun:
            return respond(refusal(503, "the key cannot be claimed: the store cannot be reached"));
        }
        m_node.router().route(call, span.traceparent(), [=, this](const LookupReply &reply) {
            // Recorded before the response is sent, so that a later repeat gets the same response.
            m_node.runOnControlThread([=, this] {
                m_node.claims().recordOutcome(scope, reply,
                                              [=] { respond(lookupResponse(reply)); });
            });
        });
    };
    m_node.runOnControlThread([=, this] { m_node.claims().claim(scope, digest, nonce, claimed); });
}

void EntryApi::jobs(const HttpRequest &request, const HttpResponder &respond,
                    const std::string &rest)
{
    const auto fresh = m_node.freshConfiguration();
    const std::string key = request.header("X-Team-Key");
    const auto team = teamOfKey(fresh ? *fresh : Configuration(), key);
    if (!team && !isOperator(request)) {
        return respond(fresh ? refusal(401, "the key is missing, unknown or withdrawn")
                             : refusal(503, "keys cannot be checked: no recent configuration"));
    }
    const Span span = m_node.tracer().begin("jobs", request.header("traceparent"));
    const std::string trace = span.traceparent();
    const JobId id(rest.empty() ? rest : rest.substr(1));
    const TeamId visibleTeam = isOperator(request) ? TeamId() : *team;
    const auto done = [this, span, respond](const JsonResponse &response) {
        respond(jsonResponse(response.status, response.body));
        m_node.tracer().end(span);
    };
    if (rest.empty() && request.method == "POST") {
        if (!team)
            return respond(refusal(403, "submitting a job requires a team's key"));
        return runOnControlThread(respond, [this, body = request.body, team = *team, trace, done] {
            m_jobs.submit(parseJson(body), team, trace, done);
        });
    }
    if (rest.empty() && request.method == "GET")
        return runOnControlThread(respond, [=, this] { m_jobs.list(visibleTeam, trace, done); });
    if (!id.isEmpty() && request.method == "GET")
        return runOnControlThread(respond,
                                  [=, this] { m_jobs.show(id, visibleTeam, trace, done); });
    if (!id.isEmpty() && request.method == "DELETE")
        return runOnControlThread(respond,
                                  [=, this] { m_jobs.cancel(id, visibleTeam, trace, done); });
    respond(refusal(405, "jobs support only POST, GET and DELETE"));
}

void EntryApi::plans(const HttpRequest &request, const HttpResponder &respond,
                     const std::string &rest)
{
    if (!isOperator(request))
        return respond(refusal(401, "plans require a valid X-Operator-Key"));
    const auto done = respondWith(respond);
    if (rest.empty() && request.method == "POST") {
        const std::string trace = request.header("traceparent");
        return runOnControlThread(respond, [this, body = request.body, trace, done] {
            m_plans.create(parseJson(body), trace, done);
        });
    }
    const auto slash = rest.find('/', 1);
    const PlanId id(rest.empty() ? rest : rest.substr(1, slash - 1));
    const std::string verb = slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (!id.isEmpty() && verb.empty() && request.method == "GET")
        return runOnControlThread(respond, [this, id, done] { m_plans.show(id, done); });
    if (!id.isEmpty() && (verb == "confirm" || verb == "reject") && request.method == "POST") {
        const auto decision = verb == "confirm" ? PlanDecision::Confirmed : PlanDecision::Rejected;
        LOG(INFO) << "event=plan_decision plan=" << id.value() << " decision=" << verb;
        return runOnControlThread(
            respond, [this, id, decision, done] { m_plans.decide(id, decision, done); });
    }
    respond(refusal(
        404, "plans support only POST /plans, GET /plans/ID, POST /plans/ID/confirm or reject"));
}

void EntryApi::status(const HttpResponder &respond)
{
    runOnControlThread(respond, [this, respond] {
        m_node.controlPlane().gather(
            {"status", {}}, {},
            answering(respondWith(respond), [this, respond](const GatheredReplies &gathered) {
                Json entries = Json::array();
                for (const GatheredReply &reply : gathered.replies)
                    entries.push_back(parseJson(reply.reply.body));
                Json unresponsive = Json::array();
                for (const EntryId &entry : gathered.unresponsive)
                    unresponsive.push_back(entry.value());
                const Configuration &configuration =
                    *m_node.controlPlane().configurationManager().configuration();
                const auto age = m_node.controlPlane().configurationManager().evidenceAge();
                Json zonesOutOfService = Json::array();
                for (const ZoneId &zone : configuration.zonesOutOfService)
                    zonesOutOfService.push_back(zone.value());
                respond(jsonResponse(200,
                                     {{"answered_by", m_node.settings().entry.value()},
                                      {"configuration_revision", configuration.revision.value()},
                                      {"configuration_age_ms", age ? age->count() : -1},
                                      {"zones_out", zonesOutOfService},
                                      {"entries", entries},
                                      {"silent_entries", unresponsive}}));
            }));
    });
}

void EntryApi::injectFaults(const HttpRequest &request, const HttpResponder &respond)
{
    if (!m_node.settings().faultsAllowed || request.method != "POST")
        return respond(refusal(404, "no such path; see docs/Api.md"));
    runOnControlThread(respond, [this, body = request.body, respond] {
        const Json json = parseJson(body);
        m_node.isolateFrom(json.value("peers", std::set<std::string>()),
                           json.value("urls", std::vector<std::string>()));
        respond({200, "{}\n"});
    });
}

} // namespace Cranberrymount
