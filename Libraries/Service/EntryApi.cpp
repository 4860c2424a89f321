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
constexpr std::size_t RequestIdBytes = 8;

HttpAnswer jsonAnswer(int status, const Json &body)
{
    HttpAnswer answer{status, body.dump() + "\n"};
    if (body.is_object() && body.contains("outcome"))
        answer.headers["X-Outcome"] = body.at("outcome").get<std::string>();
    return answer;
}

HttpAnswer refusal(int status, const std::string &reason)
{
    return jsonAnswer(status, {{"outcome", "not-run"}, {"error", reason}});
}

HttpAnswer lookupAnswer(const LookupReply &reply)
{
    switch (reply.outcome) {
    case LookupReply::Answered: {
        HttpAnswer answer{reply.status, reply.body, reply.contentType};
        answer.headers["X-Outcome"] = "answered";
        answer.headers["X-Worker"] = reply.worker.value();
        return answer;
    }
    case LookupReply::NotRun: {
        HttpAnswer answer = refusal(503, reply.reason);
        answer.headers["Retry-After"] = "1";
        return answer;
    }
    case LookupReply::Unknown:
        break;
    }
    return jsonAnswer(504,
                      {{"outcome", "unknown"},
                       {"error", reply.reason},
                       {"next", "repeat with the same Idempotency-Key to learn the outcome"}});
}

