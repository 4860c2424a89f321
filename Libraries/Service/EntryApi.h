#pragma once

#include "Service/EntryNode.h"
#include "Service/JobApi.h"
#include "Service/PlanApi.h"
#include "Transport/HttpServer.h"

#include <functional>
#include <string>

namespace Cranberrymount {

/**
 * The HTTP interface of one entry instance to clients, submitters and operators; docs/Api.md lists
 * its routes. Every refusal states whether the request was not run or may have run.
 */
class EntryApi
{
public:
    explicit EntryApi(EntryNode &node);

    void handle(HttpRequest request, HttpResponder respond);

private:
    void lookup(HttpRequest request, HttpResponder respond, const std::string &queueName);
    /** Claims the idempotency key @p scope, a hash that includes queue and team, then routes the
     * lookup request, which must not run twice. */
    void routeWithIdempotencyKey(HttpRequest request, const HttpResponder &respond, LookupCall call,
                                 const std::string &scope, const Span &span);
    void jobs(const HttpRequest &request, const HttpResponder &respond, const std::string &rest);
    void plans(const HttpRequest &request, const HttpResponder &respond, const std::string &rest);
    void status(const HttpResponder &respond);
    void explainRequest(const HttpResponder &respond, const std::string &id);
    /** Ends the span of a lookup request and adds its trace id to the response, so that the client
     * can ask for an explanation of the request. */
    HttpResponse endLookupSpan(HttpResponse response, Span span);
    void injectFaults(const HttpRequest &request, const HttpResponder &respond);

    bool isOperator(const HttpRequest &request) const;
    /** Runs @p action on the control thread; a protocol or JSON error becomes a response. */
    void runOnControlThread(const HttpResponder &respond, std::function<void()> action);

    EntryNode &m_node;
    PlanApi m_plans;
    JobApi m_jobs;
};

} // namespace Cranberrymount