PlanBook::Done answerWith(const HttpRespond &respond)
{
    return [respond](const OperatorAnswer &answer) {
        respond(jsonAnswer(answer.status, answer.body));
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

void EntryApi::handle(HttpIncoming request, HttpRespond respond)
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
        return respond({200, m_node.metrics().page(), "text/plain; version=0.0.4"});
    if (path == "/traces")
        return respond({200, m_node.tracer().exportJson()});
    if (path == "/healthz") {
        const bool isLeaving = m_node.isLeaving();
        return respond({isLeaving ? 503 : 200, Json{{"leaving", isLeaving}}.dump() + "\n"});
    }
    if (path.starts_with(RequestsPrefix) && request.method == "GET")
        return explainRequest(respond, path.substr(RequestsPrefix.size()));
    if (path == "/faults")
        return faults(request, respond);
    respond(refusal(404, "no such path; see docs/Api.md"));
}

bool EntryApi::isOperator(const HttpIncoming &request) const
{
    const std::string key = request.header("X-Operator-Key");
    return !key.empty() && hashKey(key) == m_node.settings().operatorKeyHash;
}

void EntryApi::onControl(const HttpRespond &respond, std::function<void()> action)
{
    m_node.onControl([respond, action = std::move(action)] {
        try {
            action();
        } catch (const ProtocolError &error) {
            respond(refusal(400, error.what()));
        } catch (const Json::exception &error) {
            respond(refusal(400, error.what()));
        }
    });
}

void EntryApi::lookup(HttpIncoming request, HttpRespond respond, const std::string &queueName)
{
    const Span span = m_node.tracer().begin("lookup", request.header("traceparent"));
    respond = [this, span, respond = std::move(respond)](const HttpAnswer &answer) {
        respond(traced(answer, span));
    };
    if (request.method != "POST")
        return respond(refusal(405, "lookup requests use POST"));
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
    const std::string asked = request.header("X-Idempotent");
    if (!asked.empty() && asked != "true" && asked != "false")
        return respond(refusal(400, "X-Idempotent takes true or false"));
    LookupCall call;
    call.queue = QueueId(queueName);
    call.idempotent = asked == "true";
    call.timeout = Duration(queue->second.timeoutMs);
    const std::string key = request.header("Idempotency-Key");
    if (!key.empty() && !call.idempotent) {
        return sendClaimed(std::move(request), respond, std::move(call), hashKey(scope + "/" + key),
                           span);
    }
    call.body = std::move(request.body);
    m_node.router().route(
        std::move(call), span.traceparent(),
        [respond = std::move(respond)](const LookupReply &reply) { respond(lookupAnswer(reply)); });
}

/** Ends the span of a lookup request and names it to the caller, who may ask to explain it. */
HttpAnswer EntryApi::traced(HttpAnswer answer, Span span)
{
    span.attributes["status"] = std::to_string(answer.status);
    const auto outcome = answer.headers.find("X-Outcome");
    if (outcome != answer.headers.end())
        span.attributes["outcome"] = outcome->second;
    if (outcome != answer.headers.end() && outcome->second != "answered")
        span.attributes["reason"] = parseJson(answer.body).value("error", "");
    answer.headers["X-Request-Id"] = span.traceId;
    m_node.tracer().end(std::move(span));
    return answer;
}

void EntryApi::explainRequest(const HttpRespond &respond, const std::string &id)
{
    onControl(respond, [this, id, respond] {
        m_node.plane().gather({"trace", id}, {}, [id, respond](const Gathered &all) {
            Json hops = Json::array();
            for (const GatheredReply &reply : all.replies) {
                for (const Json &hop : parseJson(reply.reply.body))
                    hops.push_back(hop);
            }
            if (hops.empty())
                return respond(jsonAnswer(404, {{"error", "no entry remembers request " + id}}));
            std::sort(hops.begin(), hops.end(), [](const Json &left, const Json &right) {
                return left.at("begun_ns") < right.at("begun_ns");
            });
            respond(jsonAnswer(
                200, {{"id", id}, {"hops", hops}, {"silent_entries", all.silent.size()}}));
        });
    });
}

void EntryApi::sendClaimed(HttpIncoming request, const HttpRespond &respond, LookupCall call,
                           const std::string &scope, const Span &span)
{
    const std::string digest = hashKey(request.body);
    const std::string nonce = m_node.tracer().randomHex(RequestIdBytes);
    call.body = std::move(request.body);
    const auto claimed = [=, this, call = std::move(call)](const ClaimResult &claim) {
        switch (claim.outcome) {
        case ClaimResult::Claimed:
            break;
        case ClaimResult::Replayed: {
            HttpAnswer answer = lookupAnswer(claim.reply);
            answer.headers["X-Replayed"] = "true";
            return respond(answer);
        }
        case ClaimResult::InDoubt:
            return respond(jsonAnswer(
                409,
                {{"outcome", "unknown"},
                 {"error", "another try with this key is under way or its outcome is lost"}}));
        case ClaimResult::Mismatch:
            return respond(refusal(422, "this Idempotency-Key was used with another body"));
        case ClaimResult::NotRun:
            return respond(refusal(503, "the key cannot be claimed: the store is out of reach"));
        }
        m_node.router().route(call, span.traceparent(), [=, this](const LookupReply &reply) {
            // Recorded first, so that a repeat after this answer is told the same.
            m_node.onControl([=, this] {
                m_node.claims().settle(scope, reply, [=] { respond(lookupAnswer(reply)); });
            });
        });
    };
    m_node.onControl([=, this] { m_node.claims().claim(scope, digest, nonce, claimed); });
}

void EntryApi::jobs(const HttpIncoming &request, const HttpRespond &respond,
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
    const TeamId seen = isOperator(request) ? TeamId() : *team;
    const auto done = [this, span, respond](const OperatorAnswer &answer) {
        respond(jsonAnswer(answer.status, answer.body));
        m_node.tracer().end(span);
    };
    if (rest.empty() && request.method == "POST") {
        if (!team)
            return respond(refusal(403, "a job is submitted with a team's key"));
        return onControl(respond, [this, body = request.body, team = *team, trace, done] {
            m_jobs.submit(parseJson(body), team, trace, done);
        });
    }
    if (rest.empty() && request.method == "GET")
        return onControl(respond, [=, this] { m_jobs.list(seen, trace, done); });
    if (!id.isEmpty() && request.method == "GET")
        return onControl(respond, [=, this] { m_jobs.show(id, seen, trace, done); });
    if (!id.isEmpty() && request.method == "DELETE")
        return onControl(respond, [=, this] { m_jobs.cancel(id, seen, trace, done); });
    respond(refusal(405, "jobs take POST, GET and DELETE"));
}

void EntryApi::plans(const HttpIncoming &request, const HttpRespond &respond,
                     const std::string &rest)
{
    if (!isOperator(request))
        return respond(refusal(401, "operators show X-Operator-Key"));
    const auto done = answerWith(respond);
    if (rest.empty() && request.method == "POST") {
        const std::string trace = request.header("traceparent");
        return onControl(respond, [this, body = request.body, trace, done] {
            m_plans.create(parseJson(body), trace, done);
        });
    }
    const auto slash = rest.find('/', 1);
    const PlanId id(rest.empty() ? rest : rest.substr(1, slash - 1));
    const std::string verb = slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (!id.isEmpty() && verb.empty() && request.method == "GET")
        return onControl(respond, [this, id, done] { m_plans.show(id, done); });
    if (!id.isEmpty() && (verb == "confirm" || verb == "reject") && request.method == "POST") {
        const auto decision = verb == "confirm" ? PlanDecision::Confirmed : PlanDecision::Rejected;
        LOG(INFO) << "event=plan_decision plan=" << id.value() << " decision=" << verb;
        return onControl(respond,
                         [this, id, decision, done] { m_plans.decide(id, decision, done); });
    }
    respond(
        refusal(404, "plans take POST /plans, GET /plans/ID, POST /plans/ID/confirm or reject"));
}

void EntryApi::status(const HttpRespond &respond)
{
    onControl(respond, [this, respond] {
        m_node.plane().gather({"status", {}}, {}, [this, respond](const Gathered &all) {
            Json entries = Json::array();
            for (const GatheredReply &reply : all.replies)
                entries.push_back(parseJson(reply.reply.body));
            Json silent = Json::array();
            for (const EntryId &entry : all.silent)
                silent.push_back(entry.value());
            const Configuration &configuration =
                *m_node.plane().configurationKeeper().configuration();
            const auto age = m_node.plane().configurationKeeper().evidenceAge();
            Json zonesOut = Json::array();
            for (const ZoneId &zone : configuration.zonesOut)
                zonesOut.push_back(zone.value());
            respond(jsonAnswer(200,
                               {{"answered_by", m_node.settings().entry.value()},
                                {"configuration_revision", configuration.revision.value()},
                                {"configuration_age_ms", age ? age->count() : -1},
                                {"zones_out", zonesOut},
                                {"entries", entries},
                                {"silent_entries", silent}}));
        });
    });
}

void EntryApi::faults(const HttpIncoming &request, const HttpRespond &respond)
{
    if (!m_node.settings().faultsAllowed || request.method != "POST")
        return respond(refusal(404, "no such path; see docs/Api.md"));
    onControl(respond, [this, body = request.body, respond] {
        const Json json = parseJson(body);
        m_node.cut(json.value("peers", std::set<std::string>()),
                   json.value("urls", std::vector<std::string>()));
        respond({200, "{}\n"});
    });
}

} // namespace Cranberrymount
